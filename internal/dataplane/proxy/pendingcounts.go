package proxy

import (
	"sync"
	"time"
)

const (
	pendingTryLimit  = 300 * time.Millisecond // for a leader to tell the number of pending jobs
	pendingMaxRoutes = 4096                   // numbers that are remembered
)

// pendingCounts remembers the last known number of pending jobs of routes.
type pendingCounts struct {
	mutex  sync.Mutex
	counts map[string]int
}

func newPendingCounts() *pendingCounts { return &pendingCounts{counts: make(map[string]int)} }

// put remembers a number. When there are too many routes, some are forgotten.
func (p *pendingCounts) put(route string, count int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.counts) >= pendingMaxRoutes {
		clear(p.counts)
	}
	p.counts[route] = count
}

// get returns the number known last; 0 when there is none.
func (p *pendingCounts) get(route string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts[route]
}
