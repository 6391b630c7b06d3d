package backends

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"puffinlink.example/puffinlink/internal/eventqueue"
)

// writeTimeout is how long a write may block because the backend leaves data unread and the kernel's buffers are full. Without
// it, the frames that wait behind the write would be delayed without bound.
const writeTimeout = time.Second

// finalReadTimeout is how long a connection is still read after finish. That is enough for data that has already arrived,
// which only has to be read from the kernel's buffers.
const finalReadTimeout = 50 * time.Millisecond

// outgoing is a frame to write. The actor treats a frame that was written in part as not written.
type outgoing struct {
	frameType byte
	calls     []*call // the calls of a call frame, or the one call of a cancel frame
}

// connection is a TCP connection to a backend. Each direction has its own goroutine, so that a blocked write delays neither
// reads nor the actor. mu guards finished; only the backend's actor accesses the fields below finished.
type connection struct {
	socket       net.Conn
	writeTimeout time.Duration // the longest time for a write
	out          *eventqueue.Queue[outgoing]

	mu       sync.Mutex
	finished bool // no more frames are written, and only data that has already arrived is read

	address           string
	opened            time.Time
	lastUsedAt        time.Time            // when the last frame was sent or received
	batchesInFlight   int                  // batches that have calls in flight on the connection
	canceledUntil     map[string]time.Time // by name of a call canceled on the connection: until when a late answer is expected
	lastAnswer        string               // name of the last answer, which may arrive twice
	lastFrameAt       time.Time            // when the last frame was received
	unansweredSince   time.Time            // when the oldest unanswered frame was queued; zero if there is none
	unresponsiveSince time.Time            // when a frame timed out on the connection; zero if none did, or a frame was received since
	partialFrame      bool                 // a frame has arrived in part; it may never be completed, so no new call is sent
	closeReason       reason               // why the actor closed the connection; "" if it did not
}

// reason is the code that logs and metrics show for the end of a connection. docs/oncall.md lists the codes.
type reason string

const (
	reasonIdle           reason = "idle"
	reasonRequested      reason = "closed_on_request"
	reasonNoAnswer       reason = "no_answer"
	reasonAddressChanged reason = "address_changed"
	reasonRestarted      reason = "searcher_restarted"
	reasonRemoved        reason = "searcher_gone"
	reasonShutdown       reason = "shutdown"
	reasonEOF            reason = "ended_by_searcher"
	reasonReset          reason = "reset"
	reasonBadFrame       reason = "bad_frame"
	reasonPartialFrame   reason = "frame_unended"
	reasonUnknownID      reason = "unknown_id"
	reasonFrameRefused   reason = "frame_refused"
	reasonConnectRefused reason = "connect_refused"
	reasonNoDescriptor   reason = "no_descriptor"
	reasonConnectTimeout reason = "connect_timeout"
	reasonWriteFailed    reason = "write_failed"
)

// run serves the connection until it ends, and notifies the actor of the frames that were written and received. It returns
// once both directions have ended and the socket is closed. The caller has to pass the returned message to the actor.
func (conn *connection) run(notify func(message)) (ended message) {
	stop := make(chan struct{})
	var once sync.Once
	var cause reason
	var text string
	end := func(c reason, err error) {
		once.Do(func() {
			cause, text = c, err.Error()
			close(stop)
			if c == reasonWriteFailed { // answers that arrived before the failure count, and may still be unread
				conn.finish()
			} else {
				conn.socket.Close()
			}
		})
	}
	var readers sync.WaitGroup
	readers.Go(func() {
		end(conn.read(notify))
		conn.socket.Close()
	})
	conn.write(notify, stop, end)
	readers.Wait()
	return message{kind: messageConnectionEnded, connection: conn, reason: cause, text: text}
}

// finish ends writing, and lets the reader read the data that has already arrived. A complete answer counts even if its
// connection has failed since.
func (conn *connection) finish() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.finished = true
	conn.socket.SetReadDeadline(time.Now().Add(finalReadTimeout))
	if c, ok := conn.socket.(*net.TCPConn); ok {
		_ = c.CloseWrite() // fails only on a broken connection, and the reader detects that
	}
}

// finishing reports whether finish was called.
func (conn *connection) finishing() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.finished
}

// setReadDeadline sets the read deadline, unless finish has set the final one.
func (conn *connection) setReadDeadline(deadline time.Time) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.finished {
		conn.socket.SetReadDeadline(deadline)
	}
}

// read notifies the actor of received frames until the connection ends or a frame is corrupt, and returns the reason. No data
// after a corrupt frame can be trusted, so read reports at once the call that the frame may name, and its caller closes the
// connection.
func (conn *connection) read(notify func(message)) (reason, error) {
	r := bufio.NewReader(conn.socket)
	corrupt := func(name string, cause reason, err error) (reason, error) {
		notify(message{kind: messageFrameCorrupted, connection: conn, name: name, reason: cause, at: time.Now()})
		return cause, err
	}
	for {
		var frameType byte
		var payload []byte
		_, err := r.Peek(1)
		if err == nil {
			if !buffered(r) {
				notify(message{kind: messageFramePartial, connection: conn})
			}
			conn.setReadDeadline(time.Now().Add(frameTimeout))
			frameType, payload, err = readFrame(r)
		}
		at := time.Now()
		var errno syscall.Errno
		switch {
		case err == nil:
			conn.setReadDeadline(time.Time{})
		case conn.finishing():
			return reasonWriteFailed, err
		case errors.Is(err, io.EOF):
			return reasonEOF, err
		case errors.As(err, &errno), errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrUnexpectedEOF):
			return reasonReset, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			return corrupt("", reasonPartialFrame, err)
		default:
			return corrupt("", reasonBadFrame, err)
		}
		msg := message{kind: messageFrameReceived, connection: conn, frameType: frameType, at: at}
		switch frameType {
		case frameAnswer:
			if msg.answer, err = parseAnswer(payload); err != nil {
				return corrupt(msg.answer.name, reasonBadFrame, err)
			}
		case frameHealthProbe, frameLoadProbe:
			msg.text = string(payload)
			if frameType == frameHealthProbe && msg.text != probeDone && msg.text != probeFailed {
				return corrupt("", reasonBadFrame, malformed("probe answered %.80q", msg.text))
			}
		case frameRefuse:
			return reasonFrameRefused, refusedError(payload)
		default:
			return corrupt("", reasonBadFrame, malformed("unknown letter %q", frameType))
		}
		notify(msg)
	}
}

// splitStartable starts the writes of calls. It returns the calls to write, and those whose write was revoked.
func splitStartable(calls []*call, now time.Time) (startable, revoked []*call) {
	for _, c := range calls {
		if c.startWrite(now) {
			startable = append(startable, c)
		} else {
			revoked = append(revoked, c)
		}
	}
	return startable, revoked
}

// frameStart returns the offset of frame i in a buffer whose frames end at the offsets frameEnds.
func frameStart(frameEnds []int, i int) int {
	if i == 0 {
		return 0
	}
	return frameEnds[i-1]
}

// write writes the queued frames until the connection ends.
func (conn *connection) write(notify func(message), stop chan struct{}, end func(reason, error)) {
	var frames []outgoing
	var buf []byte
	var frameEnds []int // the offset at which each frame ends in buf
	for {
		if cap(buf) > maxFrame { // does not keep the memory of an unusually large batch
			buf = nil
		}
		select {
		case <-stop:
			return
		case <-conn.out.Ready():
		}
		frames = conn.out.Take(frames)
		buf, frameEnds = buf[:0], frameEnds[:0]
		conn.socket.SetWriteDeadline(time.Now().Add(conn.writeTimeout)) // before the writes are started, as the actor may shorten the deadline of started writes
		now := time.Now()
		for i := range frames {
			frame := &frames[i]
			switch frame.frameType {
			case frameCall:
				var revoked []*call
				if frame.calls, revoked = splitStartable(frame.calls, now); len(revoked) > 0 {
					notify(message{kind: messageWriteRevoked, connection: conn, calls: revoked})
				}
				if len(frame.calls) > 0 {
					buf = appendCall(buf, frame.calls, now)
				}
			case frameCancel:
				buf = appendFrame(buf, frameCancel, []byte(frame.calls[0].name)...)
			default:
				buf = appendFrame(buf, frame.frameType)
			}
			frameEnds = append(frameEnds, len(buf))
		}
		if len(buf) == 0 {
			continue
		}
		n, err := conn.socket.Write(buf)
		for i, frame := range frames {
			if n >= frameEnds[i] && frameEnds[i] > frameStart(frameEnds, i) {
				notify(message{kind: messageFrameWritten, connection: conn, frameType: frame.frameType, calls: frame.calls, at: now})
			}
		}
		if err != nil {
			end(reasonWriteFailed, err)
			return
		}
	}
}
