package coordinator

import (
	"net/http"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	idleWorkersDivisor   = 4                // of the workers' connections: up to so many workers, each is held by a call that waits
	dialBurst            = 256              // connections to workers that are not paced
	platformConnections  = 2                // to the platform's list
	requestHeaderTimeout = 10 * time.Second // until a connection without a request is closed
	idleTimeout          = time.Minute      // longer than callers keep theirs
)

// workerLimits is the workers' part of the limits of this process.
func workerLimits(limits *nodesettings.Limits) workerclient.Limits {
	connections := limits.ConnectionBudget().Workers
	return workerclient.Limits{
		Connections: connections, DialsPerS: limits.DialsPerSecond(), DialBurst: dialBurst,
		PollsPerS: limits.PollsPerSecond(), MaxLongPolls: connections / idleWorkersDivisor,
	}
}

// boundListeners keeps the servers within their parts of the connections.
func boundListeners(listeners Listeners, budget nodesettings.ConnectionBudget, internal, operator *http.Server) Listeners {
	nodes := transport.NewBoundedListener(listeners.Internal, budget.Nodes)
	operators := transport.NewBoundedListener(listeners.Control, budget.Operators)
	internal.ConnState, operator.ConnState = nodes.ConnState, operators.ConnState
	return Listeners{Internal: nodes, Control: operators}
}

// newPlatformClient makes the client for the platform's list, whose connections are not those of the workers.
func newPlatformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: transport.NewDialer().DialContext, MaxConnsPerHost: platformConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}
