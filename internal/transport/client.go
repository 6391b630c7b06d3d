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
	cluster   string
	carrier   http.RoundTripper // asked directly: an http.Client would follow redirects with the body
	sockets   bool              // the carrier's connections are counted
	directory *directory
	name      string // begins the names of this client's calls
	calls     atomic.Uint64
}

// NewClientFor makes a client of a cluster's process with its own pool of connections.
func NewClientFor(cluster string) *Client {
	client := NewClientOver(cluster, &http.Transport{
		DialContext:         Dial(Dialer()),
		MaxIdleConnsPerHost: idlePerAddress,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
	client.sockets = true
	return client
}

// NewClient makes a client for processes without names.
func NewClient() *Client { return NewClientFor("") }

// NewClientOver makes a client whose requests another carrier brings to their addresses. A failure to reach anybody is a
// *net.OpError of "dial".
func NewClientOver(cluster string, carrier http.RoundTripper) *Client {
	return &Client{cluster: cluster, carrier: carrier, directory: newDirectory(), name: rand.Text() + "."}
}

// Close ends idle connections.
func (c *Client) Close() {
	if idle, ok := c.carrier.(interface{ CloseIdleConnections() }); ok {
		idle.CloseIdleConnections()
	}
}

// MisdirectedError is the cause of a refusal by a process that was not meant. The request has not run.
type MisdirectedError struct {
	Address string
	Meant   Addressee
	Found   Identity
}

// Error implements the error interface.
func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("%s is not served by %s any more, but by %s", e.Address, e.Meant.text(), e.Found)
}

// Call implements Caller. A Repeatable call that the same node refuses, as it was started again, is sent once more at once.
func (c *Client) Call(ctx context.Context, address string, route Route, request, reply any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return rpcerror.WrapNotExecuted(fmt.Errorf("encode %s: %w", route.Path(), err), 0)
	}
	if !route.mayRepeat() {
		return c.callOnce(ctx, address, route, body, reply)
	}
	err = c.send(ctx, c.addressed(address, route, body), reply)
	var misdirected *MisdirectedError
	if errors.As(err, &misdirected) && misdirected.restarted() {
		return c.send(ctx, c.addressed(address, route, body), reply)
	}
	return err
}

// restarted tells whether the process that refused is a later life of the one that was meant.
func (e *MisdirectedError) restarted() bool {
	meant, ok := e.Meant.(Process)
	return ok && meant.sameNode(e.Found)
}

// callOnce sends a call to a known process only: on first contact it asks for the process first.
func (c *Client) callOnce(ctx context.Context, address string, route Route, body []byte, reply any) error {
	if _, known := c.directory.find(address); !known {
		if _, err := identityCall.Call(ctx, c, address, identityRequest{}); err != nil {
			return rpcerror.WrapNotExecuted(fmt.Errorf("%s not sent: who serves the address: %w", route.Path(), err), rpcerror.RetryAfter(err))
		}
	}
	one := c.addressed(address, route, body)
	if _, known := one.to.(Process); !known {
		return rpcerror.WrapNotExecuted(fmt.Errorf("%s not sent: nobody is known to serve %s", route.Path(), address), 0)
	}
	return c.send(ctx, one, reply)
}

// exchange is one sending of a call.
type exchange struct {
	address string
	path    string
	to      Addressee
	header  string // value of ToHeader
	call    string
	body    []byte
	asked   time.Time
	until   string // value of UntilHeader, for a Once call
}

// addressed names whom a call means, by what is known now.
func (c *Client) addressed(address string, route Route, body []byte) *exchange {
	one := &exchange{address: address, path: route.Path(), body: body, asked: time.Now()}
	one.call = c.name + strconv.FormatUint(c.calls.Add(1), incarnationBase)
	if known, ok := c.directory.find(address); ok {
		one.to, one.header = Process{known.identity}, known.text+separator+one.call
		if !route.mayRepeat() {
			one.until = clockText(known.until(one.asked, onceLateness).Milliseconds())
		}
		return one
	}
	one.to = FirstContact{c.cluster}
	one.header = one.to.text() + separator + one.call
	return one
}

func (e *exchange) String() string { return e.address + e.path }

func (e *exchange) request(ctx context.Context, sending *Sending) *http.Request {
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: e.address, Path: e.path}, Host: e.address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{contentTypeHeader: {contentType}, ToHeader: {e.header}},
		Body:   io.NopCloser(bytes.NewReader(e.body)), ContentLength: int64(len(e.body)),
		GetBody: sending.Again(e.body),
	}
	if e.until != "" {
		request.Header.Set(UntilHeader, e.until)
	}
	return request.WithContext(sending.Watch(ctx))
}

// send sends a call by one writing, and takes the answer if it is that process's to this call.
func (c *Client) send(ctx context.Context, one *exchange, reply any) error {
	var sending Sending
	answer, err := c.carrier.RoundTrip(one.request(ctx, &sending))
	if err != nil {
		return c.failed(one, err, &sending)
	}
	defer answer.Body.Close()
	if err := c.check(one, answer); err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return refused(one, answer)
	}
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxBodyBytes+1))
	if err != nil {
		return rpcerror.WrapMayHaveExecuted(fmt.Errorf("read %s: %w", one, err))
	}
	if err := decode(content, reply); err != nil {
		return rpcerror.WrapMayHaveExecuted(fmt.Errorf("decode %s: %w", one, err))
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

// failed classifies a call without an answer: nothing ran where no connection came up, or no byte was sent on it.
func (c *Client) failed(one *exchange, err error, sending *Sending) error {
	err = fmt.Errorf("call %s: %w", one, err)
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" || c.sockets && sending.Unsent() {
		return rpcerror.WrapNotExecuted(err, 0)
	}
	return rpcerror.WrapMayHaveExecuted(err)
}

var (
	errOtherCall    = errors.New("the answer is to another call")
	errOtherProcess = errors.New("the answer is another process's")
)

// check tells whether an answer is the meant process's to this call, and learns who serves the address.
func (c *Client) check(one *exchange, answer *http.Response) error {
	header := answer.Header.Get(FromHeader)
	if header == one.header { // the usual case: a known process, and this call
		return nil
	}
	from, err := parseFrom(header)
	if err != nil {
		return c.checkNameless(one)
	}
	if callName(header) != one.call {
		c.Close() // the connection is out of step
		return rpcerror.WrapMayHaveExecuted(fmt.Errorf("call %s: %w", one, errOtherCall))
	}
	meant, known := one.to.(Process)
	if answer.StatusCode == http.StatusMisdirectedRequest {
		c.learnRefusal(one.address, meant, one.met(from, answer))
		return rpcerror.WrapNotExecuted(&MisdirectedError{Address: one.address, Meant: one.to, Found: from}, 0)
	}
	if !one.to.means(from) {
		return rpcerror.WrapMayHaveExecuted(fmt.Errorf("call %s: %w: %s", one, errOtherProcess, from))
	}
	if !known {
		c.directory.learn(one.address, one.met(from, answer))
	}
	return nil
}

// met is what an answer tells of the process that gave it.
func (e *exchange) met(from Identity, answer *http.Response) knownProcess {
	milliseconds, _ := strconv.ParseInt(answer.Header.Get(ClockHeader), 10, 64)
	return knownProcess{from, from.String(), time.Duration(milliseconds) * time.Millisecond, e.asked}
}

// checkNameless judges an answer that names no process: an older build's, which is taken on first contact only.
func (c *Client) checkNameless(one *exchange) error {
	meant, known := one.to.(Process)
	if !known {
		return nil
	}
	c.directory.forget(one.address, meant.Identity)
	return rpcerror.WrapMayHaveExecuted(fmt.Errorf("call %s: %w: it has no name", one, errOtherProcess))
}

// learnRefusal notes who refused a call: the same node started again, or one that has to be met anew.
func (c *Client) learnRefusal(address string, meant Process, found knownProcess) {
	if meant.sameNode(found.identity) {
		c.directory.replace(address, meant.Identity, found)
		return
	}
	c.directory.forget(address, meant.Identity)
}

func refused(one *exchange, answer *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxErrorBytes))
	err := fmt.Errorf("%s answered %d: %s", one, answer.StatusCode, bytes.TrimSpace(text))
	if answer.StatusCode != http.StatusServiceUnavailable && answer.StatusCode != http.StatusNotFound {
		return rpcerror.WrapMayHaveExecuted(err)
	}
	milliseconds, _ := strconv.Atoi(answer.Header.Get(RetryAfterHeader))
	return rpcerror.WrapNotExecuted(err, time.Duration(milliseconds)*time.Millisecond)
}
