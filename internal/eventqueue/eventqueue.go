// Package eventqueue has the unbounded queue by which goroutines that own their state (actors) get messages from each other.
package eventqueue

import (
	"sync"

	"puffinlink.example/puffinlink/internal/wakeup"
)

// Queue is a queue of many senders and one receiver. Put never blocks: the queue's length is bounded by what its senders may have
// in flight, and not here.
type Queue[T any] struct {
	mutex sync.Mutex
	items []T
	ready wakeup.Signal
}

// New makes an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{ready: wakeup.New()} }

// Put appends items. The items of one Put are returned by one Take.
func (q *Queue[T]) Put(items ...T) {
	q.mutex.Lock()
	q.items = append(q.items, items...)
	q.mutex.Unlock()
	q.ready.Notify()
}

// Ready signals that the queue may have items. It may have none, when a Take came between the Put and the signal.
func (q *Queue[T]) Ready() <-chan struct{} { return q.ready }

// Take removes and returns all items, in the order of Put. The receiver passes the slice of the last Take, which it must not use
// any more, and whose memory is reused.
func (q *Queue[T]) Take(spare []T) []T {
	clear(spare)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	taken := q.items
	q.items = spare[:0]
	return taken
}
