// Package operatorclient is the client of the operators' API, which packages control and operations serve.
//
// Client sends a request to one node after the other until one gives a definitive answer. If none does, the error says whether a
// node may have executed the request. The commands of operators use it. It may send a request several times, so it must only be used
// for idempotent requests.
package operatorclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/go-json-experiment/json"

	"puffinlink.example/puffinlink/internal/controlplane/operations"
	"puffinlink.example/puffinlink/internal/timer"
)

const (
	attemptTimeout  = 4 * time.Second // for one attempt; the node may have to call another node
	dialTimeout     = 2 * time.Second
	initialBackoff  = 200 * time.Millisecond // between the first two rounds; doubles up to maxBackoff
	maxBackoff      = time.Second
	maxRedirects    = 2 // in one attempt
	maxAnswerBytes  = 64 << 20
	maxErrorText    = 400 // bytes of an answer that is not JSON, as shown in an error
	contentTypeJSON = "application/json"
)

var errTooManyRedirects = errors.New("too many redirects")

// Client sends requests to nodes.
type Client struct {
	Addresses []string // control addresses in the form host:port, tried in turn
	HTTP      *http.Client
}

// Request is one request of an operator. It must be idempotent, as it may be sent several times.
type Request struct {
	Method  string
	Path    string // escaped
	Query   url.Values
	IfMatch string // value of the If-Match header; not sent if empty
	Body    []byte
}

// Answer is the definitive answer to a request.
type Answer struct {
	Status  int
	Version string // version of the configuration, from the ETag header
	Body    []byte
	Address string // address of the node that was called, also if it redirected the request
}

// RefusedError is a definitive answer that rejects the request.
type RefusedError struct {
	Status int
	Text   string
}

// Error implements the error interface.
func (e *RefusedError) Error() string { return e.Text }

// UnreachableError reports that no node gave a definitive answer in time.
type UnreachableError struct {
	Failures            []error // the last one of each address
	MayHaveBeenExecuted bool    // whether a node may have executed the request
}

// Error implements the error interface.
func (e *UnreachableError) Error() string {
	text := "no mixer gave a clear answer: " + errors.Join(e.Failures...).Error()
	if e.MayHaveBeenExecuted {
		return text + "\nthe request may have been carried out: read the state, or send it again unchanged"
	}
	return text + "\nnothing was done: check --at, that the mixers run, and their status"
}

// Unwrap returns Failures, for errors.Is and errors.As.
func (e *UnreachableError) Unwrap() []error { return e.Failures }

// Do sends a request to one node after the other until one gives a definitive answer or ctx ends. It waits between rounds, with
// exponential backoff. The error is a *RefusedError or an *UnreachableError.
func (c *Client) Do(ctx context.Context, request Request) (Answer, error) {
	failures := make([]error, len(c.Addresses))
	maybeExecuted := false
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		for i, address := range c.Addresses {
			answer, err := c.attempt(ctx, address, request)
			if err == nil && !isDefinitive(answer.Status) {
				err = newRefusedError(answer)
			}
			if err == nil {
				return answer, definitiveError(answer)
			}
			maybeExecuted = maybeExecuted || mayHaveBeenExecuted(request.Method, err)
			if ctx.Err() == nil || failures[i] == nil {
				failures[i] = fmt.Errorf("%s: %w", address, err)
			}
		}
		if !timer.Sleep(ctx, backoff) {
			return Answer{}, &UnreachableError{Failures: failures, MayHaveBeenExecuted: maybeExecuted}
		}
	}
}

// isDefinitive reports whether a status is the final outcome of a request, so that no other node is called.
func isDefinitive(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// definitiveError returns the error of a definitive answer, which is nil for success.
func definitiveError(answer Answer) error {
	if answer.Status < http.StatusMultipleChoices {
		return nil
	}
	return newRefusedError(answer)
}

// newRefusedError creates the error of an answer with an error status. Its text is the node's error message, or the start of a body that
// has none.
func newRefusedError(answer Answer) *RefusedError {
	var failure operations.Failure
	if err := json.Unmarshal(answer.Body, &failure); err == nil && failure.Error != "" {
		return &RefusedError{Status: answer.Status, Text: failure.Error}
	}
	text := bytes.TrimSpace(answer.Body[:min(maxErrorText, len(answer.Body))])
	return &RefusedError{Status: answer.Status, Text: fmt.Sprintf("answered %d: %s", answer.Status, text)}
}

// mayHaveBeenExecuted reports whether a failed request may have changed something.
func mayHaveBeenExecuted(method string, err error) bool {
	if method == http.MethodGet {
		return false
	}
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return !neverConnected(err)
	}
	switch refused.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return false
	case http.StatusServiceUnavailable: // also the response to a configuration change whose outcome is unknown
		return method == http.MethodPut
	}
	return refused.Status >= http.StatusInternalServerError // a node may fail after the execution
}

// neverConnected reports whether a request failed before its connection was opened, so that nothing was sent.
func neverConnected(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// NewHTTPClient creates a client for Client.HTTP. It uses no proxies. It does not follow redirects, as Client follows them itself.
func NewHTTPClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// attempt sends a request to one node and follows its redirects.
func (c *Client) attempt(ctx context.Context, address string, request Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	target := "http://" + address + request.Path
	if len(request.Query) > 0 {
		target += "?" + request.Query.Encode()
	}
	for range maxRedirects + 1 {
		answer, next, err := c.send(ctx, target, request)
		if err != nil || next == "" {
			answer.Address = address
			return answer, err
		}
		target = next
	}
	return Answer{}, errTooManyRedirects
}

// send sends a request once. If the answer is a redirect, next is its target; otherwise next is empty.
func (c *Client) send(ctx context.Context, target string, request Request) (answer Answer, next string, err error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, target, bytes.NewReader(request.Body))
	if err != nil {
		return Answer{}, "", err
	}
	if len(request.Body) > 0 {
		httpRequest.Header.Set("Content-Type", contentTypeJSON)
	}
	if request.IfMatch != "" {
		httpRequest.Header.Set("If-Match", request.IfMatch)
	}
	response, err := c.HTTP.Do(httpRequest)
	if err != nil {
		return Answer{}, "", err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusTemporaryRedirect {
		return Answer{}, response.Header.Get("Location"), nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, "", fmt.Errorf("read the answer: %w", err)
	}
	return Answer{Status: response.StatusCode, Version: response.Header.Get("ETag"), Body: body}, "", nil
}
