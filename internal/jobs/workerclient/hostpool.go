package workerclient

import "slices"

// hostPool is the pool of connections to one address within a budget. The lock of the budget guards it.
type hostPool struct {
	budget   *Connections
	address  string
	links    int
	calls    int           // calls in flight or about to be sent
	slots    int           // open or reserved connections
	reserved int           // slots whose connection is not open yet
	waiting  int           // calls waiting for a connection
	idle     []*connection // ordered by last use, most recent last
}

// waiter is a call waiting for a connection.
type waiter struct {
	pool     *hostPool
	admitted chan struct{} // closed when the call may proceed
}

// removeLink unregisters a link.
func (p *hostPool) removeLink() {
	c := p.budget
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links--
	p.links--
	p.update()
}

// acquire waits until a call may be sent. It reports false if done is closed before. On success the caller also holds the semaphore until
// release.
func (p *hostPool) acquire(done <-chan struct{}) bool {
	if !p.awaitSlot(done) {
		return false
	}
	p.budget.concurrency.acquire()
	return true
}

// tryAcquire is like acquire, but does not wait for a connection or a slot.
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

// awaitSlot waits for an idle connection or for a slot for a new one. It reports false if done is closed before.
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

// release ends a use that began with acquire or tryAcquire.
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

// reuseConnection claims an open or reserved connection of the pool that no other call needs. The caller holds the lock.
func (p *hostPool) reuseConnection() bool {
	if p.calls >= p.slots {
		return false
	}
	p.calls++
	p.update()
	return true
}

// reserveSlot reserves a slot for a new connection if one is free and the rate limit allows it. The caller holds the lock.
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

// dropIdle closes the connection that has been idle the longest. The caller holds the lock.
func (p *hostPool) dropIdle() {
	oldest := p.idle[0]
	p.idle = slices.Delete(p.idle, 0, 1)
	oldest.closeIdle()
}

// admitOwn admits a waiting call of this pool if the pool has a free connection. The caller holds the lock.
func (p *hostPool) admitOwn() {
	if p.waiting == 0 || !p.reuseConnection() {
		return
	}
	index := slices.IndexFunc(p.budget.waiting, func(w *waiter) bool { return w.pool == p })
	p.budget.admit(index)
}

// update releases unused reservations, updates the sets of pools with idle connections, and deletes an unused pool. The caller holds
// the lock.
func (p *hostPool) update() {
	c := p.budget
	if unused := min(p.reserved, p.reserved-p.calls); unused > 0 { // their calls used other connections or were cancelled
		p.reserved -= unused
		p.slots -= unused
		c.slotsTaken -= unused
	}
	p.updateIdleSets()
	if p.links == 0 && p.calls == 0 && p.slots == 0 {
		delete(c.pools, p.address)
	}
}

// updateIdleSets records whether the pool has an idle connection that may be closed. The caller holds the lock.
func (p *hostPool) updateIdleSets() {
	closable := p.slots > p.calls && len(p.idle) > 0
	setMembership(p.budget.soleIdlePools, p, closable && p.slots == 1)
	setMembership(p.budget.spareIdlePools, p, closable && p.slots > 1)
}

// setMembership adds a pool to a set or removes it.
func setMembership(pools map[*hostPool]bool, p *hostPool, member bool) {
	if member {
		pools[p] = true
	} else {
		delete(pools, p)
	}
}

// beginLongPoll reports whether a renewal may be a long poll, and counts it if so. A long poll occupies its connection, and commands need
// a further one for a short time. So a share of the connections is kept free for commands, beside one connection for each worker.
func (p *hostPool) beginLongPoll() bool {
	c := p.budget
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links > c.limits.MaxLongPolls && c.links > c.limits.Connections-c.limits.Connections/commandReserveDivisor {
		return false
	}
	c.longPolls++
	return true
}

// commandReserveDivisor is the divisor of the connection limit that gives the number of connections kept free for commands.
const commandReserveDivisor = 10

func (p *hostPool) endLongPoll() {
	c := p.budget
	c.mu.Lock()
	defer c.mu.Unlock()
	c.longPolls--
}
