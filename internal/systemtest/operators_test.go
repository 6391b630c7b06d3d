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
	operatorTimeout      = time.Second      // for one answer
	operatorRetryTimeout = 40 * time.Second // from the first attempt to the last
	maxAttempts          = 3
)

// routePlan is a route of the configurations.
type routePlan struct{ prefix, service string }

var (
	renderRoute = routePlan{"/render/", guardedService}
	mailRoute   = routePlan{"/mail/", unguardedService}
)

// configurations makes one version after the other.
type configurations struct {
	system *system

	mu      sync.Mutex
	routes  []routePlan
	newest  int64 // version acknowledged
	builtOn int64 // what it was built on
}

// encodeConfiguration writes a configuration.
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
		panic(err) // the types above can all be written
	}
	return body
}

// operatorRequest makes one call of an operator to one machine and records it.
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

// putUntilClear sends a change to one machine after the other until an answer is clear. It returns the status, 0 without a clear one.
func (s *system) putUntilClear(ctx context.Context, first int, builtOn int64, body []byte) int {
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

func isDefinite(status int) bool {
	return status != 0 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// set brings the next version, with these routes, and reports whether it was acknowledged.
func (c *configurations) set(ctx context.Context, first int, routes ...routePlan) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := c.newest + 2
	if c.system.putUntilClear(ctx, first, c.newest, encodeConfiguration(version, routes)) != http.StatusOK {
		return false
	}
	c.builtOn, c.newest, c.routes = c.newest, version, routes
	return true
}

// race lets two operators change the newest version at once.
func (c *configurations) race(ctx context.Context, one, other []routePlan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var both sync.WaitGroup
	var statuses [2]int
	proposals := [][]routePlan{one, other}
	for i, routes := range proposals {
		both.Go(func() {
			statuses[i] = c.system.putUntilClear(ctx, i, c.newest, encodeConfiguration(c.newest+3+int64(i), routes))
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

// sendInvalid sends changes that must be refused.
func (c *configurations) sendInvalid(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.system.putUntilClear(ctx, 0, c.newest, encodeConfiguration(c.newest+1, []routePlan{{"/bad/", "nobody"}}))
	c.system.putUntilClear(ctx, 1, c.newest, encodeConfiguration(c.newest, c.routes[:1]))
	c.system.putUntilClear(ctx, 2, c.newest, []byte("{"))
}

// resend sends the newest change once more.
func (c *configurations) resend(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.system.putUntilClear(ctx, 2, c.builtOn, encodeConfiguration(c.newest, c.routes))
}

// readBack reads the configuration at every core machine until one answers.
func (s *system) readBack(ctx context.Context) {
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
