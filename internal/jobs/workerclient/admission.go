package workerclient

import (
	"slices"
	"time"
)

// admitWaiting lets those calls go on that wait and can, in their order. The caller holds the lock.
func (c *Connections) admitWaiting() {
	for len(c.waiting) > 0 {
		first := c.waiting[0]
		if !first.pool.reuseConnection() && !first.pool.reserveSlot() {
			break
		}
		c.admit(0)
	}
	if delay := c.dialDelay(); len(c.waiting) > 0 && delay > 0 && !c.dialTimerSet {
		c.dialTimerSet = true
		time.AfterFunc(delay, c.admitAfterDelay)
	}
}

func (c *Connections) admitAfterDelay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialTimerSet = false
	c.admitWaiting()
}

// admit lets a call go on. The caller holds the lock.
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
	w.pool.releaseSlot() // it was admitted just now
}
