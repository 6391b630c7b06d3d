package fleettest

import (
	"runtime"
	"sync"
	"testing"
)

// places bounds how many processes of all worlds run at once. A world whose processes wait for a core measures the machine
// and not the program: its time-outs, latencies and leases are of real time.
var places = newPlaceQueue(runtime.NumCPU())

// placeQueue hands out a fixed number of places in the order in which they are asked for, so that a large world is not passed over
// by small ones for ever.
type placeQueue struct {
	mu      sync.Mutex
	size    int
	free    int
	waiting []*placeRequest
	holders map[testing.TB]bool
}

// placeRequest is somebody who waits for so many places.
type placeRequest struct {
	places  int
	granted chan struct{}
}

func newPlaceQueue(size int) *placeQueue {
	return &placeQueue{size: size, free: size, holders: map[testing.TB]bool{}}
}

// take waits for places and tells how many it got: never more than there are.
func (q *placeQueue) take(wanted int) (got int) {
	request := &placeRequest{places: min(wanted, q.size), granted: make(chan struct{})}
	q.mu.Lock()
	q.waiting = append(q.waiting, request)
	q.grant()
	q.mu.Unlock()
	<-request.granted
	return request.places
}

// give returns places.
func (q *placeQueue) give(count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.free += count
	q.grant()
}

// grant serves those who wait, the first first. The caller holds the lock.
func (q *placeQueue) grant() {
	for len(q.waiting) > 0 && q.waiting[0].places <= q.free {
		q.free -= q.waiting[0].places
		close(q.waiting[0].granted)
		q.waiting = q.waiting[1:]
	}
}

// holds tells whether a test has places, and notes that it now does.
func (q *placeQueue) holds(t testing.TB) (before bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before = q.holders[t]
	q.holders[t] = true
	return before
}

// takePlaces waits until a world's processes may run; the test's end gives the places back, after its worlds have ended. A test
// that starts several worlds, one after the other, plays the later ones on the places of the first: it could wait for itself.
func takePlaces(t testing.TB, processes int) {
	if places.holds(t) {
		return
	}
	got := places.take(processes)
	t.Cleanup(func() { places.give(got) })
}

func TestPlacesGoByTurns(t *testing.T) {
	q := newPlaceQueue(4)
	if got := q.take(9); got != 4 {
		t.Fatalf("%d places of 4 for one that wants 9", got)
	}
	q.give(1)
	large, small := &placeRequest{places: 3, granted: make(chan struct{})}, &placeRequest{places: 1, granted: make(chan struct{})}
	q.waiting = append(q.waiting, large, small)
	q.give(1)
	select {
	case <-large.granted:
		t.Fatal("three places handed out of two")
	case <-small.granted:
		t.Fatal("a small world passed a large one over")
	default:
	}
	q.give(1)
	<-large.granted
	q.give(1)
	<-small.granted
	if q.free != 0 {
		t.Errorf("%d places free, expected none", q.free)
	}
}
