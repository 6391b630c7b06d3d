package cluster

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"time"
)

var (
	errRefused = errors.New("connection refused")
	errReset   = errors.New("connection reset")
)

// MemoryClient returns a client that calls the workers without sockets, so that it can be used under synctest. Each request
// arrives after the given latency. Answers arrive without delay.
func (c *Cluster) MemoryClient(latency time.Duration) *http.Client {
	return &http.Client{Transport: &memoryTransport{c, latency}}
}

// memoryTransport passes requests directly to the workers' handlers.
type memoryTransport struct {
	cluster *Cluster
	latency time.Duration
}

// RoundTrip implements http.RoundTripper.
func (t *memoryTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	worker := t.cluster.workerAt(request.URL.Host)
	if worker == nil {
		return nil, errRefused
	}
	ctx := request.Context()
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	if err := sleep(ctx, t.latency); err != nil {
		return nil, err
	}
	return serveInMemory(worker, request)
}

// serveInMemory passes a request to a worker and waits for the answer until the request's context ends.
func serveInMemory(worker *Worker, request *http.Request) (*http.Response, error) {
	answered := make(chan *http.Response, 1)
	go func() {
		defer close(answered)
		defer recoverAbort()
		recorder := httptest.NewRecorder()
		worker.ServeHTTP(recorder, request)
		answered <- recorder.Result()
	}()
	select {
	case response, ok := <-answered:
		if !ok {
			return nil, errReset
		}
		return response, nil
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// recoverAbort recovers from http.ErrAbortHandler, as an HTTP server does.
func recoverAbort() {
	failure := recover()
	if err, isError := failure.(error); isError && errors.Is(err, http.ErrAbortHandler) {
		return
	}
	if failure != nil {
		panic(failure)
	}
}

// sleep waits for the pause, or until ctx ends. Then it returns the error of ctx.
func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// workerAt returns the worker with the address, or nil if there is none.
func (c *Cluster) workerAt(address string) *Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, worker := range c.workers {
		if worker.Address() == address {
			return worker
		}
	}
	return nil
}
