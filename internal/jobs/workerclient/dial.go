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

const readBufferBytes = 2 << 10 // of a connection; most responses are shorter

var errNoConnectionSlot = errors.New("no connection left for workers")

// HTTPClient makes the client that all links of a process share, within the budget. Connections that are discarded are reset, so that
// nothing they still hold arrives later.
func (c *Connections) HTTPClient() *http.Client {
	return &http.Client{
		Transport:     &exchanger{connections: c, dial: transport.DialFunc(transport.NewDialer())},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// connection is an open connection to a worker.
type connection struct {
	net.Conn
	pool   *hostPool
	reader *bufio.Reader
	used   bool // a call was answered on it
	closed bool // it was closed; guarded by the budget's lock
}

// dialFunction opens a connection that is reset when it is closed.
type dialFunction func(ctx context.Context, network, address string) (net.Conn, error)

// connect gives a call an idle connection of its pool, or a new one.
func (c *Connections) connect(ctx context.Context, dial dialFunction, address string) (*connection, error) {
	for {
		idle := c.takeIdle(address)
		if idle == nil {
			return c.dial(address, func() (net.Conn, error) { return dial(ctx, "tcp", address) })
		}
		if idle.alive() {
			return idle, nil
		}
		idle.discardKeepingSlot()
	}
}

// takeIdle takes the connection that was used last out of those that are idle; nil when there is none.
func (c *Connections) takeIdle(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(address)
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	taken := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	p.update()
	return taken
}

// dial opens a connection on a slot that was reserved for a call, or on a free one.
func (c *Connections) dial(address string, open func() (net.Conn, error)) (*connection, error) {
	p, err := c.claimSlot(address)
	if err != nil {
		return nil, err
	}
	c.concurrency.release()
	opened, err := open()
	c.concurrency.acquire()
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.freeSlot(p)
		c.admitWaiting()
		return nil, err
	}
	c.recordOpened()
	return &connection{Conn: opened, pool: p, reader: bufio.NewReaderSize(opened, readBufferBytes)}, nil
}

func (c *Connections) recordOpened() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened++
}

// claimSlot takes the slot for a connection that is about to be opened. A connection that broke after its call had begun is replaced
// without a slot reserved.
func (c *Connections) claimSlot(address string) (*hostPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(address)
	if p.reserved > 0 {
		p.reserved--
		return p, nil
	}
	if c.slotsTaken >= c.limits.Connections && !c.closeIdle() {
		p.update()
		return nil, errNoConnectionSlot
	}
	c.recordDial()
	c.slotsTaken++
	p.slots++
	return p, nil
}

// freeSlot gives a slot back. The caller holds the lock.
func (c *Connections) freeSlot(p *hostPool) {
	c.slotsTaken--
	p.slots--
	p.update()
}

// alive reports whether the peer has left an idle connection open and silent, without waiting.
func (c *connection) alive() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	openAndSilent := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(descriptor), one[:])
		openAndSilent = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		return true
	})
	return err == nil && openAndSilent
}

// discardKeepingSlot closes a connection whose peer has closed it, and keeps its slot for the call that was about to use it.
func (c *connection) discardKeepingSlot() {
	c.Close()
	budget := c.pool.budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	c.closed = true
	c.pool.reserved++
	budget.recordDial()
}

// discard closes a connection after a call without a complete response.
func (c *connection) discard() {
	c.Close()
	budget := c.pool.budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	c.freeSlot()
	budget.admitWaiting()
}

// closeIdle closes an idle connection. The caller holds the lock, so that no call takes it meanwhile.
func (c *connection) closeIdle() {
	c.Close()
	c.freeSlot()
}

// freeSlot gives the connection's slot back, once. The caller holds the lock.
func (c *connection) freeSlot() {
	if c.closed {
		return
	}
	c.closed = true
	c.pool.budget.freeSlot(c.pool)
}

// returnToPool makes the connection idle after a complete response: the next call may take it.
func (c *connection) returnToPool() {
	c.used = true
	budget := c.pool.budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	c.pool.idle = append(c.pool.idle, c)
	c.pool.update()
	budget.admitWaiting()
}
