package clients

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/leaktest"
	"puffinlink.example/puffinlink/policy"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// waitForNoConnections waits until the server has no connections, half-closed connections or queries in progress.
func (r *fixture) waitForNoConnections() {
	r.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		open, halfClosed := r.connections.remaining()
		r.connections.mu.Lock()
		activeQueries := r.connections.activeQueries
		r.connections.mu.Unlock()
		if open == 0 && halfClosed == 0 && activeQueries == 0 {
			return
		}
		if time.Now().After(deadline) {
			r.Fatalf("%d connections open, %d half-closed, %d queries in progress; want none", open, halfClosed, activeQueries)
		}
	}
}

// pipelined returns the text of a valid request with the given query ID.
func pipelined(id string) string {
	return request("/reads", strings.Replace(validHead, "ab12", id, 1), validBody)
}

// Guards against disconnects that are detected only after the answer: net/http does not see one behind pipelined bytes. A client may
// close its connection, close only its sending side, or reset the connection.
func TestDisconnectBehindPipelinedRequestsIsReported(t *testing.T) {
	for name, ahead := range map[string]string{"byte": "P", "request": pipelined("second"), "many": strings.Repeat(pipelined("second"), 100)} {
		for _, ending := range []string{"fin", "half", "reset"} {
			r := newFixture(t, 100, nil)
			c := r.dial()
			io.WriteString(c, pipelined("first")+ahead)
			q := r.expectEvent(policy.QueryReceived)
			switch tcp := c.Conn.(*net.TCPConn); ending {
			case "fin":
				tcp.Close()
			case "half":
				tcp.CloseWrite()
			case "reset":
				tcp.SetLinger(0)
				tcp.Close()
			}
			if disconnected := r.expectEvent(policy.ClientDisconnected); disconnected != q {
				t.Fatalf("%s, %s: query %q is reported as disconnected, want the first one", name, ending, disconnected.ID)
			}
			c.Close()
			r.waitForNoConnections()
			if remaining := r.events.Remaining(); len(remaining) != 0 { // the pipelined requests
				t.Fatalf("%s, %s: query %q reached the aggregator after its client had disconnected", name, ending, remaining[0].ClientQuery.ID)
			}
		}
	}
}

// Pipelined requests within the read-ahead limit are answered in order, and the connection stays open.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	r := newFixture(t, 100, nil)
	c := r.dial()
	io.WriteString(c, pipelined("a")+pipelined("b"))
	for _, id := range []string{"a", "b", "c"} {
		q := r.expectEvent(policy.QueryReceived)
		if q.ID != id {
			t.Fatalf("got query %q, want %q", q.ID, id)
		}
		if id == "a" {
			io.WriteString(c, pipelined("c")[:40])
			io.WriteString(c, pipelined("c")[40:])
		}
		q.Done <- aggregator.Reply{End: aggregator.Rejected}
		if head, _ := c.expect(429); head.Get("Connection") == "close" {
			t.Fatalf("the answer to %q closes the connection", id)
		}
	}
}

// Pipelined bytes beyond the read-ahead limit are dropped. The current answer is complete and closes the connection, and no pipelined
// request reaches the aggregator.
func TestPipelinedBytesBeyondTheLimitEndTheConnection(t *testing.T) {
	r := newFixture(t, 100, nil)
	c, other := r.dial(), r.dial()
	io.WriteString(c, pipelined("first"))
	q := r.expectEvent(policy.QueryReceived)
	if _, err := io.WriteString(c, strings.Repeat(pipelined("more"), 2*maxReadAhead/len(pipelined("more")))); err != nil {
		t.Fatal(err)
	}
	r.waitForReadAheadOverrun()
	other.sendQuery()
	r.expectEvent(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Rejected}
	other.expect(429)
	q.Done <- aggregator.Reply{End: aggregator.Rejected}
	if head, _ := c.expect(429); head.Get("Connection") != "close" {
		t.Fatal("the connection stays open")
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Fatalf("the connection ended by %v, want io.EOF", err)
	}
	c.Close()
	other.Close()
	r.waitForNoConnections()
	if remaining := r.events.Remaining(); len(remaining) != 0 {
		t.Fatalf("%d more events, want none", len(remaining))
	}
}

// waitForReadAheadOverrun waits until a client has sent more bytes than its connection may read ahead.
func (r *fixture) waitForReadAheadOverrun() {
	r.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		r.connections.mu.Lock()
		for conn := range r.connections.open {
			if conn.readAheadOverrun.Load() {
				r.connections.mu.Unlock()
				return
			}
		}
		r.connections.mu.Unlock()
		if time.Now().After(deadline) {
			r.Fatal("no connection exceeded the read-ahead limit")
		}
	}
}

// Guards against a full close of a connection with unread bytes. It would send a reset, and the client might lose the answer before
// it.
func TestAnAnswerBeforeUnreadBytesIsNotReset(t *testing.T) {
	r := newFixture(t, 100, nil)
	c := r.dial()
	io.WriteString(c, strings.Replace(pipelined("x"), "Req-Deadline: 0.480", "Req-Deadline: never", 1)+strings.Repeat("x", 100<<10))
	if head, _ := c.expect(400); head.Get("Connection") != "close" {
		t.Fatal("the connection stays open")
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Fatalf("the connection ended by %v, want io.EOF", err)
	}
	if _, err := io.WriteString(c, "more"); err != nil {
		t.Fatal(err)
	}
	c.Close()
	r.waitForNoConnections()
}

// A drain ends an idle connection, and one with a partial request, without a reset. A request that is sent after the close never
// reaches the aggregator.
func TestBytesAfterTheCloseAreDiscarded(t *testing.T) {
	r := newFixture(t, 100, func(s *Server) { s.servePeriod = time.Millisecond })
	idle, partial := r.dial(), r.dial()
	idle.sendQuery()
	r.expectEvent(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Rejected}
	idle.expect(429)
	io.WriteString(partial, "POST /reads HTTP/1.1\r\nReq-Id: half")
	drained := make(chan struct{})
	go func() { r.Drain(); close(drained) }()
	for _, c := range []*client{idle, partial} {
		if _, err := c.in.ReadByte(); err != io.EOF {
			t.Fatalf("the connection ended by %v, want io.EOF", err)
		}
	}
	if _, err := io.WriteString(idle, pipelined("after")); err != nil {
		t.Fatal(err)
	}
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Fatalf("the connection ended by %v, want io.EOF", err)
	}
	idle.Close()
	partial.Close()
	<-drained
	r.waitForNoConnections()
	if remaining := r.events.Remaining(); len(remaining) != 0 {
		t.Fatalf("%+v reached the aggregator", remaining[0].ClientQuery)
	}
}

// A drain ends in time although one client does not read its answer, one sends a head byte by byte, and one a body. The query in
// progress is answered before.
func TestStopDoesNotWaitForClientsThatNeverClose(t *testing.T) {
	r := newFixture(t, 100, func(s *Server) {
		s.servePeriod, s.answerTimeout = time.Millisecond, time.Hour
		s.http.ReadTimeout, s.http.IdleTimeout = time.Hour, time.Hour
	})
	notReading, held, head, body := r.dial(), r.dial(), r.dial(), r.dial()
	notReading.sendQuery()
	q := r.expectEvent(policy.QueryReceived)
	q.Subqueries[0].Answered, q.Subqueries[0].Value = true, bytes.Repeat([]byte("v"), 32<<20) // more than socket buffers hold
	q.Done <- aggregator.Reply{End: aggregator.Satisfied}
	if _, err := notReading.in.Peek(1); err != nil { // wait until its answer is being written
		t.Fatal(err)
	}
	held.sendQuery()
	q = r.expectEvent(policy.QueryReceived)
	text := pipelined("trickles")
	io.WriteString(head, text[:20])
	io.WriteString(body, text[:len(text)-20])
	drained := make(chan struct{})
	go func() { r.Drain(); close(drained) }()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(waitTimeout)
	for sent := 0; ; sent++ {
		select {
		case <-ticker.C:
			if sent == 2 {
				q.Done <- aggregator.Reply{End: aggregator.Rejected}
				held.expect(429)
			}
			if sent < 10 {
				io.WriteString(head, text[20+sent:21+sent])
				io.WriteString(body, text[len(text)-20+sent:len(text)-19+sent])
			}
		case <-drained:
			if sent < 2 {
				t.Fatal("the drain ended with a query in progress")
			}
			if remaining := r.events.Remaining(); len(remaining) != 0 {
				t.Fatalf("%+v reached the aggregator", remaining[0].ClientQuery)
			}
			r.waitForNoConnections()
			return
		case <-timeout:
			t.Fatal("the drain waits for clients that never close")
		}
	}
}

// The clients never close their connections. A connection that the server has closed ends at once if its place is needed, and
// otherwise after the linger time-out.
func TestLingeringConnectionsTimeOutAndMakeRoomAtTheLimit(t *testing.T) {
	r := newFixture(t, 2, nil)
	for range 6 {
		c := r.dial()
		c.sendQuery()
		r.expectEvent(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Rejected}
		c.expect(429)
	}
	r.waitForNoConnections()
}

// gatedConn is a connection whose Read returns received bytes only once the test releases them.
type gatedConn struct {
	net.Conn
	readDone, release chan struct{}
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.readDone <- struct{}{}
		<-c.release
	}
	return n, err
}

// newUnservedConnection returns a connection that net/http does not read, and the client's end of it.
func newUnservedConnection(t *testing.T) (*connection, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	table := newConnectionTable(10, 1<<20, zap.NewNop(), counters.New())
	conn := &connection{Conn: accepted, table: table, clientDisconnected: make(chan struct{}), opened: time.Now(), idle: true}
	conn.readerStopped = sync.NewCond(&conn.readMu)
	table.open[conn] = true
	return conn, client
}

// net/http stops its own background read by an expired deadline and resets it afterwards. If the client sends its next request right
// after an answer, that deadline may end watchClient instead. The next request must still be read.
func TestResetDeadlineDoesNotEndReading(t *testing.T) {
	conn, client := newUnservedConnection(t)
	io.WriteString(client, "P")
	if n, err := conn.Read(make([]byte, 1)); n != 1 || err != nil { // as net/http does to detect a disconnect
		t.Fatal(n, err)
	}
	conn.SetReadDeadline(expiredDeadline)
	conn.readMu.Lock()
	for conn.watcherRunning {
		conn.readerStopped.Wait()
	}
	conn.readMu.Unlock()
	conn.SetReadDeadline(time.Time{})
	io.WriteString(client, "OST")
	b := make([]byte, 3)
	if _, err := io.ReadFull(conn, b); err != nil || string(b) != "OST" {
		t.Fatalf("read %q, %v", b, err)
	}
}

// Setting another deadline while a reader waits for watchClient to stop does not leave that reader blocked.
func TestDeadlineSetDuringTheCloseDoesNotBlockTheReader(t *testing.T) {
	conn, client := newUnservedConnection(t)
	for range 200 {
		io.WriteString(client, "P")
		if n, err := conn.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Fatal(n, err)
		}
		set := make(chan struct{})
		go func() { conn.SetReadDeadline(time.Time{}); close(set) }()
		read := make(chan error)
		go func() { _, err := conn.Read(make([]byte, 4096)); read <- err }()
		<-set
		conn.readMu.Lock()
		for conn.watcherRunning {
			conn.readerStopped.Wait()
		}
		conn.readMu.Unlock()
		io.WriteString(client, "x")
		if err := <-read; err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a lost request: bytes were received but Read has not returned them when closeIdle closes the connection. The request
// must be read to its end and answered.
func TestARequestReadAsItsConnectionEndsIsAnswered(t *testing.T) {
	conn, client := newUnservedConnection(t)
	gated := &gatedConn{conn.Conn, make(chan struct{}), make(chan struct{})}
	conn.Conn = gated
	request := pipelined("x")
	io.WriteString(client, request[:100])
	text := make(chan string)
	go func() {
		got := ""
		for b := make([]byte, 4096); len(got) < len(request); {
			n, err := conn.Read(b)
			if got += string(b[:n]); err != nil {
				break
			}
		}
		text <- got
	}()
	<-gated.readDone // the connection does not know of these bytes yet
	conn.table.closeIdle(reasonShutdown)
	gated.release <- struct{}{}
	io.WriteString(client, request[100:])
	<-gated.readDone
	gated.release <- struct{}{}
	if got := <-text; got != request {
		t.Fatalf("read %q", got)
	}
	conn.answering.Store(true)
	if _, err := io.WriteString(conn, "HTTP/1.1 429 Too Many Requests\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusTooManyRequests {
		t.Fatalf("got %v, want status 429", res)
	}
}

// Many clients disconnect at once, each with a query in progress. Each disconnect is reported, and all connections are removed.
func TestEachDisconnectOfABurstIsReported(t *testing.T) {
	r := newFixture(t, 1000, nil)
	var clients []*client
	for i := range 300 {
		c := r.dial()
		c.sendQuery()
		if i%3 == 0 {
			io.WriteString(c, pipelined("ahead"))
		}
		clients = append(clients, c)
	}
	for range clients {
		r.expectEvent(policy.QueryReceived)
	}
	for i, c := range clients {
		if i%2 == 0 {
			c.Conn.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	}
	for range clients {
		r.expectEvent(policy.ClientDisconnected)
	}
	r.waitForNoConnections()
}

// A client disconnects while the reply to its query arrives. Either the answer or the disconnect ends the query, whichever comes first,
// but never both.
func TestAnswerRacingWithDisconnectEndsTheQueryOnce(t *testing.T) {
	r := newFixture(t, 100, nil)
	disconnected := map[*aggregator.Query]bool{}
	recordDisconnect := func(e aggregator.Event) {
		if e.Kind != policy.ClientDisconnected || disconnected[e.ClientQuery] {
			t.Fatalf("got %+v, want one disconnect of each query", e)
		}
		disconnected[e.ClientQuery] = true
	}
	answered := map[*aggregator.Query]bool{}
	for i := range 100 {
		c := r.dial()
		c.sendQuery()
		e := r.events.Next(t)
		for ; e.Kind != policy.QueryReceived; e = r.events.Next(t) {
			recordDisconnect(e) // of the previous round
		}
		go c.Conn.(*net.TCPConn).CloseWrite()
		e.ClientQuery.Done <- aggregator.Reply{End: aggregator.Satisfied, Complete: true}
		answers := 0
		for {
			res, err := http.ReadResponse(c.in, nil)
			if err != nil {
				if !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
					t.Fatal(err)
				}
				break
			}
			io.Copy(io.Discard, res.Body)
			res.Body.Close()
			answers++
			answered[e.ClientQuery] = res.StatusCode == http.StatusOK
		}
		if answers > 1 {
			t.Fatalf("%d answers in round %d", answers, i)
		}
		c.Close()
	}
	r.waitForNoConnections()
	for _, e := range r.events.Remaining() {
		recordDisconnect(e)
	}
	for q := range disconnected {
		if answered[q] {
			t.Fatalf("query %q was answered and also reported as disconnected", q.ID)
		}
	}
}
