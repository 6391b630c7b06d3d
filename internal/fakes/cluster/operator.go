package cluster

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	configurationPath = "/-/configuration"
	operatorTimeout   = time.Second // for one node's answer, including redirects
	maxRedirects      = 2
)

// Operator is a fake operator that sends configurations to the nodes that serve the control API.
type Operator struct {
	Addresses []string // control addresses, tried in turn
	HTTP      *http.Client
}

// ErrOutcomeUnknown reports that no node gave a definite answer. The configuration may or may not have been accepted.
var ErrOutcomeUnknown = errors.New("no clear answer")

var errTooManyRedirects = errors.New("too many redirects")

// StatusError is the status of an answer that contains no configuration.
type StatusError int

// Error implements error.
func (e StatusError) Error() string { return fmt.Sprintf("configuration: status %d", int(e)) }

// Put sends a configuration to one address after the other until a node gives a definite answer. It returns that answer's status.
func (o *Operator) Put(ctx context.Context, builtOn int64, configuration []byte) (status int, err error) {
	status, _, err = o.call(ctx, http.MethodPut, strconv.FormatInt(builtOn, 10), configuration)
	return status, err
}

// Get returns the newest configuration.
func (o *Operator) Get(ctx context.Context) ([]byte, error) {
	status, body, err := o.call(ctx, http.MethodGet, "", nil)
	if err == nil && status != http.StatusOK {
		err = StatusError(status)
	}
	return body, err
}

func (o *Operator) call(ctx context.Context, method, ifMatch string, body []byte) (int, []byte, error) {
	failures := []error{ErrOutcomeUnknown}
	for _, address := range o.Addresses {
		status, answer, err := o.callNode(ctx, method, "http://"+address+configurationPath, ifMatch, body)
		if err == nil && isDefinite(status) {
			return status, answer, nil
		}
		failures = append(failures, fmt.Errorf("%s: status %d: %w", address, status, err))
	}
	return 0, nil, errors.Join(failures...)
}

// isDefinite reports whether a status is a definite answer, so that no other node is called.
func isDefinite(status int) bool {
	return status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// callNode sends one request and follows its redirects, within operatorTimeout.
func (o *Operator) callNode(ctx context.Context, method, url, ifMatch string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	for range maxRedirects + 1 {
		status, answer, location, err := o.send(ctx, method, url, ifMatch, body)
		if err != nil || status != http.StatusTemporaryRedirect {
			return status, answer, err
		}
		url = location
	}
	return 0, nil, errTooManyRedirects
}

// send sends one request. The returned location is the target of a redirect.
func (o *Operator) send(ctx context.Context, method, url, ifMatch string, body []byte) (status int, answer []byte, location string, err error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	request.Header.Set("Content-Type", "application/json")
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	client := *o.HTTP
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, response.Header.Get("Location"), err
}
