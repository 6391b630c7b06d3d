// Package eventqueue is how actors hear of one another.
package eventqueue

import "sync"

// Queue holds what waits for one actor. Put never blocks: how much can wait is bounded by what its senders may
// have in flight, not here.
type Queue[T any] struct {
	mutex sync.Mutex
	items []T
	ready chan struct{}
}

// New makes an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{ready: make(chan struct{}, 1)} }

// Put adds items behind all that wait. Those of one call are taken together.
func (q *Queue[T]) Put(items ...T) {
	q.mutex.Lock()
	q.items = append(q.items, items...)
	q.mutex.Unlock()
	select {
	case q.ready <- struct{}{}:
	default: // one signal is enough, as Take brings everything
	}
}

// Ready signals that something may wait; now and then nothing does, after a Take that came in between.
func (q *Queue[T]) Ready() <-chan struct{} { return q.ready }

// Take brings all that waits, in the order of Put. The caller hands back the last slice it got, to be filled
// again; it must have let go of that.
func (q *Queue[T]) Take(spare []T) []T {
	clear(spare)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	taken := q.items
	q.items = spare[:0]
	return taken
}
