// Package metrics serves the metrics of a process to Prometheus over HTTP, at a separate address. Operators' dashboards rely on
// the names, labels and values of the metrics. The aggregator does not use this package: it logs its counters instead (see
// package counters).
package metrics

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
)

// Path is the HTTP path of the metrics.
const Path = "/metrics"

// Limits of the HTTP server.
const (
	headerTimeout        = 5 * time.Second
	writeTimeout         = 10 * time.Second
	idleTimeout          = time.Minute
	maxConcurrentScrapes = 2
)

// Server serves the metrics of one registry.
type Server struct {
	registry *prometheus.Registry
	listener net.Listener
	http     *http.Server
}

// NewServer listens at an address and serves the additional collectors and those of the Go runtime and of the process.
func NewServer(address string, log *zap.Logger, additional ...prometheus.Collector) (*Server, error) {
	registry := prometheus.NewRegistry()
	all := append([]prometheus.Collector{
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	}, additional...)
	for _, collector := range all {
		if err := registry.Register(collector); err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w; choose another address by --metrics", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+Path, promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes}))
	server := &Server{registry: registry, listener: listener, http: &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, ErrorLog: zap.NewStdLog(log),
	}}
	go func() { _ = server.http.Serve(listener) }() // returns when the server is closed
	log.Info("metrics are served", zap.Stringer("address", listener.Addr()))
	return server, nil
}

// Address returns the address at which the server listens, host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server.
func (s *Server) Close() { s.http.Close() }

// Gauge returns a metric whose value is computed at each scrape.
func Gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
}

// BoolGauge returns a Gauge that is 1 for true and 0 for false.
func BoolGauge(name, help string, value func() bool) prometheus.Collector {
	return Gauge(name, help, func() float64 { return BoolValue(value()) })
}

// BoolValue returns 1 for true and 0 for false.
func BoolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
