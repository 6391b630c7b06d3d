package searchers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"puffinlink.example/puffinlink/internal/eventqueue"
)

// stuckWrite is how long a searcher may leave what we write unread, after all that the kernel's buffers hold:
// what waits behind it is not bounded otherwise.
const stuckWrite = time.Second

// lastReads is how long a line that is over may still be read: what has come is here, it has to be taken up alone.
const lastReads = 50 * time.Millisecond

// packet is what a line writes at once, in one piece or not at all as far as its searcher's actor knows.
type packet struct {
	letter byte
	calls  []*call // S, and C with one
}

// line is a connection to a searcher with a goroutine for each direction, so that a write that gets stuck holds
// up nothing else. Its fields below out belong to the searcher's actor.
type line struct {
	conn  net.Conn
	stuck time.Duration // that a write may take
	out   *eventqueue.Box[packet]

	mu   sync.Mutex
	over bool // nothing more is written, and only what has come is read

	address string
	opened  time.Time
	used    time.Time            // last frame either way
	trips   int                  // calls that it carries
	ghosts  map[string]time.Time // names of calls given up on it, which may still be answered, and until when
	last    string               // name of the last answer on it, which may come twice
	heard   time.Time            // last frame that came
	asked   time.Time            // first frame handed to it since; zero if none was
	muteAt  time.Time            // when what was asked on it had had its time; zero if something has come since
	half    bool                 // a frame has begun to come; what never ends must not take a call with it
	closing reason               // why we closed it; "" if we did not
}

// reason is the code of why a line ended, as docs/oncall.md lists them.
type reason string

const (
	whyIdle       reason = "idle"
	whyAsked      reason = "closed_on_request"
	whyMute       reason = "no_answer"
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

// run serves the line until it ends, telling the actor what was written and what came. The last thing it tells
// is the end, when neither direction can tell anything more.
func (l *line) run(tell func(note)) {
	stop := make(chan struct{})
	var once sync.Once
	var why reason
	var text string
	end := func(w reason, err error) {
		once.Do(func() {
			why, text = w, err.Error()
			close(stop)
			if w == whyWriteFails { // what came before it counts, and may still be unread
				l.finish()
			} else {
				l.conn.Close()
			}
		})
	}
	var readers sync.WaitGroup
	readers.Go(func() {
		end(l.read(tell))
		l.conn.Close()
	})
	l.write(tell, stop, end)
	readers.Wait()
	tell(note{kind: lineEnded, line: l, why: why, text: text})
}

// finish ends what is written, and leaves the reader a moment for what has come already: an answer that is whole counts,
// whatever became of its line since.
func (l *line) finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
	l.conn.SetReadDeadline(time.Now().Add(lastReads))
	if c, ok := l.conn.(*net.TCPConn); ok {
		c.CloseWrite()
	}
}

// finishing tells whether the line is read for the last time.
func (l *line) finishing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.over
}

// readBy sets when the read in hand has to be done, unless it is one of the last.
func (l *line) readBy(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.over {
		l.conn.SetReadDeadline(at)
	}
}

// read tells what comes in until the line ends or says what can't be read. From there on no frame can be trusted:
// the call that the bad one may mean is told at once, and the line is closed.
func (l *line) read(tell func(note)) (reason, error) {
	r := bufio.NewReader(l.conn)
	spoilt := func(name string, why reason, err error) (reason, error) {
		tell(note{kind: spoilt, line: l, name: name, why: why, at: time.Now()})
		return why, err
	}
	for {
		var letter byte
		var rest []byte
		_, err := r.Peek(1)
		if err == nil {
			if !buffered(r) {
				tell(note{kind: cameHalf, line: l})
			}
			l.readBy(time.Now().Add(frameTime))
			letter, rest, err = readFrame(r)
		}
		at := time.Now()
		var sys syscall.Errno
		switch {
		case err == nil:
			l.readBy(time.Time{})
		case l.finishing():
			return whyWriteFails, err
		case err == io.EOF:
			return whyEOF, err
		case errors.As(err, &sys), errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrUnexpectedEOF):
			return whyReset, err
		case errors.Is(err, os.ErrDeadlineExceeded):
			return spoilt("", whyUnended, err)
		default:
			return spoilt("", whyBadFrame, err)
		}
		n := note{kind: cameIn, line: l, letter: letter, at: at}
		switch letter {
		case letterAnswer:
			if n.answer, err = parseAnswer(rest); err != nil {
				return spoilt(n.answer.name, whyBadFrame, err)
			}
		case letterAlive, letterLoad:
			n.text = string(rest)
			if letter == letterAlive && n.text != probeDone && n.text != probeFailed {
				return spoilt("", whyBadFrame, fmt.Errorf("probe answered %.80q", n.text))
			}
		case letterRefuse:
			return whyRefused, fmt.Errorf("%.200q", rest)
		default:
			return spoilt("", whyBadFrame, fmt.Errorf("unknown letter %q", letter))
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

func (l *line) write(tell func(note), stop chan struct{}, end func(reason, error)) {
	var waiting []packet
	var buf []byte
	var upTo []int // where each packet ends in buf
	for {
		if cap(buf) > mostFrame { // one large batch is no reason to hold as much for good
			buf = nil
		}
		select {
		case <-stop:
			return
		case <-l.out.Ready():
		}
		waiting = l.out.Take(waiting)
		buf, upTo = buf[:0], upTo[:0]
		l.conn.SetWriteDeadline(time.Now().Add(l.stuck)) // before the look at what may begin: hurry may cut it short
		now := time.Now()
		for i := range waiting {
			p := &waiting[i]
			switch p.letter {
			case letterCall:
				var not []*call
				if p.calls, not = begin(p.calls, now); len(not) > 0 {
					tell(note{kind: notBegun, line: l, calls: not})
				}
				if len(p.calls) > 0 {
					buf = appendCall(buf, p.calls, now)
				}
			case letterCancel:
				buf = appendFrame(buf, letterCancel, []byte(p.calls[0].name)...)
			default:
				buf = appendFrame(buf, p.letter)
			}
			upTo = append(upTo, len(buf))
		}
		if len(buf) == 0 {
			continue
		}
		n, err := l.conn.Write(buf)
		for i, p := range waiting {
			if n >= upTo[i] && upTo[i] > from(upTo, i) {
				tell(note{kind: wentOut, line: l, letter: p.letter, calls: p.calls, at: now})
			}
		}
		if err != nil {
			end(whyWriteFails, err)
			return
		}
	}
}
