package proxy

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// Route is a route of the configuration, reduced to the parts that the proxy uses.
type Route struct {
	Queue   jobapi.Queue
	Timeout time.Duration
}

// Limits are the configured limits for clients. A field with the value 0 selects its default.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // maximum time from a request's first byte until its headers are read
	IdleTimeout   time.Duration // maximum time between two requests on a connection
}

// Router is a parsed version of the configuration.
type Router interface {
	// Match returns the route of a request by its Host header and the longest matching prefix of its path. Rest is the
	// part of the path after the prefix.
	Match(host, path string) (route Route, rest string, ok bool)
	// Limits returns the limits for clients.
	Limits() Limits
}

// target is what a request addresses: a queue, or a job of a queue.
type target struct {
	route Route
	id    job.ID // empty for a queue
}

// locateTarget finds what a host and a path address. It returns false if no queue has the path. That is also so if what follows the longest
// prefix is no job's ID: such a path may be that of a job whose queue was removed and lay beneath another one, or is hidden by another one.
func locateTarget(v *view, host, path string) (located target, found bool) {
	route, rest, found := v.router.Match(host, path)
	id := job.ID(rest)
	if !found || rest != "" && !id.Valid() {
		return target{}, false
	}
	return target{route, id}, true
}

// BuildRouter parses a configuration in the form in which the operator sent it.
type BuildRouter func(raw []byte) (Router, error)

// Defaults of the limits. They also apply before the first configuration is known.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 256 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

// withDefaults returns the limits with each unset field replaced by its default.
func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}
