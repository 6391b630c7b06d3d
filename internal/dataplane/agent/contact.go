package agent

import (
	"sync"
	"time"
)

// contactTimeout is how long an agent stays in contact with the control plane after a confirmation by a coordinator.
const contactTimeout = 1500 * time.Millisecond

// contactTracker tracks when a coordinator in contact with a majority last confirmed the state of this agent. Its methods are safe
// for concurrent use.
type contactTracker struct {
	mutex         sync.Mutex
	lastConfirmed time.Time     // zero before the first confirmation
	regained      chan struct{} // closed and replaced when contact is regained
}

func newContactTracker() *contactTracker { return &contactTracker{regained: make(chan struct{})} }

// confirm records that the state of this agent was the newest at the given time. It ignores times before the recorded one.
func (c *contactTracker) confirm(at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if at.Before(c.lastConfirmed) {
		return
	}
	if c.remainingLocked(at) <= 0 {
		close(c.regained)
		c.regained = make(chan struct{})
	}
	c.lastConfirmed = at
}

// extend extends contact to a time at which there was contact. Otherwise it has no effect.
func (c *contactTracker) extend(to time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if to.After(c.lastConfirmed) && c.remainingLocked(to) > 0 {
		c.lastConfirmed = to
	}
}

// remaining returns the time until contact ends without another confirmation. It is 0 or less if there is no contact.
func (c *contactTracker) remaining(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.remainingLocked(now)
}

// remainingLocked is like remaining, but the caller must hold the mutex.
func (c *contactTracker) remainingLocked(now time.Time) time.Duration {
	if c.lastConfirmed.IsZero() {
		return 0
	}
	return contactTimeout - now.Sub(c.lastConfirmed)
}

// whenRegained returns a channel that is closed when contact is next regained.
func (c *contactTracker) whenRegained() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.regained
}
