package workerclient

import (
	"net/http"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// responseOutcome returns the outcome of a start from the worker's response.
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
		return IncarnationEnded
	}
	return Unclear
}

// rejection returns the outcome of a start that was rejected with status 409.
func rejection(rejectedFor reason) StartOutcome {
	switch rejectedFor {
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

// failureOutcome returns the outcome of a start without a response.
func failureOutcome(err error) StartOutcome {
	if rpcerror.ExecutionOf(err) == rpcerror.NotExecuted {
		return NotSent
	}
	return Unclear
}
