package clients

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

type connectionKey struct{}

// reason is the code of why a client's connection ended, as docs/oncall.md lists them.
type reason string

// connection is a client's connection. It records when a request's first byte arrived: the client's time-out runs from its
// sending, and this is the closest time on the safe side, however late the request is handled.
type connection struct {
	net.Conn
	table        *connections
	opened       time.Time
	firstByte    atomic.Int64 // when, in ns after opened; 0 until the first byte after an answer
	lastByte     atomic.Int64 // the same of the last byte
	answering    atomic.Bool  // the request is complete, and its answer is not
	answered     atomic.Bool  // some answer was given
	clientClosed atomic.Bool  // by its client
	endReason    atomic.Pointer[reason]
	once         sync.Once

	idle     bool // an answer is written and no request read since; guarded by of.mu, as are the next three
	hasQuery bool // a query of it is in progress
	hadQuery bool // a query of it was, at any time
	closed   bool // on our side: it takes a descriptor until its client has ended too

	readMu        sync.Mutex    // guards what follows, up to overrun
	readerStopped *sync.Cond    // who reads or follows has stopped
	deadline      time.Time     // of reads, as net/http set it
	reading       bool          // net/http does
	closing       bool          // our side has ended: nothing that comes counts
	leaveReason   reason        // before its next request, and why; "" if it does not
	watching      bool          // somebody reads on behind a request
	stopWatch     bool          // and is to stop
	readAhead     []byte        // what was read so
	readAheadErr  error         // and how that ended
	overrun       atomic.Bool   // more came than is kept
	clientLeft    chan struct{} // closed once the client has disconnected behind what it pipelined

	headMu       sync.Mutex
	head         []byte // what came since the last answer, up to the end of the first head
	headComplete bool   // that is there
}

func (conn *connection) Write(b []byte) (int, error) {
	if !conn.answering.Load() && conn.closesAfterAnswer() {
		return 0, net.ErrClosed // net/http answers half a request too; without an answer its client asks anew
	}
	conn.firstByte.Store(0)
	conn.answered.Store(true)
	conn.headMu.Lock()
	conn.head, conn.headComplete = conn.head[:0], false
	conn.headMu.Unlock()
	n, err := conn.Conn.Write(b)
	if err != nil {
		conn.setEndReason(reasonAnswerUnwritten)
	}
	return n, err
}

// recordHead records the bytes of a request's head, as net/http does not report all of it.
func (conn *connection) recordHead(b []byte) {
	conn.headMu.Lock()
	defer conn.headMu.Unlock()
	if conn.headComplete {
		return
	}
	from := max(0, len(conn.head)-3)
	conn.head = append(conn.head, b...)
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(conn.head[from:], []byte(end)); i >= 0 {
			conn.head, conn.headComplete = conn.head[:from+i+1], true
			return
		}
	}
	conn.headComplete = len(conn.head) > 2*maxHeader // net/http has canceled on it long before
}

// hasOneLength tells whether a request states the length of its body at most once. The head of a pipelined request is not
// recorded: it may state a length, but not be chunked, as a length could stand beside that.
func (conn *connection) hasOneLength(r *http.Request) bool {
	conn.headMu.Lock()
	defer conn.headMu.Unlock()
	start, fields, _ := bytes.Cut(bytes.TrimLeft(conn.head, "\r\n"), []byte{'\n'})
	if !conn.headComplete || !bytes.HasPrefix(start, []byte(r.Method+" "+r.RequestURI+" ")) {
		return len(r.TransferEncoding) == 0
	}
	stated := 0
	for field := range bytes.SplitSeq(fields, []byte{'\n'}) {
		name, _, _ := bytes.Cut(field, []byte{':'})
		if bytes.EqualFold(name, []byte("Content-Length")) || bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			stated++
		}
	}
	return stated <= 1
}

// arrived is when the first byte of the current request arrived.
func (conn *connection) arrived() time.Time {
	if firstByte := conn.firstByte.Load(); firstByte != 0 {
		return conn.opened.Add(time.Duration(firstByte))
	}
	return time.Now() // it came along with the request before
}

// closable tells whether the connection may be closed without loss: its client has had its answers, and will retry a request
// that races with the close; or a request has stalled, and no complete one can be lost. table.mu is held.
func (conn *connection) closable() bool {
	switch {
	case conn.answering.Load():
		return false
	case conn.idle && conn.firstByte.Load() == 0:
		return true
	}
	return time.Since(conn.opened)-time.Duration(conn.lastByte.Load()) > stallTimeout
}

// setEndReason records why the connection ends; the first reason counts.
func (conn *connection) setEndReason(why reason) { conn.endReason.CompareAndSwap(nil, &why) }

// CloseWrite lets net/http close a connection without losing the answer.
func (conn *connection) CloseWrite() error {
	if tcp, isTCP := conn.Conn.(*net.TCPConn); isTCP {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes our side. With unread bytes a full close would be a reset, which may cost the client the answer before it: so
// the client's side is read to its end, or for lingerTimeout, and discarded.
func (conn *connection) Close() error {
	conn.once.Do(func() {
		conn.table.closedByUs(conn)
		conn.readMu.Lock()
		conn.closing = true
		conn.readMu.Unlock()
		if conn.clientClosed.Load() || conn.CloseWrite() != nil {
			conn.closeBoth()
		} else {
			go conn.linger()
		}
	})
	return nil
}

// linger discards what the client still sends, until its end or a time-out, and then closes both sides.
func (conn *connection) linger() {
	defer conn.closeBoth()
	conn.readMu.Lock()
	for conn.reading || conn.watching {
		conn.Conn.SetReadDeadline(past)
		conn.readerStopped.Wait()
	}
	conn.readMu.Unlock()
	conn.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(conn.Conn, maxLinger)) // however it ends, our side is closed next
}

// closeBoth closes the client's side too.
func (conn *connection) closeBoth() {
	conn.Conn.Close()
	conn.table.closedByBoth(conn)
}

// lastByteAt is when the last byte arrived.
func (conn *connection) lastByteAt() time.Time {
	return conn.opened.Add(time.Duration(conn.lastByte.Load()))
}
