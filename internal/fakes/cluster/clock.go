package cluster

import (
	"slices"
	"sync"
	"time"
)

// Clock is what the stand-ins tell the time by.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f on a goroutine of its own, or on that of Advance, once the delay is over. The function returned
	// takes that back.
	AfterFunc(delay time.Duration, f func()) (cancel func())
}

// RealClock is the machine's steady clock.
type RealClock struct{}

// Now implements Clock.
func (RealClock) Now() time.Time { return time.Now() }

// AfterFunc implements Clock.
func (RealClock) AfterFunc(delay time.Duration, f func()) (cancel func()) {
	timer := time.AfterFunc(delay, f)
	return func() { timer.Stop() }
}

// VirtualClock stands still until it is advanced.
type VirtualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers []*virtualTimer
	added  chan struct{} // closed at the next timer
}

type virtualTimer struct {
	due time.Time
	f   func()
}

// NewVirtualClock makes a clock that shows the given time.
func NewVirtualClock(now time.Time) *VirtualClock {
	return &VirtualClock{now: now, added: make(chan struct{})}
}

// TimerAdded is closed once something waits for the clock to be advanced that did not at the time of this call.
func (c *VirtualClock) TimerAdded() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.added
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
	close(c.added)
	c.added = make(chan struct{})
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.remove(timer)
	}
}

// Advance moves the clock on, and calls what comes due on the way, in order.
func (c *VirtualClock) Advance(by time.Duration) {
	end := c.Now().Add(by)
	for {
		timer := c.takeDue(end)
		if timer == nil {
			return
		}
		timer.f()
	}
}

// takeDue moves the clock to the first timer up to the end and takes it; without one it moves it to the end.
func (c *VirtualClock) takeDue(end time.Time) *virtualTimer {
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
