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

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// reason is the code of the reason why a client's connection ended. docs/oncall.md lists the codes.
type reason string

// connection is a client's connection. It records when the first byte of a request arrived. The client's time-out starts when it
// sends the request, and the arrival of the first byte is the closest time that the server knows, however late it handles
// the request.
type connection struct {
	net.Conn
	table           *connectionTable
	opened          time.Time
	firstByteOffset atomic.Int64 // arrival of the first byte since the last answer, in ns after opened; 0 before it
	lastByteOffset  atomic.Int64 // arrival of the last byte, in ns after opened
	answering       atomic.Bool  // a complete request is being handled or answered
	answered        atomic.Bool  // an answer was written on this connection
	clientClosed    atomic.Bool  // the client closed or reset the connection
	endReason       atomic.Pointer[reason]
	closeOnce       sync.Once

	idle         bool // an answer was written and no request read since; guarded by table.mu, as are the next three
	hasQuery     bool // a query is in progress
	hadQuery     bool // a query was accepted on this connection at any time
	serverClosed bool // the server closed its side; the descriptor stays in use until the client closes too

	readMu                 sync.Mutex    // guards the fields from readerStopped to readAheadErr
	readerStopped          *sync.Cond    // signals that a Read or watchClient has stopped
	deadline               time.Time     // read deadline set by net/http or the handler
	reading                bool          // a Read by net/http is in progress
	closing                bool          // the server has closed its side; further bytes are discarded
	closeAfterAnswerReason reason        // why the connection closes before its next request; "" if it stays open
	watcherRunning         bool          // watchClient runs
	stopWatcher            bool          // watchClient is to stop
	readAhead              []byte        // bytes read by watchClient and not yet returned by Read
	readAheadErr           error         // error that ended watchClient
	readAheadOverrun       atomic.Bool   // the client sent more bytes than the connection may read ahead
	clientDisconnected     chan struct{} // closed once watchClient has detected a disconnect

	headMu       sync.Mutex
	head         []byte // bytes since the last answer, up to the end of the first head
	headComplete bool   // head holds a complete head, or recording has stopped
}

// Write implements net.Conn. A write without a complete request fails on a connection that is to close.
func (conn *connection) Write(b []byte) (int, error) {
	if !conn.answering.Load() && conn.closesAfterAnswer() {
		return 0, net.ErrClosed // net/http also answers an incomplete request; without an answer the client retries it
	}
	conn.firstByteOffset.Store(0)
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

// recordHead records the bytes of a request's head, as net/http doesn't expose the original header fields.
func (conn *connection) recordHead(b []byte) {
	conn.headMu.Lock()
	defer conn.headMu.Unlock()
	if conn.headComplete {
		return
	}
	searchFrom := max(0, len(conn.head)-3)
	conn.head = append(conn.head, b...)
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(conn.head[searchFrom:], []byte(end)); i >= 0 {
			conn.head, conn.headComplete = conn.head[:searchFrom+i+1], true
			return
		}
	}
	conn.headComplete = len(conn.head) > 2*maxHeader // net/http has rejected such a head before
}

// hasUnambiguousLength reports whether a request states the length of its body at most once. The head of a pipelined request is
// not recorded. Such a request may have a Content-Length but must not be chunked, as net/http would hide a Content-Length in addition
// to the Transfer-Encoding.
func (conn *connection) hasUnambiguousLength(r *http.Request) bool {
	conn.headMu.Lock()
	defer conn.headMu.Unlock()
	requestLine, fields, _ := bytes.Cut(bytes.TrimLeft(conn.head, "\r\n"), []byte{'\n'})
	if !conn.headComplete || !bytes.HasPrefix(requestLine, []byte(r.Method+" "+r.RequestURI+" ")) {
		return len(r.TransferEncoding) == 0
	}
	lengthFields := 0
	for field := range bytes.SplitSeq(fields, []byte{'\n'}) {
		name, _, _ := bytes.Cut(field, []byte{':'})
		if bytes.EqualFold(name, []byte("Content-Length")) || bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			lengthFields++
		}
	}
	return lengthFields <= 1
}

// arrivalTime returns when the first byte of the current request arrived.
func (conn *connection) arrivalTime() time.Time {
	if firstByte := conn.firstByteOffset.Load(); firstByte != 0 {
		return conn.opened.Add(time.Duration(firstByte))
	}
	return time.Now() // the first byte arrived together with the previous request
}

// closable reports whether the connection may be closed without losing a request. That is so if the client has had all its answers,
// as it retries a request that races with the close. It is also so if nothing has arrived for stallTimeout and no complete request
// is being handled. The caller holds table.mu.
func (conn *connection) closable() bool {
	switch {
	case conn.answering.Load():
		return false
	case conn.idle && conn.firstByteOffset.Load() == 0:
		return true
	}
	return time.Since(conn.opened)-time.Duration(conn.lastByteOffset.Load()) > stallTimeout
}

// setEndReason records the reason why the connection ends. Only the first call has an effect.
func (conn *connection) setEndReason(cause reason) { conn.endReason.CompareAndSwap(nil, &cause) }

// CloseWrite closes the server's side. net/http calls it to close a connection without losing the last answer.
func (conn *connection) CloseWrite() error {
	if tcp, isTCP := conn.Conn.(*net.TCPConn); isTCP {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close closes the server's side. A full close with unread bytes would send a reset, and the client might lose the answer before
// it. The client's side is therefore read and discarded, until its end or for lingerTimeout.
func (conn *connection) Close() error {
	conn.closeOnce.Do(func() {
		conn.table.recordServerClose(conn)
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

// linger discards what the client still sends and then closes both sides. It ends when the client closes its side, after
// lingerTimeout, or after maxLinger bytes.
func (conn *connection) linger() {
	defer conn.closeBoth()
	conn.readMu.Lock()
	for conn.reading || conn.watcherRunning {
		conn.Conn.SetReadDeadline(expiredDeadline)
		conn.readerStopped.Wait()
	}
	conn.readMu.Unlock()
	conn.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(conn.Conn, maxLinger)) // closeBoth follows in any case
}

// closeBoth closes both sides and removes the connection from the table.
func (conn *connection) closeBoth() {
	conn.Conn.Close()
	conn.table.recordFullClose(conn)
}

// lastByteTime returns when the last byte arrived.
func (conn *connection) lastByteTime() time.Time {
	return conn.opened.Add(time.Duration(conn.lastByteOffset.Load()))
}
