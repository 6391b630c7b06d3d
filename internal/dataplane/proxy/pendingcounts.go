package proxy

import (
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
)

const (
	pendingAttemptTimeout = 300 * time.Millisecond // timeout of a call for the number of pending jobs
	maxPendingQueues      = 4096                   // number of queues whose counts are cached
	maxPendingCountAge    = 10 * time.Second       // a cached count is used up to this age; it covers several elections
)

// pendingCounts caches the latest known number of pending jobs of each queue.
type pendingCounts struct {
	now    func() time.Time
	mutex  sync.Mutex
	counts map[queuekey.Key]pendingCount
}

// pendingCount is a number of pending jobs, with the time at which it was requested.
type pendingCount struct {
	count       int
	requestedAt time.Time
}

func newPendingCounts(now func() time.Time) *pendingCounts {
	return &pendingCounts{now: now, counts: make(map[queuekey.Key]pendingCount)}
}

// put caches a number that was requested at requestedAt. If the cache is full, all entries are dropped first.
func (p *pendingCounts) put(queue queuekey.Key, count int, requestedAt time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.counts) >= maxPendingQueues {
		clear(p.counts)
	}
	p.counts[queue] = pendingCount{count, requestedAt}
}

// get returns the cached number of a queue. Found is false if there is none or if it is too old.
func (p *pendingCounts) get(queue queuekey.Key) (count int, found bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.counts[queue]
	return known.count, found && p.now().Sub(known.requestedAt) <= maxPendingCountAge
}
