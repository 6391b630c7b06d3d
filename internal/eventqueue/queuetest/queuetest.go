// Package queuetest lets a test receive the items of a queue one at a time, in place of the queue's actor. Only tests use it.
package queuetest

import (
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/eventqueue"
)

// WaitTimeout limits the waits of tests. A wait usually ends at once, and reaches the limit only if something is broken.
const WaitTimeout = time.Minute

// Receiver receives the items of a queue. It is not safe for concurrent use.
type Receiver[T any] struct {
	Queue *eventqueue.Queue[T]

	pending []T // taken from the queue, but not returned by Next
}

// New creates a queue and its receiver.
func New[T any]() *Receiver[T] { return &Receiver[T]{Queue: eventqueue.New[T]()} }

// Next waits for the next item and returns it. It fails the test after WaitTimeout.
func (e *Receiver[T]) Next(t testing.TB) T {
	t.Helper()
	for timeout := time.After(WaitTimeout); len(e.pending) == 0; {
		select {
		case <-e.Queue.Ready():
			e.pending = e.Queue.Take(nil)
		case <-timeout:
			t.Fatal("no item arrived before WaitTimeout")
		}
	}
	item := e.pending[0]
	e.pending = e.pending[1:]
	return item
}

// Remaining returns all items that Next has not returned yet, without waiting. The items stay with the receiver.
func (e *Receiver[T]) Remaining() []T {
	e.pending = append(e.pending, e.Queue.Take(nil)...)
	return e.pending
}
