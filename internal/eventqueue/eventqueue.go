// Package eventqueue is how actors hear of one another.
package eventqueue

import "sync"

// Queue holds what waits for one actor. Put never blocks: how much can wait is bounded by what its senders may
// have in flight, not here.
type Queue[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

// New makes an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{ready: make(chan struct{}, 1)} }

// Put adds items behind all that wait. Those of one call are taken together.
func (b *Queue[T]) Put(items ...T) {
	b.mu.Lock()
	b.items = append(b.items, items...)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default: // one signal is enough, as Take brings everything
	}
}

// Ready signals that something may wait; now and then nothing does, after a Take that came in between.
func (b *Queue[T]) Ready() <-chan struct{} { return b.ready }

// Take brings all that waits, in the order of Put. The caller hands back the last slice it got, to be filled
// again; it must have let go of that.
func (b *Queue[T]) Take(spare []T) []T {
	clear(spare)
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.items
	b.items = spare[:0]
	return taken
}
