package clients

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// This file reads client connections, detects disconnects and closes connections between two requests.
//
// While a request is handled, net/http reads a single byte to detect a disconnect. If the client has pipelined another request,
// that read succeeds, and net/http would detect a disconnect only after the query has ended. A connection therefore reads ahead
// by itself in this case.
//
// If another goroutine closed an idle connection, the reader might just have received a request, which would be lost. Only
// the reader knows that it has received nothing, so it decides when the connection closes.

const (
	// minReadAhead is the lower bound of the bytes that one connection may read ahead. It holds one or two usual requests.
	minReadAhead = 4 << 10
	// maxReadAhead is the upper bound of the bytes that one connection may read ahead: the size of the largest body.
	maxReadAhead = maxBody
	// readAheadShare is the share of the memory that all connections together may use to read ahead.
	readAheadShare = 0.05
)

// expiredDeadline is a read deadline in the past. It ends a read at once, before the read consumes any bytes.
var expiredDeadline = time.Unix(1, 0)

// Read implements net.Conn for net/http. It returns bytes that were read ahead before it reads from the network.
func (conn *connection) Read(b []byte) (n int, err error) {
	fromReadAhead := conn.takeReadAhead(b, &n, &err)
	for !fromReadAhead {
		n, err = conn.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !conn.shouldContinueReading(len(b) == 1) {
			break
		}
	}
	if n > 0 {
		offset := max(1, int64(time.Since(conn.opened)))
		conn.firstByteOffset.CompareAndSwap(0, offset)
		conn.lastByteOffset.Store(offset)
		conn.recordHead(b[:n])
	}
	if !fromReadAhead {
		conn.readMu.Lock()
		conn.reading = false
		if n > 0 && len(b) == 1 && !conn.closing { // net/http stops reading here, but the client may disconnect later
			conn.watcherRunning = true
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

// takeReadAhead sets the result of a Read from the bytes that were read ahead, or from the error that ended reading ahead, and
// reports true. If there is neither, it stops watchClient, marks the caller as the reader and reports false.
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

// stopWatching stops watchClient and waits until it has returned. The caller holds readMu.
func (conn *connection) stopWatching() {
	for conn.watcherRunning {
		conn.stopWatcher = true
		conn.Conn.SetReadDeadline(expiredDeadline)
		conn.readerStopped.Wait()
	}
	if conn.stopWatcher {
		conn.stopWatcher = false
		_ = conn.applyReadDeadline() // fails only on a closed connection, which the next read reports
	}
}

// watchClient reads ahead while a request is handled, to detect a disconnect of its client. It drops bytes beyond the
// connection's limit and sets readAheadOverrun, so that the connection closes after the current answer.
func (conn *connection) watchClient() {
	b := make([]byte, minReadAhead)
	for {
		n, err := conn.Conn.Read(b)
		conn.readMu.Lock()
		if available := conn.table.maxReadAhead - len(conn.readAhead); n > available {
			conn.readAheadOverrun.Store(true)
			n = available
		}
		conn.readAhead = append(conn.readAhead, b[:n]...)
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case err == nil || timedOut && !conn.stopWatcher && conn.restoreReadDeadline():
			conn.readMu.Unlock()
			continue
		case !timedOut:
			conn.readAheadErr = err
			close(conn.clientDisconnected)
			// A deadline that has passed is not recorded as an error, as net/http sets one to stop its own background read.
			// If it still applies, the next read reports it.
		}
		conn.watcherRunning = false
		conn.readerStopped.Broadcast()
		conn.readMu.Unlock()
		return
	}
}

// clientHasDisconnected reports whether the client of a request is known to have disconnected.
func (conn *connection) clientHasDisconnected(request context.Context) bool {
	select {
	case <-conn.clientDisconnected:
		return true
	default:
		return request.Err() != nil
	}
}

// SetReadDeadline implements net.Conn for net/http and the handler. On a connection that closes after its current answer, it
// only records t: the expired deadline stays in place and ends the next read. After Close it has no effect on the socket: net/http
// resets a deadline of its own after it has closed the connection, which would remove the time limit of linger.
func (conn *connection) SetReadDeadline(t time.Time) error {
	conn.readMu.Lock()
	defer conn.readMu.Unlock()
	conn.deadline = t
	if conn.closing {
		return net.ErrClosed
	}
	return conn.applyReadDeadline()
}

// SetDeadline implements net.Conn. It sets the read and the write deadline.
func (conn *connection) SetDeadline(t time.Time) error {
	return errors.Join(conn.SetReadDeadline(t), conn.SetWriteDeadline(t))
}

// applyReadDeadline sets the deadline on the socket: an expired one if reading must stop, else the recorded one. The caller holds
// readMu.
func (conn *connection) applyReadDeadline() error {
	if conn.closeAfterAnswerReason != "" || conn.stopWatcher {
		return conn.Conn.SetReadDeadline(expiredDeadline)
	}
	return conn.Conn.SetReadDeadline(conn.deadline)
}

// closeAfterAnswer closes a connection after its current answer, or at once if no request has begun. It does so by an expired read
// deadline, so that the reader decides and no request is read and then dropped.
func (conn *connection) closeAfterAnswer(cause reason) {
	conn.readMu.Lock()
	defer conn.readMu.Unlock()
	if conn.closeAfterAnswerReason == "" && !conn.closing {
		conn.closeAfterAnswerReason = cause
		_ = conn.applyReadDeadline() // fails only on a closed connection, which the next read reports
	}
}

// closesAfterAnswer reports whether the connection closes after its current answer.
func (conn *connection) closesAfterAnswer() bool {
	conn.readMu.Lock()
	defer conn.readMu.Unlock()
	return conn.closeAfterAnswerReason != "" || conn.readAheadOverrun.Load()
}

// shouldContinueReading reports whether a read that ended by its deadline is to be repeated, and restores net/http's deadline in that
// case. closeAfterAnswer's deadline is meant only for a connection without a request. It therefore doesn't end a read that
// only watches for a disconnect during a request, nor the read of a request that is still arriving.
func (conn *connection) shouldContinueReading(onlyWatching bool) bool {
	conn.readMu.Lock()
	defer conn.readMu.Unlock()
	arriving := conn.firstByteOffset.Load() != 0 && time.Since(conn.lastByteTime()) < stallTimeout
	return (onlyWatching || arriving) && conn.restoreReadDeadline()
}

// restoreReadDeadline replaces closeAfterAnswer's deadline on the socket by net/http's own one. It reports false if that has passed
// too, if the connection is closing, or if closeAfterAnswer was not called. The caller holds readMu.
func (conn *connection) restoreReadDeadline() bool {
	if conn.closing || conn.closeAfterAnswerReason == "" || !conn.deadline.IsZero() && !time.Now().Before(conn.deadline) {
		return false
	}
	return conn.Conn.SetReadDeadline(conn.deadline) == nil
}

// recordReadError records the reason why the connection ends, from the error of a read.
func (conn *connection) recordReadError(err error) {
	conn.readMu.Lock()
	closeReason := conn.closeAfterAnswerReason
	conn.readMu.Unlock()
	switch {
	case errors.Is(err, io.EOF):
		conn.clientClosed.Store(true)
		conn.setEndReason(reasonClosedByClient)
	case !errors.Is(err, os.ErrDeadlineExceeded):
		conn.clientClosed.Store(true)
		conn.setEndReason(reasonReset)
	case closeReason != "" && !conn.answering.Load():
		conn.setEndReason(closeReason)
	case conn.firstByteOffset.Load() != 0:
		conn.setEndReason(reasonRequestTimeout)
	case !conn.answered.Load():
		conn.setEndReason(reasonNoRequest)
	case conn.table.isIdle(conn):
		conn.setEndReason(reasonIdle)
		// Otherwise net/http stopped its own background read, to continue with the next request.
	}
}
