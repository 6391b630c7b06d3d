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

// Client speaks with one aggregator's listener.
type Client struct {
	http  *http.Client
	token string
}

// NewClient makes a client for a listener's address, as the operator's file states it.
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

// Error is an answer that is none.
type Error struct {
	Status int
	Failure
}

// Error returns what is wrong, for a person.
func (e *Error) Error() string { return e.Code + ": " + e.Text }

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
	if json.NewDecoder(io.LimitReader(res.Body, mostBody)).Decode(&e.Failure) != nil {
		e.Code, e.Text = "status", res.Status
	}
	return nil, e
}

// Get reads what a path answers.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	res, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}

// Send sends a command.
func (c *Client) Send(ctx context.Context, command Command) (made Change, err error) {
	err = c.post(ctx, "/v1/overrides", command, &made)
	return made, err
}

// post sends a command to a path and reads what it answers.
func (c *Client) post(ctx context.Context, path string, command, into any) error {
	text, err := json.Marshal(command)
	if err != nil {
		return err
	}
	res, err := c.do(ctx, http.MethodPost, path, strings.NewReader(string(text)))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}

// Watch calls each for every change after a revision, until the connection ends.
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
