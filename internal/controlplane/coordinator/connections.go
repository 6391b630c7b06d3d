package coordinator

import (
	"net/http"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	idleWorkersDivisor   = 4                // up to a quarter as many workers as connections, each idle one keeps a connection for a call that waits
	dialBurst            = 256              // connections to workers that may be opened at once, beyond the rate
	platformConnections  = 2                // to the platform's list of workers
	requestHeaderTimeout = 10 * time.Second // until the headers of a request have arrived
	idleTimeout          = time.Minute      // longer than callers keep idle connections
)

// workerLimits is the workers' share of the limits of this process.
func workerLimits(limits *nodesettings.Limits) workerclient.Limits {
	connections := limits.ConnectionBudget().Workers
	return workerclient.Limits{
		Connections: connections, DialsPerS: limits.DialsPerSecond(), DialBurst: dialBurst,
		PollsPerS: limits.PollsPerSecond(), MaxLongPolls: connections / idleWorkersDivisor,
	}
}

// boundListeners limits the servers to their shares of the connections.
func boundListeners(listeners Listeners, budget nodesettings.ConnectionBudget, internal, operator *http.Server) Listeners {
	nodes := transport.NewBoundedListener(listeners.Internal, budget.Nodes)
	operators := transport.NewBoundedListener(listeners.Control, budget.Operators)
	internal.ConnState, operator.ConnState = nodes.ConnState, operators.ConnState
	return Listeners{Internal: nodes, Control: operators}
}

// newPlatformClient makes the client for the platform's list of workers. Its connections are not of the workers' share.
func newPlatformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: transport.NewDialer().DialContext, MaxConnsPerHost: platformConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}
