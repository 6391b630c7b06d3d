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
	// longPollDivisor limits the number of workers up to which every worker has a long poll. They may be at most a quarter as many
	// as connections, because each long poll occupies a connection.
	longPollDivisor        = 4
	dialBurst              = 256              // number of connections to workers that may be opened at once, in excess of the rate
	maxPlatformConnections = 2                // maximum number of connections to the platform's list of workers
	requestHeaderTimeout   = 10 * time.Second // limit for receiving the headers of a request
	idleTimeout            = time.Minute      // limit for idle connections; longer than callers keep theirs
)

// workerLimits returns the share of this process's limits that is for calls to workers.
func workerLimits(limits *nodesettings.Limits) workerclient.Limits {
	connections := limits.ConnectionBudget().Workers
	return workerclient.Limits{
		Connections: connections, DialsPerSecond: limits.DialsPerSecond(), DialBurst: dialBurst,
		PollsPerSecond: limits.PollsPerSecond(), MaxLongPolls: connections / longPollDivisor,
	}
}

// limitListeners limits the servers to their shares of the connections. A part of the share for nodes is reserved for the other
// coordinators, so that heartbeats and votes are accepted regardless of the number of agents and proxies.
func (c *Coordinator) limitListeners(listeners Listeners, budget nodesettings.ConnectionBudget, internal, operator *http.Server) Listeners {
	nodes := transport.NewBoundedListener(listeners.Internal, budget.Nodes)
	nodes.Reserve(budget.CoordinatorPeers, c.isCoordinatorPeer)
	operators := transport.NewBoundedListener(listeners.Control, budget.Operators)
	internal.ConnState, operator.ConnState = nodes.ConnState, operators.ConnState
	return Listeners{Internal: nodes, Control: operators}
}

// isCoordinatorPeer reports whether a host is that of a member of the current view or of a seed. A seed may become a member.
func (c *Coordinator) isCoordinatorPeer(host string) bool {
	return hasHost(c.replicaSet.View().Members, host) || hasHost(c.settings.SeedInternalAddresses(), host)
}

// hasHost reports whether one of the addresses, of the form host:port, has the given host.
func hasHost(addresses []string, host string) bool {
	return slices.ContainsFunc(addresses, func(address string) bool {
		addressHost, _, err := net.SplitHostPort(address)
		return err == nil && addressHost == host
	})
}

// newPlatformClient creates the client for the platform's list of workers. Its connections do not count toward the workers'
// share.
func newPlatformClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: transport.NewDialer().DialContext, MaxConnsPerHost: maxPlatformConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}
