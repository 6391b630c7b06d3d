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

// Client is a Caller that sends calls over HTTP. Its methods are safe for concurrent use.
type Client struct {
	cluster      string
	roundTripper http.RoundTripper // used directly because an http.Client would follow redirects with the body
	countsWrites bool              // whether roundTripper has connections of DialFunc, so that a SendTracker works
	directory    *directory
	callIDPrefix string // random; the IDs of this client's calls start with it
	callCount    atomic.Uint64
}

// NewClientFor returns a client for a process of a cluster. The client has its own connection pool, which Close releases.
func NewClientFor(cluster string) *Client {
	client := NewClientWithTransport(cluster, &http.Transport{
		DialContext:         DialFunc(NewDialer()),
		MaxIdleConnsPerHost: maxIdleConnectionsPerAddress,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	})
	client.countsWrites = true
	return client
}

// NewClient returns a client for servers of NewMux, which belong to no cluster.
func NewClient() *Client { return NewClientFor("") }

// NewClientWithTransport returns a client that sends its requests through roundTripper, for example a simulated network. If no
// connection can be opened, RoundTrip must return a *net.OpError whose Op is "dial". The client then reports the call as not
// executed.
func NewClientWithTransport(cluster string, roundTripper http.RoundTripper) *Client {
	return &Client{cluster: cluster, roundTripper: roundTripper, directory: newDirectory(), callIDPrefix: rand.Text() + "."}
}

// errProcessUnknown is the cause of the error of an at-most-once call that was not sent. The address follows in the text.
var errProcessUnknown = errors.New("no known process serves")

// Close closes idle connections. The client remains usable.
func (c *Client) Close() {
	if idle, ok := c.roundTripper.(interface{ CloseIdleConnections() }); ok {
		idle.CloseIdleConnections()
	}
}

// Call implements Caller. An idempotent call that is rejected because the node was restarted is immediately sent once more.
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

// callAtMostOnce sends an at-most-once call, which must be addressed to a known process. If no process is known at the address,
// it requests the identity of the process first.
func (c *Client) callAtMostOnce(ctx context.Context, address string, route Route, body []byte, reply any) error {
	if _, known := c.directory.lookup(address); !known {
		if _, err := identityCall.Call(ctx, c, address, identityRequest{}); err != nil {
			return rpcerror.WrapNotExecuted(fmt.Errorf("%s not sent: identify the process at the address: %w", route.Path(), err), rpcerror.RetryAfter(err))
		}
	}
	call := c.newOutgoingCall(address, route, body)
	if _, known := call.addressee.(Process); !known {
		return rpcerror.WrapNotExecuted(fmt.Errorf("%s not sent: %w %s", route.Path(), errProcessUnknown, address), 0)
	}
	return c.roundTrip(ctx, call, reply)
}

// roundTrip sends a call on one connection without retries. It accepts only the addressee's response to this call.
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

// decode sets reply only if the whole content can be decoded, so that reply never has a part of an invalid response.
func decode(content []byte, reply any) error {
	target := reflect.ValueOf(reply).Elem()
	decoded := reflect.New(target.Type())
	if err := msgpack.Unmarshal(content, decoded.Interface()); err != nil {
		return err
	}
	target.Set(decoded.Elem())
	return nil
}

// classify wraps the error of a call without a response. The call was not executed if no connection was opened or no byte of
// the request was sent.
func (c *Client) classify(call *outgoingCall, err error, tracker *SendTracker) error {
	err = fmt.Errorf("call %s: %w", call, err)
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" || c.countsWrites && tracker.NothingSent() {
		return rpcerror.WrapNotExecuted(err, 0)
	}
	return rpcerror.WrapMayHaveExecuted(err)
}

// StatusError is the cause of the error of a call whose response has a status other than 200.
type StatusError struct {
	URL    string // address and path
	Status int
	Text   string // start of the body
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s responded with status %d: %s", e.URL, e.Status, e.Text)
}

// responseError returns the error for a response whose status is not 200. The statuses 503 and 404 mean that the call was not
// executed. A callee of an older build without the path responds with 404.
func responseError(call *outgoingCall, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorTextBytes))
	err := &StatusError{URL: call.String(), Status: response.StatusCode, Text: string(bytes.TrimSpace(text))}
	if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusNotFound {
		return rpcerror.WrapMayHaveExecuted(err)
	}
	milliseconds, _ := strconv.Atoi(response.Header.Get(RetryAfterHeader))
	return rpcerror.WrapNotExecuted(err, time.Duration(milliseconds)*time.Millisecond)
}
