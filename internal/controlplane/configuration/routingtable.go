package configuration

import (
	"slices"
	"strings"
)

// RoutingTable finds the route of a request. It is immutable and safe for concurrent use.
type RoutingTable struct {
	version  uint64
	hosts    map[string]hostRoutes
	services map[string]Service
	routes   []Route
	limits   Limits
}

// hostRoutes holds the routes of one host by prefix. Lookups try each distinct prefix length, longest first, so their
// cost does not grow with the number of routes.
type hostRoutes struct {
	byPrefix map[string]Route
	prefixLengths  []int
}

// NewRoutingTable builds the lookup table of a valid configuration.
func NewRoutingTable(c *Configuration) *RoutingTable {
	table := &RoutingTable{
		version:  c.Version,
		hosts:    make(map[string]hostRoutes),
		services: make(map[string]Service, len(c.Services)),
		routes:   slices.Clone(c.Routes),
		limits:   c.Limits,
	}
	for _, service := range c.Services {
		table.services[service.Name] = service
	}
	for _, route := range c.Routes {
		table.addRoute(route)
	}
	return table
}

func (t *RoutingTable) addRoute(route Route) {
	name := normalizeHost(route.Host)
	host, known := t.hosts[name]
	if !known {
		host.byPrefix = make(map[string]Route)
	}
	host.byPrefix[route.PathPrefix] = route
	length := len(route.PathPrefix)
	if !slices.Contains(host.prefixLengths, length) {
		host.prefixLengths = append(host.prefixLengths, length)
		slices.SortFunc(host.prefixLengths, func(a, b int) int { return b - a })
	}
	t.hosts[name] = host
}

// Version is the configuration's version.
func (t *RoutingTable) Version() uint64 { return t.version }

// Match finds the route of the host with the longest prefix of path, and the remainder of path after that prefix; ok is false
// where no route matches. The host is compared
// without its port and without regard to case.
func (t *RoutingTable) Match(host, path string) (route Route, remainder string, ok bool) {
	routes, known := t.hosts[normalizeHost(host)]
	if !known {
		return Route{}, "", false
	}
	for _, length := range routes.prefixLengths {
		if length > len(path) {
			continue
		}
		if route, ok = routes.byPrefix[path[:length]]; ok {
			return route, path[length:], true
		}
	}
	return Route{}, "", false
}

// Service finds a service by name.
func (t *RoutingTable) Service(name string) (Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Services lists the services' names, sorted.
func (t *RoutingTable) Services() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Routes lists the routes in the operator's order. The caller must not modify the list.
func (t *RoutingTable) Routes() []Route { return t.routes }

// Limits are the bounds on clients' requests.
func (t *RoutingTable) Limits() Limits { return t.limits }

// normalHost strips the port and lowers the case. A colon inside brackets belongs to an IPv6 address.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.Contains(host[colon:], "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
