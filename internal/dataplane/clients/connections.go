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
	// askShare of the connections may have a lookup held at once: far above what usual clients need. The others are for
	// those that come and go, so that a newcomer never waits for a held lookup.
	askShare = 0.8
	// keepShare of the connections may stand idle or held after a lookup. Clients have few descriptors for us themselves, and
	// those that never ask again on a connection they keep would use them up: closed, it costs one that does a new connection.
	keepShare = 0.4
	fullPoll  = 5 * time.Millisecond
	// A client has so long to end its side after ours, unless its place is needed, and may send so much meanwhile.
	lingers    = time.Second
	mostUnread = 4 * mostBody
)

var errDrained = errors.New("no longer accepting")

type connectionKey struct{}

// reason is the code of why a client's connection ended, as docs/oncall.md lists them.
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

// connection is a client's connection. It notes when a request's first byte came: the client's wait runs from its
// sending, so the byte's time is the nearest and safe side, however late the request's turn comes.
type connection struct {
	net.Conn
	of       *connections
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

func (conn *connection) Write(b []byte) (int, error) {
	if !conn.asked.Load() && conn.leaving() {
		return 0, net.ErrClosed // net/http answers half a request too; without an answer its client asks anew
	}
	conn.came.Store(0)
	conn.answered.Store(true)
	conn.headMu.Lock()
	conn.head, conn.headed = conn.head[:0], false
	conn.headMu.Unlock()
	n, err := conn.Conn.Write(b)
	if err != nil {
		conn.end(whyUnwritten)
	}
	return n, err
}

// recordHead keeps the bytes of a head, of which net/http does not tell all.
func (conn *connection) recordHead(b []byte) {
	conn.headMu.Lock()
	defer conn.headMu.Unlock()
	if conn.headed {
		return
	}
	from := max(0, len(conn.head)-3)
	conn.head = append(conn.head, b...)
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(conn.head[from:], []byte(end)); i >= 0 {
			conn.head, conn.headed = conn.head[:from+i+1], true
			return
		}
	}
	conn.headed = len(conn.head) > 2*mostHead // net/http has given up on it long before
}

// framed tells whether a request states the length of its body once at most. Of one that came along with the request
// before the head is not known: it may state a length, but not come in chunks, which could stand beside one.
func (conn *connection) framed(r *http.Request) bool {
	conn.headMu.Lock()
	defer conn.headMu.Unlock()
	start, rest, _ := bytes.Cut(bytes.TrimLeft(conn.head, "\r\n"), []byte{'\n'})
	if !conn.headed || !bytes.HasPrefix(start, []byte(r.Method+" "+r.RequestURI+" ")) {
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
func (conn *connection) arrived() time.Time {
	if came := conn.came.Load(); came != 0 {
		return conn.opened.Add(time.Duration(came))
	}
	return time.Now() // it came along with the request before
}

// between tells that the connection may be closed without loss: its client has had its answers, and sends a request that
// crosses with the closing again; or it has stopped half way, and nothing whole can be lost. of.mu is held.
func (conn *connection) between() bool {
	switch {
	case conn.asked.Load():
		return false
	case conn.idle && conn.came.Load() == 0:
		return true
	}
	return time.Since(conn.opened)-time.Duration(conn.last.Load()) > unread
}

// end notes why the connection ends; the first reason stands.
func (conn *connection) end(why reason) { conn.because.CompareAndSwap(nil, why) }

// CloseWrite lets net/http end a connection so that its answer is not lost with it.
func (conn *connection) CloseWrite() error { return conn.Conn.(*net.TCPConn).CloseWrite() }

// Close ends our side. Over bytes that nobody has read a close would be a reset, which may cost the client the answer
// before it: so the other side is read to its end, or for a while, and nothing that comes then counts.
func (conn *connection) Close() error {
	conn.once.Do(func() {
		conn.of.closing(conn)
		conn.readMu.Lock()
		conn.shuts = true
		conn.readMu.Unlock()
		if conn.ended.Load() || conn.CloseWrite() != nil {
			conn.shut()
		} else {
			go conn.linger()
		}
	})
	return nil
}

func (conn *connection) linger() {
	defer conn.shut()
	conn.readMu.Lock()
	for conn.reads || conn.follows {
		conn.Conn.SetReadDeadline(past)
		conn.turn.Wait()
	}
	conn.readMu.Unlock()
	conn.Conn.SetReadDeadline(time.Now().Add(lingers))
	io.Copy(io.Discard, io.LimitReader(conn.Conn, mostUnread))
}

// shut ends the other side too.
func (conn *connection) shut() {
	conn.Conn.Close()
	conn.of.ended(conn)
}

// connections is the listener that net/http accepts from, and the table of its connections. At the cap it closes a connection that
// asks nothing; where there is none yet, newcomers wait in the kernel's queue, where their requests are not lost.
type connections struct {
	listener  *net.TCPListener
	most      int
	mostAhead int // bytes read ahead on one
	log       zerolog.Logger
	count     *counters.Set

	drains atomic.Bool // answers close their connections

	mu   sync.Mutex
	open map[*connection]bool
	held int // connections that hold a lookup
}

func newConnections(most, memory int, log zerolog.Logger, count *counters.Set) *connections {
	ahead := int(aheadShare * float64(memory) / float64(most))
	return &connections{most: most, mostAhead: min(mostAhead, max(leastAhead, ahead)), log: log, count: count, open: map[*connection]bool{}}
}

func (s *connections) Addr() net.Addr { return s.listener.Addr() }

func (s *connections) Close() error { return s.listener.Close() }

func (s *connections) Accept() (net.Conn, error) {
	c, err := s.listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errDrained // which net/http does not take for a passing trouble
	} else if err != nil {
		return nil, err
	}
	s.count.Add("client_lines", "accepted", 1)
	conn := &connection{Conn: c, of: s, left: make(chan struct{})}
	conn.turn = sync.NewCond(&conn.readMu)
	for !s.enter(conn) {
		time.Sleep(fullPoll)
	}
	return conn, nil
}

// enter records a new connection. At the cap it has to wait, for one that is told to leave, or for what is left of one that has.
func (s *connections) enter(conn *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) < s.most {
		conn.opened = time.Now() // not when it was accepted: nobody has read from it yet
		s.open[conn] = true
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
func (conn *connection) heard() time.Time { return conn.opened.Add(time.Duration(conn.last.Load())) }

// leastMissed finds the connection that may be closed and has heard nothing longest; the lock is held. Connections
// on which a lookup was served go only when there are no others: a crowd that says nothing must not cost them theirs.
func (s *connections) leastMissed() *connection {
	found, strangers := s.longestIdle(false)
	if strangers == 0 {
		found, _ = s.longestIdle(true)
	}
	return found
}

// longestIdle finds the connection that may be closed and has heard nothing longest, among those that had a lookup or those
// that had none, and tells how many these are; the lock is held.
func (s *connections) longestIdle(served bool) (found *connection, all int) {
	for conn := range s.open {
		if conn.closed || conn.served != served {
			continue
		}
		all++
		if conn.between() && (found == nil || conn.heard().Before(found.heard())) {
			found = conn
		}
	}
	return found, all
}

// ask tells whether another lookup may be held, and records it.
func (s *connections) ask(conn *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if float64(s.held) >= askShare*float64(s.most) {
		return false
	}
	s.held++
	conn.holds, conn.served = true, true
	conn.asked.Store(true)
	return true
}

// idles tells whether a connection waits for its next request.
func (s *connections) idles(conn *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return conn.idle
}

// release records that no lookup of a connection is held any more; the lock is held.
func (s *connections) release(conn *connection) {
	if conn.holds {
		conn.holds = false
		s.held--
	}
}

// changed hears from net/http what a connection does.
func (s *connections) changed(c net.Conn, state http.ConnState) {
	conn := c.(*connection)
	s.mu.Lock()
	var surplus *connection
	if conn.idle = state == http.StateIdle; conn.idle {
		conn.asked.Store(false)
		s.release(conn)
		if conn.served {
			surplus = s.surplus()
		}
	}
	s.mu.Unlock()
	if surplus != nil {
		surplus.leave(whyEvicted)
	}
}

// surplus finds the connection that is idle longest, where more are kept than may be; the lock is held.
func (s *connections) surplus() *connection {
	found, kept := s.longestIdle(true)
	if float64(kept) <= keepShare*float64(s.most) {
		return nil
	}
	return found
}

// closing notes that our side of a connection has ended: nothing of it is held any more but its descriptor.
func (s *connections) closing(conn *connection) {
	s.mu.Lock()
	conn.closed = true
	s.release(conn)
	s.mu.Unlock()
	conn.end(whyAnswered)
}

// ended notes that both have.
func (s *connections) ended(conn *connection) {
	s.mu.Lock()
	delete(s.open, conn)
	s.mu.Unlock()
	why := string(conn.because.Load().(reason))
	s.count.Add("client_lines", why, 1)
	s.log.Info().Str("peer", "client").Str("reason", why).Stringer("address", conn.RemoteAddr()).
		Float64("lived_s", time.Since(conn.opened).Seconds()).Msg("connection ended")
}

// left tells how many clients have a connection that is open on our side, and how many one that is on theirs alone.
func (s *connections) left() (open, half int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		if conn.closed {
			half++
		} else {
			open++
		}
	}
	return open, half
}

// leave lets connections go that are between two requests.
func (s *connections) leave(why reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		if !conn.closed && conn.between() {
			conn.leave(why)
		}
	}
}
