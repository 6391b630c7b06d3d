package systemtest

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/systemtest/checker"
)

const (
	routeHost            = "jobs.example"
	operatorTimeout      = time.Second      // for one request
	operatorRetryTimeout = 40 * time.Second // for one request with all its retries
	maxAttempts          = 3
)

// routePlan is a route in a configuration.
type routePlan struct{ prefix, service string }

var (
	renderRoute = routePlan{"/render/", guardedService}
	mailRoute   = routePlan{"/mail/", unguardedService}
)

// configurations sets the versions of the system's configuration, and tracks the newest one that was acknowledged.
type configurations struct {
	system *system

	mu      sync.Mutex
	routes  []routePlan
	newest  int64 // the newest acknowledged version
	builtOn int64 // the version that it replaced
}

// encodeConfiguration returns a configuration with the given routes as JSON.
func encodeConfiguration(version int64, routes []routePlan) []byte {
	type service struct {
		Name            string `json:"name"`
		HealthCheckPath string `json:"healthCheckPath"`
		MaxConnections  int    `json:"maxConnections"`
		Protocol        string `json:"protocol"`
		Guards          bool   `json:"guards"`
	}
	type route struct {
		Name            string  `json:"name"`
		Host            string  `json:"host"`
		PathPrefix      string  `json:"pathPrefix"`
		Kind            string  `json:"kind"`
		TimeoutMS       int     `json:"timeoutMs"`
		TargetLatencyMS int     `json:"targetLatencyMs"`
		Priority        int     `json:"priority"`
		Service         string  `json:"service"`
		MaxAttempts     int     `json:"maxAttempts"`
		Extension       float64 `json:"extension"`
	}
	type limits struct {
		MaxHeaderBytes  int `json:"maxHeaderBytes"`
		MaxBodyBytes    int `json:"maxBodyBytes"`
		HeaderTimeoutMS int `json:"headerTimeoutMs"`
		IdleTimeoutMS   int `json:"idleTimeoutMs"`
	}
	var content struct {
		Version  int64     `json:"version"`
		Routes   []route   `json:"routes"`
		Services []service `json:"services"`
		Limits   limits    `json:"limits"`
	}
	content.Version = version
	for _, name := range []string{guardedService, unguardedService} {
		content.Services = append(content.Services, service{name, "/health", 64, "h1", name == guardedService})
	}
	for i, plan := range routes {
		content.Routes = append(content.Routes, route{
			"r-" + strconv.Itoa(i), routeHost, plan.prefix, "non_idempotent", 3000, 1000, 1, plan.service, maxAttempts, 2,
		})
	}
	content.Limits = limits{16384, 262144, 3000, 15000}
	body, err := json.Marshal(content)
	if err != nil {
		panic(err) // cannot happen: every type above can be encoded
	}
	return body
}

// operatorRequest sends one request of an operator to a core machine and records it for the checker.
func (s *system) operatorRequest(ctx context.Context, core *machine, method string, builtOn int64, body []byte) checker.OperatorRequest {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	record := checker.OperatorRequest{Machine: core.name, Method: method, BuiltOn: builtOn, Body: body, SentAt: time.Now()}
	record.Status, record.Answer = s.sendOperatorRequest(ctx, core, method, builtOn, body)
	record.AnsweredAt = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.operatorRequests = append(s.operatorRequests, record)
	return record
}

func (s *system) sendOperatorRequest(ctx context.Context, core *machine, method string, builtOn int64, body []byte) (int, []byte) {
	header := http.Header{}
	if method == http.MethodPut {
		header.Set("If-Match", strconv.FormatInt(builtOn, 10))
	}
	return s.sendWith(ctx, header, method, "http://"+core.address(controlOffset)+controlPath, body)
}

// putUntilDefinite sends a change to the core machines in turn until an answer is definite. It returns the status, which is 0
// without a definite answer.
func (s *system) putUntilDefinite(ctx context.Context, first int, builtOn int64, body []byte) int {
	ctx, cancel := context.WithTimeout(ctx, operatorRetryTimeout)
	defer cancel()
	wait := retryInterval
	for attempt := first; ; attempt++ {
		answer := s.operatorRequest(ctx, s.core[attempt%len(s.core)], http.MethodPut, builtOn, body)
		if isDefinite(answer.Status) {
			return answer.Status
		}
		if sleep(ctx, wait) != nil {
			return 0
		}
		wait = min(2*wait, time.Second)
	}
}

// isDefinite reports whether a status tells that a request was either carried out or refused, so that it needs no retry.
func isDefinite(status int) bool {
	return status != 0 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// set replaces the newest version by one with the given routes, and reports whether the change was acknowledged. Attempts
// begin at the core machine with the index first.
func (c *configurations) set(ctx context.Context, first int, routes ...routePlan) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := c.newest + 2
	if c.system.putUntilDefinite(ctx, first, c.newest, encodeConfiguration(version, routes)) != http.StatusOK {
		return false
	}
	c.builtOn, c.newest, c.routes = c.newest, version, routes
	return true
}

// race lets two operators replace the newest version concurrently.
func (c *configurations) race(ctx context.Context, firstRoutes, secondRoutes []routePlan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var both sync.WaitGroup
	var statuses [2]int
	proposals := [][]routePlan{firstRoutes, secondRoutes}
	for i, routes := range proposals {
		both.Go(func() {
			statuses[i] = c.system.putUntilDefinite(ctx, i, c.newest, encodeConfiguration(c.newest+3+int64(i), routes))
		})
	}
	both.Wait()
	for i, routes := range proposals {
		if statuses[i] == http.StatusOK {
			c.builtOn, c.newest, c.routes = c.newest, c.newest+3+int64(i), routes
			return
		}
	}
}

// sendInvalid sends changes that must be refused: a route to an unknown service, a version that is not new, and malformed
// JSON.
func (c *configurations) sendInvalid(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.system.putUntilDefinite(ctx, 0, c.newest, encodeConfiguration(c.newest+1, []routePlan{{"/bad/", "nobody"}}))
	c.system.putUntilDefinite(ctx, 1, c.newest, encodeConfiguration(c.newest, c.routes[:1]))
	c.system.putUntilDefinite(ctx, 2, c.newest, []byte("{"))
}

// resend sends the newest acknowledged change again.
func (c *configurations) resend(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.system.putUntilDefinite(ctx, 2, c.builtOn, encodeConfiguration(c.newest, c.routes))
}

// awaitConfigurationRead reads the configuration from the core machines in turn until one answers. The checker examines the
// answer.
func (s *system) awaitConfigurationRead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, operatorRetryTimeout)
	defer cancel()
	for {
		for _, core := range s.core {
			if s.operatorRequest(ctx, core, http.MethodGet, 0, nil).Status == http.StatusOK {
				return
			}
		}
		if sleep(ctx, retryInterval) != nil {
			return
		}
	}
}
