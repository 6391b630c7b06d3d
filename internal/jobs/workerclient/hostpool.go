package workerclient

import "slices"

// hostPool is the part of a budget that one address uses. The lock of the budget guards it.
type hostPool struct {
	budget   *Connections
	address  string
	links    int
	calls    int           // under way, or about to be sent
	slots    int           // connections that are open or reserved
	reserved int           // slots whose connection is not open yet
	waiting  int           // calls that wait for their turn
	idle     []*connection // the newest last
}

// waiter is a call that waits for a connection.
type waiter struct {
	pool     *hostPool
	admitted chan struct{}
}

// leave removes a link.
func (p *hostPool) leave() {
	c := p.budget
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links--
	p.links--
	p.update()
}

// acquire waits until a call may be sent, and reports whether it may; it may not once done is closed. The caller holds a place of the
// semaphore then, until release.
func (p *hostPool) acquire(done <-chan struct{}) bool {
	if !p.awaitSlot(done) {
		return false
	}
	p.budget.concurrency.acquire()
	return true
}

// tryAcquire is acquire for a call that can be done without: it does not wait for a connection or a slot.
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

// awaitSlot waits for a connection or a slot for one.
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

// release ends the use of a connection that acquire began.
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

// reserveSlot takes a slot for a new connection if one is free and the rate limit allows it. The caller holds the lock.
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

// dropIdle closes the connection that has been idle for longest. The caller holds the lock.
func (p *hostPool) dropIdle() {
	oldest := p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	oldest.closeIdle()
}

// admitOwn lets a call of a pool go on with a connection that the pool has to itself. The caller holds the lock.
func (p *hostPool) admitOwn() {
	if p.waiting == 0 || !p.reuseConnection() {
		return
	}
	own := slices.IndexFunc(p.budget.waiting, func(w *waiter) bool { return w.pool == p })
	p.budget.admit(own)
}

// update brings what is derived from a pool up to date. The caller holds the lock.
func (p *hostPool) update() {
	c := p.budget
	if unused := min(p.reserved, p.reserved-p.calls); unused > 0 { // its call found another connection, or was cancelled
		p.reserved -= unused
		p.slots -= unused
		c.slotsTaken -= unused
	}
	p.updateIdleSets()
	if p.links == 0 && p.calls == 0 && p.slots == 0 {
		delete(c.pools, p.address)
	}
}

// updateIdleSets records whether the pool can do without one of its idle connections. The caller holds the lock.
func (p *hostPool) updateIdleSets() {
	dispensable := p.slots > p.calls && len(p.idle) > 0
	setMembership(p.budget.onlyIdle, p, dispensable && p.slots == 1)
	setMembership(p.budget.extraIdle, p, dispensable && p.slots > 1)
}

// setMembership adds a pool to a set, or takes it out.
func setMembership(pools map[*hostPool]bool, p *hostPool, in bool) {
	if in {
		pools[p] = true
	} else {
		delete(pools, p)
	}
}

// beginLongPoll reports whether a renewal may wait at the worker, and counts it: a long poll keeps its connection, and commands need
// another one for a moment, from a few that are left besides one for each worker.
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

// commandReserveFraction is the fraction of the connections (one in so many) that is left for commands beside long polls.
const commandReserveFraction = 10

func (p *hostPool) endLongPoll() {
	c := p.budget
	c.mu.Lock()
	defer c.mu.Unlock()
	c.longPolls--
}
