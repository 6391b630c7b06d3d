package clients

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
)

const (
	// unread is how long the rest of a request may have been here without being read; only after that is it
	// known that the client has stopped half way.
	unread = 300 * time.Millisecond
	// askShare of the connections may have a query held at once: far above what usual clients need. The others are for
	// those that come and go, so that a newcomer never waits for a held query.
	askShare = 0.8
	// keepShare of the connections may stand idle or held after a query. Clients have few descriptors for us themselves, and
	// those that never ask again on a connection they keep would use them up: closed, it costs one that does a new connection.
	keepShare = 0.4
	fullPoll  = 5 * time.Millisecond
	// A client has so long to end its side after ours, unless its place is needed, and may send so much meanwhile.
	lingers    = time.Second
	mostUnread = 4 * mostBody
)

var errDrained = errors.New("no longer accepting")

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

// connections is the listener that net/http accepts from, and the table of its connections. At the cap it closes a connection that
// asks nothing; where there is none yet, newcomers wait in the kernel's queue, where their requests are not lost.
type connections struct {
	listener  *net.TCPListener
	most      int
	mostAhead int // bytes read ahead on one
	log       *zap.Logger
	count     *counters.Set

	drains atomic.Bool // answers close their connections

	mu   sync.Mutex
	open map[*connection]bool
	held int // connections that hold a query
}

func newConnections(most, memory int, log *zap.Logger, count *counters.Set) *connections {
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

// leastMissed finds the connection that may be closed and has heard nothing longest; the lock is held. Connections
// on which a query was served go only when there are no others: a crowd that says nothing must not cost them theirs.
func (s *connections) leastMissed() *connection {
	found, strangers := s.longestIdle(false)
	if strangers == 0 {
		found, _ = s.longestIdle(true)
	}
	return found
}

// longestIdle finds the connection that may be closed and has heard nothing longest, among those that had a query or those
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

// ask tells whether another query may be held, and records it.
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

// release records that no query of a connection is held any more; the lock is held.
func (s *connections) release(conn *connection) {
	if conn.holds {
		conn.holds = false
		s.held--
	}
}

// changed hears from net/http what a connection does.
func (s *connections) changed(c net.Conn, state http.ConnState) {
	conn, isOurs := c.(*connection)
	if !isOurs {
		return
	}
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
	why := string(*conn.because.Load())
	s.count.Add("client_lines", why, 1)
	line := s.log.Check(zap.InfoLevel, "connection ended")
	if line == nil {
		return
	}
	line.Write(
		zap.String("peer", "client"),
		zap.String("reason", why),
		zap.Stringer("address", conn.RemoteAddr()),
		zap.Float64("lived_s", time.Since(conn.opened).Seconds()))
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
