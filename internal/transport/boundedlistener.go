package transport

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// BoundedListener limits how many connections a server has open. At the limit, a new connection closes the one that has been
// idle for longest; while none is idle, new ones wait in the listen queue of the system.
//
// A part of the limit may be reserved for some callers, see Reserve.
type BoundedListener struct {
	net.Listener
	limit      int
	reserved   int
	isReserved func(host string) bool // nil where nothing is reserved

	mu           sync.Mutex
	stateChanged sync.Cond
	open         map[net.Conn]*boundedConnection
	unreserved   int       // open connections of callers for whom nothing is reserved
	idle         list.List // of net.Conn, least recently used first
	closed       bool
}

// boundedConnection is what is known of an open connection.
type boundedConnection struct {
	idle     *list.Element // nil while it is not idle
	reserved bool          // of a caller for whom a part is reserved
}

// NewBoundedListener makes a BoundedListener. The http.Server that accepts from it must have its ConnState as ConnState hook.
func NewBoundedListener(listener net.Listener, limit int) *BoundedListener {
	l := &BoundedListener{Listener: listener, limit: limit, open: make(map[net.Conn]*boundedConnection)}
	l.stateChanged.L = &l.mu
	return l
}

// Reserve keeps a number of connections for callers on some hosts. Other callers never fill them: beyond the rest of the limit a new
// one of theirs closes the one of theirs that has been idle for longest, or is closed itself while none is idle. It is to be called
// before the first Accept.
func (l *BoundedListener) Reserve(connections int, isReserved func(host string) bool) {
	l.reserved, l.isReserved = connections, isReserved
}

// Accept implements net.Listener.
func (l *BoundedListener) Accept() (net.Conn, error) {
	for {
		l.waitBelowLimit()
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit(connection) {
			return connection, nil
		}
		connection.Close()
	}
}

// admit counts a new connection, unless its caller would fill what is reserved for others.
func (l *BoundedListener) admit(connection net.Conn) bool {
	reserved := l.isReserved == nil || l.isReserved(hostOf(connection.RemoteAddr()))
	l.mu.Lock()
	defer l.mu.Unlock()
	if !reserved && l.unreserved >= l.limit-l.reserved && !l.closeIdle(l.oldestIdle(false)) {
		return false
	}
	l.open[connection] = &boundedConnection{reserved: reserved}
	if !reserved {
		l.unreserved++
	}
	return true
}

func hostOf(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
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
		if !l.closeIdle(l.oldestIdle(false)) && !l.closeIdle(l.oldestIdle(true)) {
			l.stateChanged.Wait()
		}
	}
}

// oldestIdle is the connection that has been idle for longest, of callers for whom a part is reserved or of the others; nil where
// none is idle. It needs the mutex.
func (l *BoundedListener) oldestIdle(reserved bool) net.Conn {
	for element := l.idle.Front(); element != nil; element = element.Next() {
		connection := element.Value.(net.Conn) //nolint:forcetypeassert // the list has nothing else
		if l.open[connection].reserved == reserved {
			return connection
		}
	}
	return nil
}

// closeIdle closes an idle connection, if there is one. It needs the mutex.
func (l *BoundedListener) closeIdle(connection net.Conn) bool {
	if connection == nil {
		return false
	}
	l.remove(connection)
	connection.Close()
	return true
}

// ConnState notes which connections are idle or closed. It is for http.Server.ConnState.
func (l *BoundedListener) ConnState(connection net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.open[connection]
	if known == nil {
		return // closed by closeIdle
	}
	if known.idle != nil {
		l.idle.Remove(known.idle)
		known.idle = nil
	}
	switch state {
	case http.StateIdle:
		known.idle = l.idle.PushBack(connection)
	case http.StateClosed, http.StateHijacked:
		l.remove(connection)
	default:
		return
	}
	l.stateChanged.Signal()
}

// remove takes a connection off the counts. It needs the mutex.
func (l *BoundedListener) remove(connection net.Conn) {
	known := l.open[connection]
	if known.idle != nil {
		l.idle.Remove(known.idle)
	}
	if !known.reserved {
		l.unreserved--
	}
	delete(l.open, connection)
}

// Open is how many connections are open.
func (l *BoundedListener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}
