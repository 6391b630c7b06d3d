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
	// stallTimeout is how long the rest of a request may have been here without being read; only after that is it
	// known that the client has stopped half way.
	stallTimeout = 300 * time.Millisecond
	// queryShare of the connections may have a query held at once: far above what usual clients need. The others are for
	// those that come and go, so that a new connection never waits for a query in progress.
	queryShare = 0.8
	// idleShare of the connections may stand idle or held after a query. Clients have few descriptors for us themselves, and
	// those that never ask again on a connection they keep would use them up: closed, it costs one that does a new connection.
	idleShare    = 0.4
	capacityPoll = 5 * time.Millisecond
	// A client has so long to end its side after ours, unless its place is needed, and may send so much meanwhile.
	lingerTimeout = time.Second
	maxLinger     = 4 * maxBody
)

var errDrained = errors.New("no longer accepting")

const (
	reasonClosedByClient    reason = "closed_by_client"
	reasonReset             reason = "reset"
	reasonRequestTimeout    reason = "request_too_slow"
	reasonNoRequest         reason = "nothing_asked"
	reasonAnswerUnwritten   reason = "answer_unwritten"
	reasonClosedAfterAnswer reason = "closed_after_answer"
	reasonIdle              reason = "idle"
	reasonEvicted           reason = "evicted"
	reasonShutdown          reason = "shutdown"
)

// connections is the listener that net/http accepts from, and the table of its connections. At the limit it evicts a connection
// without a query; where there is none, new connections wait in the kernel's queue, where their requests are not lost.
type connections struct {
	listener     *net.TCPListener
	limit        int
	maxReadAhead int // bytes read ahead on one
	log          *zap.Logger
	counters     *counters.Set

	draining atomic.Bool // answers close their connections

	mu            sync.Mutex
	open          map[*connection]bool
	activeQueries int // connections that hold a query
}

func newConnections(limit, memory int, log *zap.Logger, count *counters.Set) *connections {
	readAhead := int(readAheadShare * float64(memory) / float64(limit))
	return &connections{limit: limit, maxReadAhead: min(maxReadAhead, max(minReadAhead, readAhead)), log: log, counters: count, open: map[*connection]bool{}}
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
	s.counters.Add("client_lines", "accepted", 1)
	conn := &connection{Conn: c, table: s, clientLeft: make(chan struct{})}
	conn.readerStopped = sync.NewCond(&conn.readMu)
	for !s.add(conn) {
		time.Sleep(capacityPoll)
	}
	return conn, nil
}

// add records a new connection. At the limit it fails, and evicts another connection or ends one that lingers.
func (s *connections) add(conn *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) < s.limit {
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
	if evicted := s.evictable(); evicted != nil {
		evicted.closeAfterAnswer(reasonEvicted)
	}
	return false
}

// evictable finds the closable connection that has been silent for longest; the lock is held. Connections that had a query are
// evicted only where there are no others: a crowd that sends nothing must not cost them theirs.
func (s *connections) evictable() *connection {
	found, strangers := s.longestIdle(false)
	if strangers == 0 {
		found, _ = s.longestIdle(true)
	}
	return found
}

// longestIdle finds the closable connection that has been silent for longest, among those that had a query or those that had
// none, and counts these; the lock is held.
func (s *connections) longestIdle(served bool) (found *connection, all int) {
	for conn := range s.open {
		if conn.closed || conn.hadQuery != served {
			continue
		}
		all++
		if conn.closable() && (found == nil || conn.lastByteAt().Before(found.lastByteAt())) {
			found = conn
		}
	}
	return found, all
}

// beginQuery records a query of a connection; it fails where the limit of queries in progress is reached.
func (s *connections) beginQuery(conn *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if float64(s.activeQueries) >= queryShare*float64(s.limit) {
		return false
	}
	s.activeQueries++
	conn.hasQuery, conn.hadQuery = true, true
	conn.answering.Store(true)
	return true
}

// isIdle tells whether a connection waits for its next request.
func (s *connections) isIdle(conn *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return conn.idle
}

// endQuery records the end of a connection's query; the lock is held.
func (s *connections) endQuery(conn *connection) {
	if conn.hasQuery {
		conn.hasQuery = false
		s.activeQueries--
	}
}

// stateChanged is net/http's callback on a connection's state.
func (s *connections) stateChanged(c net.Conn, state http.ConnState) {
	conn, isOurs := c.(*connection)
	if !isOurs {
		return
	}
	s.mu.Lock()
	var surplus *connection
	if conn.idle = state == http.StateIdle; conn.idle {
		conn.answering.Store(false)
		s.endQuery(conn)
		if conn.hadQuery {
			surplus = s.excessIdle()
		}
	}
	s.mu.Unlock()
	if surplus != nil {
		surplus.closeAfterAnswer(reasonEvicted)
	}
}

// excessIdle finds the connection that has been idle for longest, where more than the limit are; the lock is held.
func (s *connections) excessIdle() *connection {
	found, idle := s.longestIdle(true)
	if float64(idle) <= idleShare*float64(s.limit) {
		return nil
	}
	return found
}

// closedByUs records that our side of a connection is closed: only its descriptor is still in use.
func (s *connections) closedByUs(conn *connection) {
	s.mu.Lock()
	conn.closed = true
	s.endQuery(conn)
	s.mu.Unlock()
	conn.setEndReason(reasonClosedAfterAnswer)
}

// closedByBoth records that both sides are closed.
func (s *connections) closedByBoth(conn *connection) {
	s.mu.Lock()
	delete(s.open, conn)
	s.mu.Unlock()
	why := string(*conn.endReason.Load())
	s.counters.Add("client_lines", why, 1)
	entry := s.log.Check(zap.InfoLevel, "connection ended")
	if entry == nil {
		return
	}
	entry.Write(
		zap.String("peer", "client"),
		zap.String("reason", why),
		zap.Stringer("address", conn.RemoteAddr()),
		zap.Float64("lived_s", time.Since(conn.opened).Seconds()))
}

// remaining counts the connections that are open on our side, and those that are open on the client's side alone.
func (s *connections) remaining() (open, half int) {
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

// closeIdle closes connections that are between two requests.
func (s *connections) closeIdle(why reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		if !conn.closed && conn.closable() {
			conn.closeAfterAnswer(why)
		}
	}
}
