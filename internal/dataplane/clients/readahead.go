package clients

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// Reading of a client's connection, and its end. net/http reads one request and then a single byte, to notice a disconnect;
// with pipelined bytes behind a request it would not notice one until the query ends. And a connection that is closed by
// another goroutine may have been read a moment before: only the reader can tell that nothing was.

// minReadAhead and maxReadAhead bound what is read ahead of the requests in hand, on one connection: at least a request or
// two, at most as much as one body.
const (
	minReadAhead   = 4 << 10
	maxReadAhead   = maxBody
	readAheadShare = 0.05 // of the memory, over all connections
)

// past is a deadline that ends a read at once, before it takes anything.
var past = time.Unix(1, 0)

// Read reads for net/http, from what was read ahead first.
func (conn *connection) Read(b []byte) (n int, err error) {
	ahead := conn.takeReadAhead(b, &n, &err)
	for !ahead {
		n, err = conn.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !conn.continuesReading(len(b) == 1) {
			break
		}
	}
	if n > 0 {
		at := max(1, int64(time.Since(conn.opened)))
		conn.firstByte.CompareAndSwap(0, at)
		conn.lastByte.Store(at)
		conn.recordHead(b[:n])
	}
	if !ahead {
		conn.readMu.Lock()
		conn.reading = false
		if n > 0 && len(b) == 1 && !conn.closing { // net/http looks no further, but the client may leave
			conn.watching = true
			go conn.watchClient()
		}
		conn.readerStopped.Broadcast()
		conn.readMu.Unlock()
	}
	if err != nil {
		conn.recordReadError(err)
	}
	return n, err
}

// takeReadAhead reads from what was read ahead, or else stops watchClient and takes over reading; it tells whether it has read.
func (conn *connection) takeReadAhead(b []byte, n *int, err *error) bool {
	conn.readMu.Lock()
	defer conn.readMu.Unlock()
	if len(conn.readAhead) == 0 {
		conn.stopWatching()
	}
	switch {
	case conn.closing:
		*err = net.ErrClosed
	case len(conn.readAhead) > 0:
		*n = copy(b, conn.readAhead)
		if conn.readAhead = conn.readAhead[*n:]; len(conn.readAhead) == 0 {
			conn.readAhead = nil
		}
	case conn.readAheadErr != nil:
		*err = conn.readAheadErr
	default:
		conn.reading = true
		return false
	}
	return true
}

// stopWatching stops watchClient and waits for it; readMu is held.
func (conn *connection) stopWatching() {
	for conn.watching {
		conn.stopWatch = true
		conn.Conn.SetReadDeadline(past)
		conn.readerStopped.Wait()
	}
	if conn.stopWatch {
		conn.stopWatch = false
		_ = conn.applyReadDeadline() // it fails only on a closed connection, which the next read finds
	}
}

// watchClient reads ahead while a request is handled, to notice its client's disconnect. Bytes beyond the limit are dropped, and
// so the connection ends with the current answer.
func (conn *connection) watchClient() {
	b := make([]byte, minReadAhead)
	for {
		n, err := conn.Conn.Read(b)
		conn.readMu.Lock()
		if available := conn.table.maxReadAhead - len(conn.readAhead); n > available {
			conn.overrun.Store(true)
			n = available
		}
		conn.readAhead = append(conn.readAhead, b[:n]...)
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case err == nil || timedOut && !conn.stopWatch && conn.restoreReadDeadline():
			conn.readMu.Unlock()
			continue
		case !timedOut:
			conn.readAheadErr = err
			close(conn.clientLeft)
			// A time that is up may be one by which net/http stops a read of its own: who reads next finds out.
		}
		conn.watching = false
		conn.readerStopped.Broadcast()
		conn.readMu.Unlock()
		return
	}
}

// clientHasLeft tells whether the client of a request is known to have disconnected.
func (conn *connection) clientHasLeft(request context.Context) bool {
	select {
	case <-conn.clientLeft:
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
	if conn.closing {
		return net.ErrClosed
	}
	return conn.applyReadDeadline()
}

// SetDeadline is SetReadDeadline and SetWriteDeadline.
func (conn *connection) SetDeadline(t time.Time) error {
	return errors.Join(conn.SetReadDeadline(t), conn.SetWriteDeadline(t))
}

// applyReadDeadline sets the read deadline that applies now; readMu is held.
func (conn *connection) applyReadDeadline() error {
	if conn.leaveReason != "" || conn.stopWatch {
		return conn.Conn.SetReadDeadline(past)
	}
	return conn.Conn.SetReadDeadline(conn.deadline)
}

// closeAfterAnswer ends a connection before its next request, at once where none has begun. The reader decides that, so that no
// request is read and dropped.
func (conn *connection) closeAfterAnswer(why reason) {
	conn.readMu.Lock()
	defer conn.readMu.Unlock()
	if conn.leaveReason == "" && !conn.closing {
		conn.leaveReason = why
		_ = conn.applyReadDeadline() // it fails only on a closed connection, which the next read finds
	}
}

// closesAfterAnswer tells whether the current answer is the connection's last.
func (conn *connection) closesAfterAnswer() bool {
	conn.readMu.Lock()
	defer conn.readMu.Unlock()
	return conn.leaveReason != "" || conn.overrun.Load()
}

// continuesReading tells whether a read that ended by its deadline goes on, as that deadline was meant for a connection without a
// request: a read behind a request only waits for a disconnect, and a request that is arriving takes precedence.
func (conn *connection) continuesReading(behind bool) bool {
	conn.readMu.Lock()
	defer conn.readMu.Unlock()
	coming := conn.firstByte.Load() != 0 && time.Since(conn.lastByteAt()) < stallTimeout
	return (behind || coming) && conn.restoreReadDeadline()
}

// restoreReadDeadline puts net/http's own deadline back in place of closeAfterAnswer's, unless it has passed too; readMu is
// held.
func (conn *connection) restoreReadDeadline() bool {
	if conn.closing || conn.leaveReason == "" || !conn.deadline.IsZero() && !time.Now().Before(conn.deadline) {
		return false
	}
	return conn.Conn.SetReadDeadline(conn.deadline) == nil
}

// recordReadError records why reading has ended.
func (conn *connection) recordReadError(err error) {
	conn.readMu.Lock()
	leaves := conn.leaveReason
	conn.readMu.Unlock()
	switch {
	case errors.Is(err, io.EOF):
		conn.clientClosed.Store(true)
		conn.setEndReason(reasonClosedByClient)
	case !errors.Is(err, os.ErrDeadlineExceeded):
		conn.clientClosed.Store(true)
		conn.setEndReason(reasonReset)
	case leaves != "" && !conn.answering.Load():
		conn.setEndReason(leaves)
	case conn.firstByte.Load() != 0:
		conn.setEndReason(reasonRequestTimeout)
	case !conn.answered.Load():
		conn.setEndReason(reasonNoRequest)
	case conn.table.isIdle(conn):
		conn.setEndReason(reasonIdle)
		// Else net/http stopped its own read, to go on to the next request.
	}
}
