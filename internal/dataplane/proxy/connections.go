package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionTracker knows the clients' open connections and which of them have a request under way.
type connectionTracker struct {
	maximum int
	now     func() time.Time

	mutex     sync.Mutex
	active    map[net.Conn]bool // by connection: whether a request is under way
	busy      int               // connections with a request under way
	emptyFrom time.Time         // since when no connection is open
	changed   chan struct{}     // closed at the next change; nil while nobody waits for it
}

func newConnectionTracker(maximum int, now func() time.Time) *connectionTracker {
	return &connectionTracker{
		maximum:   maximum,
		now:       now,
		active:    make(map[net.Conn]bool),
		emptyFrom: now(),
	}
}

// observe is the ConnState hook of the servers.
func (t *connectionTracker) observe(connection net.Conn, state http.ConnState) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.active[connection] {
		t.busy--
	}
	switch state {
	case http.StateActive:
		t.active[connection] = true
		t.busy++
	case http.StateNew, http.StateIdle:
		t.active[connection] = false
	default:
		delete(t.active, connection)
		t.emptyFrom = t.now()
	}
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// full tells whether no more connections can be held.
func (t *connectionTracker) full() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.active) >= t.maximum
}

// closeIdle closes connections without a request under way.
func (t *connectionTracker) closeIdle() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for connection, active := range t.active {
		if !active {
			connection.Close()
		}
	}
}

// occupancy is the state of all connections at one moment.
type occupancy struct {
	open, busy int
	emptyFrom  time.Time       // since when none is open, where none is
	changed    <-chan struct{} // closed once the state is another
}

func (t *connectionTracker) occupancy() occupancy {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return occupancy{open: len(t.active), busy: t.busy, emptyFrom: t.emptyFrom, changed: t.changed}
}
