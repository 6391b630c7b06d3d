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

// stuckWrite is how long a backend may leave what we write unread, after all that the kernel's buffers hold:
// what waits behind it is not bounded otherwise.
const stuckWrite = time.Second

// lastReads is how long a connection that is over may still be read: what has come is here, it has to be taken up alone.
const lastReads = 50 * time.Millisecond

// outgoing is what a connection writes at once, in one piece or not at all as far as its backend's actor knows.
type outgoing struct {
	frameType byte
	calls     []*call // S, and C with one
}

// connection is one TCP connection to a backend, with a goroutine for each direction, so that a write that gets stuck holds
// up nothing else. Its fields below out belong to the backend's actor.
type connection struct {
	socket net.Conn
	stuck  time.Duration // that a write may take
	out    *eventqueue.Queue[outgoing]

	mu   sync.Mutex
	over bool // nothing more is written, and only what has come is read

	address     string
	opened      time.Time
	used        time.Time            // last frame either way
	trips       int                  // calls that it carries
	abandoned   map[string]time.Time // names of calls given up on it, which may still be answered, and until when
	last        string               // name of the last answer on it, which may come twice
	heard       time.Time            // last frame that came
	asked       time.Time            // first frame handed to it since; zero if none was
	silentSince time.Time            // when what was asked on it had had its time; zero if something has come since
	half        bool                 // a frame has begun to come; what never ends must not take a call with it
	closing     reason               // why we closed it; "" if we did not
}

// reason is the code of why a connection ended, as docs/oncall.md lists them.
type reason string

const (
	whyIdle       reason = "idle"
	whyAsked      reason = "closed_on_request"
	whySilent     reason = "no_answer"
	whyMoved      reason = "address_changed"
	whyRestarted  reason = "searcher_restarted"
	whyUnnamed    reason = "searcher_gone"
	whyShutdown   reason = "shutdown"
	whyEOF        reason = "ended_by_searcher"
	whyReset      reason = "reset"
	whyBadFrame   reason = "bad_frame"
	whyUnended    reason = "frame_unended"
	whyUnknownID  reason = "unknown_id"
	whyRefused    reason = "frame_refused"
	whyNoConnect  reason = "connect_refused"
	whyNoRoom     reason = "no_descriptor"
	whyLateDial   reason = "connect_timeout"
	whyWriteFails reason = "write_failed"
)

// run serves the connection until it ends, telling the actor what was written and what came. It returns the note of the end, which is for
// the caller to tell, when neither direction can tell anything more and the descriptor is closed.
func (conn *connection) run(tell func(note)) (ended note) {
	stop := make(chan struct{})
	var once sync.Once
	var why reason
	var text string
	end := func(w reason, err error) {
		once.Do(func() {
			why, text = w, err.Error()
			close(stop)
			if w == whyWriteFails { // what came before it counts, and may still be unread
				conn.finish()
			} else {
				conn.socket.Close()
			}
		})
	}
	var readers sync.WaitGroup
	readers.Go(func() {
		end(conn.read(tell))
		conn.socket.Close()
	})
	conn.write(tell, stop, end)
	readers.Wait()
	return note{kind: connectionEnded, connection: conn, why: why, text: text}
}

// finish ends what is written, and leaves the reader a moment for what has come already: an answer that is whole counts,
// whatever became of its connection since.
func (conn *connection) finish() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.over = true
	conn.socket.SetReadDeadline(time.Now().Add(lastReads))
	if c, ok := conn.socket.(*net.TCPConn); ok {
		_ = c.CloseWrite() // it fails only on a connection that is broken, which the reader finds
	}
}

// finishing tells whether the connection is read for the last time.
func (conn *connection) finishing() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.over
}

// readBy sets when the read in hand has to be done, unless it is one of the last.
func (conn *connection) readBy(at time.Time) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.over {
		conn.socket.SetReadDeadline(at)
	}
}

// read tells what comes in until the connection ends or says what can't be read. From there on no frame can be trusted:
// the call that the bad one may mean is told at once, and the connection is closed.
func (conn *connection) read(tell func(note)) (reason, error) {
	r := bufio.NewReader(conn.socket)
	corrupt := func(name string, why reason, err error) (reason, error) {
		tell(note{kind: corrupted, connection: conn, name: name, why: why, at: time.Now()})
		return why, err
	}
	for {
		var frameType byte
		var rest []byte
		_, err := r.Peek(1)
		if err == nil {
			if !buffered(r) {
				tell(note{kind: framePartial, connection: conn})
			}
			conn.readBy(time.Now().Add(frameTime))
			frameType, rest, err = readFrame(r)
		}
		at := time.Now()
		var sys syscall.Errno
		switch {
		case err == nil:
			conn.readBy(time.Time{})
		case conn.finishing():
			return whyWriteFails, err
		case errors.Is(err, io.EOF):
			return whyEOF, err
		case errors.As(err, &sys), errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrUnexpectedEOF):
			return whyReset, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			return corrupt("", whyUnended, err)
		default:
			return corrupt("", whyBadFrame, err)
		}
		n := note{kind: frameReceived, connection: conn, frameType: frameType, at: at}
		switch frameType {
		case frameAnswer:
			if n.answer, err = parseAnswer(rest); err != nil {
				return corrupt(n.answer.name, whyBadFrame, err)
			}
		case frameAlive, frameLoad:
			n.text = string(rest)
			if frameType == frameAlive && n.text != probeDone && n.text != probeFailed {
				return corrupt("", whyBadFrame, malformed("probe answered %.80q", n.text))
			}
		case frameRefuse:
			return whyRefused, refusedError(rest)
		default:
			return corrupt("", whyBadFrame, malformed("unknown letter %q", frameType))
		}
		tell(n)
	}
}

// begin tells calls that may begin from those that may not any more.
func begin(calls []*call, now time.Time) (may, not []*call) {
	for _, c := range calls {
		if c.begin(now) {
			may = append(may, c)
		} else {
			not = append(not, c)
		}
	}
	return may, not
}

// from is where a packet begins.
func from(upTo []int, i int) int {
	if i == 0 {
		return 0
	}
	return upTo[i-1]
}

func (conn *connection) write(tell func(note), stop chan struct{}, end func(reason, error)) {
	var waiting []outgoing
	var buf []byte
	var upTo []int // where each packet ends in buf
	for {
		if cap(buf) > mostFrame { // one large batch is no reason to hold as much for good
			buf = nil
		}
		select {
		case <-stop:
			return
		case <-conn.out.Ready():
		}
		waiting = conn.out.Take(waiting)
		buf, upTo = buf[:0], upTo[:0]
		conn.socket.SetWriteDeadline(time.Now().Add(conn.stuck)) // before the look at what may begin: hurry may cut it short
		now := time.Now()
		for i := range waiting {
			p := &waiting[i]
			switch p.frameType {
			case frameCall:
				var not []*call
				if p.calls, not = begin(p.calls, now); len(not) > 0 {
					tell(note{kind: notBegun, connection: conn, calls: not})
				}
				if len(p.calls) > 0 {
					buf = appendCall(buf, p.calls, now)
				}
			case frameCancel:
				buf = appendFrame(buf, frameCancel, []byte(p.calls[0].name)...)
			default:
				buf = appendFrame(buf, p.frameType)
			}
			upTo = append(upTo, len(buf))
		}
		if len(buf) == 0 {
			continue
		}
		n, err := conn.socket.Write(buf)
		for i, p := range waiting {
			if n >= upTo[i] && upTo[i] > from(upTo, i) {
				tell(note{kind: frameWritten, connection: conn, frameType: p.frameType, calls: p.calls, at: now})
			}
		}
		if err != nil {
			end(whyWriteFails, err)
			return
		}
	}
}
