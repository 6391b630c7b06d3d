package systemtest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// relay is a reverse proxy in front of one address of a machine, worker or platform. It forwards calls to the target address
// and applies the faults of the network.
type relay struct {
	network    *network
	to         string                   // name of the callee
	address    string                   // address of the relay, for callers
	target     string                   // address of the callee behind the relay
	caller     func(net.Conn) string    // returns the caller's name; nil if all callers are outside
	onReply    func(call)               // called for each call that was answered; may be nil
	onDelivery func(call)               // called for each call before it is delivered; may be nil
	onAbort    func(call)               // called for each call whose connection the callee closed without an answer; may be nil
	rewrite    func(body []byte) []byte // changes the body of each answer; may be nil
	client     *http.Transport

	mu     sync.Mutex
	server *http.Server // nil while closed
}

// callerKey is the key of the caller's name in a connection's context.
type callerKey struct{}

// open starts to listen for callers.
func (r *relay) open() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return fmt.Errorf("relay in front of %s: %w", r.to, err)
	}
	r.address = listener.Addr().String()
	server := &http.Server{Handler: r, ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
		caller := outside
		if r.caller != nil {
			caller = r.caller(connection)
		}
		return context.WithValue(ctx, callerKey{}, caller)
	}}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server = server
	r.client = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	go server.Serve(listener)
	return nil
}

// close closes all connections and stops listening, so that new connections are refused.
func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server != nil {
		r.server.Close()
		r.client.CloseIdleConnections()
		r.server = nil
	}
}

// ServeHTTP forwards one call and its answer.
func (r *relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	caller, _ := request.Context().Value(callerKey{}).(string)
	body, err := io.ReadAll(request.Body)
	if err != nil || caller == "" {
		panic(http.ErrAbortHandler)
	}
	c := call{from: caller, to: r.to, path: request.URL.Path, incarnation: request.Header.Get("Expect-Instance"), body: body, sentAt: time.Now()}
	r.applyFaults(request.Context(), c, beforeDelivery)
	if r.onDelivery != nil {
		r.onDelivery(c)
	}
	answer, err := r.forward(request, body)
	if err != nil {
		r.reportAborted(request.Context(), c, err)
		panic(http.ErrAbortHandler)
	}
	c.status, c.answer = answer.StatusCode, answer.body
	if r.onReply != nil {
		r.onReply(c)
	}
	r.applyFaults(request.Context(), c, beforeReply)
	for key, values := range answer.Header {
		w.Header()[key] = values
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(c.status)
	w.Write(answer.body)
}

// reportAborted reports a call that got no answer, unless the caller cancelled it or no connection to the callee was
// established.
func (r *relay) reportAborted(ctx context.Context, c call, err error) {
	var operation *net.OpError
	refused := errors.As(err, &operation) && operation.Op == "dial"
	if r.onAbort != nil && !refused && ctx.Err() == nil {
		r.onAbort(c)
	}
}

// applyFaults applies the network's injections, drops, delays and partitions to a call or its answer. It panics with
// http.ErrAbortHandler if the call is lost.
func (r *relay) applyFaults(ctx context.Context, c call, at phase) {
	from, to := c.from, c.to
	if at == beforeReply {
		from, to = to, from
	}
	if r.network.fireInjections(c, at) || at == beforeDelivery && r.network.dropsCall(c) {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if r.network.awaitLink(ctx, from, to) != nil {
		panic(http.ErrAbortHandler)
	}
}

// completeReply is an answer whose body was read completely.
type completeReply struct {
	*http.Response
	body []byte
}

func (r *relay) forward(request *http.Request, body []byte) (completeReply, error) {
	r.mu.Lock()
	client := r.client
	r.mu.Unlock()
	forwarded := request.Clone(request.Context())
	forwarded.RequestURI = ""
	forwarded.URL.Scheme, forwarded.URL.Host = "http", r.target
	forwarded.Body = io.NopCloser(bytes.NewReader(body))
	answer, err := client.RoundTrip(forwarded)
	if err != nil {
		return completeReply{}, err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err == nil && r.rewrite != nil {
		content = r.rewrite(content)
	}
	return completeReply{answer, content}, err
}
