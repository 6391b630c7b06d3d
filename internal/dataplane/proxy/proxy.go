// Package proxy serves clients over HTTP on a front machine. Clients submit jobs, read their states and cancel them. The
// proxy forwards each request to the leader of the replication group of the route's service. It receives routes and
// leaders from the agent on the same machine.
//
// The proxy answers that a request was refused (429 or 503) only if no attempt to forward it can have been executed. A
// request that may have been executed is answered with 504.
package proxy

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/transport"
)

// Config contains the settings and dependencies of a Proxy.
type Config struct {
	AgentAddress   string // loopback address of the agent on this machine, host:port
	Caller         transport.Caller
	BuildRouter    BuildRouter
	GracePeriod    time.Duration // from the request to stop until the process is killed
	MaxConnections int           // maximum number of open client connections
	MaxBodyBytes   int64         // maximum size of all request bodies in memory at the same time
	Log            *zap.Logger
	Requests       *RequestMetrics // nil if requests are not counted
}

// Proxy serves clients and forwards their requests to leaders.
type Proxy struct {
	config         Config
	feed           *feedFollower
	handler        *handler
	tracker        *connectionTracker
	cancelRequests context.CancelFunc // cancels the requests in progress
	gracePeriod    atomic.Int64       // nanoseconds
	stopping       atomic.Bool
}

// New returns a proxy. Serve starts it.
func New(config Config) *Proxy {
	feed := newFeedFollower(config.AgentAddress, config.Caller, config.BuildRouter, config.Log)
	leaders := &leaderCaller{feed: feed, caller: config.Caller, log: config.Log, now: time.Now}
	jobs := &jobService{leaders: leaders, final: newFinalStates(time.Now), pending: newPendingCounts(time.Now)}
	requestsCtx, cancelRequests := context.WithCancel(context.Background())
	proxy := &Proxy{
		config:         config,
		feed:           feed,
		handler:        &handler{feed: feed, jobs: jobs, requestsCtx: requestsCtx, now: time.Now, requests: config.Requests},
		cancelRequests: cancelRequests,
		tracker:        newConnectionTracker(config.MaxConnections, time.Now),
	}
	proxy.handler.bodies.maximum = config.MaxBodyBytes
	proxy.SetGracePeriod(config.GracePeriod)
	return proxy
}

// SetGracePeriod changes the grace period. It has no effect on a drain that has begun.
func (p *Proxy) SetGracePeriod(period time.Duration) { p.gracePeriod.Store(int64(period)) }

// Ready reports whether the proxy should receive new connections.
func (p *Proxy) Ready() bool { return !p.stopping.Load() && p.feed.ready() }

// Handler returns the handler of clients' requests. Serve uses it. A caller that serves clients by other means must call Follow as well.
func (p *Proxy) Handler() http.Handler { return p.handler }

// Follow follows the agent's feed, and notices pauses of the process, until the context ends. Serve calls it.
func (p *Proxy) Follow(ctx context.Context) {
	go p.handler.pauses.run(ctx)
	p.feed.run(ctx)
}

// Serve serves clients on one listener and the platform's readiness checks on the other, until the context ends. Then it
// drains and returns within the grace period. It closes both listeners.
func (p *Proxy) Serve(ctx context.Context, clientListener, readinessListener net.Listener) {
	followCtx, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowing()
	server := newClientServer(clientListener, p.handler, p.tracker, p.config.Log)
	p.feed.onLimits = server.setLimits
	readinessServer := &http.Server{Handler: newReadinessHandler(p.Ready), ReadTimeout: defaultHeaderTimeout}
	defer readinessServer.Close()
	go p.Follow(followCtx)
	go func() { _ = readinessServer.Serve(readinessListener) }() // returns after Close
	go server.accept()
	p.config.Log.Info("proxy serves", zap.Stringer("clients", clientListener.Addr()), zap.Stringer("readiness", readinessListener.Addr()))

	<-ctx.Done()
	p.config.Log.Info("proxy drains", zap.Int("connections", p.tracker.occupancy().open))
	p.stopping.Store(true)
	p.handler.closeConnections.Store(true)
	drain(p.tracker, server.close, p.cancelRequests, time.Duration(p.gracePeriod.Load()), time.Now)
	p.config.Log.Info("proxy ends", zap.Int("connections", p.tracker.occupancy().open))
}
