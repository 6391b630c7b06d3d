package workerclient

import (
	"net/http"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// responseOutcome is the outcome of a start command by the worker's answer.
func responseOutcome(response workerResponse) StartOutcome {
	switch response.status {
	case http.StatusOK:
		return Started
	case http.StatusConflict:
		return rejection(response.body.Reason)
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
	case reasonFencingToken:
		return RejectedFencingToken
	case reasonStaleAttempt:
		return RejectedStaleAttempt
	case reasonLeaseExpired:
		return RejectedLeaseExpired
	case reasonCapacity:
		return RejectedCapacity
	}
	return Unclear
}

// failureOutcome is the outcome of a start command without an answer.
func failureOutcome(err error) StartOutcome {
	if rpcerror.ExecutionOf(err) == rpcerror.NotExecuted {
		return NotSent
	}
	return Unclear
}
