package searchers

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"puffinlink.example/puffinlink/internal/mailbox"
)

// packet is what a line writes at once, in one piece or not at all as far as its searcher's actor knows.
type packet struct {
	letter byte
	calls  []*call // S
	name   string  // C
}

// line is a connection to a searcher with a goroutine for each direction, so that a write that gets stuck holds
// up nothing else. Its fields below out belong to the searcher's actor.
type line struct {
	conn net.Conn
	out  *mailbox.Box[packet]

	address string
	opened  time.Time
	used    time.Time            // last frame either way
	trips   int                  // calls that it carries
	ghosts  map[string]time.Time // names of calls given up on it, which may still be answered, and until when they matter
	closing reason               // why we closed it; "" if we did not
}

// reason is the code of why a line ended, as docs/oncall.md lists them.
type reason string

const (
	whyIdle       reason = "idle"
	whyAsked      reason = "closed_on_request"
	whyMoved      reason = "address_changed"
	whyRestarted  reason = "searcher_restarted"
	whyUnnamed    reason = "searcher_gone"
	whyShutdown   reason = "shutdown"
	whyEOF        reason = "ended_by_searcher"
	whyReset      reason = "reset"
	whyBadFrame   reason = "bad_frame"
	whyRefused    reason = "frame_refused"
	whyNoConnect  reason = "connect_refused"
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
			l.conn.Close()
		})
	}
	var readers sync.WaitGroup
	readers.Go(func() { end(l.read(tell)) })
	l.write(tell, stop, end)
	readers.Wait()
	tell(note{kind: lineEnded, line: l, why: why, text: text})
}

func (l *line) read(tell func(note)) (reason, error) {
	r := bufio.NewReader(l.conn)
	for {
		letter, rest, err := readFrame(r)
		at := time.Now()
		var sys syscall.Errno
		switch {
		case err == nil:
		case err == io.EOF:
			return whyEOF, err
		case errors.As(err, &sys), errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrUnexpectedEOF):
			return whyReset, err
		default:
			return whyBadFrame, err
		}
		n := note{kind: cameIn, line: l, letter: letter, at: at}
		switch letter {
		case letterAnswer:
			if n.answer, err = parseAnswer(rest); err != nil {
				return whyBadFrame, err
			}
		case letterAlive, letterLoad:
			n.text = string(rest)
		case letterRefuse:
			return whyRefused, errors.New(string(rest))
		default:
			return whyBadFrame, errors.New("unknown letter " + string(rune(letter)))
		}
		tell(n)
	}
}

func (l *line) write(tell func(note), stop chan struct{}, end func(reason, error)) {
	var waiting []packet
	var buf []byte
	var upTo []int // where each packet ends in buf
	for {
		select {
		case <-stop:
			return
		case <-l.out.Ready():
		}
		waiting = l.out.Take(waiting)
		buf, upTo = buf[:0], upTo[:0]
		now := time.Now()
		for _, p := range waiting {
			switch p.letter {
			case letterCall:
				buf = appendCall(buf, p.calls, now)
			case letterCancel:
				buf = appendFrame(buf, letterCancel, []byte(p.name)...)
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
			if n >= upTo[i] && p.letter != letterCancel {
				tell(note{kind: wentOut, line: l, letter: p.letter, calls: p.calls})
			}
		}
		if err != nil {
			end(whyWriteFails, err)
			return
		}
	}
}
