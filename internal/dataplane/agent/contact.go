package agent

import (
	"sync"
	"time"
)

// contactLimit is how long a coordinator's answer counts as contact with the control plane.
const contactLimit = 1500 * time.Millisecond

// contact knows when a coordinator in contact with a majority last answered.
type contact struct {
	mutex    sync.Mutex
	last     time.Time     // zero before the first answer
	regained chan struct{} // closed when contact comes back
}

func newContact() *contact { return &contact{regained: make(chan struct{})} }

// confirm records that what is known here was the newest at a time. An older one than was recorded changes nothing.
func (c *contact) confirm(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Before(c.last) {
		return
	}
	if c.remainingLocked(now) <= 0 {
		close(c.regained)
		c.regained = make(chan struct{})
	}
	c.last = now
}

// remaining is how long contact lasts without another answer; 0 or less without contact.
func (c *contact) remaining(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.remainingLocked(now)
}

func (c *contact) remainingLocked(now time.Time) time.Duration {
	if c.last.IsZero() {
		return 0
	}
	return contactLimit - now.Sub(c.last)
}

// whenRegained returns a channel that is closed when contact comes back.
func (c *contact) whenRegained() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.regained
}
