package coordinator

import (
	"net"
	"net/http"
	"slices"
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
		Connections: connections, DialsPerSecond: limits.DialsPerSecond(), DialBurst: dialBurst,
		PollsPerSecond: limits.PollsPerSecond(), MaxLongPolls: connections / idleWorkersDivisor,
	}
}

// boundListeners limits the servers to their shares of the connections. Of the nodes' share a part is reserved for the other core
// nodes, so that agents and proxies, however many, never keep heartbeats and votes out.
func (c *Coordinator) boundListeners(listeners Listeners, budget nodesettings.ConnectionBudget, internal, operator *http.Server) Listeners {
	nodes := transport.NewBoundedListener(listeners.Internal, budget.Nodes)
	nodes.Reserve(budget.CorePeers, c.isCorePeer)
	operators := transport.NewBoundedListener(listeners.Control, budget.Operators)
	internal.ConnState, operator.ConnState = nodes.ConnState, operators.ConnState
	return Listeners{Internal: nodes, Control: operators}
}

// isCorePeer tells whether a host is that of a member of the current view, or of a seed, which may become one.
func (c *Coordinator) isCorePeer(host string) bool {
	return hasHost(c.replicas.View().Members, host) || hasHost(c.settings.SeedInternalAddresses(), host)
}

// hasHost tells whether one of some addresses, host:port, is on a host.
func hasHost(addresses []string, host string) bool {
	return slices.ContainsFunc(addresses, func(address string) bool {
		known, _, err := net.SplitHostPort(address)
		return err == nil && known == host
	})
}

// newPlatformClient makes the client for the platform's list of workers. Its connections are not of the workers' share.
func newPlatformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: transport.NewDialer().DialContext, MaxConnsPerHost: platformConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}
