package worker

import (
	"context"
	"errors"
	"net"
	"net/http"

	"puffinlink.example/puffinlink/internal/transport"
)

var errNoPlace = errors.New("no connection is left for searchers")

// HTTPClient makes the client that all links of a process share, within the budget. Connections that are given up are
// reset, so that nothing they still hold arrives later.
func (c *Connections) HTTPClient() *http.Client {
	dialer := transport.Dialer()
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return c.dial(address, func() (net.Conn, error) { return dialer.DialContext(ctx, network, address) })
			},
			MaxConnsPerHost:     connectionsPerSearcher,
			MaxIdleConnsPerHost: connectionsPerSearcher,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// dial opens a connection on a place that a call was promised, or on a free one.
func (c *Connections) dial(address string, open func() (net.Conn, error)) (net.Conn, error) {
	l, err := c.claim(address)
	if err != nil {
		return nil, err
	}
	opened, err := open()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.free(l)
		c.serve()
		return nil, err
	}
	if tcp, ok := opened.(*net.TCPConn); ok {
		tcp.SetLinger(0) // where the system knows no such option, the close sends what is left
	}
	connection := &connection{Conn: opened, lane: l}
	l.idle[connection] = true
	l.changed()
	return connection, nil
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

// connection is an open connection to a searcher. It counts as idle from its opening to its first call, and between two
// calls.
type connection struct {
	net.Conn
	lane *lane
	gone bool // it was closed; guarded by the budget's lock
}

// Close implements net.Conn.
func (c *connection) Close() error {
	err := c.Conn.Close()
	owner := c.lane.owner
	owner.mu.Lock()
	defer owner.mu.Unlock()
	c.forget()
	owner.serve()
	return err
}

// drop closes an idle connection while the lock is held, so that no call can be sent on it once its place is given away.
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
	delete(c.lane.idle, c)
	c.lane.owner.free(c.lane)
}

// rest notes that its call was answered whole.
func (c *connection) rest() {
	owner := c.lane.owner
	owner.mu.Lock()
	defer owner.mu.Unlock()
	if !c.gone {
		c.lane.idle[c] = true
		c.lane.changed()
	}
}
