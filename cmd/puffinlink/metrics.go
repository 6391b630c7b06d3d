package main

import (
	"github.com/prometheus/client_golang/prometheus"

	"puffinlink.example/puffinlink/internal/metrics"
)

// serveMetrics serves a process's metrics until stop is called. It does nothing if metrics are off.
func serveMetrics(env *processEnvironment, collectors func() []prometheus.Collector) (stop func(), err error) {
	if env.metricsAddress == "" {
		return func() {}, nil
	}
	server, err := metrics.NewServer(env.metricsAddress, env.log, collectors()...)
	if err != nil {
		return nil, err
	}
	return server.Close, nil
}
