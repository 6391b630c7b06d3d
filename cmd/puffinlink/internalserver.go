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

// Offsets of the agent's ports from the first internal port.
const (
	agentPeerPortOffset  = 1 // serves other agents
	agentLocalPortOffset = 2 // serves the proxy on the same machine, on the loopback interface
)

const (
	listenTimeout         = 5 * time.Second // the previous process may still use the address for so long
	listenRetryInterval   = 100 * time.Millisecond
	internalHeaderTimeout = 5 * time.Second
	internalIdleTimeout   = time.Minute // longer than the idle timeout of clients, so that clients close idle connections first
)

// errNoAddress means that the settings contain no address that the process needs.
var errNoAddress = errors.New("missing: the role has to serve it")

// listen opens a TCP listener. It retries for listenTimeout at most, as the previous process may still use the address.
func listen(ctx context.Context, address string) (net.Listener, error) {
	if address == "" {
		return nil, errNoAddress
	}
	deadline := time.Now().Add(listenTimeout)
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil || time.Now().After(deadline) {
			return listener, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(listenRetryInterval):
		}
	}
}

// serveInternal serves calls between processes until the returned server is closed.
func serveInternal(listener net.Listener, mux *transport.Mux, log *zap.Logger) *http.Server {
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: internalHeaderTimeout,
		IdleTimeout:       internalIdleTimeout,
		ErrorLog:          zap.NewStdLog(log),
	}
	go func() { _ = server.Serve(listener) }() // always returns an error: Close or Shutdown ends it
	return server
}
