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
	DialsPerS    float64 // new connections a second in the long run
	DialBurst    int     // and so many more at once
	PollsPerS    float64 // polls a second at idle workers, of all links together
	MaxLongPolls int     // up to so many links each worker is held by a call that waits, whatever it does
}

// Connections is the budget of connections to workers that all links of a process share. A call needs a connection of
// its worker that is idle, or a place for a new one. Where none is free an idle connection of another worker is
// closed; where none is idle the call waits for its turn, in order of arrival, before its time-out begins.
type Connections struct {
	limits      Limits
	now         func() time.Time
	concurrency semaphore

	mu           sync.Mutex
	pools        map[string]*hostPool // by address
	slotsTaken   int                  // places taken
	links        int
	longPolls    int // long polls
	waiting      []*waiter
	opened       uint64             // connections opened so far
	lastIdle     map[*hostPool]bool // pools with an idle connection that is their only one
	extraIdle    map[*hostPool]bool // pools with an idle connection besides another one
	nextDialAt   time.Time          // by the pace, if none were allowed at once
	paceTimerSet bool               // a timer will serve those that wait for the pace
}

// NewConnections makes a budget.
func NewConnections(limits Limits) *Connections {
	return &Connections{limits: limits, now: time.Now, concurrency: newSemaphore(), pools: map[string]*hostPool{}, lastIdle: map[*hostPool]bool{}, extraIdle: map[*hostPool]bool{}}
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
	LongPolls int    // long polls
	Waiting   int    // calls that wait for a connection
	Opened    uint64 // connections opened so far
}

// Usage returns the state of the budget.
func (c *Connections) Usage() Usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Usage{Open: c.slotsTaken, Links: c.links, LongPolls: c.longPolls, Waiting: len(c.waiting), Opened: c.opened}
}

// pool is the part of a budget that one address uses.
type hostPool struct {
	budget   *Connections
	address  string
	links    int
	calls    int           // under way, or about to be sent
	slots    int           // connections, open or reserved
	reserved int           // places whose connection is not open yet
	waiting  int           // calls that wait for their turn
	idle     []*connection // the newest last
}

// waiter is a call that waits for a connection.
type waiter struct {
	pool     *hostPool
	admitted chan struct{}
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

// release removes a link.
func (p *hostPool) leave() {
	c := p.budget
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links--
	p.links--
	p.update()
}

// acquire waits until a call may be sent, and reports whether it may; it may not once done is closed. The caller passes the
// semaphore then, until end.
func (p *hostPool) acquire(done <-chan struct{}) bool {
	if !p.awaitSlot(done) {
		return false
	}
	p.budget.concurrency.acquire()
	return true
}

// tryAcquire is begin for a call that can be done without: it does not wait for a connection or a place for one.
func (p *hostPool) tryAcquire() bool {
	c := p.budget
	c.mu.Lock()
	free := p.reuseConnection() || len(c.waiting) == 0 && p.reserveSlot()
	c.mu.Unlock()
	if free {
		c.concurrency.acquire()
	}
	return free
}

// awaitSlot waits for a connection or a place for one.
func (p *hostPool) awaitSlot(done <-chan struct{}) bool {
	c := p.budget
	c.mu.Lock()
	if p.reuseConnection() || len(c.waiting) == 0 && p.reserveSlot() {
		c.mu.Unlock()
		return true
	}
	w := &waiter{pool: p, admitted: make(chan struct{})}
	c.waiting = append(c.waiting, w)
	p.waiting++
	c.admitWaiting()
	c.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-done:
		c.cancelWait(w)
		return false
	}
}

// release notes that a call is over.
func (p *hostPool) release() {
	p.budget.concurrency.release()
	p.releaseSlot()
}

func (p *hostPool) releaseSlot() {
	c := p.budget
	c.mu.Lock()
	defer c.mu.Unlock()
	p.calls--
	p.update()
	p.admitOwn()
	c.admitWaiting()
}

// reuseConnection takes a connection of the worker that no other call needs. The caller holds the lock.
func (p *hostPool) reuseConnection() bool {
	if p.calls >= p.slots {
		return false
	}
	p.calls++
	p.update()
	return true
}

// reserveSlot takes a place for a new connection if there is one and the pace allows it. The caller holds the lock.
func (p *hostPool) reserveSlot() bool {
	c := p.budget
	if c.dialDelay() > 0 || c.slotsTaken >= c.limits.Connections && !c.closeIdle() {
		return false
	}
	c.recordDial()
	c.slotsTaken++
	p.slots++
	p.reserved++
	p.calls++
	p.update()
	return true
}

// dialDelay is how long the next dial must wait for the pace. The caller holds the lock.
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
	for _, pools := range []map[*hostPool]bool{c.extraIdle, c.lastIdle} {
		for p := range pools {
			p.dropIdle()
			return true
		}
	}
	return false
}

// dropIdle closes the connection that has been idle for longest. The caller holds the lock.
func (p *hostPool) dropIdle() {
	oldest := p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	oldest.closeIdle()
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

// admitWaiting lets those calls go on that wait and can, in their order. The caller holds the lock.
func (c *Connections) admitWaiting() {
	for len(c.waiting) > 0 {
		first := c.waiting[0]
		if !first.pool.reuseConnection() && !first.pool.reserveSlot() {
			break
		}
		c.admit(0)
	}
	if delay := c.dialDelay(); len(c.waiting) > 0 && delay > 0 && !c.paceTimerSet {
		c.paceTimerSet = true
		time.AfterFunc(delay, c.admitAfterPace)
	}
}

func (c *Connections) admitAfterPace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paceTimerSet = false
	c.admitWaiting()
}

// admitOwn lets a call of a pool go on with a connection that the pool has to itself. The caller holds the lock.
func (p *hostPool) admitOwn() {
	if p.waiting == 0 || !p.reuseConnection() {
		return
	}
	own := slices.IndexFunc(p.budget.waiting, func(t *waiter) bool { return t.pool == p })
	p.budget.admit(own)
}

// grant lets a call go on. The caller holds the lock.
func (c *Connections) admit(at int) {
	w := c.waiting[at]
	c.remove(at)
	close(w.admitted)
}

// remove takes a call out of those that wait. The caller holds the lock.
func (c *Connections) remove(at int) {
	c.waiting[at].pool.waiting--
	c.waiting = slices.Delete(c.waiting, at, at+1)
}

// cancelWait takes a call out of those that wait.
func (c *Connections) cancelWait(w *waiter) {
	c.mu.Lock()
	if at := slices.Index(c.waiting, w); at >= 0 {
		c.remove(at)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	w.pool.releaseSlot() // it was granted just now
}

// update brings what is derived from a pool up to date. The caller holds the lock.
func (p *hostPool) update() {
	c := p.budget
	if unused := min(p.reserved, p.reserved-p.calls); unused > 0 { // its call found another connection, or was given up
		p.reserved -= unused
		p.slots -= unused
		c.slotsTaken -= unused
	}
	p.updateIdleSets()
	if p.links == 0 && p.calls == 0 && p.slots == 0 {
		delete(c.pools, p.address)
	}
}

// updateIdleSets notes whether the pool can do without one of its idle connections. The caller holds the lock.
func (p *hostPool) updateIdleSets() {
	can := p.slots > p.calls && len(p.idle) > 0
	setMembership(p.budget.lastIdle, p, can && p.slots == 1)
	setMembership(p.budget.extraIdle, p, can && p.slots > 1)
}

// setMembership adds a pool to a set, or takes it out.
func setMembership(pools map[*hostPool]bool, p *hostPool, in bool) {
	if in {
		pools[p] = true
	} else {
		delete(pools, p)
	}
}

// mayWait reports whether a renewal may wait at the worker, and notes that it does: it keeps its connection, and commands need
// another one for the moment that they take, from a few that are left besides one for each worker.
func (p *hostPool) beginLongPoll() bool {
	c := p.budget
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links > c.limits.MaxLongPolls && c.links > c.limits.Connections-c.limits.Connections/commandReserveFraction {
		return false
	}
	c.longPolls++
	return true
}

// commandReserveFraction is the part of the connections that is left for commands beside long polls.
const commandReserveFraction = 10

func (p *hostPool) endLongPoll() {
	c := p.budget
	c.mu.Lock()
	defer c.mu.Unlock()
	c.longPolls--
}

// overLongPollLimit reports whether there are so many workers that idle ones are not held by calls that wait.
func (c *Connections) overLongPollLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links > c.limits.MaxLongPolls
}

// idlePollInterval is how long an idle worker is left alone between two polls; 0 where it is held by a call that waits.
func (c *Connections) idlePollInterval(longest time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links <= c.limits.MaxLongPolls {
		return 0
	}
	return min(longest, time.Duration(float64(c.links)/c.limits.PollsPerS*float64(time.Second)))
}
