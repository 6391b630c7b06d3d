// Package proxy serves the clients of a front machine: it takes jobs, their states and their cancellations over HTTP,
// and carries each request to the node that leads the jobs of the route's service. What it knows of routes and leaders
// comes from the agent on the same machine. A client is told that a request was refused only when no attempt of it
// can have been executed.
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

// Config is what a Proxy needs.
type Config struct {
	AgentAddress   string // the loopback address of the agent on this machine, host:port
	Caller         transport.Caller
	BuildRouter    BuildRouter
	GracePeriod    time.Duration // from the request to stop until the process is killed
	MaxConnections int           // of clients
	MaxBodyBytes   int64         // of all request bodies held at the same time
	Log            *zap.Logger
	Requests       *RequestMetrics // counts requests; nil to count none
}

// Proxy serves clients.
type Proxy struct {
	config      Config
	feed        *follower
	handler     *handler
	tracker     *connectionTracker
	giveUp      context.CancelFunc // ends the requests under way
	gracePeriod atomic.Int64       // nanoseconds
	stopping    atomic.Bool
}

// New makes a proxy; Serve starts it.
func New(config Config) *Proxy {
	feed := newFollower(config.AgentAddress, config.Caller, config.BuildRouter, config.Log)
	leaders := &leaderCaller{feed: feed, caller: config.Caller, log: config.Log, now: time.Now}
	jobs := &jobService{leaders: leaders, ended: newFinalStates(time.Now), pending: newPendingCounts(time.Now)}
	working, giveUp := context.WithCancel(context.Background())
	proxy := &Proxy{
		config:  config,
		feed:    feed,
		handler: &handler{feed: feed, jobs: jobs, working: working, now: time.Now, requests: config.Requests},
		giveUp:  giveUp,
		tracker: newConnectionTracker(config.MaxConnections, time.Now),
	}
	proxy.handler.bodies.maximum = config.MaxBodyBytes
	proxy.SetGracePeriod(config.GracePeriod)
	return proxy
}

// SetGracePeriod changes the grace period of the next stop.
func (p *Proxy) SetGracePeriod(period time.Duration) { p.gracePeriod.Store(int64(period)) }

// Ready tells whether the proxy asks for new connections.
func (p *Proxy) Ready() bool { return !p.stopping.Load() && p.feed.ready() }

// Serve serves clients on one listener and the platform's question for readiness on the other, until the context ends,
// which is the request to stop. Then it drains, and returns within the grace period. It closes the listeners.
func (p *Proxy) Serve(ctx context.Context, front, readiness net.Listener) {
	following, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowing()
	clients := newFrontServer(front, p.handler, p.tracker, p.config.Log)
	p.feed.onLimits = clients.setLimits
	platform := &http.Server{Handler: newReadiness(p.Ready), ReadTimeout: defaultHeaderTimeout}
	defer platform.Close()
	go p.feed.run(following)
	go func() { _ = platform.Serve(readiness) }() // until Close, at the end
	go clients.accept()
	p.config.Log.Info("proxy serves", zap.Stringer("clients", front.Addr()), zap.Stringer("readiness", readiness.Addr()))

	<-ctx.Done()
	p.config.Log.Info("proxy drains", zap.Int("connections", p.tracker.occupancy().open))
	p.stopping.Store(true)
	p.handler.lastCall.Store(true)
	drain(p.tracker, clients.close, p.giveUp, time.Duration(p.gracePeriod.Load()), time.Now)
	p.config.Log.Info("proxy ends", zap.Int("connections", p.tracker.occupancy().open))
}
