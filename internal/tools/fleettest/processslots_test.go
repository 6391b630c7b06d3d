package fleettest

import (
	"runtime"
	"sync"
	"testing"
)

// processSlots bounds how many processes of all clusters run at once. A cluster whose processes wait for a core measures the machine
// and not the program: its time-outs, latencies and leases are of real time.
var processSlots = newSlotQueue(runtime.NumCPU())

// slotQueue hands out a fixed number of slots in the order in which they are asked for, so that a large cluster is not passed over
// by small ones for ever.
type slotQueue struct {
	mu      sync.Mutex
	size    int
	free    int
	waiting []*slotRequest
	holders map[testing.TB]bool
}

// slotRequest is somebody who waits for so many slots.
type slotRequest struct {
	slots   int
	granted chan struct{}
}

func newSlotQueue(size int) *slotQueue {
	return &slotQueue{size: size, free: size, holders: map[testing.TB]bool{}}
}

// acquire waits for slots and returns how many it got: never more than there are.
func (q *slotQueue) acquire(wanted int) (got int) {
	request := &slotRequest{slots: min(wanted, q.size), granted: make(chan struct{})}
	q.mu.Lock()
	q.waiting = append(q.waiting, request)
	q.grant()
	q.mu.Unlock()
	<-request.granted
	return request.slots
}

// release returns slots.
func (q *slotQueue) release(count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.free += count
	q.grant()
}

// grant serves those who wait, the first first. The caller holds the lock.
func (q *slotQueue) grant() {
	for len(q.waiting) > 0 && q.waiting[0].slots <= q.free {
		q.free -= q.waiting[0].slots
		close(q.waiting[0].granted)
		q.waiting = q.waiting[1:]
	}
}

// markHolder reports whether a test has slots, and records that it now does.
func (q *slotQueue) markHolder(t testing.TB) (before bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before = q.holders[t]
	q.holders[t] = true
	return before
}

// acquireSlots waits until a cluster's processes may run; the test's end gives the slots back, after its clusters have ended. A test
// that starts several clusters, one after the other, plays the later ones on the slots of the first: it could wait for itself.
func acquireSlots(t testing.TB, processes int) {
	if processSlots.markHolder(t) {
		return
	}
	got := processSlots.acquire(processes)
	t.Cleanup(func() { processSlots.release(got) })
}

func TestSlotsAreGrantedInOrder(t *testing.T) {
	q := newSlotQueue(4)
	if got := q.acquire(9); got != 4 {
		t.Fatalf("%d slots of 4 for one that wants 9", got)
	}
	q.release(1)
	large, small := &slotRequest{slots: 3, granted: make(chan struct{})}, &slotRequest{slots: 1, granted: make(chan struct{})}
	q.waiting = append(q.waiting, large, small)
	q.release(1)
	select {
	case <-large.granted:
		t.Fatal("three slots handed out of two")
	case <-small.granted:
		t.Fatal("a small cluster passed a large one over")
	default:
	}
	q.release(1)
	<-large.granted
	q.release(1)
	<-small.granted
	if q.free != 0 {
		t.Errorf("%d slots free, expected none", q.free)
	}
}
