// Package eventqueue provides the unbounded message queue of actors: goroutines that own their state and change it only in response
// to messages. Senders never block. The package does not limit the length of a queue.
package eventqueue

import (
	"sync"

	"puffinlink.example/puffinlink/internal/wakeup"
)

// Queue is a queue with many senders and one receiver. Put never blocks. The queue's length is limited only by the number of messages
// that its senders may have in flight.
type Queue[T any] struct {
	mutex sync.Mutex
	items []T
	ready wakeup.Signal
}

// New creates an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{ready: wakeup.New()} }

// Put appends items. A single Take returns all items of one Put.
func (q *Queue[T]) Put(items ...T) {
	q.mutex.Lock()
	q.items = append(q.items, items...)
	q.mutex.Unlock()
	q.ready.Notify()
}

// Ready returns a channel that signals that the queue may have items. The queue is empty if a Take has already removed them.
func (q *Queue[T]) Ready() <-chan struct{} { return q.ready }

// Take removes and returns all items in the order of Put. It reuses the memory of spare, which is the result of the previous Take or
// nil. The caller must not use spare afterwards.
func (q *Queue[T]) Take(spare []T) []T {
	clear(spare)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	taken := q.items
	q.items = spare[:0]
	return taken
}
