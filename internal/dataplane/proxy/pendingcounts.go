package proxy

import (
	"sync"
	"time"
)

const (
	pendingAttemptLimit = 300 * time.Millisecond // for a leader to answer with the number of pending jobs
	pendingMaxRoutes    = 4096                   // numbers that are remembered
	pendingAge          = 10 * time.Second       // up to which a number is answered without a leader: several elections
)

// pendingCounts remembers the last known number of pending jobs of routes for a while.
type pendingCounts struct {
	now    func() time.Time
	mutex  sync.Mutex
	counts map[string]pendingCount
}

// pendingCount is a number and when its leader was asked for it.
type pendingCount struct {
	count int
	asked time.Time
}

func newPendingCounts(now func() time.Time) *pendingCounts {
	return &pendingCounts{now: now, counts: make(map[string]pendingCount)}
}

// put remembers a number that was asked for at a time. When there are too many routes, some are forgotten.
func (p *pendingCounts) put(route string, count int, asked time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.counts) >= pendingMaxRoutes {
		clear(p.counts)
	}
	p.counts[route] = pendingCount{count, asked}
}

// get returns the number known last, unless it is too old.
func (p *pendingCounts) get(route string) (count int, found bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.counts[route]
	return known.count, found && p.now().Sub(known.asked) <= pendingAge
}
