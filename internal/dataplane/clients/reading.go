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
// its client leave; whoever sends more behind a request and leaves would be waited for until its lookup ends. And a
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
func (l *line) Read(b []byte) (n int, err error) {
	ahead := l.takeOver(b, &n, &err)
	for !ahead {
		n, err = l.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !l.readsOn(len(b) == 1) {
			break
		}
	}
	if n > 0 {
		at := max(1, int64(time.Since(l.opened)))
		l.came.CompareAndSwap(0, at)
		l.last.Store(at)
		l.keep(b[:n])
	}
	if !ahead {
		l.readMu.Lock()
		l.reads = false
		if n > 0 && len(b) == 1 && !l.shuts { // net/http looks no further, but the client may leave
			l.follows = true
			go l.follow()
		}
		l.turn.Broadcast()
		l.readMu.Unlock()
	}
	if err != nil {
		l.why(err)
	}
	return n, err
}

// takeOver takes from what was read ahead, or else the reading from who follows; it tells whether there was anything.
func (l *line) takeOver(b []byte, n *int, err *error) bool {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	if len(l.ahead) == 0 {
		l.unfollow()
	}
	switch {
	case l.shuts:
		*err = net.ErrClosed
	case len(l.ahead) > 0:
		*n = copy(b, l.ahead)
		if l.ahead = l.ahead[*n:]; len(l.ahead) == 0 {
			l.ahead = nil
		}
	case l.aheadErr != nil:
		*err = l.aheadErr
	default:
		l.reads = true
		return false
	}
	return true
}

// unfollow waits until nobody follows any more; readMu is held.
func (l *line) unfollow() {
	for l.follows {
		l.quits = true
		l.Conn.SetReadDeadline(past)
		l.turn.Wait()
	}
	if l.quits {
		l.quits = false
		l.arm()
	}
}

// follow reads on behind a request that is in hand, to hear of its client's leaving. What comes beyond the bound is not
// kept, and so the connection ends with the answer in hand.
func (l *line) follow() {
	b := make([]byte, leastAhead)
	for {
		n, err := l.Conn.Read(b)
		l.readMu.Lock()
		if room := l.of.mostAhead - len(l.ahead); n > room {
			l.overrun.Store(true)
			n = room
		}
		l.ahead = append(l.ahead, b[:n]...)
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case err == nil || timedOut && !l.quits && l.restored():
			l.readMu.Unlock()
			continue
		case !timedOut:
			l.aheadErr = err
			close(l.left)
			// A time that is up may be one by which net/http stops a read of its own: who reads next finds out.
		}
		l.follows = false
		l.turn.Broadcast()
		l.readMu.Unlock()
		return
	}
}

// hasLeft tells whether the client of a request is known to have left.
func (l *line) hasLeft(request context.Context) bool {
	select {
	case <-l.left:
		return true
	default:
		return request.Err() != nil
	}
}

// SetReadDeadline is net/http's and the handler's; one that is told to leave keeps the deadline that ends its next read. Once
// our side has ended it is without effect: net/http takes back a deadline of its own after it has closed, and with it would
// take back the bound on the client's end.
func (l *line) SetReadDeadline(t time.Time) error {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	l.deadline = t
	if l.shuts {
		return net.ErrClosed
	}
	return l.arm()
}

// SetDeadline is SetReadDeadline and SetWriteDeadline.
func (l *line) SetDeadline(t time.Time) error {
	return errors.Join(l.SetReadDeadline(t), l.SetWriteDeadline(t))
}

// arm sets the deadline that counts; readMu is held.
func (l *line) arm() error {
	if l.leaves != "" || l.quits {
		return l.Conn.SetReadDeadline(past)
	}
	return l.Conn.SetReadDeadline(l.deadline)
}

// leave lets a connection end before its next request: at once where none has begun. Who reads it decides that, so that
// none is read and dropped.
func (l *line) leave(why reason) {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	if l.leaves == "" && !l.shuts {
		l.leaves = why
		l.arm()
	}
}

// leaving tells whether the answer in hand is the last.
func (l *line) leaving() bool {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	return l.leaves != "" || l.overrun.Load()
}

// readsOn tells whether a read that its deadline ended goes on, as that was meant for a connection without a request:
// what net/http reads behind a request only waits for its client's leaving, and a request that is coming in comes first.
func (l *line) readsOn(behind bool) bool {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	coming := l.came.Load() != 0 && time.Since(l.heard()) < unread
	return (behind || coming) && l.restored()
}

// restored puts net/http's own deadline back in place of the one for leaving, unless that has passed too; readMu is held.
func (l *line) restored() bool {
	if l.shuts || l.leaves == "" || !l.deadline.IsZero() && !time.Now().Before(l.deadline) {
		return false
	}
	return l.Conn.SetReadDeadline(l.deadline) == nil
}

// why notes why a read has ended.
func (l *line) why(err error) {
	l.readMu.Lock()
	leaves := l.leaves
	l.readMu.Unlock()
	switch {
	case err == io.EOF:
		l.ended.Store(true)
		l.end(whyClient)
	case !errors.Is(err, os.ErrDeadlineExceeded):
		l.ended.Store(true)
		l.end(whyReset)
	case leaves != "" && !l.asked.Load():
		l.end(leaves)
	case l.came.Load() != 0:
		l.end(whySlow)
	case !l.answered.Load():
		l.end(whySilent)
	case l.of.idles(l):
		l.end(whyIdle)
		// Else net/http stopped its own read, to go on to the next request.
	}
}
