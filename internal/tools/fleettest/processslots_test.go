package fleettest

import (
	"runtime"
	"sync"
	"testing"
)

// processSlots limits how many processes of all clusters run at once to the number of cores. Time-outs, latencies and leases use real
// time, so a cluster whose processes wait for a core would test the machine and not the program.
var processSlots = newSlotQueue(runtime.NumCPU())

// slotQueue grants a fixed number of slots in the order of the requests, so that requests of small clusters cannot starve the request
// of a large one.
type slotQueue struct {
	mu      sync.Mutex
	size    int
	free    int
	waiting []*slotRequest
	holders map[testing.TB]bool
}

// slotRequest is a pending request for a number of slots. granted is closed when they are granted.
type slotRequest struct {
	slots   int
	granted chan struct{}
}

// newSlotQueue returns a queue with the given number of free slots.
func newSlotQueue(size int) *slotQueue {
	return &slotQueue{size: size, free: size, holders: map[testing.TB]bool{}}
}

// acquire waits for the wanted number of slots, or for all slots if fewer exist, and returns the number that it was granted.
func (q *slotQueue) acquire(wanted int) (got int) {
	request := &slotRequest{slots: min(wanted, q.size), granted: make(chan struct{})}
	q.mu.Lock()
	q.waiting = append(q.waiting, request)
	q.grant()
	q.mu.Unlock()
	<-request.granted
	return request.slots
}

// release returns slots to the queue and grants pending requests.
func (q *slotQueue) release(count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.free += count
	q.grant()
}

// grant grants pending requests in order, as long as enough slots are free. The caller holds the lock.
func (q *slotQueue) grant() {
	for len(q.waiting) > 0 && q.waiting[0].slots <= q.free {
		q.free -= q.waiting[0].slots
		close(q.waiting[0].granted)
		q.waiting = q.waiting[1:]
	}
}

// markHolder records that a test holds slots and reports whether it held some before.
func (q *slotQueue) markHolder(t testing.TB) (before bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before = q.holders[t]
	q.holders[t] = true
	return before
}

// acquireSlots waits until the processes of a cluster may run. The slots are released at the end of the test, after its clusters have
// ended. If a test starts several clusters, the later ones use the slots of the first, because the test would otherwise wait for
// slots that it holds itself.
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
		t.Fatalf("got %d slots for a request of 9, expected all 4", got)
	}
	q.release(1)
	large, small := &slotRequest{slots: 3, granted: make(chan struct{})}, &slotRequest{slots: 1, granted: make(chan struct{})}
	q.waiting = append(q.waiting, large, small)
	q.release(1)
	select {
	case <-large.granted:
		t.Fatal("three slots were granted while two were free")
	case <-small.granted:
		t.Fatal("a later small request was granted before a large one")
	default:
	}
	q.release(1)
	<-large.granted
	q.release(1)
	<-small.granted
	if q.free != 0 {
		t.Errorf("%d slots are free, expected none", q.free)
	}
}
