package proxy

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// Route is what the proxy needs of a route of the configuration.
type Route struct {
	Queue   jobapi.Queue
	Timeout time.Duration
}

// Limits are what the configuration allows clients. A field that is 0 stands for the default.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // from a request's first byte until its headers are read
	IdleTimeout   time.Duration // between two requests on a connection
}

// Router is one version of the configuration, ready for use.
type Router interface {
	// Match finds the route of a request by its Host header and the longest prefix of its path; rest is the path behind
	// the prefix.
	Match(host, path string) (route Route, rest string, ok bool)
	// Services are the names of all services.
	Services() []string
	// Limits are the limits of this version.
	Limits() Limits
}

// BuildRouter reads a configuration as the operator sent it.
type BuildRouter func(raw []byte) (Router, error)

// Defaults of the limits, in force before the first configuration.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 256 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 30 * time.Second
)

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
