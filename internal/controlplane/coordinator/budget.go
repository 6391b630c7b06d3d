package coordinator

import (
	"net/http"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/worker"
	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	searchersHeldPart   = 4                // of the searchers' connections: up to so many searchers, each is held by a call that waits
	dialsAtOnce         = 256              // connections to searchers that are not paced
	platformConnections = 2                // to the platform's list
	unusedTimeout       = 10 * time.Second // until a connection without a request is closed
	idleTimeout         = time.Minute      // longer than callers keep theirs
)

// searcherLimits is the searchers' part of the limits of this process.
func searcherLimits(limits *nodesettings.Limits) worker.Limits {
	connections := limits.ConnectionBudget().Searchers
	return worker.Limits{
		Connections: connections, DialsPerS: limits.DialsPerS(), DialsAtOnce: dialsAtOnce,
		LooksPerS: limits.LooksPerS(), SearchersHeld: connections / searchersHeldPart,
	}
}

// boundListeners keeps the servers within their parts of the connections.
func boundListeners(listeners Listeners, budget nodesettings.ConnectionBudget, internal, operator *http.Server) Listeners {
	mixers := transport.NewInbound(listeners.Internal, budget.Mixers)
	operators := transport.NewInbound(listeners.Control, budget.Operators)
	internal.ConnState, operator.ConnState = mixers.ConnState, operators.ConnState
	return Listeners{Internal: mixers, Control: operators}
}

// newPlatformClient makes the client for the platform's list, whose connections are not those of the searchers.
func newPlatformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: transport.Dialer().DialContext, MaxConnsPerHost: platformConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}
