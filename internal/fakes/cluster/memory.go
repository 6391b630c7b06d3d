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

// MemoryClient makes a client that reaches the workers without sockets, so that it can be used under synctest. Each call
// takes the given time to get there; its answer is back at once.
func (c *Cluster) MemoryClient(way time.Duration) *http.Client {
	return &http.Client{Transport: &memoryTransport{c, way}}
}

// memoryTransport hands calls to the workers themselves.
type memoryTransport struct {
	cluster *Cluster
	way     time.Duration
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
	if err := sleep(ctx, t.way); err != nil {
		return nil, err
	}
	return answerOf(worker, request)
}

// answerOf waits for a worker's answer, or until the caller gives up.
func answerOf(worker *Worker, request *http.Request) (*http.Response, error) {
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

// recoverAbort lets a handler give its connection up, as a server does.
func recoverAbort() {
	failure := recover()
	if err, isError := failure.(error); isError && errors.Is(err, http.ErrAbortHandler) {
		return
	}
	if failure != nil {
		panic(failure)
	}
}

// sleep waits for a while, or until the caller gives up.
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

// workerAt finds the worker with an address; nil if there is none.
func (c *Cluster) workerAt(address string) *Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.workers {
		if s.Address() == address {
			return s
		}
	}
	return nil
}
