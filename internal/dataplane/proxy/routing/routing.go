// Package routing adapts the operator's configuration to the proxy: it finds the queue of a request by a configuration's routing table.
package routing

import (
	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/dataplane/proxy"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// router adapts a routing table to proxy.Router.
type router struct{ table *configuration.RoutingTable }

// Build parses a configuration, in the form in which the operator sent it, and returns its router. It is a proxy.BuildRouter. Its error is
// that of configuration.Parse.
func Build(raw []byte) (proxy.Router, error) {
	parsed, err := configuration.Parse(raw)
	if err != nil {
		return nil, err
	}
	return router{configuration.NewRoutingTable(parsed)}, nil
}

// Match implements proxy.Router.
func (r router) Match(host, path string) (route proxy.Route, rest string, ok bool) {
	found, rest, ok := r.table.Match(host, path)
	if !ok {
		return proxy.Route{}, "", false
	}
	service, _ := r.table.Service(found.Service) // always found: Parse rejects routes to unknown services
	queue := jobapi.Queue{
		Route:            found.Name,
		Service:          found.Service,
		Priority:         found.Priority,
		MaxAttempts:      found.MaxAttempts,
		Extension:        found.Extension,
		TargetLatencyMS:  found.TargetLatency().Milliseconds(),
		EnforcesCapacity: service.EnforcesCapacity,
		Key:              found.QueueKey(),
	}
	return proxy.Route{Queue: queue, Timeout: found.Timeout()}, rest, true
}

// Limits implements proxy.Router.
func (r router) Limits() proxy.Limits {
	limits := r.table.Limits()
	return proxy.Limits{
		HeaderBytes:   limits.MaxHeaderBytes,
		BodyBytes:     int64(limits.MaxBodyBytes),
		HeaderTimeout: limits.HeaderTimeout(),
		IdleTimeout:   limits.IdleTimeout(),
	}
}
