package operations

import (
	"context"
	"errors"
	"net/http"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

// retryAfterSeconds is the value of the Retry-After header in responses to requests that may succeed when retried.
const retryAfterSeconds = "1"

// statusError is an error with the HTTP status of its response.
type statusError struct {
	status int
	text   string // states what is wrong and what the operator can do about it
}

// Error implements the error interface.
func (e *statusError) Error() string { return e.text }

func newStatusError(status int, text string) error { return &statusError{status: status, text: text} }

const (
	confirmTimeout           = 900 * time.Millisecond // limit for the confirmation by a majority that there are no other services
	unconfirmedText          = "no majority confirms at the moment what this mixer knows, which may be old; nothing was done, try another mixer"
	configurationChangedText = "the configuration has just changed; nothing was done, try again"
)

// writeError writes the response for an error. It writes a 404 or 409 only after a majority has confirmed, since the request
// arrived, that this node knows all services. Otherwise the result might be different at the leader of a service that this node
// does not know yet.
func (h *Handler) writeError(w http.ResponseWriter, r *http.Request, err error) {
	var responseErr *statusError
	if errors.As(err, &responseErr) && responseErr.dependsOnState() {
		err = h.confirmState(r.Context(), err)
	}
	writeErrorResponse(w, err)
}

// confirmState returns err if a majority confirms the configuration that this node knows. Otherwise there may be services whose
// leaders were not called, and it returns an error with status 503.
func (h *Handler) confirmState(ctx context.Context, err error) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	before, _ := h.options.Sources.Configuration()
	if h.options.Sources.ConfirmConfiguration(ctx) != nil || !h.options.Sources.InContact() {
		return newStatusError(http.StatusServiceUnavailable, unconfirmedText)
	}
	if after, _ := h.options.Sources.Configuration(); after != before {
		return newStatusError(http.StatusServiceUnavailable, configurationChangedText)
	}
	return err
}

// dependsOnState reports whether the response might be different if there were another service or a job had another state.
func (e *statusError) dependsOnState() bool {
	return e.status == http.StatusNotFound || e.status == http.StatusConflict
}

// writeErrorResponse writes the response for an error without confirming any state. The HTTP status is that of a statusError.
// For other errors, it depends on whether the request may have been executed.
func writeErrorResponse(w http.ResponseWriter, err error) {
	var responseErr *statusError
	switch {
	case errors.As(err, &responseErr):
		writeFailure(w, responseErr.status, responseErr.text)
	case rpcerror.ExecutionOf(err) == rpcerror.NotExecuted:
		writeFailure(w, http.StatusServiceUnavailable, err.Error()+"; nothing was done, try again")
	default:
		writeFailure(w, http.StatusGatewayTimeout, err.Error()+"; it may have been done, read the state or try again")
	}
}

// writeFailure writes a response that reports an error. If the error is not the caller's, it adds a Retry-After header.
func writeFailure(w http.ResponseWriter, status int, text string) {
	if status >= http.StatusInternalServerError {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	control.WriteJSON(w, status, Failure{Error: text})
}
