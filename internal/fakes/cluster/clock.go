package cluster

import (
	"slices"
	"sync"
	"time"
)

// Clock provides the time and the timers of the fakes.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f after the delay, on its own goroutine or on that of Advance. The returned function cancels the call.
	AfterFunc(delay time.Duration, f func()) (cancel func())
}

// RealClock is the machine's monotonic clock.
type RealClock struct{}

// Now implements Clock.
func (RealClock) Now() time.Time { return time.Now() }

// AfterFunc implements Clock.
func (RealClock) AfterFunc(delay time.Duration, f func()) (cancel func()) {
	timer := time.AfterFunc(delay, f)
	return func() { timer.Stop() }
}

// VirtualClock is a clock that only Advance moves.
type VirtualClock struct {
	mu         sync.Mutex
	now        time.Time
	timers     []*virtualTimer
	timerAdded chan struct{} // closed when the next timer is added
}

type virtualTimer struct {
	due time.Time
	f   func()
}

// NewVirtualClock returns a clock that starts at the given time.
func NewVirtualClock(now time.Time) *VirtualClock {
	return &VirtualClock{now: now, timerAdded: make(chan struct{})}
}

// TimerAdded returns a channel that is closed when the next timer is added.
func (c *VirtualClock) TimerAdded() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timerAdded
}

// Now implements Clock.
func (c *VirtualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// AfterFunc implements Clock.
func (c *VirtualClock) AfterFunc(delay time.Duration, f func()) (cancel func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timer := &virtualTimer{c.now.Add(delay), f}
	c.timers = append(c.timers, timer)
	close(c.timerAdded)
	c.timerAdded = make(chan struct{})
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.remove(timer)
	}
}

// Advance moves the clock forward and runs the timers that become due, in the order of their due times.
func (c *VirtualClock) Advance(by time.Duration) {
	end := c.Now().Add(by)
	for {
		timer := c.nextDue(end)
		if timer == nil {
			return
		}
		timer.f()
	}
}

// nextDue removes and returns the earliest timer that is due by end, and moves the clock to it. If there is none, it moves the
// clock to end and returns nil.
func (c *VirtualClock) nextDue(end time.Time) *virtualTimer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var first *virtualTimer
	for _, timer := range c.timers {
		if !timer.due.After(end) && (first == nil || timer.due.Before(first.due)) {
			first = timer
		}
	}
	if first == nil {
		c.now = end
		return nil
	}
	if first.due.After(c.now) {
		c.now = first.due
	}
	c.remove(first)
	return first
}

func (c *VirtualClock) remove(timer *virtualTimer) {
	c.timers = slices.DeleteFunc(c.timers, func(other *virtualTimer) bool { return other == timer })
}
