// Package queuetest lets a test hear a queue as its actor would, one item at a time.
package queuetest

import (
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/eventqueue"
)

// Patience bounds what a test waits for, which comes at once unless something is broken.
const WaitTimeout = time.Minute

// Ear is the side of a queue that takes.
type Receiver[T any] struct {
	Queue *eventqueue.Queue[T]

	pending []T
}

// New makes a queue and its ear.
func New[T any]() *Receiver[T] { return &Receiver[T]{Queue: eventqueue.New[T]()} }

// Next waits for the next item.
func (e *Receiver[T]) Next(t testing.TB) T {
	t.Helper()
	for late := time.After(WaitTimeout); len(e.pending) == 0; {
		select {
		case <-e.Queue.Ready():
			e.pending = e.Queue.Take(nil)
		case <-late:
			t.Fatal("nothing was told")
		}
	}
	item := e.pending[0]
	e.pending = e.pending[1:]
	return item
}

// Rest is all that is here and not heard yet.
func (e *Receiver[T]) Remaining() []T {
	e.pending = append(e.pending, e.Queue.Take(nil)...)
	return e.pending
}
