package configuration

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
)

// MaxBodyBytes is the maximum length of a configuration's body.
const MaxBodyBytes = 4 << 20

// Configuration is a complete configuration as the operator sends it. Unknown fields are ignored.
type Configuration struct {
	Version  uint64    `json:"version" validate:"gt=0"`
	Routes   []Route   `json:"routes" validate:"required,dive"`
	Services []Service `json:"services" validate:"required,dive"`
	Limits   Limits    `json:"limits"`
}

// Route defines a queue of jobs: which requests it matches and how its jobs are scheduled.
type Route struct {
	Name            string  `json:"name" validate:"required"`
	Host            string  `json:"host" validate:"required"`
	PathPrefix      string  `json:"pathPrefix" validate:"startswith=/"`
	Kind            string  `json:"kind"` // whether requests are idempotent, such as "non_idempotent"
	TimeoutMS       float64 `json:"timeoutMs" validate:"gt=0,lte=86400000"`
	TargetLatencyMS float64 `json:"targetLatencyMs" validate:"gte=0,lte=86400000"`
	Priority        int     `json:"priority" validate:"gte=0"` // 0 is the highest priority
	Service         string  `json:"service" validate:"required"`
	MaxAttempts     int     `json:"maxAttempts" validate:"gte=0"` // of one task; 0 if omitted
	Extension       float64 `json:"extension" validate:"gte=0"`   // allowed multiple of the work; 0 if omitted
}

// Timeout returns the maximum duration of one request of the route.
func (r Route) Timeout() time.Duration { return fromMilliseconds(r.TimeoutMS) }

// TargetLatency returns the latency target of the route's requests.
func (r Route) TargetLatency() time.Duration { return fromMilliseconds(r.TargetLatencyMS) }

// QueueKey returns the key of the route's queue.
func (r Route) QueueKey() queuekey.Key { return queuekey.Of(r.Host, r.PathPrefix) }

// Service is a kind of worker that runs the tasks of routes.
type Service struct {
	Name              string `json:"name" validate:"required"`
	HealthCheckPath   string `json:"healthCheckPath" validate:"omitempty,startswith=/"`
	MaxConnections    int    `json:"maxConnections" validate:"gte=0"` // to one worker; 0 if omitted
	Protocol          string `json:"protocol"`                        // such as "h1"
	TransportSecurity bool   `json:"transportSecurity"`
	EnforcesCapacity  bool   `json:"guards"` // whether its workers reject tasks that do not fit
}

// Limits limits the requests of clients. A value of 0 means that the operator set no limit.
type Limits struct {
	MaxHeaderBytes  int     `json:"maxHeaderBytes" validate:"gte=0"`
	MaxBodyBytes    int     `json:"maxBodyBytes" validate:"gte=0"`
	HeaderTimeoutMS float64 `json:"headerTimeoutMs" validate:"gte=0,lte=86400000"`
	IdleTimeoutMS   float64 `json:"idleTimeoutMs" validate:"gte=0,lte=86400000"`
}

// HeaderTimeout returns how long a client may take to send the header of a request.
func (l Limits) HeaderTimeout() time.Duration { return fromMilliseconds(l.HeaderTimeoutMS) }

// IdleTimeout returns how long a connection may stay open without a request.
func (l Limits) IdleTimeout() time.Duration { return fromMilliseconds(l.IdleTimeoutMS) }

func fromMilliseconds(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}
