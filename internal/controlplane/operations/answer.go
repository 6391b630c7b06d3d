package operations

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-json-experiment/json"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// retryAfterSeconds is the hint of an answer that is worth another try, in seconds.
const retryAfterSeconds = "1"

// statusError is an answer other than success.
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

// writeError answers with an error. That something does not exist, or that the jobs' state speaks against an order, is said
// only once a majority has confirmed, after the request came, the services whose leaders were asked.
func (h *Handler) writeError(w http.ResponseWriter, r *http.Request, err error) {
	var answer *statusError
	if errors.As(err, &answer) && answer.dependsOnState() {
		err = h.confirm(r.Context(), err)
	}
	writeError(w, err)
}

// confirm returns the error, or another one where there may be services that were not asked.
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

// dependsOnState tells whether the answer would be another one if there were a service more, or if a job were in another state.
func (e *statusError) dependsOnState() bool {
	return e.status == http.StatusNotFound || e.status == http.StatusConflict
}

// writeError answers with an error: a statusError as it says, any other by its verdict.
func writeError(w http.ResponseWriter, err error) {
	var answer *statusError
	switch {
	case errors.As(err, &answer):
		writeFailure(w, answer.status, answer.text)
	case rpcerror.ExecutionOf(err) == rpcerror.NotExecuted:
		writeFailure(w, http.StatusServiceUnavailable, err.Error()+"; nothing was done, try again")
	default:
		writeFailure(w, http.StatusGatewayTimeout, err.Error()+"; it may have been done, read the state or try again")
	}
}

func writeFailure(w http.ResponseWriter, status int, text string) {
	if status >= http.StatusInternalServerError {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	write(w, status, Failure{Error: text})
}

func write(w http.ResponseWriter, status int, content any) {
	body, err := json.Marshal(content)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}
