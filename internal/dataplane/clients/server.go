// Package clients is the network side towards clients: net/http's server reads queries, the policy's actor decides, and the
// answer is written in one piece.
package clients

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/policy"
)

const (
	maxBody   = 64 << 10 // what the protocol lets a body hold
	maxHeader = 8 << 10  // many times a query's: at net/http's own 1 MB the connections at the limit would not fit in memory
	// A client that says nothing, or stops in the middle of a head or a body, is owed an end within 3 s of
	// connecting; some of that passes before its connection is accepted.
	requestTimeout = 2 * time.Second
	// One that stops in the middle of reading an answer holds its connection no longer.
	answerTimeout = 10 * time.Second
	// idleTimeout is how long a connection without a request is kept at the least by agreement, and not for good, as some clients
	// never come back on one.
	idleTimeout = 2 * time.Second
	// smallBody is what the body of a usual query takes. Of larger ones only so many are in hand at once that they,
	// their copies while they grow and what they unfold into stay within bodyShare of the memory.
	smallBody       = 4 << 10
	largeBodyMemory = 4 * maxBody
	bodyShare       = 0.2
	// drainNotice is how long a front goes on handing out connections to an aggregator that drains.
	drainNotice = 500 * time.Millisecond
	// A stopping aggregator is killed no sooner than a query's longest time, of which maxQueryTime at most, and killAfter more
	// after the drain began.
	maxQueryTime = 3 * time.Second
	killAfter    = 700 * time.Millisecond
	// Of that it serves on, as others may not be there yet, but for closePeriod: by then all that it took is answered
	// and its clients' connections are closed, each with an answer where they ask on.
	closePeriod  = 500 * time.Millisecond
	closeReserve = 200 * time.Millisecond // of those, for what no query may take any more
	// drainPoll is how long after that the listener's queue is emptied before it is closed.
	drainPoll = 20 * time.Millisecond
)

// Server serves queries over HTTP/1.1.
type Server struct {
	http          *http.Server
	connections   *connections
	events        *eventqueue.Queue[aggregator.Event]
	log           *zap.Logger
	counters      *counters.Set
	names         nameTable
	retryAfter    bool
	answerTimeout time.Duration // that an answer may take to be written
	servePeriod   time.Duration // how long a stopping aggregator takes queries
	answerBy      atomic.Int64  // when each must have its answer once it stops, in Unix ns; 0 before
	largeBodies   chan struct{} // a place for each large body in hand
	stopped       chan struct{}
}

// New makes a server with at most maxConnections connections, which may take memory bytes altogether. It puts its events into
// events.
func New(set settings.Settings, maxConnections, memory int, events *eventqueue.Queue[aggregator.Event], log *zap.Logger, count *counters.Set) *Server {
	s := &Server{events: events, log: log, counters: count, names: newNameTable(set.Net), retryAfter: set.Limits.RetryAfter, answerTimeout: answerTimeout,
		connections: newConnections(maxConnections, memory, log, count), largeBodies: make(chan struct{}, max(1, int(bodyShare*float64(memory)/largeBodyMemory))), stopped: make(chan struct{}, 1)}
	longest := 0.0
	for _, x := range set.Indexes {
		longest = max(longest, x.Hard)
	}
	s.servePeriod = killAfter + min(maxQueryTime, time.Duration(longest*float64(time.Second))) - closePeriod
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), MaxHeaderBytes: maxHeader, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout,
		DisableGeneralOptionsHandler: true, // which answers 200
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: s.connections.stateChanged, ErrorLog: stdlog.New(httpLog{log}, "", 0)}
	return s
}

// httpLog logs what net/http itself reports, a handler's panic above all.
type httpLog struct{ log *zap.Logger }

func (l httpLog) Write(text []byte) (int, error) {
	l.log.Warn("http", zap.String("text", string(text)))
	return len(text), nil
}

// Serve starts to accept connections, until Drain.
func (s *Server) Serve(l *net.TCPListener) {
	s.connections.listener = l
	go func() {
		_ = s.http.Serve(s.connections) // until Drain ends the listener
		s.stopped <- struct{}{}
	}()
}

// Drain is the graceful shutdown. The server goes on serving for as long as a stopping aggregator surely lives, but for the time
// of the last answers, as a front may not have another aggregator yet and clients reuse their connections. Then answers close
// their connections, the listener closes once its queue is empty, and idle connections close. Drain returns once all queries
// are answered.
func (s *Server) Drain() {
	s.answerBy.Store(time.Now().Add(s.servePeriod + closePeriod - closeReserve).UnixNano())
	open := func() bool { n, _ := s.connections.remaining(); return n > 0 }
	for began := time.Now(); time.Since(began) < s.servePeriod && (time.Since(began) < drainNotice || open()); {
		time.Sleep(drainPoll)
	}
	s.connections.draining.Store(true)
	s.connections.listener.SetDeadline(time.Now().Add(drainPoll))
	<-s.stopped
	// Clients send on connections that stay open: an answer tells each that its connection closes. A connection that is closed
	// between two queries may be closed under one that is on its way, so that is left for those that say nothing.
	for began := time.Now(); time.Since(began) < closePeriod-closeReserve && open(); {
		time.Sleep(drainPoll)
	}
	// By the last moment all that was taken is decided. What is open then is a client that does not read its answer, or that
	// trickles a request: nothing is owed to either, and to be killed over them would cost others.
	last := time.Unix(0, s.answerBy.Load()).Add(closeReserve / 2)
	for open() && time.Now().Before(last) {
		s.connections.closeIdle(reasonShutdown)
		time.Sleep(drainPoll)
	}
	// What was answered is not to be reset by our end over what a client has sent since: its own end is waited for.
	until := time.Now().Add(lingerTimeout)
	if last.Before(until) {
		until = last
	}
	for _, half := s.connections.remaining(); half > 0 && time.Now().Before(until); _, half = s.connections.remaining() {
		time.Sleep(drainPoll)
	}
	s.http.Close()
}

// connectionOf is the connection that a request came on: every one has its own in its context.
func connectionOf(r *http.Request) *connection {
	return r.Context().Value(connectionKey{}).(*connection) //nolint:forcetypeassert // a context without one is a mistake in this package
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	conn := connectionOf(r)
	conn.SetWriteDeadline(time.Time{}) // that of the answer before
	index, known := s.names.index(r.URL.Path)
	switch {
	case !conn.hasOneLength(r): // net/http has settled it in its own way, but another query may be hidden in the body
		s.refuse(w, r, http.StatusBadRequest, "the length of the body is stated twice")
	case r.ContentLength > maxBody: // rejected before any of it is read
		s.refuse(w, r, http.StatusRequestEntityTooLarge, tooLarge)
	case r.URL.Path == "/up" && r.Method == http.MethodGet:
		s.write(w, r, http.StatusOK, nil)
	case known && r.Method == http.MethodPost:
		s.handleQuery(w, r, index)
	default:
		s.refuse(w, r, http.StatusNotFound, "there is nothing under this path")
	}
}

var (
	tooLarge = fmt.Sprintf("a body holds at most %d bytes", maxBody)
	errBusy  = errors.New("too many large bodies")
)

// readAll reads a body; a large one counts against the limit of large bodies until done is called.
func (s *Server) readAll(w http.ResponseWriter, r *http.Request) (text []byte, done func(), err error) {
	done = func() {}
	body := http.MaxBytesReader(w, r.Body, maxBody)
	if text, err = io.ReadAll(io.LimitReader(body, smallBody)); err != nil || len(text) < smallBody {
		return text, done, err
	}
	select {
	case s.largeBodies <- struct{}{}:
		done = func() { <-s.largeBodies }
	default:
		return nil, done, errBusy
	}
	remainder, err := io.ReadAll(body)
	return append(text, remainder...), done, err
}

// handleQuery reads a query, passes it to the policy's actor and writes the reply.
func (s *Server) handleQuery(w http.ResponseWriter, r *http.Request, index policy.IndexID) {
	conn := connectionOf(r)
	q := &aggregator.Query{Index: index, Arrived: conn.arrived(), Done: make(chan aggregator.Reply, 1)}
	if err := s.names.readHead(r, q); err != nil {
		s.refuse(w, r, http.StatusBadRequest, err.Error())
		return
	}
	text, done, err := s.readAll(w, r)
	defer done()
	large := (*http.MaxBytesError)(nil)
	switch {
	case errors.As(err, &large):
		s.refuse(w, r, http.StatusRequestEntityTooLarge, tooLarge)
		return
	case errors.Is(err, errBusy):
		s.refuse(w, r, http.StatusServiceUnavailable, err.Error())
		return
	case err != nil:
		s.refuse(w, r, http.StatusBadRequest, "the body can't be read")
		return
	}
	if err := s.names.readBody(text, q); err != nil {
		s.refuse(w, r, http.StatusBadRequest, err.Error())
		return
	}
	if conn.clientHasLeft(r.Context()) { // this one was pipelined, and nobody waits for its answer
		s.write(w, r, http.StatusInternalServerError, nil)
		return
	}
	if !s.connections.beginQuery(conn) {
		s.refuse(w, r, http.StatusServiceUnavailable, "too many lookups at once")
		return
	}
	if ends := s.answerBy.Load(); ends > 0 { // a stopping aggregator can't be waited for longer than it lives
		q.Timeout = min(q.Timeout, max(0, time.Unix(0, ends).Sub(q.Arrived).Seconds()))
	}
	// That of reading goes: from here net/http only watches for the client's disconnect. It fails only on a closed connection, which that finds.
	_ = conn.SetReadDeadline(time.Time{})
	s.events.Put(aggregator.Event{ClientQuery: q, Event: policy.Event{Kind: policy.QueryReceived}})
	select {
	case reply := <-q.Done:
		s.answer(w, r, q, reply)
	case <-conn.clientLeft: // behind what it had pipelined, which net/http does not see
		s.clientLeft(w, r, q)
	case <-r.Context().Done():
		s.clientLeft(w, r, q)
	}
}

// clientLeft reports that a query's client has disconnected.
func (s *Server) clientLeft(w http.ResponseWriter, r *http.Request, q *aggregator.Query) {
	s.events.Put(aggregator.Event{ClientQuery: q, Event: policy.Event{Kind: policy.ClientDisconnected}})
	// Should it still listen, having closed one direction only, net/http's own answer would be an empty 200.
	s.write(w, r, http.StatusInternalServerError, nil)
}

// answer writes a query's reply.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, q *aggregator.Query, reply aggregator.Reply) {
	switch reply.End {
	case aggregator.Satisfied:
		w.Header().Set("Content-Type", "application/json")
		s.write(w, r, http.StatusOK, appendResults(nil, q, reply.Complete))
	case aggregator.Nacked:
		if reply.RetryAfter > 0 && s.retryAfter {
			w.Header().Set("Retry-After", retryAfter(reply.RetryAfter))
		}
		var why []byte
		if reply.Text != "" {
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			why = []byte(reply.Text + ".\n")
		}
		s.write(w, r, http.StatusTooManyRequests, why)
	case aggregator.QueueFull:
		s.write(w, r, http.StatusServiceUnavailable, nil)
	case aggregator.Duplicate:
		s.refuse(w, r, http.StatusConflict, "a lookup of this id is already held")
	default:
		s.write(w, r, http.StatusInternalServerError, nil)
	}
}

// refuse answers a request that never reaches the policy, with one plain sentence, and closes the connection: what follows on
// it may not start where it should, and a client that retries at once has to connect again.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, sentence string) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.write(w, r, status, []byte(sentence+".\n"))
}

// write writes a response.
func (s *Server) write(w http.ResponseWriter, r *http.Request, status int, body []byte) {
	conn := connectionOf(r)
	conn.answering.Store(true)
	s.counters.Add("answers", strconv.Itoa(status), 1)
	conn.SetWriteDeadline(time.Now().Add(s.answerTimeout))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if s.connections.draining.Load() || conn.closesAfterAnswer() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
	w.Write(body)
}
