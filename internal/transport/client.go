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
	"net/url"
	"reflect"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// Client is the Caller that speaks HTTP.
type Client struct {
	cluster      string
	roundTripper http.RoundTripper // asked directly: an http.Client would follow redirects with the body
	countsWrites bool              // the carrier's connections are counted
	directory    *directory
	callIDPrefix string // begins the names of this client's calls
	callCount    atomic.Uint64
}

// NewClientFor makes a client of a cluster's process with its own pool of connections.
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

// NewClient makes a client for processes without names.
func NewClient() *Client { return NewClientFor("") }

// NewClientWithTransport makes a client whose requests another carrier brings to their addresses. A failure to reach anybody is a
// *net.OpError of "dial".
func NewClientWithTransport(cluster string, roundTripper http.RoundTripper) *Client {
	return &Client{cluster: cluster, roundTripper: roundTripper, directory: newDirectory(), callIDPrefix: rand.Text() + "."}
}

// Close ends idle connections.
func (c *Client) Close() {
	if idle, ok := c.roundTripper.(interface{ CloseIdleConnections() }); ok {
		idle.CloseIdleConnections()
	}
}

// MisdirectedError is the cause of a refusal by a process that was not meant. The request has not run.
type MisdirectedError struct {
	Address  string
	Intended Addressee
	Actual   Identity
}

// Error implements the error interface.
func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("%s is not served by %s any more, but by %s", e.Address, e.Intended.headerText(), e.Actual)
}

// Call implements Caller. A Repeatable call that the same node refuses, as it was started again, is sent once more at once.
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

// isRestart tells whether the process that refused is a later life of the one that was meant.
func (e *MisdirectedError) isRestart() bool {
	intended, ok := e.Intended.(Process)
	return ok && intended.sameNode(e.Actual)
}

// callAtMostOnce sends a call to a known process only: on first contact it asks for the process first.
func (c *Client) callAtMostOnce(ctx context.Context, address string, route Route, body []byte, reply any) error {
	if _, known := c.directory.lookup(address); !known {
		if _, err := identityCall.Call(ctx, c, address, identityRequest{}); err != nil {
			return rpcerror.WrapNotExecuted(fmt.Errorf("%s not sent: who serves the address: %w", route.Path(), err), rpcerror.RetryAfter(err))
		}
	}
	call := c.newOutgoingCall(address, route, body)
	if _, known := call.addressee.(Process); !known {
		return rpcerror.WrapNotExecuted(fmt.Errorf("%s not sent: nobody is known to serve %s", route.Path(), address), 0)
	}
	return c.roundTrip(ctx, call, reply)
}

// outgoingCall is one sending of a call.
type outgoingCall struct {
	address     string
	path        string
	addressee   Addressee
	toHeader    string // value of ToHeader
	id          string
	body        []byte
	sentAt      time.Time
	latestStart string // value of UntilHeader, for a Once call
}

// newOutgoingCall names whom a call means, by what is known now.
func (c *Client) newOutgoingCall(address string, route Route, body []byte) *outgoingCall {
	call := &outgoingCall{address: address, path: route.Path(), body: body, sentAt: time.Now()}
	call.id = c.callIDPrefix + strconv.FormatUint(c.callCount.Add(1), incarnationBase)
	if known, ok := c.directory.lookup(address); ok {
		call.addressee, call.toHeader = Process{known.identity}, known.headerText+separator+call.id
		if !route.idempotent() {
			call.latestStart = formatClock(known.clockAfter(call.sentAt, maxStartDelay).Milliseconds())
		}
		return call
	}
	call.addressee = FirstContact{c.cluster}
	call.toHeader = call.addressee.headerText() + separator + call.id
	return call
}

func (e *outgoingCall) String() string { return e.address + e.path }

func (e *outgoingCall) httpRequest(ctx context.Context, tracker *SendTracker) *http.Request {
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: e.address, Path: e.path}, Host: e.address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{contentTypeHeader: {contentType}, ToHeader: {e.toHeader}},
		Body:   io.NopCloser(bytes.NewReader(e.body)), ContentLength: int64(len(e.body)),
		GetBody: tracker.GetBody(e.body),
	}
	if e.latestStart != "" {
		request.Header.Set(UntilHeader, e.latestStart)
	}
	return request.WithContext(tracker.WithTrace(ctx))
}

// roundTrip sends a call by one writing, and takes the answer if it is that process's to this call.
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

// decode sets a reply whole or not at all, so that nothing of an answer that cannot be read is left in it.
func decode(content []byte, reply any) error {
	target := reflect.ValueOf(reply).Elem()
	whole := reflect.New(target.Type())
	if err := msgpack.Unmarshal(content, whole.Interface()); err != nil {
		return err
	}
	target.Set(whole.Elem())
	return nil
}

// classify classifies a call without an answer: nothing ran where no connection came up, or no byte was sent on it.
func (c *Client) classify(call *outgoingCall, err error, tracker *SendTracker) error {
	err = fmt.Errorf("call %s: %w", call, err)
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" || c.countsWrites && tracker.NothingSent() {
		return rpcerror.WrapNotExecuted(err, 0)
	}
	return rpcerror.WrapMayHaveExecuted(err)
}

var (
	errWrongCall    = errors.New("the answer is to another call")
	errWrongProcess = errors.New("the answer is another process's")
)

// checkResponder tells whether an answer is the meant process's to this call, and learns who serves the address.
func (c *Client) checkResponder(call *outgoingCall, response *http.Response) error {
	header := response.Header.Get(FromHeader)
	if header == call.toHeader { // the usual case: a known process, and this call
		return nil
	}
	from, err := parseFromHeader(header)
	if err != nil {
		return c.checkUnnamedResponder(call)
	}
	if callIDOf(header) != call.id {
		c.Close() // the connection is out of step
		return rpcerror.WrapMayHaveExecuted(fmt.Errorf("call %s: %w", call, errWrongCall))
	}
	intended, known := call.addressee.(Process)
	if response.StatusCode == http.StatusMisdirectedRequest {
		c.updateDirectory(call.address, intended, call.knownProcess(from, response))
		return rpcerror.WrapNotExecuted(&MisdirectedError{Address: call.address, Intended: call.addressee, Actual: from}, 0)
	}
	if !call.addressee.matches(from) {
		return rpcerror.WrapMayHaveExecuted(fmt.Errorf("call %s: %w: %s", call, errWrongProcess, from))
	}
	if !known {
		c.directory.add(call.address, call.knownProcess(from, response))
	}
	return nil
}

// met is what an answer tells of the process that gave it.
func (e *outgoingCall) knownProcess(from Identity, response *http.Response) knownProcess {
	milliseconds, _ := strconv.ParseInt(response.Header.Get(ClockHeader), 10, 64)
	return knownProcess{from, from.String(), time.Duration(milliseconds) * time.Millisecond, e.sentAt}
}

// checkUnnamedResponder judges an answer that names no process: an older build's, which is taken on first contact only.
func (c *Client) checkUnnamedResponder(call *outgoingCall) error {
	intended, known := call.addressee.(Process)
	if !known {
		return nil
	}
	c.directory.remove(call.address, intended.Identity)
	return rpcerror.WrapMayHaveExecuted(fmt.Errorf("call %s: %w: it has no name", call, errWrongProcess))
}

// updateDirectory notes who refused a call: the same node started again, or one that has to be met anew.
func (c *Client) updateDirectory(address string, intended Process, actual knownProcess) {
	if intended.sameNode(actual.identity) {
		c.directory.replace(address, intended.Identity, actual)
		return
	}
	c.directory.remove(address, intended.Identity)
}

func responseError(call *outgoingCall, response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	err := fmt.Errorf("%s answered %d: %s", call, response.StatusCode, bytes.TrimSpace(text))
	if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusNotFound {
		return rpcerror.WrapMayHaveExecuted(err)
	}
	milliseconds, _ := strconv.Atoi(response.Header.Get(RetryAfterHeader))
	return rpcerror.WrapNotExecuted(err, time.Duration(milliseconds)*time.Millisecond)
}
