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

// writeTimeout is how long a backend may leave data unread once the kernel's buffers are full: what waits behind it is not
// bounded otherwise.
const writeTimeout = time.Second

// finalReadTimeout is how long a finished connection is still read: what has arrived only has to be taken from the buffers.
const finalReadTimeout = 50 * time.Millisecond

// outgoing is a frame to write, all or nothing as far as its backend's actor knows.
type outgoing struct {
	frameType byte
	calls     []*call // S, and C with one
}

// connection is one TCP connection to a backend, with a goroutine for each direction, so that a write that gets stuck holds
// up nothing else. Its fields below out belong to the backend's actor.
type connection struct {
	socket       net.Conn
	writeTimeout time.Duration // that a write may take
	out          *eventqueue.Queue[outgoing]

	mu       sync.Mutex
	finished bool // nothing more is written, and only what has arrived is read

	address           string
	opened            time.Time
	lastUsedAt        time.Time            // last frame either way
	batchesInFlight   int                  // calls that it carries
	canceledUntil     map[string]time.Time // names of calls canceled on it, and until when they may be answered
	lastAnswer        string               // name of the last answer on it, which may come twice
	lastFrameAt       time.Time            // last frame that came
	unansweredSince   time.Time            // first frame passed to it since; zero if none was
	unresponsiveSince time.Time            // when a frame sent on it timed out; zero if a frame was received since
	partialFrame      bool                 // a frame has arrived in part; as it may never end, no new call is sent
	closeReason       reason               // why we closed it; "" if we did not
}

// reason is the code of why a connection ended, as docs/oncall.md lists them.
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

// run serves the connection until it ends, telling the actor what was written and what came. It returns the note of the end, which is for
// the caller to tell, when neither direction can tell anything more and the descriptor is closed.
func (conn *connection) run(notify func(message)) (ended message) {
	stop := make(chan struct{})
	var once sync.Once
	var cause reason
	var text string
	end := func(c reason, err error) {
		once.Do(func() {
			cause, text = c, err.Error()
			close(stop)
			if c == reasonWriteFailed { // what came before it counts, and may still be unread
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

// finish ends writing, and lets the reader take what has arrived already: a complete answer counts, whatever became of its
// connection since.
func (conn *connection) finish() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.finished = true
	conn.socket.SetReadDeadline(time.Now().Add(finalReadTimeout))
	if c, ok := conn.socket.(*net.TCPConn); ok {
		_ = c.CloseWrite() // it fails only on a connection that is broken, which the reader finds
	}
}

// finishing tells whether the connection is read for the last time.
func (conn *connection) finishing() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.finished
}

// readBy sets the deadline of reads, unless the connection is read for the last time.
func (conn *connection) setReadDeadline(deadline time.Time) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.finished {
		conn.socket.SetReadDeadline(deadline)
	}
}

// read tells what comes in until the connection ends or says what can't be read. From there on no frame can be trusted:
// the call that the bad one may mean is told at once, and the connection is closed.
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

// splitStartable starts the writes of calls, and separates those that must not be written any more.
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

// packetStart is the offset of packet i, of packets that end at upTo.
func frameStart(frameEnds []int, i int) int {
	if i == 0 {
		return 0
	}
	return frameEnds[i-1]
}

// write writes outgoing frames until the connection ends.
func (conn *connection) write(notify func(message), stop chan struct{}, end func(reason, error)) {
	var frames []outgoing
	var buf []byte
	var frameEnds []int // where each packet ends in buf
	for {
		if cap(buf) > maxFrame { // one large batch is no reason to hold as much for good
			buf = nil
		}
		select {
		case <-stop:
			return
		case <-conn.out.Ready():
		}
		frames = conn.out.Take(frames)
		buf, frameEnds = buf[:0], frameEnds[:0]
		conn.socket.SetWriteDeadline(time.Now().Add(conn.writeTimeout)) // before the look at what may begin: hurry may cut it short
		now := time.Now()
		for i := range frames {
			frame := &frames[i]
			switch frame.frameType {
			case frameCall:
				var revoked []*call
				if frame.calls, revoked = splitStartable(frame.calls, now); len(revoked) > 0 {
					notify(message{kind: messageNotStarted, connection: conn, calls: revoked})
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
