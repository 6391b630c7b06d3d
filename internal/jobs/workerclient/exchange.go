package workerclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const writeBufferBytes = 8 << 10 // holds a command with its specification

var writerPool sync.Pool // of *bufio.Writer

// inlineTransport is an http.RoundTripper that runs each call on the goroutine of its caller. Unlike http.Transport it needs no
// goroutines per connection, as there are thousands of mostly idle connections. It retries nothing.
type inlineTransport struct {
	connections *Connections
	dial        dialFunction
}

// RoundTrip implements http.RoundTripper.
func (e *inlineTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	c, err := e.connections.connect(ctx, e.dial, request.URL.Host)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: c.Conn, Reused: c.used})
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	response, err := c.roundTrip(request)
	if err != nil {
		stop()
		c.discard()
		return nil, errors.Join(ctx.Err(), err)
	}
	response.Body = &pooledBody{ReadCloser: response.Body, connection: c, stop: stop, reusable: !response.Close}
	return response, nil
}

// CloseIdleConnections closes all idle connections. http.Client.CloseIdleConnections calls it.
func (e *inlineTransport) CloseIdleConnections() { e.connections.closeAllIdle() }

// roundTrip sends a request and reads the status line and headers of its response.
func (c *connection) roundTrip(request *http.Request) (*http.Response, error) {
	writer, pooled := writerPool.Get().(*bufio.Writer)
	if !pooled {
		writer = bufio.NewWriterSize(nil, writeBufferBytes)
	}
	defer writerPool.Put(writer)
	writer.Reset(c.Conn)
	defer writer.Reset(nil)
	if err := request.Write(writer); err != nil {
		return nil, err
	}
	if err := writer.Flush(); err != nil {
		return nil, err
	}
	concurrency := c.pool.budget.concurrency
	concurrency.release()
	_, err := c.reader.Peek(1) // waits for the response
	concurrency.acquire()
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, request)
}

// pooledBody is the body of a response. It returns the connection to its pool after the body was read completely, and discards the
// connection otherwise.
type pooledBody struct {
	io.ReadCloser
	connection *connection
	stop       func() bool // detaches the connection from the context of the call; returns false if the context has ended
	reusable   bool
	finished   bool
}

// Read implements io.Reader.
func (b *pooledBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer.
func (b *pooledBody) Close() error {
	b.finish(false)
	return nil
}

func (b *pooledBody) finish(complete bool) {
	if b.finished {
		return
	}
	b.finished = true
	if b.stop() && complete && b.reusable && b.connection.reader.Buffered() == 0 {
		b.connection.returnToPool()
		return
	}
	b.connection.discard()
}
