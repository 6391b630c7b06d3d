// Package counters counts what a mixer takes in, sends and answers, by reason.
package counters

import (
	"sync"

	"github.com/rs/zerolog"
)

// Set is a set of counters by name; every actor may add to it.
type Set struct {
	mu    sync.Mutex
	count map[string]int64
}

func New() *Set { return &Set{count: map[string]int64{}} }

// Add adds to the counter of a name and a reason.
func (s *Set) Add(name, reason string, by int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count[name+"."+reason] += by
}

// Get tells a counter.
func (s *Set) Get(name, reason string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[name+"."+reason]
}

// MarshalZerologObject puts all counters into one log line.
func (s *Set) MarshalZerologObject(e *zerolog.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fields := make(map[string]any, len(s.count))
	for name, n := range s.count {
		fields[name] = n
	}
	e.Fields(fields) // sorted by name
}
