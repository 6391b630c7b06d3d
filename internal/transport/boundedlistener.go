package transport

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// BoundedListener is a net.Listener that limits the number of open connections of a server. At the limit, it closes the least
// recently used idle connection for a new one. While no connection is idle, new ones wait in the listen queue of the operating
// system.
//
// A part of the limit can be reserved for some hosts, see Reserve.
type BoundedListener struct {
	net.Listener
	limit      int
	reserved   int                    // part of limit
	isReserved func(host string) bool // nil if nothing is reserved

	mu           sync.Mutex
	stateChanged sync.Cond
	open         map[net.Conn]*boundedConnection
	unreserved   int       // number of open connections from hosts without reserved connections
	idle         list.List // of net.Conn, least recently used first
	closed       bool
}

// boundedConnection is the state of an open connection.
type boundedConnection struct {
	idleElement *list.Element // in BoundedListener.idle; nil while the connection is in use
	reserved    bool          // whether it is from a host with reserved connections
}

// NewBoundedListener returns a BoundedListener. The http.Server that accepts from it must have BoundedListener.ConnState as its
// ConnState hook.
func NewBoundedListener(listener net.Listener, limit int) *BoundedListener {
	l := &BoundedListener{Listener: listener, limit: limit, open: make(map[net.Conn]*boundedConnection)}
	l.stateChanged.L = &l.mu
	return l
}

// Reserve reserves a number of connections for some hosts. Other hosts share the rest of the limit. When the rest is used up, a
// new connection from another host closes the least recently used idle connection from another host. If none of these is idle,
// the new connection is closed instead. Reserve must be called before the first Accept.
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

// admit adds a new connection to the open ones. It returns false if the connection would use one that is reserved for other
// hosts.
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

// waitBelowLimit waits until one more connection may be opened or the listener is closed. It closes an idle connection if
// needed.
func (l *BoundedListener) waitBelowLimit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.open) >= l.limit && !l.closed {
		if !l.closeIdle(l.oldestIdle(false)) && !l.closeIdle(l.oldestIdle(true)) {
			l.stateChanged.Wait()
		}
	}
}

// oldestIdle returns the least recently used idle connection, either among the hosts with reserved connections or among the
// other hosts. It returns nil if none of them is idle. The caller must hold l.mu.
func (l *BoundedListener) oldestIdle(reserved bool) net.Conn {
	for element := l.idle.Front(); element != nil; element = element.Next() {
		connection := element.Value.(net.Conn) //nolint:forcetypeassert // the list has only connections
		if l.open[connection].reserved == reserved {
			return connection
		}
	}
	return nil
}

// closeIdle closes an idle connection. It returns false if connection is nil. The caller must hold l.mu.
func (l *BoundedListener) closeIdle(connection net.Conn) bool {
	if connection == nil {
		return false
	}
	l.remove(connection)
	connection.Close()
	return true
}

// ConnState records the state of a connection. It is the value for http.Server.ConnState.
func (l *BoundedListener) ConnState(connection net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := l.open[connection]
	if tracked == nil {
		return // closed by closeIdle
	}
	if tracked.idleElement != nil {
		l.idle.Remove(tracked.idleElement)
		tracked.idleElement = nil
	}
	switch state {
	case http.StateIdle:
		tracked.idleElement = l.idle.PushBack(connection)
	case http.StateClosed, http.StateHijacked:
		l.remove(connection)
	default:
		return
	}
	l.stateChanged.Signal()
}

// remove removes a connection from the open ones. The caller must hold l.mu.
func (l *BoundedListener) remove(connection net.Conn) {
	tracked := l.open[connection]
	if tracked.idleElement != nil {
		l.idle.Remove(tracked.idleElement)
	}
	if !tracked.reserved {
		l.unreserved--
	}
	delete(l.open, connection)
}

// OpenConnections returns the number of open connections.
func (l *BoundedListener) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}
