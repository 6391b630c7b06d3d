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

const readBufferBytes = 2 << 10 // per connection; most responses are shorter

var errNoConnectionSlot = errors.New("connection limit for workers reached")

// HTTPClient returns the HTTP client that all links of a process share. It opens connections within the budget. Discarded connections
// are reset, so that unsent data in their buffers does not arrive later.
func (c *Connections) HTTPClient() *http.Client {
	return &http.Client{
		Transport:     &inlineTransport{connections: c, dial: transport.DialFunc(transport.NewDialer())},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// connection is an open connection to a worker.
type connection struct {
	net.Conn
	pool   *hostPool
	reader *bufio.Reader
	used   bool // a call was answered on this connection
	closed bool // closed and its slot freed; guarded by the budget's lock
}

// dialFunction opens a connection. Closing the connection resets it.
type dialFunction func(ctx context.Context, network, address string) (net.Conn, error)

// connect returns an idle connection of the pool, or a new one.
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

// takeIdle removes the most recently used idle connection from the pool and returns it. It returns nil if there is none.
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

// dial opens a connection in a slot reserved for a call, or in a free one.
func (c *Connections) dial(address string, openConnection func() (net.Conn, error)) (*connection, error) {
	p, err := c.claimSlot(address)
	if err != nil {
		return nil, err
	}
	c.concurrency.release()
	conn, err := openConnection()
	c.concurrency.acquire()
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.freeSlot(p)
		c.admitWaiting()
		return nil, err
	}
	c.countOpened()
	return &connection{Conn: conn, pool: p, reader: bufio.NewReaderSize(conn, readBufferBytes)}, nil
}

func (c *Connections) countOpened() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened++
}

// claimSlot claims a reserved slot for a connection that is about to be opened. If none is reserved, because the call lost its
// connection after it had begun, claimSlot takes a free slot.
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

// freeSlot returns a slot to the budget. The caller holds the lock.
func (c *Connections) freeSlot(p *hostPool) {
	c.slotsTaken--
	p.slots--
	p.update()
}

// alive reports whether an idle connection is open and has no unread data. It does not block.
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
		var buffer [1]byte
		_, err := syscall.Read(int(descriptor), buffer[:])
		openAndSilent = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		return true
	})
	return err == nil && openAndSilent
}

// discardKeepingSlot closes a connection that is not usable any more. The call that was about to use it keeps its slot.
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

// closeIdle closes an idle connection. The caller holds the lock, so that no call can take the connection.
func (c *connection) closeIdle() {
	c.Close()
	c.freeSlot()
}

// freeSlot returns the connection's slot to the budget, at most once. The caller holds the lock.
func (c *connection) freeSlot() {
	if c.closed {
		return
	}
	c.closed = true
	c.pool.budget.freeSlot(c.pool)
}

// returnToPool makes the connection available to the next call after a complete response.
func (c *connection) returnToPool() {
	c.used = true
	budget := c.pool.budget
	budget.mu.Lock()
	defer budget.mu.Unlock()
	c.pool.idle = append(c.pool.idle, c)
	c.pool.update()
	budget.admitWaiting()
}
