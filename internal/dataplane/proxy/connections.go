package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionTracker tracks the clients' open connections and which of them have a request in progress.
type connectionTracker struct {
	maximum int
	now     func() time.Time

	mutex      sync.Mutex
	active     map[net.Conn]bool // the open connections; true while a request is in progress
	busy       int               // number of connections with a request in progress
	emptySince time.Time         // creation of the tracker or the latest close of a connection
	changed    chan struct{}     // closed at the next change; nil unless a caller of occupancy waits for it
}

func newConnectionTracker(maximum int, now func() time.Time) *connectionTracker {
	return &connectionTracker{
		maximum:    maximum,
		now:        now,
		active:     make(map[net.Conn]bool),
		emptySince: now(),
	}
}

// observe records a change of a connection's state. It is the ConnState hook of the HTTP servers.
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
		t.emptySince = t.now()
	}
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// full reports whether the maximum number of connections is open.
func (t *connectionTracker) full() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.active) >= t.maximum
}

// closeIdle closes the connections without a request in progress.
func (t *connectionTracker) closeIdle() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for connection, active := range t.active {
		if !active {
			connection.Close()
		}
	}
}

// occupancy holds the numbers of open and busy connections at one point in time.
type occupancy struct {
	open, busy int
	emptySince time.Time       // time of the latest close; meaningful only if open is 0
	changed    <-chan struct{} // closed at the next change of any connection's state
}

// occupancy returns the current numbers of connections, and a channel that signals the next change.
func (t *connectionTracker) occupancy() occupancy {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return occupancy{open: len(t.active), busy: t.busy, emptySince: t.emptySince, changed: t.changed}
}
