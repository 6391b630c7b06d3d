package transport

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// BoundedListener limits how many connections a server has open. At the limit, a new connection closes the one that has been
// idle for longest; while none is idle, new ones wait in the listen queue of the system.
type BoundedListener struct {
	net.Listener
	limit int

	mu           sync.Mutex
	stateChanged sync.Cond
	open         map[net.Conn]*list.Element // of idle, while the connection is idle; else nil
	idle         list.List                  // of net.Conn, least recently used first
	closed       bool
}

// NewBoundedListener makes a BoundedListener. The http.Server that accepts from it must have its ConnState as ConnState hook.
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
		oldest := l.idle.Front()
		if oldest == nil {
			l.stateChanged.Wait()
			continue
		}
		connection := oldest.Value.(net.Conn) //nolint:forcetypeassert // the list has nothing else
		l.remove(connection)
		connection.Close()
	}
}

// ConnState notes which connections are idle or closed. It is for http.Server.ConnState.
func (l *BoundedListener) ConnState(connection net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	element, known := l.open[connection]
	if !known {
		return // closed by waitBelowLimit
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

// remove takes a connection off the count. It needs the mutex.
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
