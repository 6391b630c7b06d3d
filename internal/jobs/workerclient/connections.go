package workerclient

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Limits are the limits on the connections and polls of one process.
type Limits struct {
	Connections    int     // maximum number of open connections, including those being opened
	DialsPerSecond float64 // rate of new connections, limited by a token bucket
	DialBurst      int     // size of that token bucket
	PollsPerSecond float64 // polls of idle workers per second, over all links
	MaxLongPolls   int     // maximum number of links up to which every worker, idle or not, has a long poll
}

// Connections is the budget of connections to workers that all links of a process share. A call needs an idle connection to its worker
// or a slot for a new one. If no slot is free, an idle connection to another worker is closed. If there is none, the call waits in
// order of arrival. Its timeout begins after the wait.
type Connections struct {
	limits      Limits
	now         func() time.Time
	concurrency semaphore

	mu             sync.Mutex
	pools          map[string]*hostPool // by address
	slotsTaken     int                  // open or reserved connections
	links          int
	longPolls      int
	waiting        []*waiter
	opened         uint64             // connections opened so far
	soleIdlePools  map[*hostPool]bool // pools whose only connection is idle
	spareIdlePools map[*hostPool]bool // pools with an idle connection and at least one further connection
	nextDialAt     time.Time          // earliest time of the next dial by the rate limit, without the burst allowance
	dialTimerSet   bool               // a timer is set to admit calls that wait for the rate limit
}

// NewConnections returns a new budget.
func NewConnections(limits Limits) *Connections {
	return &Connections{
		limits: limits, now: time.Now, concurrency: newSemaphore(),
		pools: map[string]*hostPool{}, soleIdlePools: map[*hostPool]bool{}, spareIdlePools: map[*hostPool]bool{},
	}
}

// unlimited returns a budget without limits, in which no call waits.
func unlimited() *Connections {
	c := NewConnections(Limits{
		Connections: math.MaxInt, DialsPerSecond: math.Inf(1), PollsPerSecond: math.Inf(1), MaxLongPolls: math.MaxInt,
	})
	c.concurrency = nil
	return c
}

// Usage is the current use of a budget.
type Usage struct {
	Open        int // open connections, including those being opened
	Links       int
	LongPolls   int
	Waiting     int    // calls waiting for a connection
	TotalOpened uint64 // connections opened so far
}

// Usage returns the current use of the budget.
func (c *Connections) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Usage{Open: c.slotsTaken, Links: c.links, LongPolls: c.longPolls, Waiting: len(c.waiting), TotalOpened: c.opened}
}

// addLink registers a link to an address and returns the pool of the address.
func (c *Connections) addLink(address string) *hostPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links++
	p := c.pool(address)
	p.links++
	return p
}

// pool returns the pool of an address and creates it if necessary. The caller holds the lock.
func (c *Connections) pool(address string) *hostPool {
	p := c.pools[address]
	if p == nil {
		p = &hostPool{budget: c, address: address}
		c.pools[address] = p
	}
	return p
}

// dialDelay returns the time until the rate limit allows the next dial. The caller holds the lock.
func (c *Connections) dialDelay() time.Duration {
	if math.IsInf(c.limits.DialsPerSecond, 1) {
		return 0
	}
	burstAllowance := time.Duration(float64(c.limits.DialBurst) * float64(c.dialInterval()))
	return c.nextDialAt.Add(-burstAllowance).Sub(c.now())
}

func (c *Connections) dialInterval() time.Duration {
	return time.Duration(float64(time.Second) / c.limits.DialsPerSecond)
}

func (c *Connections) recordDial() { c.nextDialAt = later(c.nextDialAt, c.now()).Add(c.dialInterval()) }

// closeIdle closes an idle connection and reports whether there was one. It prefers a worker with further connections, because the next
// poll of a worker without any would have to open one again. The caller holds the lock.
func (c *Connections) closeIdle() bool {
	for _, pools := range []map[*hostPool]bool{c.spareIdlePools, c.soleIdlePools} {
		for p := range pools {
			p.dropIdle()
			return true
		}
	}
	return false
}

// closeAllIdle closes all idle connections.
func (c *Connections) closeAllIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range slices.Collect(maps.Values(c.pools)) {
		for len(p.idle) > 0 {
			p.dropIdle()
		}
	}
}

// exceedsLongPollLimit reports whether there are too many links for a long poll at every idle worker.
func (c *Connections) exceedsLongPollLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links > c.limits.MaxLongPolls
}

// idlePollInterval returns the time between two polls of an idle worker, limited to maxInterval. It returns 0 if idle workers have a
// long poll.
func (c *Connections) idlePollInterval(maxInterval time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links <= c.limits.MaxLongPolls {
		return 0
	}
	return min(maxInterval, time.Duration(float64(c.links)/c.limits.PollsPerSecond*float64(time.Second)))
}
