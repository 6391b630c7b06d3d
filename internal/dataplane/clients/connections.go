package clients

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"puffinlink.example/puffinlink/internal/counters"
)

const (
	// unread is how long the rest of a request may have been here without being read; only after that is it
	// known that the client has stopped half way.
	unread = 300 * time.Millisecond
	// askShare of the lines may have a lookup held at once: far above what usual clients need. The others are for
	// those that come and go, so that a newcomer never waits for a held lookup.
	askShare = 0.8
	// keepShare of the lines may stand idle or held after a lookup. Clients have few descriptors for us themselves, and
	// those that never ask again on a line they keep would use them up: closed, it costs one that does a new line.
	keepShare = 0.4
	fullPoll  = 5 * time.Millisecond
	// A client has so long to end its side after ours, unless its place is needed, and may send so much meanwhile.
	lingers    = time.Second
	mostUnread = 4 * mostBody
)

var errDrained = errors.New("no longer accepting")

type lineKey struct{}

// reason is the code of why a client's line ended, as docs/oncall.md lists them.
type reason string

const (
	whyClient    reason = "closed_by_client"
	whyReset     reason = "reset"
	whySlow      reason = "request_too_slow"
	whySilent    reason = "nothing_asked"
	whyUnwritten reason = "answer_unwritten"
	whyAnswered  reason = "closed_after_answer"
	whyIdle      reason = "idle"
	whyEvicted   reason = "evicted"
	whyShutdown  reason = "shutdown"
)

// line is a client's connection. It notes when a request's first byte came: the client's wait runs from its
// sending, so the byte's time is the nearest and safe side, however late the request's turn comes.
type line struct {
	net.Conn
	of       *lines
	opened   time.Time
	came     atomic.Int64 // when, in ns after opened; 0 until the first byte after an answer
	last     atomic.Int64 // the same of the last byte
	asked    atomic.Bool  // the request is whole, and its answer is not
	answered atomic.Bool  // some answer was given
	ended    atomic.Bool  // by its client
	because  atomic.Value // reason
	once     sync.Once

	idle   bool // an answer is written and no request read since; guarded by of.mu, as are the next three
	holds  bool // a lookup of it is held
	served bool // one was, at any time
	closed bool // on our side: it takes a descriptor until its client has ended too

	readMu   sync.Mutex    // guards what follows, up to overrun
	turn     *sync.Cond    // who reads or follows has stopped
	deadline time.Time     // of reads, as net/http set it
	reads    bool          // net/http does
	shuts    bool          // our side has ended: nothing that comes counts
	leaves   reason        // before its next request, and why; "" if it does not
	follows  bool          // somebody reads on behind a request
	quits    bool          // and is to stop
	ahead    []byte        // what was read so
	aheadErr error         // and how that ended
	overrun  atomic.Bool   // more came than is kept
	left     chan struct{} // closed once the client has left behind what it sent ahead

	headMu sync.Mutex
	head   []byte // what came since the last answer, up to the end of the first head
	headed bool   // that is there
}

func (l *line) Write(b []byte) (int, error) {
	if !l.asked.Load() && l.leaving() {
		return 0, net.ErrClosed // net/http answers half a request too; without an answer its client asks anew
	}
	l.came.Store(0)
	l.answered.Store(true)
	l.headMu.Lock()
	l.head, l.headed = l.head[:0], false
	l.headMu.Unlock()
	n, err := l.Conn.Write(b)
	if err != nil {
		l.end(whyUnwritten)
	}
	return n, err
}

// keep keeps the bytes of a head, of which net/http does not tell all.
func (l *line) keep(b []byte) {
	l.headMu.Lock()
	defer l.headMu.Unlock()
	if l.headed {
		return
	}
	from := max(0, len(l.head)-3)
	l.head = append(l.head, b...)
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(l.head[from:], []byte(end)); i >= 0 {
			l.head, l.headed = l.head[:from+i+1], true
			return
		}
	}
	l.headed = len(l.head) > 2*mostHead // net/http has given up on it long before
}

// framed tells whether a request states the length of its body once at most. Of one that came along with the request
// before the head is not known: it may state a length, but not come in chunks, which could stand beside one.
func (l *line) framed(r *http.Request) bool {
	l.headMu.Lock()
	defer l.headMu.Unlock()
	start, rest, _ := bytes.Cut(bytes.TrimLeft(l.head, "\r\n"), []byte{'\n'})
	if !l.headed || !bytes.HasPrefix(start, []byte(r.Method+" "+r.RequestURI+" ")) {
		return len(r.TransferEncoding) == 0
	}
	stated := 0
	for field := range bytes.SplitSeq(rest, []byte{'\n'}) {
		name, _, _ := bytes.Cut(field, []byte{':'})
		if bytes.EqualFold(name, []byte("Content-Length")) || bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			stated++
		}
	}
	return stated <= 1
}

// arrived is when the request in hand began to come in.
func (l *line) arrived() time.Time {
	if came := l.came.Load(); came != 0 {
		return l.opened.Add(time.Duration(came))
	}
	return time.Now() // it came along with the request before
}

// between tells that the line may be closed without loss: its client has had its answers, and sends a request that
// crosses with the closing again; or it has stopped half way, and nothing whole can be lost. of.mu is held.
func (l *line) between() bool {
	switch {
	case l.asked.Load():
		return false
	case l.idle && l.came.Load() == 0:
		return true
	}
	return time.Since(l.opened)-time.Duration(l.last.Load()) > unread
}

// end notes why the line ends; the first reason stands.
func (l *line) end(why reason) { l.because.CompareAndSwap(nil, why) }

// CloseWrite lets net/http end a line so that its answer is not lost with it.
func (l *line) CloseWrite() error { return l.Conn.(*net.TCPConn).CloseWrite() }

// Close ends our side. Over bytes that nobody has read a close would be a reset, which may cost the client the answer
// before it: so the other side is read to its end, or for a while, and nothing that comes then counts.
func (l *line) Close() error {
	l.once.Do(func() {
		l.of.closing(l)
		l.readMu.Lock()
		l.shuts = true
		l.readMu.Unlock()
		if l.ended.Load() || l.CloseWrite() != nil {
			l.shut()
		} else {
			go l.linger()
		}
	})
	return nil
}

func (l *line) linger() {
	defer l.shut()
	l.readMu.Lock()
	for l.reads || l.follows {
		l.Conn.SetReadDeadline(past)
		l.turn.Wait()
	}
	l.readMu.Unlock()
	l.Conn.SetReadDeadline(time.Now().Add(lingers))
	io.Copy(io.Discard, io.LimitReader(l.Conn, mostUnread))
}

// shut ends the other side too.
func (l *line) shut() {
	l.Conn.Close()
	l.of.ended(l)
}

// lines is the listener that net/http accepts from, and the book of its lines. At the cap it closes a line that
// asks nothing; where there is none yet, newcomers wait in the kernel's queue, where their requests are not lost.
type lines struct {
	listener  *net.TCPListener
	most      int
	mostAhead int // bytes read ahead on one
	log       zerolog.Logger
	count     *counters.Set

	drains atomic.Bool // answers close their lines

	mu   sync.Mutex
	open map[*line]bool
	held int // lines that hold a lookup
}

func newLines(most, memory int, log zerolog.Logger, count *counters.Set) *lines {
	ahead := int(aheadShare * float64(memory) / float64(most))
	return &lines{most: most, mostAhead: min(mostAhead, max(leastAhead, ahead)), log: log, count: count, open: map[*line]bool{}}
}

func (s *lines) Addr() net.Addr { return s.listener.Addr() }

func (s *lines) Close() error { return s.listener.Close() }

func (s *lines) Accept() (net.Conn, error) {
	c, err := s.listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errDrained // which net/http does not take for a passing trouble
	} else if err != nil {
		return nil, err
	}
	s.count.Add("client_lines", "accepted", 1)
	l := &line{Conn: c, of: s, left: make(chan struct{})}
	l.turn = sync.NewCond(&l.readMu)
	for !s.enter(l) {
		time.Sleep(fullPoll)
	}
	return l, nil
}

// enter books a new line. At the cap it has to wait, for one that is told to leave, or for what is left of one that has.
func (s *lines) enter(l *line) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) < s.most {
		l.opened = time.Now() // not when it was accepted: nobody has read from it yet
		s.open[l] = true
		return true
	}
	for o := range s.open {
		if o.closed {
			o.Conn.SetReadDeadline(past)
			return false
		}
	}
	if evicted := s.leastMissed(); evicted != nil {
		evicted.leave(whyEvicted)
	}
	return false
}

// heard is when its last byte came.
func (l *line) heard() time.Time { return l.opened.Add(time.Duration(l.last.Load())) }

// leastMissed finds the line that may be closed and has heard nothing longest; the lock is held. Lines
// on which a lookup was served go only when there are no others: a crowd that says nothing must not cost them theirs.
func (s *lines) leastMissed() *line {
	found, strangers := s.longestIdle(false)
	if strangers == 0 {
		found, _ = s.longestIdle(true)
	}
	return found
}

// longestIdle finds the line that may be closed and has heard nothing longest, among those that had a lookup or those
// that had none, and tells how many these are; the lock is held.
func (s *lines) longestIdle(served bool) (found *line, all int) {
	for l := range s.open {
		if l.closed || l.served != served {
			continue
		}
		all++
		if l.between() && (found == nil || l.heard().Before(found.heard())) {
			found = l
		}
	}
	return found, all
}

// ask tells whether another lookup may be held, and books it.
func (s *lines) ask(l *line) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if float64(s.held) >= askShare*float64(s.most) {
		return false
	}
	s.held++
	l.holds, l.served = true, true
	l.asked.Store(true)
	return true
}

// idles tells whether a line waits for its next request.
func (s *lines) idles(l *line) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.idle
}

// release books that no lookup of a line is held any more; the lock is held.
func (s *lines) release(l *line) {
	if l.holds {
		l.holds = false
		s.held--
	}
}

// changed hears from net/http what a line does.
func (s *lines) changed(c net.Conn, state http.ConnState) {
	l := c.(*line)
	s.mu.Lock()
	var surplus *line
	if l.idle = state == http.StateIdle; l.idle {
		l.asked.Store(false)
		s.release(l)
		if l.served {
			surplus = s.surplus()
		}
	}
	s.mu.Unlock()
	if surplus != nil {
		surplus.leave(whyEvicted)
	}
}

// surplus finds the line that is idle longest, where more are kept than may be; the lock is held.
func (s *lines) surplus() *line {
	found, kept := s.longestIdle(true)
	if float64(kept) <= keepShare*float64(s.most) {
		return nil
	}
	return found
}

// closing notes that our side of a line has ended: nothing of it is held any more but its descriptor.
func (s *lines) closing(l *line) {
	s.mu.Lock()
	l.closed = true
	s.release(l)
	s.mu.Unlock()
	l.end(whyAnswered)
}

// ended notes that both have.
func (s *lines) ended(l *line) {
	s.mu.Lock()
	delete(s.open, l)
	s.mu.Unlock()
	why := string(l.because.Load().(reason))
	s.count.Add("client_lines", why, 1)
	s.log.Info().Str("peer", "client").Str("reason", why).Stringer("address", l.RemoteAddr()).
		Float64("lived_s", time.Since(l.opened).Seconds()).Msg("connection ended")
}

// left tells how many clients have a line that is open on our side, and how many one that is on theirs alone.
func (s *lines) left() (open, half int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.open {
		if l.closed {
			half++
		} else {
			open++
		}
	}
	return open, half
}

// leave lets lines go that are between two requests.
func (s *lines) leave(why reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.open {
		if !l.closed && l.between() {
			l.leave(why)
		}
	}
}
