// Package wakeup has a signal that wakes a goroutine without blocking its sender.
package wakeup

// Signal tells one goroutine that there is something to do. Signals that come before the goroutine has received an earlier one
// are merged into that one, so the receiver must look for all that there is to do. Receive from it as from a channel:
//
//	select {
//	case <-signal:
//	case <-ctx.Done():
//	}
type Signal chan struct{}

// New makes a Signal.
func New() Signal { return make(Signal, 1) }

// Notify wakes the receiver, now or at its next receive. It never blocks.
func (s Signal) Notify() {
	select {
	case s <- struct{}{}:
	default: // an earlier signal has not been received yet
	}
}
