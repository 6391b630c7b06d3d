package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/transport"
)

// Offsets from the first internal port.
const (
	agentPeerOffset  = 1 // the agent's address for other agents
	agentLocalOffset = 2 // the agent's loopback address for the proxy on the same machine
)

const (
	listenTimeout         = 5 * time.Second // for an address that the process before may still hold
	listenRetryInterval   = 100 * time.Millisecond
	internalHeaderTimeout = 5 * time.Second
	internalIdleTimeout   = time.Minute // longer than callers keep a connection, so that they are the ones to close it
)

var errNoAddress = errors.New("missing: the role has to serve it")

// listen opens a listener. It tries again for a while when the address is still in use.
func listen(ctx context.Context, address string) (net.Listener, error) {
	if address == "" {
		return nil, errNoAddress
	}
	latest := time.Now().Add(listenTimeout)
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil || time.Now().After(latest) {
			return listener, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(listenRetryInterval):
		}
	}
}

// serveInternal serves internal calls until the returned server is closed.
func serveInternal(listener net.Listener, mux *transport.Mux, log *zap.Logger) *http.Server {
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: internalHeaderTimeout,
		IdleTimeout:       internalIdleTimeout,
		ErrorLog:          zap.NewStdLog(log),
	}
	go func() { _ = server.Serve(listener) }() // it ends with the server's Close or Shutdown, which its caller calls
	return server
}
