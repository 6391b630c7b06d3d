package transport

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// Client is the Caller that speaks HTTP. Its methods may be called from any goroutine.
type Client struct {
	cluster      string
	roundTripper http.RoundTripper // used directly: an http.Client would follow redirects with the body
	countsWrites bool              // the connections of roundTripper count their writes, so that a SendTracker works
	directory    *directory
	callIDPrefix string // of the IDs of this client's calls; random
	callCount    atomic.Uint64
}

// NewClientFor makes a client, with a connection pool of its own, of a process of a cluster. It is given back by Close.
func NewClientFor(cluster string) *Client {
	client := NewClientWithTransport(cluster, &http.Transport{
		DialContext:         DialFunc(NewDialer()),
		MaxIdleConnsPerHost: idlePerAddress,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
	client.countsWrites = true
	return client
}

// NewClient makes a client for servers made by NewMux, which belong to no cluster.
func NewClient() *Client { return NewClientFor("") }

// NewClientWithTransport makes a client that sends its requests by roundTripper, such as a simulated network. Where no
// connection can be opened, RoundTrip must return a *net.OpError whose Op is "dial": such a call counts as not executed.
func NewClientWithTransport(cluster string, roundTripper http.RoundTripper) *Client {
	return &Client{cluster: cluster, roundTripper: roundTripper, directory: newDirectory(), callIDPrefix: rand.Text() + "."}
}

// errUnknownProcess is the cause of an at-most-once call that is not sent; the address follows it.
var errUnknownProcess = errors.New("nobody is known to serve")

// Close closes idle connections. The client can still be used.
func (c *Client) Close() {
	if idle, ok := c.roundTripper.(interface{ CloseIdleConnections() }); ok {
		idle.CloseIdleConnections()
	}
}

// Call implements Caller. An idempotent call that is rejected because the same node was restarted is sent once more, at once.
func (c *Client) Call(ctx context.Context, address string, route Route, request, reply any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return rpcerror.WrapNotExecuted(fmt.Errorf("encode %s: %w", route.Path(), err), 0)
	}
	if !route.idempotent() {
		return c.callAtMostOnce(ctx, address, route, body, reply)
	}
	err = c.roundTrip(ctx, c.newOutgoingCall(address, route, body), reply)
	var misdirected *MisdirectedError
	if errors.As(err, &misdirected) && misdirected.isRestart() {
		return c.roundTrip(ctx, c.newOutgoingCall(address, route, body), reply)
	}
	return err
}

// callAtMostOnce sends a call to a known process only. On first contact it asks for the identity of the process first.
func (c *Client) callAtMostOnce(ctx context.Context, address string, route Route, body []byte, reply any) error {
	if _, known := c.directory.lookup(address); !known {
		if _, err := identityCall.Call(ctx, c, address, identityRequest{}); err != nil {
			return rpcerror.WrapNotExecuted(fmt.Errorf("%s not sent: who serves the address: %w", route.Path(), err), rpcerror.RetryAfter(err))
		}
	}
	call := c.newOutgoingCall(address, route, body)
	if _, known := call.addressee.(Process); !known {
		return rpcerror.WrapNotExecuted(fmt.Errorf("%s not sent: %w %s", route.Path(), errUnknownProcess, address), 0)
	}
	return c.roundTrip(ctx, call, reply)
}

// roundTrip sends a call on one connection, with no retry, and accepts a response of the addressee to this very call.
func (c *Client) roundTrip(ctx context.Context, call *outgoingCall, reply any) error {
	var tracker SendTracker
	response, err := c.roundTripper.RoundTrip(call.httpRequest(ctx, &tracker))
	if err != nil {
		return c.classify(call, err, &tracker)
	}
	defer response.Body.Close()
	if err := c.checkResponder(call, response); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return responseError(call, response)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil {
		return rpcerror.WrapMayHaveExecuted(fmt.Errorf("read %s: %w", call, err))
	}
	if err := decode(content, reply); err != nil {
		return rpcerror.WrapMayHaveExecuted(fmt.Errorf("decode %s: %w", call, err))
	}
	return nil
}

// decode sets a reply wholly or not at all, so that no part of an unreadable response is left in it.
func decode(content []byte, reply any) error {
	target := reflect.ValueOf(reply).Elem()
	decoded := reflect.New(target.Type())
	if err := msgpack.Unmarshal(content, decoded.Interface()); err != nil {
		return err
	}
	target.Set(decoded.Elem())
	return nil
}

// classify wraps the error of a call without a response: it was not executed if no connection was opened, or if no byte was
// sent on it.
func (c *Client) classify(call *outgoingCall, err error, tracker *SendTracker) error {
	err = fmt.Errorf("call %s: %w", call, err)
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" || c.countsWrites && tracker.NothingSent() {
		return rpcerror.WrapNotExecuted(err, 0)
	}
	return rpcerror.WrapMayHaveExecuted(err)
}

// StatusError is the cause of a call that was answered by another status than 200.
type StatusError struct {
	URL    string // address and path
	Status int
	Text   string // of the body
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.URL, e.Status, e.Text)
}

// responseError is the error of a response with another status than 200. Responses of 503 and 404, the latter of a build
// that lacks the path, say that the call was not executed.
func responseError(call *outgoingCall, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	err := &StatusError{URL: call.String(), Status: response.StatusCode, Text: string(bytes.TrimSpace(text))}
	if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusNotFound {
		return rpcerror.WrapMayHaveExecuted(err)
	}
	milliseconds, _ := strconv.Atoi(response.Header.Get(RetryAfterHeader))
	return rpcerror.WrapNotExecuted(err, time.Duration(milliseconds)*time.Millisecond)
}
