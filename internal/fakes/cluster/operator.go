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
	operatorPatience  = time.Second // for one answer
	redirectsFollowed = 2
)

// Operator brings configurations to the nodes that serve control.
type Operator struct {
	Addresses []string // control addresses, tried in turn
	HTTP      *http.Client
}

// ErrNoClearAnswer means that a configuration may or may not have been taken.
var ErrNoClearAnswer = errors.New("no clear answer")

var errTooManyRedirects = errors.New("too many redirects")

// StatusError is the status of an answer that holds no configuration.
type StatusError int

// Error returns what is wrong, for a person.
func (e StatusError) Error() string { return fmt.Sprintf("configuration: status %d", int(e)) }

// Put sends a configuration once to every address in turn until one gives a clear answer, whose status is returned.
func (o *Operator) Put(ctx context.Context, builtOn int64, configuration []byte) (status int, err error) {
	status, _, err = o.call(ctx, http.MethodPut, strconv.FormatInt(builtOn, 10), configuration)
	return status, err
}

// Get reads the newest configuration back.
func (o *Operator) Get(ctx context.Context) ([]byte, error) {
	status, body, err := o.call(ctx, http.MethodGet, "", nil)
	if err == nil && status != http.StatusOK {
		err = StatusError(status)
	}
	return body, err
}

func (o *Operator) call(ctx context.Context, method, ifMatch string, body []byte) (int, []byte, error) {
	failures := []error{ErrNoClearAnswer}
	for _, address := range o.Addresses {
		status, answer, err := o.callNode(ctx, method, "http://"+address+configurationPath, ifMatch, body)
		if err == nil && isClear(status) {
			return status, answer, nil
		}
		failures = append(failures, fmt.Errorf("%s: status %d: %w", address, status, err))
	}
	return 0, nil, errors.Join(failures...)
}

// isClear tells whether an operator takes a status as an answer, and does not ask another node.
func isClear(status int) bool {
	return status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// callNode makes one request and follows its redirects, within the operator's patience.
func (o *Operator) callNode(ctx context.Context, method, url, ifMatch string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorPatience)
	defer cancel()
	for range redirectsFollowed + 1 {
		status, answer, location, err := o.send(ctx, method, url, ifMatch, body)
		if err != nil || status != http.StatusTemporaryRedirect {
			return status, answer, err
		}
		url = location
	}
	return 0, nil, errTooManyRedirects
}

// send makes one request; location is where a redirect leads.
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
