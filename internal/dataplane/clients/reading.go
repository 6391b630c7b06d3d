package clients

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// What is read from a client's connection, and when no more is. net/http reads one request and then a single byte, to see
// its client leave; whoever sends more behind a request and leaves would be waited for until its query ends. And a
// connection that is closed from elsewhere may have been read a moment before: only who reads can say that nothing was.

// leastAhead and mostAhead bound what is read ahead of the requests in hand, on one connection: at least a request or
// two, at most as much as one body.
const (
	leastAhead = 4 << 10
	mostAhead  = mostBody
	aheadShare = 0.05 // of the memory, over all connections
)

// past is a deadline that ends a read at once, before it takes anything.
var past = time.Unix(1, 0)

// Read reads for net/http, from what was read ahead first.
func (conn *connection) Read(b []byte) (n int, err error) {
	ahead := conn.takeOver(b, &n, &err)
	for !ahead {
		n, err = conn.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !conn.readsOn(len(b) == 1) {
			break
		}
	}
	if n > 0 {
		at := max(1, int64(time.Since(conn.opened)))
		conn.came.CompareAndSwap(0, at)
		conn.last.Store(at)
		conn.recordHead(b[:n])
	}
	if !ahead {
		conn.readMu.Lock()
		conn.reads = false
		if n > 0 && len(b) == 1 && !conn.shuts { // net/http looks no further, but the client may leave
			conn.follows = true
			go conn.follow()
		}
		conn.turn.Broadcast()
		conn.readMu.Unlock()
	}
	if err != nil {
		conn.why(err)
	}
	return n, err
}

// takeOver takes from what was read ahead, or else the reading from who follows; it tells whether there was anything.
func (conn *connection) takeOver(b []byte, n *int, err *error) bool {
	conn.readMu.Lock()
	defer conn.readMu.Unlock()
	if len(conn.ahead) == 0 {
		conn.unfollow()
	}
	switch {
	case conn.shuts:
		*err = net.ErrClosed
	case len(conn.ahead) > 0:
		*n = copy(b, conn.ahead)
		if conn.ahead = conn.ahead[*n:]; len(conn.ahead) == 0 {
			conn.ahead = nil
		}
	case conn.aheadErr != nil:
		*err = conn.aheadErr
	default:
		conn.reads = true
		return false
	}
	return true
}

// unfollow waits until nobody follows any more; readMu is held.
func (conn *connection) unfollow() {
	for conn.follows {
		conn.quits = true
		conn.Conn.SetReadDeadline(past)
		conn.turn.Wait()
	}
	if conn.quits {
		conn.quits = false
		_ = conn.arm() // it fails only on a closed connection, which the next read finds
	}
}

// follow reads on behind a request that is in hand, to hear of its client's leaving. What comes beyond the bound is not
// kept, and so the connection ends with the answer in hand.
func (conn *connection) follow() {
	b := make([]byte, leastAhead)
	for {
		n, err := conn.Conn.Read(b)
		conn.readMu.Lock()
		if room := conn.of.mostAhead - len(conn.ahead); n > room {
			conn.overrun.Store(true)
			n = room
		}
		conn.ahead = append(conn.ahead, b[:n]...)
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case err == nil || timedOut && !conn.quits && conn.restored():
			conn.readMu.Unlock()
			continue
		case !timedOut:
			conn.aheadErr = err
			close(conn.left)
			// A time that is up may be one by which net/http stops a read of its own: who reads next finds out.
		}
		conn.follows = false
		conn.turn.Broadcast()
		conn.readMu.Unlock()
		return
	}
}

// hasLeft tells whether the client of a request is known to have left.
func (conn *connection) hasLeft(request context.Context) bool {
	select {
	case <-conn.left:
		return true
	default:
		return request.Err() != nil
	}
}

// SetReadDeadline is net/http's and the handler's; one that is told to leave keeps the deadline that ends its next read. Once
// our side has ended it is without effect: net/http takes back a deadline of its own after it has closed, and with it would
// take back the bound on the client's end.
func (conn *connection) SetReadDeadline(t time.Time) error {
	conn.readMu.Lock()
	defer conn.readMu.Unlock()
	conn.deadline = t
	if conn.shuts {
		return net.ErrClosed
	}
	return conn.arm()
}

// SetDeadline is SetReadDeadline and SetWriteDeadline.
func (conn *connection) SetDeadline(t time.Time) error {
	return errors.Join(conn.SetReadDeadline(t), conn.SetWriteDeadline(t))
}

// arm sets the deadline that counts; readMu is held.
func (conn *connection) arm() error {
	if conn.leaves != "" || conn.quits {
		return conn.Conn.SetReadDeadline(past)
	}
	return conn.Conn.SetReadDeadline(conn.deadline)
}

// leave lets a connection end before its next request: at once where none has begun. Who reads it decides that, so that
// none is read and dropped.
func (conn *connection) leave(why reason) {
	conn.readMu.Lock()
	defer conn.readMu.Unlock()
	if conn.leaves == "" && !conn.shuts {
		conn.leaves = why
		_ = conn.arm() // it fails only on a closed connection, which the next read finds
	}
}

// leaving tells whether the answer in hand is the last.
func (conn *connection) leaving() bool {
	conn.readMu.Lock()
	defer conn.readMu.Unlock()
	return conn.leaves != "" || conn.overrun.Load()
}

// readsOn tells whether a read that its deadline ended goes on, as that was meant for a connection without a request:
// what net/http reads behind a request only waits for its client's leaving, and a request that is coming in comes first.
func (conn *connection) readsOn(behind bool) bool {
	conn.readMu.Lock()
	defer conn.readMu.Unlock()
	coming := conn.came.Load() != 0 && time.Since(conn.heard()) < unread
	return (behind || coming) && conn.restored()
}

// restored puts net/http's own deadline back in place of the one for leaving, unless that has passed too; readMu is held.
func (conn *connection) restored() bool {
	if conn.shuts || conn.leaves == "" || !conn.deadline.IsZero() && !time.Now().Before(conn.deadline) {
		return false
	}
	return conn.Conn.SetReadDeadline(conn.deadline) == nil
}

// why notes why a read has ended.
func (conn *connection) why(err error) {
	conn.readMu.Lock()
	leaves := conn.leaves
	conn.readMu.Unlock()
	switch {
	case errors.Is(err, io.EOF):
		conn.ended.Store(true)
		conn.end(whyClient)
	case !errors.Is(err, os.ErrDeadlineExceeded):
		conn.ended.Store(true)
		conn.end(whyReset)
	case leaves != "" && !conn.asked.Load():
		conn.end(leaves)
	case conn.came.Load() != 0:
		conn.end(whySlow)
	case !conn.answered.Load():
		conn.end(whySilent)
	case conn.of.idles(conn):
		conn.end(whyIdle)
		// Else net/http stopped its own read, to go on to the next request.
	}
}
