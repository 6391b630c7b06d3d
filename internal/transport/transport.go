// Package transport carries the mixers' internal protocol: typed requests and replies as msgpack bodies of HTTP/1.1
// POST calls. It moves bytes and classifies failures; retries, routing and timeouts belong to its callers.
package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/verdict"
)

// RetryAfterHeader carries, in milliseconds, when a refused caller should come back.
const RetryAfterHeader = "Retry-After-Ms"

const (
	contentType     = "application/msgpack"
	maxBodyBytes    = 64 << 20
	maxErrorBytes   = 4 << 10
	dialTimeout     = 800 * time.Millisecond
	idleTimeout     = 30 * time.Second
	unackedTimeout  = 1500 // milliseconds until unacknowledged bytes end a connection (TCP_USER_TIMEOUT)
	tcpUserTimeout  = 18   // the option's number on Linux
	idlePerAddress  = 8
	keepAlivePeriod = time.Second
)

// Caller sends one request to a peer and decodes its reply. Errors carry a verdict.
type Caller interface {
	Call(ctx context.Context, address, path string, request, reply any) error
}

// Client is the Caller that speaks HTTP.
type Client struct{ http *http.Client }

// NewClient makes a client with its own pool of connections.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         Dialer().DialContext,
		MaxIdleConnsPerHost: idlePerAddress,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}}
}

// Dialer makes connections that end soon after the peer has fallen silent.
func Dialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(descriptor uintptr) {
			failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, unackedTimeout)
		})
		return errors.Join(err, failed)
	}}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call implements Caller.
func (c *Client) Call(ctx context.Context, address, path string, request, reply any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return verdict.Unexecuted(fmt.Errorf("encode %s: %w", path, err), 0)
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return verdict.Unexecuted(fmt.Errorf("call %s%s: %w", address, path, err), 0)
	}
	call.Header.Set("Content-Type", contentType)
	answer, err := c.http.Do(call)
	if err != nil {
		return failed(address, path, err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return refused(address, path, answer)
	}
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxBodyBytes+1))
	if err != nil {
		return verdict.Unclear(fmt.Errorf("read %s%s: %w", address, path, err))
	}
	if err := msgpack.Unmarshal(content, reply); err != nil {
		return verdict.Unclear(fmt.Errorf("decode %s%s: %w", address, path, err))
	}
	return nil
}

// failed classifies a call without an answer: only a connection that never came up proves that nothing ran.
func failed(address, path string, err error) error {
	err = fmt.Errorf("call %s%s: %w", address, path, err)
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return verdict.Unexecuted(err, 0)
	}
	return verdict.Unclear(err)
}

func refused(address, path string, answer *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxErrorBytes))
	err := fmt.Errorf("%s%s answered %d: %s", address, path, answer.StatusCode, bytes.TrimSpace(text))
	if answer.StatusCode != http.StatusServiceUnavailable && answer.StatusCode != http.StatusNotFound {
		return verdict.Unclear(err)
	}
	milliseconds, _ := strconv.Atoi(answer.Header.Get(RetryAfterHeader))
	return verdict.Unexecuted(err, time.Duration(milliseconds)*time.Millisecond)
}

// Mux serves internal calls by path.
type Mux struct{ mux *http.ServeMux }

// NewMux makes an empty Mux.
func NewMux() *Mux { return &Mux{mux: http.NewServeMux()} }

// ServeHTTP implements http.Handler.
func (m *Mux) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.mux.ServeHTTP(w, r) }

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Handle serves one path. A handler's error with the verdict NotRun reaches the caller as such; any other error as unclear.
func Handle[Request, Reply any](m *Mux, path string, handler func(context.Context, Request) (Reply, error)) {
	m.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var request Request
		if err := msgpack.Unmarshal(body, &request); err != nil {
			http.Error(w, "decode "+path+": "+err.Error(), http.StatusBadRequest)
			return
		}
		reply, err := handler(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		writeReply(w, reply)
	})
}

func writeError(w http.ResponseWriter, err error) {
	if verdict.Of(err) != verdict.NotRun {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(RetryAfterHeader, strconv.FormatInt(verdict.RetryAfter(err).Milliseconds(), 10))
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func writeReply(w http.ResponseWriter, reply any) {
	buffer := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buffer)
	buffer.Reset()
	if err := msgpack.NewEncoder(buffer).Encode(reply); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(buffer.Len()))
	w.Write(buffer.Bytes())
}
