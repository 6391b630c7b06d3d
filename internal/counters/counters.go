// Package counters counts what a mixer takes in, sends and answers, by reason, in a registry of Prometheus' client library.
// They are printed, and served by nobody.
package counters

import (
	"maps"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap/zapcore"
)

// Set is a set of counters by name and reason; every actor may add to it.
type Set struct {
	registry *prometheus.Registry
	gauges   *prometheus.GaugeVec // what is held goes down again
	mu       sync.RWMutex
	byLabels map[[2]string]prometheus.Gauge
}

// New makes a set with a registry of its own, in which nothing is counted yet.
func New() *Set {
	s := &Set{registry: prometheus.NewRegistry(), byLabels: map[[2]string]prometheus.Gauge{}, gauges: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "puffinlink",
		Help: "What the mixer counts, by name and reason."}, []string{"name", "reason"})}
	s.registry.MustRegister(s.gauges)
	return s
}

// Add adds to the counter of a name and a reason.
func (s *Set) Add(name, reason string, by int64) {
	key := [2]string{name, reason}
	s.mu.RLock()
	g := s.byLabels[key]
	s.mu.RUnlock()
	if g == nil {
		s.mu.Lock()
		g = s.gauges.WithLabelValues(name, reason) // the same one for all who ask
		s.byLabels[key] = g
		s.mu.Unlock()
	}
	g.Add(float64(by))
}

// Get tells a counter.
func (s *Set) Get(name, reason string) int64 { return s.gather()[name+"."+reason] }

func (s *Set) gather() map[string]int64 {
	counts := map[string]int64{}
	families, _ := s.registry.Gather() // of gauges alone it has no error
	for _, f := range families {
		for _, m := range f.Metric {
			counts[m.Label[0].GetValue()+"."+m.Label[1].GetValue()] = int64(m.Gauge.GetValue())
		}
	}
	return counts
}

// MarshalLogObject puts all counters into one log line, sorted by name; it has no error.
func (s *Set) MarshalLogObject(line zapcore.ObjectEncoder) error {
	counts := s.gather()
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		line.AddInt64(key, counts[key])
	}
	return nil
}
