// Package operations serves the operators' API but for the configuration: status of the nodes, workers and jobs, why a job waits,
// drains and cancellations. Any coordinator serves it. What only the leader of a service's jobs knows is requested from that
// leader by an internal call.
//
// Requests are forwarded by an internal call rather than by a redirect, as nodes know each other's internal addresses but not
// the addresses at which each serves operators, and as an operator who reaches one machine, perhaps through a tunnel, need not
// reach the others.
package operations

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/transport"
)

// maxRequests bounds the requests in flight, as reports take processor time that the jobs need.
const maxRequests = 8

// Sources are where the state of this node comes from. All functions but Confirm must return quickly.
type Sources struct {
	View          func() replicaset.View
	Members       func() []replication.Liveness
	Groups        func() []string                      // all groups known, with or without a leader
	Leaders       func() map[string]feed.Leader        // by group
	Changed       func() <-chan struct{}               // closed at the next change of Leaders
	Configuration func() (version uint64, body []byte) // newest that a majority has
	InContact     func() bool                          // a majority has replied, and confirmed the configuration, lately
	Confirm       func(ctx context.Context) error      // has a majority confirm the configuration now
	Rebuilt       func() bool                          // the store is complete, so that this node may vote
	Agents        func() []string                      // internal addresses of the active agents
}

// Options are what a Handler needs.
type Options struct {
	Node    Identity
	Sources Sources
	Caller  transport.Caller // to the leaders
	Next    http.Handler     // serves the configuration and all other paths
	Logger  *zap.Logger
}

// Handler is the http.Handler of a control address.
type Handler struct {
	options  Options
	start    time.Time
	mux      *http.ServeMux
	requests chan struct{} // one token for each request in flight
}

// New makes a Handler.
func New(options Options) *Handler {
	h := &Handler{options: options, start: time.Now(), mux: http.NewServeMux(), requests: make(chan struct{}, maxRequests)}
	h.handle("GET "+StatusPath, h.status)
	h.handle("GET "+WorkersPath, h.workers)
	h.handle("POST "+WorkersPath+"/{id}"+DrainSuffix, h.drain)
	h.handle("DELETE "+WorkersPath+"/{id}"+DrainSuffix, h.undrain)
	h.handle("GET "+JobsPath, h.jobs)
	h.handle("GET "+JobsPath+"/{id}", h.job)
	h.handle("GET "+JobsPath+"/{id}"+WhySuffix, h.why)
	h.handle("DELETE "+JobsPath+"/{id}", h.cancel)
	h.mux.Handle("/", options.Next)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == control.ConfigurationPath { // without the bound on requests
		h.options.Next.ServeHTTP(w, r)
		return
	}
	h.mux.ServeHTTP(w, r)
}

// handle serves a pattern, within the bound on requests in flight.
func (h *Handler) handle(pattern string, serve http.HandlerFunc) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		select {
		case h.requests <- struct{}{}:
			defer func() { <-h.requests }()
			serve(w, r)
		default:
			writeFailure(w, http.StatusServiceUnavailable, "too many requests of operators are under way; try again in a second")
		}
	})
}
