// Package queuetest lets a test hear a queue as its actor would, one item at a time.
package queuetest

import (
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/eventqueue"
)

// Patience bounds what a test waits for, which comes at once unless something is broken.
const Patience = time.Minute

// Ear is the side of a queue that takes.
type Ear[T any] struct {
	Queue *eventqueue.Queue[T]

	heard []T
}

// New makes a queue and its ear.
func New[T any]() *Ear[T] { return &Ear[T]{Queue: eventqueue.New[T]()} }

// Next waits for the next item.
func (e *Ear[T]) Next(t testing.TB) T {
	t.Helper()
	for late := time.After(Patience); len(e.heard) == 0; {
		select {
		case <-e.Queue.Ready():
			e.heard = e.Queue.Take(nil)
		case <-late:
			t.Fatal("nothing was told")
		}
	}
	item := e.heard[0]
	e.heard = e.heard[1:]
	return item
}

// Rest is all that is here and not heard yet.
func (e *Ear[T]) Rest() []T {
	e.heard = append(e.heard, e.Queue.Take(nil)...)
	return e.heard
}
