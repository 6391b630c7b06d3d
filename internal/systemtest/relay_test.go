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

// relay stands before one address of a machine and carries calls to the one behind it.
type relay struct {
	network    *network
	to         string                   // the machine behind it
	address    string                   // where callers find it
	target     string                   // where the machine listens
	caller     func(net.Conn) string    // names who calls; nil for outside
	onReply    func(call)               // takes each call that was answered; may be nil
	onDelivery func(call)               // takes each call that is delivered; may be nil
	onAbort    func(call)               // takes each call that was delivered and got no answer; may be nil
	rewrite    func(body []byte) []byte // changes answers; may be nil
	client     *http.Transport

	mu     sync.Mutex
	server *http.Server // nil while closed
}

// sourceKey holds the caller's name in a connection's context.
type sourceKey struct{}

// open lets callers in.
func (r *relay) open() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return fmt.Errorf("relay before %s: %w", r.to, err)
	}
	r.address = listener.Addr().String()
	server := &http.Server{Handler: r, ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
		source := outside
		if r.caller != nil {
			source = r.caller(connection)
		}
		return context.WithValue(ctx, sourceKey{}, source)
	}}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server = server
	r.client = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	go server.Serve(listener)
	return nil
}

// close cuts all connections; new ones are refused.
func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server != nil {
		r.server.Close()
		r.client.CloseIdleConnections()
		r.server = nil
	}
}

// ServeHTTP carries one call.
func (r *relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	source, _ := request.Context().Value(sourceKey{}).(string)
	body, err := io.ReadAll(request.Body)
	if err != nil || source == "" {
		panic(http.ErrAbortHandler)
	}
	c := call{from: source, to: r.to, path: request.URL.Path, incarnation: request.Header.Get("Expect-Instance"), body: body, sentAt: time.Now()}
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

// reportAborted reports a call whose connection the callee has closed, unless the caller gave up or no connection came up.
func (r *relay) reportAborted(ctx context.Context, c call, err error) {
	var operation *net.OpError
	refused := errors.As(err, &operation) && operation.Op == "dial"
	if r.onAbort != nil && !refused && ctx.Err() == nil {
		r.onAbort(c)
	}
}

// applyFaults lets a call or its answer pass, or ends it without an answer.
func (r *relay) applyFaults(ctx context.Context, c call, at phase) {
	from, to := c.from, c.to
	if at == beforeReply {
		from, to = to, from
	}
	if r.network.fireInjections(c, at) || at == beforeDelivery && r.network.drops(c) {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if r.network.awaitLink(ctx, from, to) != nil {
		panic(http.ErrAbortHandler)
	}
}

// completeReply is an answer that was read to its end.
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
