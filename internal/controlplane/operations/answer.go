package operations

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/go-json-experiment/json"

	"puffinlink.example/puffinlink/internal/verdict"
)

// retryAfter is the hint of an answer that is worth another try, in seconds.
const retryAfter = "1"

// statusError is an answer other than success.
type statusError struct {
	status int
	text   string // says what is wrong and what to do about it
}

// Error implements the error interface.
func (e *statusError) Error() string { return e.text }

func failed(status int, text string) error { return &statusError{status: status, text: text} }

// writeError answers with an error: a statusError as it says, any other by its verdict.
func writeError(w http.ResponseWriter, err error) {
	var answer *statusError
	switch {
	case errors.As(err, &answer):
		writeFailure(w, answer.status, answer.text)
	case verdict.Of(err) == verdict.NotRun:
		writeFailure(w, http.StatusServiceUnavailable, err.Error()+"; nothing was done, try again")
	default:
		writeFailure(w, http.StatusGatewayTimeout, err.Error()+"; it may have been done, read the state or try again")
	}
}

func writeFailure(w http.ResponseWriter, status int, text string) {
	if status >= http.StatusInternalServerError {
		w.Header().Set("Retry-After", retryAfter)
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
