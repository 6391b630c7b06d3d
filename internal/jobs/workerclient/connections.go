package workerclient

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// Limits bound what one process opens towards workers.
type Limits struct {
	Connections  int     // open at once, those being opened included
	DialsPerS    float64 // new connections a second in the long run, as of a token bucket
	DialBurst    int     // the size of that bucket
	PollsPerS    float64 // polls of idle workers a second, of all links together
	MaxLongPolls int     // up to so many links there is a long poll at each worker, idle or not
}

// Connections is the budget of connections to workers that all links of a process share. A call needs an idle connection of its
// worker, or a slot for a new one. Where no slot is free an idle connection of another worker is closed; where none is idle the call
// waits for its turn, in order of arrival, before its time-out begins.
type Connections struct {
	limits      Limits
	now         func() time.Time
	concurrency semaphore

	mu           sync.Mutex
	pools        map[string]*hostPool // by address
	slotsTaken   int                  // connections that are open or reserved
	links        int
	longPolls    int
	waiting      []*waiter
	opened       uint64             // connections opened so far
	onlyIdle     map[*hostPool]bool // pools whose only connection is idle
	extraIdle    map[*hostPool]bool // pools with an idle connection beside another one
	nextDialAt   time.Time          // by the rate limit, if its bucket had no size
	dialTimerSet bool               // a timer will admit calls that wait for the rate limit
}

// NewConnections makes a budget.
func NewConnections(limits Limits) *Connections {
	return &Connections{
		limits: limits, now: time.Now, concurrency: newSemaphore(),
		pools: map[string]*hostPool{}, onlyIdle: map[*hostPool]bool{}, extraIdle: map[*hostPool]bool{},
	}
}

// unlimited is a budget that never makes a call wait.
func unlimited() *Connections {
	c := NewConnections(Limits{
		Connections: math.MaxInt, DialsPerS: math.Inf(1), PollsPerS: math.Inf(1), MaxLongPolls: math.MaxInt,
	})
	c.concurrency = nil
	return c
}

// Usage is the state of a budget.
type Usage struct {
	Open      int // connections, those being opened included
	Links     int
	LongPolls int
	Waiting   int    // calls that wait for a connection
	Opened    uint64 // connections opened so far
}

// Usage returns the state of the budget.
func (c *Connections) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Usage{Open: c.slotsTaken, Links: c.links, LongPolls: c.longPolls, Waiting: len(c.waiting), Opened: c.opened}
}

// join adds a link to an address.
func (c *Connections) join(address string) *hostPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links++
	p := c.pool(address)
	p.links++
	return p
}

// pool returns the pool of an address. The caller holds the lock.
func (c *Connections) pool(address string) *hostPool {
	p := c.pools[address]
	if p == nil {
		p = &hostPool{budget: c, address: address}
		c.pools[address] = p
	}
	return p
}

// dialDelay is how long the next dial must wait for the rate limit. The caller holds the lock.
func (c *Connections) dialDelay() time.Duration {
	if math.IsInf(c.limits.DialsPerS, 1) {
		return 0
	}
	allowance := time.Duration(float64(c.limits.DialBurst) * float64(c.dialInterval()))
	return c.nextDialAt.Add(-allowance).Sub(c.now())
}

func (c *Connections) dialInterval() time.Duration {
	return time.Duration(float64(time.Second) / c.limits.DialsPerS)
}

func (c *Connections) recordDial() { c.nextDialAt = later(c.nextDialAt, c.now()).Add(c.dialInterval()) }

// closeIdle closes a connection that no call needs, if there is one: that of a worker that has another one, before the
// only one of a worker, which its next poll would open again. The caller holds the lock.
func (c *Connections) closeIdle() bool {
	for _, pools := range []map[*hostPool]bool{c.extraIdle, c.onlyIdle} {
		for p := range pools {
			p.dropIdle()
			return true
		}
	}
	return false
}

// closeAllIdle closes the connections that no call uses.
func (c *Connections) closeAllIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range slices.Collect(maps.Values(c.pools)) {
		for len(p.idle) > 0 {
			p.dropIdle()
		}
	}
}

// overLongPollLimit reports whether there are too many workers for a long poll at each idle one.
func (c *Connections) overLongPollLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links > c.limits.MaxLongPolls
}

// idlePollInterval is how long an idle worker is left alone between two polls, at most longest; 0 where there is a long poll at it.
func (c *Connections) idlePollInterval(longest time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links <= c.limits.MaxLongPolls {
		return 0
	}
	return min(longest, time.Duration(float64(c.links)/c.limits.PollsPerS*float64(time.Second)))
}
