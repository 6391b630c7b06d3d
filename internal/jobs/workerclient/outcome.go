package workerclient

import (
	"net/http"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// answerOutcome is the outcome of a start order by the worker's answer.
func answerOutcome(a answer) StartOutcome {
	switch a.status {
	case http.StatusOK:
		return Started
	case http.StatusConflict:
		return rejection(a.reply.Reason)
	case http.StatusBadRequest:
		return RejectedInvalid
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return RejectedUnhealthy
	case http.StatusMisdirectedRequest:
		return IncarnationOver
	}
	return Unclear
}

func rejection(why reason) StartOutcome {
	switch why {
	case reasonFence:
		return RejectedFencingToken
	case reasonOld:
		return RejectedStaleAttempt
	case reasonLate:
		return RejectedLeaseExpired
	case reasonRoom:
		return RejectedCapacity
	}
	return Unclear
}

// failureOutcome is the outcome of a start order without an answer.
func failureOutcome(err error) StartOutcome {
	if rpcerror.ExecutionOf(err) == rpcerror.NotExecuted {
		return NotSent
	}
	return Unclear
}
