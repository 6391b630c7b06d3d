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
	// stallTimeout is the time without a byte after which an incomplete request counts as stalled. Until then the rest
	// may have arrived and not been read yet.
	stallTimeout = 300 * time.Millisecond
	// queryShare is the share of the connections that may have a query in progress at once. It is far above what usual clients
	// need. The other connections are left for clients that connect and disconnect, so that a new connection never waits for
	// a query in progress.
	queryShare = 0.8
	// idleShare is the share of the connections that may stay open after they have served a query, whether idle or with
	// another query in progress. Clients that keep connections without using them again would use up the descriptors, of which
	// clients have few themselves. A client that does use a closed connection again only has to open a new one.
	idleShare = 0.4
	// capacityPollInterval is the time between two attempts to add a connection while the table is full.
	capacityPollInterval = 5 * time.Millisecond
	// lingerTimeout is how long a client may take to close its side after the server has closed its own. It ends early if the
	// connection's place is needed.
	lingerTimeout = time.Second
	// maxLinger is the number of bytes that a client may send during lingerTimeout.
	maxLinger = 4 * maxBody
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

// connectionTable is the listener that net/http accepts from, and the table of its connections. At the limit it evicts a connection
// without a query. If there is none, new connections wait in the kernel's accept queue, which keeps the requests sent on them.
type connectionTable struct {
	listener     *net.TCPListener
	limit        int
	maxReadAhead int // bytes that one connection may read ahead
	logger       *zap.Logger
	counters     *counters.Set

	draining atomic.Bool // each answer closes its connection

	mu            sync.Mutex
	open          map[*connection]bool
	activeQueries int // connections that have a query in progress
}

func newConnectionTable(limit, memory int, logger *zap.Logger, counterSet *counters.Set) *connectionTable {
	readAhead := int(readAheadShare * float64(memory) / float64(limit))
	return &connectionTable{limit: limit, maxReadAhead: min(maxReadAhead, max(minReadAhead, readAhead)), logger: logger, counters: counterSet, open: map[*connection]bool{}}
}

func (s *connectionTable) Addr() net.Addr { return s.listener.Addr() }

func (s *connectionTable) Close() error { return s.listener.Close() }

// Accept implements net.Listener. It waits until the new connection has a place in the table.
func (s *connectionTable) Accept() (net.Conn, error) {
	c, err := s.listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errDrained // net/http would retry a time-out as a temporary error
	} else if err != nil {
		return nil, err
	}
	s.counters.Add("client_lines", "accepted", 1)
	conn := &connection{Conn: c, table: s, clientDisconnected: make(chan struct{})}
	conn.readerStopped = sync.NewCond(&conn.readMu)
	for !s.add(conn) {
		time.Sleep(capacityPollInterval)
	}
	return conn, nil
}

// add adds a new connection to the table. At the limit it reports false, and ends a connection that lingers or evicts another one.
func (s *connectionTable) add(conn *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) < s.limit {
		conn.opened = time.Now() // later than the accept, as nothing is read from a connection before it is added
		s.open[conn] = true
		return true
	}
	for o := range s.open {
		if o.serverClosed {
			o.Conn.SetReadDeadline(expiredDeadline)
			return false
		}
	}
	if evicted := s.evictable(); evicted != nil {
		evicted.closeAfterAnswer(reasonEvicted)
	}
	return false
}

// evictable returns the closable connection that has been silent for longest, or nil. It returns a connection that had a query
// only if every connection had one: many connections that send nothing must not displace those of active clients. The
// caller holds mu.
func (s *connectionTable) evictable() *connection {
	found, neverQueried := s.longestIdle(false)
	if neverQueried == 0 {
		found, _ = s.longestIdle(true)
	}
	return found
}

// longestIdle returns the closable connection that has been silent for longest, among those that had a query or those that had
// none, as hadQuery says. It also returns the number of connections in that group. The caller holds mu.
func (s *connectionTable) longestIdle(hadQuery bool) (found *connection, count int) {
	for conn := range s.open {
		if conn.serverClosed || conn.hadQuery != hadQuery {
			continue
		}
		count++
		if conn.closable() && (found == nil || conn.lastByteTime().Before(found.lastByteTime())) {
			found = conn
		}
	}
	return found, count
}

// beginQuery records that a connection has a query in progress. It reports false if the limit of queries in progress is reached.
func (s *connectionTable) beginQuery(conn *connection) bool {
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

// isIdle reports whether a connection waits for its next request.
func (s *connectionTable) isIdle(conn *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return conn.idle
}

// endQuery records that a connection has no query in progress any more. The caller holds mu.
func (s *connectionTable) endQuery(conn *connection) {
	if conn.hasQuery {
		conn.hasQuery = false
		s.activeQueries--
	}
}

// stateChanged is the ConnState callback of net/http's server. It records whether a connection is idle, and evicts a connection
// where too many have served a query.
func (s *connectionTable) stateChanged(c net.Conn, state http.ConnState) {
	conn, isOurs := c.(*connection)
	if !isOurs {
		return
	}
	s.mu.Lock()
	var excess *connection
	if conn.idle = state == http.StateIdle; conn.idle {
		conn.answering.Store(false)
		s.endQuery(conn)
		if conn.hadQuery {
			excess = s.excessIdle()
		}
	}
	s.mu.Unlock()
	if excess != nil {
		excess.closeAfterAnswer(reasonEvicted)
	}
}

// excessIdle returns the closable connection that has been silent for longest after a query, if more than idleShare of the
// connections have served one, and else nil. The caller holds mu.
func (s *connectionTable) excessIdle() *connection {
	found, idle := s.longestIdle(true)
	if float64(idle) <= idleShare*float64(s.limit) {
		return nil
	}
	return found
}

// recordServerClose records that the server has closed its side of a connection. From then on only the descriptor is in use.
func (s *connectionTable) recordServerClose(conn *connection) {
	s.mu.Lock()
	conn.serverClosed = true
	s.endQuery(conn)
	s.mu.Unlock()
	conn.setEndReason(reasonClosedAfterAnswer)
}

// recordFullClose removes a connection of which both sides are closed, and counts and logs the reason of its end.
func (s *connectionTable) recordFullClose(conn *connection) {
	s.mu.Lock()
	delete(s.open, conn)
	s.mu.Unlock()
	endReason := string(*conn.endReason.Load())
	s.counters.Add("client_lines", endReason, 1)
	entry := s.logger.Check(zap.InfoLevel, "connection ended")
	if entry == nil {
		return
	}
	entry.Write(
		zap.String("peer", "client"),
		zap.String("reason", endReason),
		zap.Stringer("address", conn.RemoteAddr()),
		zap.Float64("lived_s", time.Since(conn.opened).Seconds()))
}

// remaining returns the number of connections that are open on the server's side, and the number of those that are open on the
// client's side only.
func (s *connectionTable) remaining() (open, halfClosed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		if conn.serverClosed {
			halfClosed++
		} else {
			open++
		}
	}
	return open, halfClosed
}

// closeIdle closes the connections that are between two requests or have stalled.
func (s *connectionTable) closeIdle(cause reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.open {
		if !conn.serverClosed && conn.closable() {
			conn.closeAfterAnswer(cause)
		}
	}
}
