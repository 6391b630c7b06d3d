package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"puffinlink.example/puffinlink/internal/metrics"
)

// RequestMetrics counts clients' requests by method and status.
type RequestMetrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

// NewRequestMetrics returns metrics with all counters at 0.
func NewRequestMetrics() *RequestMetrics {
	return &RequestMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "puffinlink_requests_total", Help: "Clients' requests answered, by method and status.",
		}, []string{"method", "status"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "puffinlink_request_seconds", Help: "Time from a request's header to its answer's, by method.",
			Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 3, 10},
		}, []string{"method"}),
	}
}

// observe counts one request. A nil RequestMetrics counts nothing.
func (m *RequestMetrics) observe(method string, status int, duration time.Duration) {
	if m == nil {
		return
	}
	method = methodLabel(method)
	m.requests.WithLabelValues(method, strconv.Itoa(status)).Inc()
	m.seconds.WithLabelValues(method).Observe(duration.Seconds())
}

// methodLabel returns the label value for a request's method. It limits the number of values, because clients choose the
// method.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

// Metrics returns the collectors of the proxy's metrics.
func (p *Proxy) Metrics() []prometheus.Collector {
	collectors := []prometheus.Collector{
		metrics.BoolGauge("puffinlink_ready", "Whether the proxy asks for new connections.", p.Ready),
		metrics.Gauge("puffinlink_connections", "Clients' open connections.", func() float64 { return float64(p.tracker.occupancy().open) }),
		metrics.Gauge("puffinlink_busy_connections", "Clients' connections with a request under way.", func() float64 { return float64(p.tracker.occupancy().busy) }),
	}
	if p.config.Requests != nil {
		collectors = append(collectors, p.config.Requests.requests, p.config.Requests.seconds)
	}
	return collectors
}
