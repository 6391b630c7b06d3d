package api

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// Client sends requests to the operators' listener of one aggregator.
type Client struct {
	http  *http.Client
	token string
}

// NewClient returns a client for a listener's address, which has the form of operators.listen in the operator's file.
func NewClient(address, token string) (*Client, error) {
	path, unix := strings.CutPrefix(address, "unix:")
	if !unix {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("%w, expected unix:/PATH or HOST:PORT", err)
		}
	}
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		if unix {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return &Client{&http.Client{Transport: &http.Transport{DialContext: dial}}, token}, nil
}

// Error is a response with a status other than 200.
type Error struct {
	Status int
	Failure
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Code + ": " + e.Text }

// do sends a request and returns the response if its status is 200. Any other status is returned as an *Error.
func (c *Client) do(ctx context.Context, method, path string, body io.Reader) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://mixer"+path, body)
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	res, err := c.http.Do(req)
	if err != nil || res.StatusCode == http.StatusOK {
		return res, err
	}
	defer res.Body.Close()
	e := &Error{Status: res.StatusCode}
	if json.NewDecoder(io.LimitReader(res.Body, maxBodyBytes)).Decode(&e.Failure) != nil {
		e.Code, e.Text = "status", res.Status
	}
	return nil, e
}

// Get requests a path and decodes the JSON body of the response into a value.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	res, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}

// Send submits a command that sets or clears an override, and returns the change that it made.
func (c *Client) Send(ctx context.Context, command Command) (change Change, err error) {
	err = c.post(ctx, "/v1/overrides", command, &change)
	return change, err
}

// post sends a command to a path and decodes the JSON body of the response into a value.
func (c *Client) post(ctx context.Context, path string, command, into any) error {
	encoded, err := json.Marshal(command)
	if err != nil {
		return err
	}
	res, err := c.do(ctx, http.MethodPost, path, strings.NewReader(string(encoded)))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}

// Watch calls each for every change after a revision. It returns when the connection ends or each returns an error.
func (c *Client) Watch(ctx context.Context, from uint64, each func(Change) error) error {
	res, err := c.do(ctx, http.MethodGet, "/v1/changes?from="+strconv.FormatUint(from, 10), nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	for in := json.NewDecoder(res.Body); ; {
		var change Change
		if err := in.Decode(&change); err != nil {
			return err
		}
		if err := each(change); err != nil {
			return err
		}
	}
}
