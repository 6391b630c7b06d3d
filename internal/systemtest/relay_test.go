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
	network *network
	to      string                   // the machine behind it
	address string                   // where callers find it
	behind  string                   // where the machine listens
	caller  func(net.Conn) string    // names who calls; nil for outside
	seen    func(call)               // takes each call that was answered; may be nil
	sent    func(call)               // takes each call that is delivered; may be nil
	lost    func(call)               // takes each call that was delivered and got no answer; may be nil
	rewrite func(body []byte) []byte // changes answers; may be nil
	client  *http.Transport

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
	c := call{from: source, to: r.to, path: request.URL.Path, life: request.Header.Get("Expect-Instance"), body: body, sentAt: time.Now()}
	r.guard(request.Context(), c, beforeCall)
	if r.sent != nil {
		r.sent(c)
	}
	answer, err := r.carry(request, body)
	if err != nil {
		r.noteLost(request.Context(), c, err)
		panic(http.ErrAbortHandler)
	}
	c.status, c.answer = answer.StatusCode, answer.body
	if r.seen != nil {
		r.seen(c)
	}
	r.guard(request.Context(), c, beforeAnswer)
	for key, values := range answer.Header {
		w.Header()[key] = values
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(c.status)
	w.Write(answer.body)
}

// noteLost reports a call whose connection the callee has closed, unless the caller gave up or no connection came up.
func (r *relay) noteLost(ctx context.Context, c call, err error) {
	var operation *net.OpError
	refused := errors.As(err, &operation) && operation.Op == "dial"
	if r.lost != nil && !refused && ctx.Err() == nil {
		r.lost(c)
	}
}

// guard lets a call or its answer pass, or ends it without an answer.
func (r *relay) guard(ctx context.Context, c call, at phase) {
	from, to := c.from, c.to
	if at == beforeAnswer {
		from, to = to, from
	}
	if r.network.reach(c, at) || at == beforeCall && r.network.loses(c) {
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if r.network.pass(ctx, from, to) != nil {
		panic(http.ErrAbortHandler)
	}
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	*http.Response
	body []byte
}

func (r *relay) carry(request *http.Request, body []byte) (wholeAnswer, error) {
	r.mu.Lock()
	client := r.client
	r.mu.Unlock()
	forwarded := request.Clone(request.Context())
	forwarded.RequestURI = ""
	forwarded.URL.Scheme, forwarded.URL.Host = "http", r.behind
	forwarded.Body = io.NopCloser(bytes.NewReader(body))
	answer, err := client.RoundTrip(forwarded)
	if err != nil {
		return wholeAnswer{}, err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	if err == nil && r.rewrite != nil {
		content = r.rewrite(content)
	}
	return wholeAnswer{answer, content}, err
}
