package operations

import (
	"context"
	"errors"
	"net/http"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

// retryAfterSeconds is the Retry-After header of responses after which a retry may succeed.
const retryAfterSeconds = "1"

// statusError is an error with the status of its response.
type statusError struct {
	status int
	text   string // says what is wrong and what to do about it
}

// Error implements the error interface.
func (e *statusError) Error() string { return e.text }

func newStatusError(status int, text string) error { return &statusError{status: status, text: text} }

const (
	confirmTimeout = 900 * time.Millisecond // for a majority to confirm that there are no further services
	staleText      = "no majority confirms at the moment what this mixer knows, which may be old; nothing was done, try another mixer"
	changedText    = "the configuration has just changed; nothing was done, try again"
)

// writeError writes the response for an error. 404 and 409 are written only once a majority has confirmed, after the request
// arrived, the services whose leaders were called; a service that this node has not learned of might know better.
func (h *Handler) writeError(w http.ResponseWriter, r *http.Request, err error) {
	var rejection *statusError
	if errors.As(err, &rejection) && rejection.dependsOnState() {
		err = h.confirm(r.Context(), err)
	}
	writeUnconfirmedError(w, err)
}

// confirm returns the error, or another one where there may be services whose leaders were not called.
func (h *Handler) confirm(ctx context.Context, err error) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	before, _ := h.options.Sources.Configuration()
	if h.options.Sources.Confirm(ctx) != nil || !h.options.Sources.InContact() {
		return newStatusError(http.StatusServiceUnavailable, staleText)
	}
	if after, _ := h.options.Sources.Configuration(); after != before {
		return newStatusError(http.StatusServiceUnavailable, changedText)
	}
	return err
}

// dependsOnState tells whether the response would be different with one more service, or with a job in another state.
func (e *statusError) dependsOnState() bool {
	return e.status == http.StatusNotFound || e.status == http.StatusConflict
}

// writeUnconfirmedError writes the response for an error: the status of a statusError, else one by what the error says of the execution.
func writeUnconfirmedError(w http.ResponseWriter, err error) {
	var rejection *statusError
	switch {
	case errors.As(err, &rejection):
		writeFailure(w, rejection.status, rejection.text)
	case rpcerror.ExecutionOf(err) == rpcerror.NotExecuted:
		writeFailure(w, http.StatusServiceUnavailable, err.Error()+"; nothing was done, try again")
	default:
		writeFailure(w, http.StatusGatewayTimeout, err.Error()+"; it may have been done, read the state or try again")
	}
}

// writeFailure writes a response that reports an error, with a hint to retry where the fault is not the caller's.
func writeFailure(w http.ResponseWriter, status int, text string) {
	if status >= http.StatusInternalServerError {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	control.WriteJSON(w, status, Failure{Error: text})
}
