// Package wakeup provides a signal that wakes a goroutine without blocking the sender.
package wakeup

// Signal notifies one goroutine that there is work to do. Notifications are merged until the goroutine receives: however many
// calls of Notify came before, it receives once. So the receiver must process all pending work each time. It receives from the
// Signal as from a channel:
//
//	select {
//	case <-signal:
//	case <-ctx.Done():
//	}
type Signal chan struct{}

// New creates a Signal without a pending notification.
func New() Signal { return make(Signal, 1) }

// Notify wakes the receiver, now or at its next receive. It never blocks.
func (s Signal) Notify() {
	select {
	case s <- struct{}{}:
	default: // an earlier notification is still pending
	}
}
