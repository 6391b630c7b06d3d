// Package counters counts what a mixer takes in, sends and answers, by reason.
package counters

import (
	"sync"

	"github.com/rs/zerolog"
)

// Set is a set of counters by name and reason; every actor may add to it.
type Set struct {
	mu    sync.Mutex
	count map[[2]string]int64
}

func New() *Set { return &Set{count: map[[2]string]int64{}} }

// Add adds to the counter of a name and a reason.
func (s *Set) Add(name, reason string, by int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count[[2]string{name, reason}] += by
}

// Get tells a counter.
func (s *Set) Get(name, reason string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[[2]string{name, reason}]
}

// MarshalZerologObject puts all counters into one log line.
func (s *Set) MarshalZerologObject(e *zerolog.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fields := make(map[string]any, len(s.count))
	for key, n := range s.count {
		fields[key[0]+"."+key[1]] = n
	}
	e.Fields(fields) // sorted by name
}
