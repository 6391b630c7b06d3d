package workerclient

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"

	"puffinlink.example/puffinlink/internal/transport"
)

const readBufferBytes = 2 << 10 // of a connection; most answers are shorter

var errNoPlace = errors.New("no connection is left for searchers")

// HTTPClient makes the client that all links of a process share, within the budget. Connections that are given up are
// reset, so that nothing they still hold arrives later.
func (c *Connections) HTTPClient() *http.Client {
	return &http.Client{
		Transport:     &exchanger{connections: c, dial: transport.DialFunc(transport.NewDialer())},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// connection is an open connection to a worker.
type connection struct {
	net.Conn
	lane   *lane
	reader *bufio.Reader
	used   bool // a call was answered on it
	gone   bool // it was closed; guarded by the budget's lock
}

// dialFunction opens a connection that is reset when it is given up.
type dialFunction func(ctx context.Context, network, address string) (net.Conn, error)

// connect gives a call an idle connection of its lane, or a new one.
func (c *Connections) connect(ctx context.Context, dial dialFunction, address string) (*connection, error) {
	for {
		idle := c.takeIdle(address)
		if idle == nil {
			return c.dial(address, func() (net.Conn, error) { return dial(ctx, "tcp", address) })
		}
		if idle.alive() {
			return idle, nil
		}
		idle.replace()
	}
}

func (c *Connections) takeIdle(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.lane(address)
	last := len(l.idle) - 1
	if last < 0 {
		return nil
	}
	taken := l.idle[last]
	l.idle[last] = nil
	l.idle = l.idle[:last]
	l.changed()
	return taken
}

// dial opens a connection on a place that a call was promised, or on a free one.
func (c *Connections) dial(address string, open func() (net.Conn, error)) (*connection, error) {
	l, err := c.claim(address)
	if err != nil {
		return nil, err
	}
	c.work.leave()
	opened, err := open()
	c.work.enter()
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.free(l)
		c.serve()
		return nil, err
	}
	c.noteOpened()
	return &connection{Conn: opened, lane: l, reader: bufio.NewReaderSize(opened, readBufferBytes)}, nil
}

func (c *Connections) noteOpened() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened++
}

// claim takes the place for a connection that is about to be opened. A connection that broke after its call had begun is
// replaced without a place promised.
func (c *Connections) claim(address string) (*lane, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.lane(address)
	if l.promised > 0 {
		l.promised--
		return l, nil
	}
	if c.open >= c.limits.Connections && !c.closeIdle() {
		l.changed()
		return nil, errNoPlace
	}
	c.noteDial()
	c.open++
	l.places++
	return l, nil
}

// free gives a place back. The caller holds the lock.
func (c *Connections) free(l *lane) {
	c.open--
	l.places--
	l.changed()
}

// alive tells whether the peer has left an idle connection open and silent, without waiting.
func (c *connection) alive() bool {
	holder, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(descriptor), one[:])
		silent = err == syscall.EAGAIN || err == syscall.EINTR
		return true
	})
	return err == nil && silent
}

// replace closes a connection whose peer has gone and keeps its place for the call that was about to use it.
func (c *connection) replace() {
	c.Conn.Close()
	owner := c.lane.owner
	owner.mu.Lock()
	defer owner.mu.Unlock()
	c.gone = true
	c.lane.promised++
	owner.noteDial()
}

// abandon closes a connection after a call that was not answered whole.
func (c *connection) abandon() {
	c.Conn.Close()
	owner := c.lane.owner
	owner.mu.Lock()
	defer owner.mu.Unlock()
	c.forget()
	owner.serve()
}

// drop closes an idle connection. The caller holds the lock, so that no call takes it meanwhile.
func (c *connection) drop() {
	c.Conn.Close()
	c.forget()
}

// forget gives the connection's place back, once. The caller holds the lock.
func (c *connection) forget() {
	if c.gone {
		return
	}
	c.gone = true
	c.lane.owner.free(c.lane)
}

// rest notes that the call was answered whole: the next one may take the connection.
func (c *connection) rest() {
	c.used = true
	owner := c.lane.owner
	owner.mu.Lock()
	defer owner.mu.Unlock()
	c.lane.idle = append(c.lane.idle, c)
	c.lane.changed()
	owner.serve()
}
