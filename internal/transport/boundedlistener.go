package transport

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// BoundedListener bounds how many connections a server has open. Where a new one exceeds the bound, the one that has been idle for
// longest is closed; where none is idle, new ones wait in the listener's queue.
type BoundedListener struct {
	net.Listener
	limit int

	mu           sync.Mutex
	stateChanged sync.Cond
	open         map[net.Conn]*list.Element // an element while the connection is idle
	idle         list.List                  // of net.Conn, the longest idle one first
	closed       bool
}

// NewBoundedListener bounds a listener. The server must call ConnState as its hook of that name.
func NewBoundedListener(listener net.Listener, limit int) *BoundedListener {
	l := &BoundedListener{Listener: listener, limit: limit, open: make(map[net.Conn]*list.Element)}
	l.stateChanged.L = &l.mu
	return l
}

// Accept implements net.Listener.
func (l *BoundedListener) Accept() (net.Conn, error) {
	l.waitBelowLimit()
	connection, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.open[connection] = nil
		l.mu.Unlock()
	}
	return connection, err
}

// Close implements net.Listener.
func (l *BoundedListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.stateChanged.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// waitBelowLimit waits until one more connection may be open, or the listener is closed.
func (l *BoundedListener) waitBelowLimit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.open) >= l.limit && !l.closed {
		longest := l.idle.Front()
		if longest == nil {
			l.stateChanged.Wait()
			continue
		}
		connection := longest.Value.(net.Conn)
		l.remove(connection)
		connection.Close()
	}
}

// ConnState notes which connections are idle. It is the hook of an http.Server.
func (l *BoundedListener) ConnState(connection net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	element, known := l.open[connection]
	if !known {
		return // closed by us
	}
	if element != nil {
		l.idle.Remove(element)
		l.open[connection] = nil
	}
	switch state {
	case http.StateIdle:
		l.open[connection] = l.idle.PushBack(connection)
	case http.StateClosed, http.StateHijacked:
		l.remove(connection)
	default:
		return
	}
	l.stateChanged.Signal()
}

// remove takes a connection off the count. The caller holds the lock.
func (l *BoundedListener) remove(connection net.Conn) {
	if element := l.open[connection]; element != nil {
		l.idle.Remove(element)
	}
	delete(l.open, connection)
}

// Open is how many connections are open.
func (l *BoundedListener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}
