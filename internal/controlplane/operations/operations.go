// Package operations serves the operators' HTTP API, except for the configuration. The API reports the status of the nodes,
// workers and jobs, and why a job waits. It also drains workers and cancels jobs. Any coordinator serves all requests. State
// that only the leader of a service's jobs has is requested from that leader by an internal call.
//
// Requests are forwarded by internal calls rather than redirects for two reasons. Nodes know each other's internal addresses,
// but not the addresses at which they serve operators. In addition, an operator who can reach one machine, for example through
// a tunnel, may not be able to reach the others.
//
// If a request fails, the response says whether the request may have been executed. A request is rejected with status 404 or 409
// only after a majority has confirmed the configuration that this node knows.
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

// maxConcurrentRequests limits the requests in flight, because reports take processor time that scheduling jobs needs.
const maxConcurrentRequests = 8

// Sources provides the state of this node. All functions except ConfirmConfiguration must return quickly.
type Sources struct {
	View                 func() replicaset.View
	Members              func() []replication.Liveness
	Groups               func() []string                      // all known groups, with or without a leader
	Leaders              func() map[string]feed.Leader        // by group
	LeadersChanged       func() <-chan struct{}               // closed at the next change of Leaders
	Configuration        func() (version uint64, body []byte) // newest version that a majority is known to have
	InContact            func() bool                          // whether a majority has recently replied and confirmed the configuration
	ConfirmConfiguration func(ctx context.Context) error      // reads the configuration from a majority now
	Rebuilt              func() bool                          // whether the store is complete, so that this node may vote
	Agents               func() []string                      // internal addresses of the active agents
}

// Options configures a Handler.
type Options struct {
	Node    Identity
	Sources Sources
	Caller  transport.Caller // calls the leaders
	Next    http.Handler     // serves the configuration and all other paths
	Logger  *zap.Logger
}

// Handler is the HTTP handler of the operators' API. It implements http.Handler.
type Handler struct {
	options      Options
	startTime    time.Time
	mux          *http.ServeMux
	requestSlots chan struct{} // holds one element for each request in flight
}

// New creates a Handler.
func New(options Options) *Handler {
	h := &Handler{options: options, startTime: time.Now(), mux: http.NewServeMux(), requestSlots: make(chan struct{}, maxConcurrentRequests)}
	h.handleLimited("GET "+StatusPath, h.status)
	h.handleLimited("GET "+WorkersPath, h.workers)
	h.handleLimited("POST "+WorkersPath+"/{id}"+DrainSuffix, h.drain)
	h.handleLimited("DELETE "+WorkersPath+"/{id}"+DrainSuffix, h.undrain)
	h.handleLimited("GET "+JobsPath, h.jobs)
	h.handleLimited("GET "+JobsPath+"/{id}", h.job)
	h.handleLimited("GET "+JobsPath+"/{id}"+ExplainSuffix, h.explain)
	h.handleLimited("DELETE "+JobsPath+"/{id}", h.cancel)
	h.mux.Handle("/", options.Next)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == control.ConfigurationPath { // not subject to the limit on requests
		h.options.Next.ServeHTTP(w, r)
		return
	}
	h.mux.ServeHTTP(w, r)
}

// handleLimited registers a handler for a pattern. Requests beyond the limit of requests in flight are rejected.
func (h *Handler) handleLimited(pattern string, serve http.HandlerFunc) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		select {
		case h.requestSlots <- struct{}{}:
			defer func() { <-h.requestSlots }()
			serve(w, r)
		default:
			writeFailure(w, http.StatusServiceUnavailable, "too many requests of operators are under way; try again in a second")
		}
	})
}
