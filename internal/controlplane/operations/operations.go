// Package operations serves operators beside the configuration: the status of the nodes, the workers and the jobs, why
// a job waits, drains and cancellations. Any coordinator answers; what only the leader of a service's jobs knows is
// asked there by an internal call.
//
// It forwards by an internal call rather than by a redirect: the leaders are known to each other by their internal
// addresses, not by the address at which each serves operators, and an operator who reaches one machine, perhaps through
// a tunnel, need not reach the others.
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

// maxRequests bounds the requests under way at once. Reports take processor time that the jobs need.
const maxRequests = 8

// Sources are where the answers come from. All functions must return quickly.
type Sources struct {
	View          func() replicaset.View
	Members       func() []replication.Liveness
	Groups        func() []string                      // all groups known, with or without a leader
	Leaders       func() map[string]feed.Leader        // by group
	Changed       func() <-chan struct{}               // closed at the next change of Leaders
	Configuration func() (version uint64, body []byte) // newest that a majority holds
	InContact     func() bool                          // a majority has answered, and confirmed the configuration, of late
	Confirm       func(ctx context.Context) error      // has a majority confirm the configuration now
	Rebuilt       func() bool                          // the disk is complete
	Agents        func() []string                      // internal addresses of the agents heard lately
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
	requests chan struct{} // one token for each request under way
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
	if r.URL.Path == control.Path { // as it would be without this package
		h.options.Next.ServeHTTP(w, r)
		return
	}
	h.mux.ServeHTTP(w, r)
}

// handle serves a pattern with a bound on the requests under way.
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
