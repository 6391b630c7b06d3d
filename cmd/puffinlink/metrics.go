package main

import (
	"github.com/prometheus/client_golang/prometheus"

	"puffinlink.example/puffinlink/internal/metrics"
)

// serveMetrics serves a process's metrics until the returned function is called; it does nothing where they are off.
func serveMetrics(node *systemNode, collectors func() []prometheus.Collector) (stop func(), err error) {
	if node.metrics == "" {
		return func() {}, nil
	}
	server, err := metrics.NewServer(node.metrics, node.log, collectors()...)
	if err != nil {
		return nil, err
	}
	return server.Close, nil
}
