package configuration

import (
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
)

// RoutingTable finds the route of a request. It is immutable and safe for concurrent use.
type RoutingTable struct {
	version  uint64
	hosts    map[string]hostRoutes
	services map[string]Service
	routes   []Route
	limits   Limits
}

// hostRoutes holds the routes of one host by prefix. A lookup tries each distinct prefix length, longest first, so its cost does
// not grow with the number of routes.
type hostRoutes struct {
	byPrefix      map[string]Route
	prefixLengths []int
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
	name := queuekey.NormalizeHost(route.Host)
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

// Version returns the version of the configuration.
func (t *RoutingTable) Version() uint64 { return t.version }

// Match returns the host's route with the longest matching prefix of path, and the remainder of path after that prefix. It ignores
// the port and the case of the host. ok is false if no route matches.
func (t *RoutingTable) Match(host, path string) (route Route, remainder string, ok bool) {
	routes, known := t.hosts[queuekey.NormalizeHost(host)]
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

// Service returns the service with a name.
func (t *RoutingTable) Service(name string) (Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Services returns the sorted names of the services.
func (t *RoutingTable) Services() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Routes returns the routes in the operator's order. The caller must not modify the slice.
func (t *RoutingTable) Routes() []Route { return t.routes }

// Limits returns the limits for requests of clients.
func (t *RoutingTable) Limits() Limits { return t.limits }
