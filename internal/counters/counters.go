// Package counters counts what an aggregator accepts, sends and answers, by name and reason, in a registry of Prometheus'
// client library. An aggregator serves no metrics: it writes its counters into its log, as one object. Processes of the
// control plane and workers serve theirs over HTTP; see package metrics.
package counters

import (
	"maps"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap/zapcore"
)

// Set is a set of counters by name and reason. Any goroutine may use it.
type Set struct {
	registry *prometheus.Registry
	gauges   *prometheus.GaugeVec // which may go down: some count what is in use
	mutex    sync.RWMutex
	byLabels map[[2]string]prometheus.Gauge // by name and reason; spares the look-up of labels in gauges
}

// New makes a set with a registry of its own, in which nothing is counted yet.
func New() *Set {
	s := &Set{registry: prometheus.NewRegistry(), byLabels: map[[2]string]prometheus.Gauge{}, gauges: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "puffinlink",
		Help: "What the aggregator counts, by name and reason."}, []string{"name", "reason"})}
	s.registry.MustRegister(s.gauges)
	return s
}

// Add adds to the counter of a name and a reason, and makes it where there is none.
func (s *Set) Add(name, reason string, by int64) {
	key := [2]string{name, reason}
	s.mutex.RLock()
	gauge := s.byLabels[key]
	s.mutex.RUnlock()
	if gauge == nil {
		s.mutex.Lock()
		gauge = s.gauges.WithLabelValues(name, reason) // the same one for all callers
		s.byLabels[key] = gauge
		s.mutex.Unlock()
	}
	gauge.Add(float64(by))
}

// Get is a counter's value, 0 where there is none.
func (s *Set) Get(name, reason string) int64 { return s.gather()[name+"."+reason] }

// gather returns all counters by name.reason.
func (s *Set) gather() map[string]int64 {
	counts := map[string]int64{}
	families, _ := s.registry.Gather() // has no error with gauges alone
	for _, f := range families {
		for _, m := range f.Metric {
			counts[m.Label[0].GetValue()+"."+m.Label[1].GetValue()] = int64(m.Gauge.GetValue())
		}
	}
	return counts
}

// MarshalLogObject writes all counters as fields NAME.REASON, sorted; its error is nil.
func (s *Set) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	counts := s.gather()
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		encoder.AddInt64(key, counts[key])
	}
	return nil
}
