package workerclient

import (
	"slices"
	"time"
)

// admitWaiting admits waiting calls in order of arrival, as far as connections and the rate limit allow. The caller holds the lock.
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

// admit removes a call from the waiting calls and lets it proceed. The caller holds the lock.
func (c *Connections) admit(index int) {
	w := c.waiting[index]
	c.remove(index)
	close(w.admitted)
}

// remove removes a call from the waiting calls. The caller holds the lock.
func (c *Connections) remove(index int) {
	c.waiting[index].pool.waiting--
	c.waiting = slices.Delete(c.waiting, index, index+1)
}

// cancelWait removes a call whose wait was cancelled. If it was admitted meanwhile, its slot is released.
func (c *Connections) cancelWait(w *waiter) {
	c.mu.Lock()
	if index := slices.Index(c.waiting, w); index >= 0 {
		c.remove(index)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	w.pool.releaseSlot() // it was admitted meanwhile
}
