// Package clients receives queries from clients over HTTP/1.1 and writes their answers.
//
// Server reads and validates a query, puts it into the queue of the aggregator's actor and waits for the reply. It writes each
// answer in one piece. It answers malformed requests itself, without the actor. If a client disconnects before the reply, Server
// reports that to the actor.
//
// Package node creates one Server for each aggregator. The package never sends a query to a backend and makes no scheduling
// decision.
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
	// maxBody is the largest body in bytes that the protocol allows.
	maxBody = 64 << 10
	// maxHeader is the largest head of a request in bytes, many times that of a usual query. With net/http's default of 1 MB, the
	// heads of the largest number of connections would not fit in memory.
	maxHeader = 8 << 10
	// requestTimeout is the time to read a request. The connection of a client that sends nothing, or stops within a head or a
	// body, must end within 3 s of connecting. Part of that passes before the connection is accepted.
	requestTimeout = 2 * time.Second
	// answerTimeout is the time to write an answer. After it, the connection of a client that has stopped reading is closed.
	answerTimeout = 10 * time.Second
	// idleTimeout is how long a connection without a request is kept. The protocol guarantees clients at least this time.
	// Connections are not kept forever, as some clients never reuse them.
	idleTimeout = 2 * time.Second
	// maxSmallBody is the size in bytes below which a body counts as small. The body of a usual query is smaller.
	maxSmallBody = 4 << 10
	// largeBodyMemory is the memory in bytes that one large body may take, with its copies while it is read and its decoded form.
	largeBodyMemory = 4 * maxBody
	// largeBodyMemoryShare is the share of the memory that all large bodies together may take. It limits how many are read at once.
	largeBodyMemoryShare = 0.2
	// frontDrainDelay is how long a front may still open connections to an aggregator that drains.
	frontDrainDelay = 500 * time.Millisecond
	// maxQueryTime is the upper bound of the longest query time that counts for a shutdown. A stopping aggregator is killed no
	// sooner than this longest query time plus killGracePeriod after the drain began.
	maxQueryTime = 3 * time.Second
	// killGracePeriod is the time between the longest query time and the earliest kill of a stopping aggregator.
	killGracePeriod = 700 * time.Millisecond
	// closePeriod is the end of a stopping aggregator's time, in which it answers all accepted queries and closes their
	// connections. Until then it keeps serving, as its replacement may not be running yet. A client that sends another query in
	// this period gets an answer that closes its connection.
	closePeriod = 500 * time.Millisecond
	// closeReserve is the end of closePeriod, in which no query may be in progress any more.
	closeReserve = 200 * time.Millisecond
	// drainPollInterval is the time between two checks while the server drains. It is also how long the listener's accept queue
	// is emptied before the listener closes.
	drainPollInterval = 20 * time.Millisecond
)

// Server serves queries over HTTP/1.1.
type Server struct {
	http           *http.Server
	connections    *connectionTable
	events         *eventqueue.Queue[aggregator.Event]
	logger         *zap.Logger
	counters       *counters.Set
	names          nameTable
	retryAfter     bool
	answerTimeout  time.Duration // time to write an answer
	servePeriod    time.Duration // how long a stopping aggregator keeps serving
	answerDeadline atomic.Int64  // while draining, the time by which each query must have its answer, in Unix ns; 0 before
	largeBodies    chan struct{} // holds an item for each large body being handled
	stopped        chan struct{} // receives an item once the HTTP server has stopped accepting
}

// New creates a server with at most maxConnections connections, which may use a total of memory bytes. The server puts the events of
// its queries into events.
func New(aggregatorSettings settings.Settings, maxConnections, memory int, events *eventqueue.Queue[aggregator.Event], logger *zap.Logger, counterSet *counters.Set) *Server {
	s := &Server{events: events, logger: logger, counters: counterSet, names: newNameTable(aggregatorSettings.Net), retryAfter: aggregatorSettings.Limits.RetryAfter, answerTimeout: answerTimeout,
		connections: newConnectionTable(maxConnections, memory, logger, counterSet), largeBodies: make(chan struct{}, max(1, int(largeBodyMemoryShare*float64(memory)/largeBodyMemory))), stopped: make(chan struct{}, 1)}
	longest := 0.0
	for _, x := range aggregatorSettings.Indexes {
		longest = max(longest, x.Hard)
	}
	s.servePeriod = killGracePeriod + min(maxQueryTime, time.Duration(longest*float64(time.Second))) - closePeriod
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), MaxHeaderBytes: maxHeader, ReadTimeout: requestTimeout, IdleTimeout: idleTimeout,
		DisableGeneralOptionsHandler: true, // the default handler answers OPTIONS * with 200
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: s.connections.stateChanged, ErrorLog: stdlog.New(httpErrorLog{logger}, "", 0)}
	return s
}

// httpErrorLog logs the errors that net/http's server reports, mainly panics of the handler.
type httpErrorLog struct{ logger *zap.Logger }

func (l httpErrorLog) Write(text []byte) (int, error) {
	l.logger.Warn("http", zap.String("text", string(text)))
	return len(text), nil
}

// Serve starts to accept connections from l, until Drain ends that. It doesn't block.
func (s *Server) Serve(l *net.TCPListener) {
	s.connections.listener = l
	go func() {
		_ = s.http.Serve(s.connections) // until Drain ends the listener
		s.stopped <- struct{}{}
	}()
}

// Drain shuts the server down gracefully. It returns once all queries are answered and all connections are closed. It doesn't wait
// for connections beyond closeReserve/2 before the end of servePeriod and closePeriod.
//
// The server first keeps serving for servePeriod, as a front may not have another aggregator yet and clients reuse their connections.
// If no connection is open, it ends this period after frontDrainDelay. Then each answer closes its connection, the listener closes once
// its accept queue is empty, and idle connections are closed.
func (s *Server) Drain() {
	s.answerDeadline.Store(time.Now().Add(s.servePeriod + closePeriod - closeReserve).UnixNano())
	open := func() bool { n, _ := s.connections.remaining(); return n > 0 }
	for began := time.Now(); time.Since(began) < s.servePeriod && (time.Since(began) < frontDrainDelay || open()); {
		time.Sleep(drainPollInterval)
	}
	s.connections.draining.Store(true)
	s.connections.listener.SetDeadline(time.Now().Add(drainPollInterval))
	<-s.stopped
	// Clients keep sending queries on open connections, and the answer tells each client that its connection closes. Closing a
	// connection between two queries could lose a query that is being sent. Only connections that stay silent are
	// closed in that way, after this wait.
	for began := time.Now(); time.Since(began) < closePeriod-closeReserve && open(); {
		time.Sleep(drainPollInterval)
	}
	// At closeBy all accepted queries have their replies. A connection that is still open belongs to a client that does not read
	// its answer, or sends a request too slowly. The server doesn't wait longer for such clients: if the process were killed
	// meanwhile, other clients would lose their answers.
	closeBy := time.Unix(0, s.answerDeadline.Load()).Add(closeReserve / 2)
	for open() && time.Now().Before(closeBy) {
		s.connections.closeIdle(reasonShutdown)
		time.Sleep(drainPollInterval)
	}
	// Wait until clients close their side. If the process ended before, bytes that a client has sent since its answer would cause a
	// reset, and the client might lose the answer.
	until := time.Now().Add(lingerTimeout)
	if closeBy.Before(until) {
		until = closeBy
	}
	for _, halfClosed := s.connections.remaining(); halfClosed > 0 && time.Now().Before(until); _, halfClosed = s.connections.remaining() {
		time.Sleep(drainPollInterval)
	}
	s.http.Close()
}

// connectionOf returns the connection on which a request arrived. The context of each request holds it.
func connectionOf(r *http.Request) *connection {
	return r.Context().Value(connectionKey{}).(*connection) //nolint:forcetypeassert // a context without a connection is a bug in this package
}

// handle is the handler of all requests.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	conn := connectionOf(r)
	conn.SetWriteDeadline(time.Time{}) // remove the deadline of the previous answer
	index, known := s.names.index(r.URL.Path)
	switch {
	case !conn.hasUnambiguousLength(r): // net/http accepts some of these, but another parser may see a second request in the body
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

// readAll reads a body. A large body occupies a place in largeBodies until done is called; without a free place the error is
// errBusy.
func (s *Server) readAll(w http.ResponseWriter, r *http.Request) (text []byte, done func(), err error) {
	done = func() {}
	body := http.MaxBytesReader(w, r.Body, maxBody)
	if text, err = io.ReadAll(io.LimitReader(body, maxSmallBody)); err != nil || len(text) < maxSmallBody {
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

// handleQuery reads a query, passes it to the aggregator's actor and writes the reply.
func (s *Server) handleQuery(w http.ResponseWriter, r *http.Request, index policy.IndexID) {
	conn := connectionOf(r)
	q := &aggregator.Query{Index: index, Arrived: conn.arrivalTime(), Done: make(chan aggregator.Reply, 1)}
	if err := s.names.readHead(r, q); err != nil {
		s.refuse(w, r, http.StatusBadRequest, err.Error())
		return
	}
	text, done, err := s.readAll(w, r)
	defer done()
	tooLargeErr := (*http.MaxBytesError)(nil)
	switch {
	case errors.As(err, &tooLargeErr):
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
	if conn.clientHasDisconnected(r.Context()) { // a pipelined query whose client has disconnected
		s.write(w, r, http.StatusInternalServerError, nil)
		return
	}
	if !s.connections.beginQuery(conn) {
		s.refuse(w, r, http.StatusServiceUnavailable, "too many lookups at once")
		return
	}
	if answerBy := s.answerDeadline.Load(); answerBy > 0 { // while draining, no query may wait beyond the end of the process
		q.Timeout = min(q.Timeout, max(0, time.Unix(0, answerBy).Sub(q.Arrived).Seconds()))
	}
	// Remove the read deadline: from here on net/http only watches for a disconnect. The call fails only on a closed connection,
	// which net/http detects.
	_ = conn.SetReadDeadline(time.Time{})
	s.events.Put(aggregator.Event{ClientQuery: q, Event: policy.Event{Kind: policy.QueryReceived}})
	select {
	case reply := <-q.Done:
		s.answer(w, r, q, reply)
	case <-conn.clientDisconnected: // detected after pipelined bytes, which hide the disconnect from net/http
		s.reportDisconnect(w, r, q)
	case <-r.Context().Done():
		s.reportDisconnect(w, r, q)
	}
}

// reportDisconnect reports to the aggregator that a query's client has disconnected.
func (s *Server) reportDisconnect(w http.ResponseWriter, r *http.Request, q *aggregator.Query) {
	s.events.Put(aggregator.Event{ClientQuery: q, Event: policy.Event{Kind: policy.ClientDisconnected}})
	// The client may have closed only its sending side and still read. Without this answer net/http would send an empty 200.
	s.write(w, r, http.StatusInternalServerError, nil)
}

// answer writes the reply to a query.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, q *aggregator.Query, reply aggregator.Reply) {
	switch reply.End {
	case aggregator.Satisfied:
		w.Header().Set("Content-Type", "application/json")
		s.write(w, r, http.StatusOK, appendResults(nil, q, reply.Complete))
	case aggregator.Rejected:
		if reply.RetryAfter > 0 && s.retryAfter {
			w.Header().Set("Retry-After", formatRetryAfter(reply.RetryAfter))
		}
		var text []byte
		if reply.Text != "" {
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			text = []byte(reply.Text + ".\n")
		}
		s.write(w, r, http.StatusTooManyRequests, text)
	case aggregator.QueueFull:
		s.write(w, r, http.StatusServiceUnavailable, nil)
	case aggregator.Duplicate:
		s.refuse(w, r, http.StatusConflict, "a lookup of this id is already held")
	default:
		s.write(w, r, http.StatusInternalServerError, nil)
	}
}

// refuse answers a request that never reaches the policy with one sentence, and closes the connection. The server may not know
// where the next request on it starts. Closing also makes a client that retries at once connect again.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, message string) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.write(w, r, status, []byte(message+".\n"))
}

// write writes a response and counts it by status. It closes the connection after the response while the server drains, or if the
// connection is marked to close.
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
