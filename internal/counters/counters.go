// Package counters counts the events of an aggregator by name and reason, such as accepted connections, sent calls and answers. The
// counters are kept in a registry of the Prometheus client library.
//
// An aggregator does not serve its counters as metrics. It writes them to its log as one object. Processes of the control plane and
// workers serve their metrics over HTTP with package metrics.
package counters

import (
	"maps"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap/zapcore"
)

// Set is a set of counters by name and reason. It is safe for concurrent use.
type Set struct {
	registry *prometheus.Registry
	gauges   *prometheus.GaugeVec // gauges, as some values also decrease, such as the number of queries in progress
	mutex    sync.RWMutex
	byLabels map[[2]string]prometheus.Gauge // by name and reason; avoids looking up labels in gauges
}

// New creates an empty set with its own registry.
func New() *Set {
	s := &Set{registry: prometheus.NewRegistry(), byLabels: map[[2]string]prometheus.Gauge{}, gauges: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "puffinlink",
		Help: "What the aggregator counts, by name and reason."}, []string{"name", "reason"})}
	s.registry.MustRegister(s.gauges)
	return s
}

// Add adds delta to the counter of a name and a reason. It creates the counter if there is none.
func (s *Set) Add(name, reason string, delta int64) {
	key := [2]string{name, reason}
	s.mutex.RLock()
	gauge := s.byLabels[key]
	s.mutex.RUnlock()
	if gauge == nil {
		s.mutex.Lock()
		gauge = s.gauges.WithLabelValues(name, reason) // returns the same gauge to concurrent callers
		s.byLabels[key] = gauge
		s.mutex.Unlock()
	}
	gauge.Add(float64(delta))
}

// Get returns the value of a counter, or 0 if there is none.
func (s *Set) Get(name, reason string) int64 { return s.gather()[name+"."+reason] }

// gather returns the values of all counters by NAME.REASON.
func (s *Set) gather() map[string]int64 {
	counts := map[string]int64{}
	families, _ := s.registry.Gather() // never fails if all collectors are gauges
	for _, f := range families {
		for _, m := range f.Metric {
			counts[m.Label[0].GetValue()+"."+m.Label[1].GetValue()] = int64(m.Gauge.GetValue())
		}
	}
	return counts
}

// MarshalLogObject implements zapcore.ObjectMarshaler. It adds all counters as fields NAME.REASON, sorted by name. Its error is always
// nil.
func (s *Set) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	counts := s.gather()
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		encoder.AddInt64(key, counts[key])
	}
	return nil
}
