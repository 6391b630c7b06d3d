package clients

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/internal/eventqueue/queuetest"
	"puffinlink.example/puffinlink/policy"
)

const waitTimeout = queuetest.WaitTimeout

// fixture is a running server. The test receives its events and replies to them in place of the aggregator's actor.
type fixture struct {
	*testing.T
	*Server
	events  *queuetest.Receiver[aggregator.Event]
	address string
}

// newFixture starts a server on a local port. change may modify the server before it starts.
func newFixture(t *testing.T, maxConnections int, change func(*Server)) *fixture {
	aggregatorSettings := settings.Settings{Net: settings.Net{Indexes: []string{"reads", "orders"}, Customers: []string{"acme"}, Shards: 8}}
	aggregatorSettings.Limits.RetryAfter = true
	r := &fixture{T: t, events: queuetest.New[aggregator.Event]()}
	r.Server = New(aggregatorSettings, maxConnections, 64<<20, r.events.Queue, zap.NewNop(), counters.New())
	if change != nil {
		change(r.Server)
	}
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().String()
	r.Serve(l)
	t.Cleanup(func() { r.http.Close() })
	return r
}

// expectEvent waits for the next event, checks its kind and returns its query.
func (r *fixture) expectEvent(kind policy.EventKind) *aggregator.Query {
	r.Helper()
	e := r.events.Next(r.T)
	if e.Kind != kind {
		r.Fatalf("got event %+v, want kind %v", e, kind)
	}
	return e.ClientQuery
}

// waitForEnd waits until a connection has ended for the given reason.
func (r *fixture) waitForEnd(cause reason) {
	r.Helper()
	for deadline := time.Now().Add(waitTimeout); r.counters.Get("client_lines", string(cause)) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			r.Fatalf("no connection ended for reason %s", cause)
		}
	}
}

// waitUntilIdle waits until the table records a client's connection as idle, which may be after the client has read its answer.
func (r *fixture) waitUntilIdle(c *client) {
	r.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		r.connections.mu.Lock()
		for conn := range r.connections.open {
			if conn.idle && conn.RemoteAddr().String() == c.LocalAddr().String() {
				r.connections.mu.Unlock()
				return
			}
		}
		r.connections.mu.Unlock()
		if time.Now().After(deadline) {
			r.Fatal("the connection did not become idle")
		}
	}
}

// client is the client's end of one connection.
type client struct {
	net.Conn
	in      *bufio.Reader
	fixture *fixture
}

func (r *fixture) dial() *client {
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		r.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(waitTimeout))
	r.Cleanup(func() { c.Close() })
	return &client{c, bufio.NewReader(c), r}
}

const validBody = `{"targets":[{"partition":3,"share":0.5,"est_us":9000,"route":"00000000000000ff"},{"partition":5,"share":0.5}],"query":"c4\u0031"}`

func request(path, head, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", path, head, len(body), body)
}

const validHead = "Req-Id: ab12\r\nReq-Kind: reads\r\nReq-Owner: acme\r\nReq-Deadline: 0.480\r\n"

func (c *client) sendQuery() {
	io.WriteString(c, request("/reads?key=7f3a9c21e0b4d655", validHead, validBody))
}

// answer reads a complete answer. Its status is 0 if the connection ended without one.
func (c *client) answer() (status int, head http.Header, body string) {
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, nil, ""
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		c.fixture.Fatal(err)
	}
	if res.Close {
		res.Header.Set("Connection", "close")
	}
	return res.StatusCode, res.Header, string(text)
}

// expect reads an answer and checks its status.
func (c *client) expect(want int) (http.Header, string) {
	c.fixture.Helper()
	status, head, body := c.answer()
	if status != want {
		c.fixture.Fatalf("got status %d %q, want %d", status, body, want)
	}
	return head, body
}

func TestEachReplyIsWrittenAsItsHTTPAnswer(t *testing.T) {
	r := newFixture(t, 100, nil)
	c := r.dial()
	for _, a := range []struct {
		reply aggregator.Reply
		want  int
		after string
		body  string
	}{
		{aggregator.Reply{End: aggregator.Satisfied, Complete: true}, 200, "", `{"whole":true,"results":[{"partition":5,"value":"a\"\\\u0009é"}]}`},
		{aggregator.Reply{End: aggregator.Rejected, RetryAfter: 0.0501}, 429, "0.051", ""},
		{aggregator.Reply{End: aggregator.Rejected}, 429, "", ""},
		{aggregator.Reply{End: aggregator.QueueFull}, 503, "", ""},
		{aggregator.Reply{End: aggregator.Aborted}, 500, "", ""},
		{aggregator.Reply{End: aggregator.Duplicate}, 409, "", "a lookup of this id is already held.\n"},
	} {
		before := time.Now()
		c.sendQuery()
		q := r.expectEvent(policy.QueryReceived)
		if q.Arrived.Before(before) || q.Arrived.After(time.Now()) {
			t.Fatalf("the query arrived %v after it was sent, want a time between its sending and now", q.Arrived.Sub(before))
		}
		if q.ID != "ab12" || q.Index != 0 || q.Timeout != 0.48 || q.Key != 0x7f3a9c21e0b4d655 || string(q.Payload) != "c41" ||
			len(q.Subqueries) != 2 || q.Subqueries[0].Hint != 0.009 || q.Subqueries[0].Key != 255 || q.Subqueries[1].Shard != 5 {
			t.Fatalf("got query %+v", q)
		}
		q.Subqueries[1].Answered, q.Subqueries[1].Value = true, []byte("a\"\\\té")
		q.Done <- a.reply
		head, body := c.expect(a.want)
		if head.Get("Retry-After") != a.after || body != a.body || head.Get("Content-Length") != fmt.Sprint(len(body)) {
			t.Fatalf("got answer %v %q", head, body)
		}
	}
}

func TestMalformedRequestsNeverReachThePolicy(t *testing.T) {
	r := newFixture(t, 100, nil)
	for _, c := range []struct {
		path, head, body string
		want             int
		message          string
	}{
		{"/writes", validHead, validBody, 404, "nothing under this path"},
		{"/reads", strings.Replace(validHead, "reads", "orders", 1), validBody, 400, "Req-Kind"},
		{"/reads", strings.Replace(validHead, "ab12", "", 1), validBody, 400, "Req-Id"},
		{"/reads", strings.Replace(validHead, "ab12", "a b", 1), validBody, 400, "Req-Id"},
		{"/reads", strings.Replace(validHead, "acme", "emca", 1), validBody, 400, "Req-Owner"},
		{"/reads", strings.Replace(validHead, "0.480", "NaN", 1), validBody, 400, "Req-Deadline"},
		{"/reads", strings.Replace(validHead, "0.480", "-1", 1), validBody, 400, "Req-Deadline"},
		{"/reads", validHead, `{"targets":[]`, 400, "body"},
		{"/reads", validHead, `{"targets":[],"query":"x"}`, 400, "no part"},
		{"/reads", validHead, `{"targets":[{"partition":3,"share":1}],"query":7}`, 400, "query"},
		{"/reads", validHead, `{"targets":[{"partition":8,"share":1}],"query":"x"}`, 400, "shard"},
		{"/reads", validHead, `{"targets":[{"partition":3.5,"share":1}],"query":"x"}`, 400, "body"},
		{"/reads", validHead, `{"targets":[{"partition":3}],"query":"x"}`, 400, "share"},
		{"/reads", validHead, `{"targets":[{"partition":3,"share":1.5}],"query":"x"}`, 400, "share"},
		{"/reads", validHead, `{"targets":[{"partition":3,"share":0.5},{"partition":3,"share":0.5}],"query":"x"}`, 400, "twice"},
		{"/reads", validHead, `{"targets":[{"partition":3,"share":1,"est_us":-1}],"query":"x"}`, 400, "est_us"},
		{"/reads", validHead, `{"targets":[{"partition":3,"share":1,"route":"q"}],"query":"x"}`, 400, "route"},
		{"/reads", validHead, strings.Repeat("x", maxBody+1), 413, "at most"},
		{"/reads", validHead + "Req-Id: ab13\r\n", validBody, 400, "twice"},
		{"/reads", strings.Replace(validHead, "0.480", "0x1p-2", 1), validBody, 400, "Req-Deadline"},
		{"/reads", strings.Replace(validHead, "0.480", "Inf", 1), validBody, 400, "Req-Deadline"},
		{"/reads", validHead, `{"targets":[{"partition":3,"share":0.5},{"partition":4,"share":0.4}],"query":"x"}`, 400, "add up"},
		{"/reads", validHead, `{"targets":[{"Partition":3,"share":1}],"query":"x"}`, 400, "not a shard"},
		{"/reads", validHead, `{"targets":[{"partition":3,"partition":4,"share":1}],"query":"x"}`, 400, "duplicate"},
		{"/reads", validHead, `{"targets":[{"partition":3,"share":1}],"query":"x","query":"y"}`, 400, "duplicate"},
		{"/reads", validHead, `{"targets":[{"partition":3,"share":1}],"query":"\ud800"}`, 400, "body"},
		{"/reads", validHead, `{"targets":[` + strings.Repeat("{},", 20000) + `{}],"query":"x"}`, 400, "more than 8 parts"},
		{"/reads", validHead, `{"targets":7,"query":"x"}`, 400, "list"},
	} {
		conn := r.dial()
		io.WriteString(conn, request(c.path, c.head, c.body))
		if _, body := conn.expect(c.want); !strings.Contains(body, c.message) || strings.Count(body, "\n") != 1 {
			t.Errorf("%s %.60q: got %q", c.path, c.body, body)
		}
	}
	// A body whose length is stated twice may hide another request (request smuggling). net/http accepts some of these forms.
	hidden := request("/reads", validHead, validBody)
	for _, head := range []string{"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "transfer-encoding:chunked\r\ncontent-length:4\r\n",
		"Content-Length: 4\r\nContent-Length: 4\r\n", "Content-Length: 4\r\nContent-Length: 5\r\n", "Content-Length: -4\r\n",
		"Content-Length: 4, 4\r\n", "Content-Length : 4\r\n", "Content-Length: 99999999999999999999\r\n", "Transfer-Encoding: gzip\r\n"} {
		for _, before := range []string{"", "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"} { // alone, and pipelined behind another request
			conn := r.dial()
			io.WriteString(conn, before+"POST /reads HTTP/1.1\r\nHost: x\r\n"+validHead+head+"\r\n0\r\n\r\n"+hidden)
			if before != "" {
				conn.expect(200)
			}
			if status, _, _ := conn.answer(); status < 400 {
				t.Errorf("%q: got status %d, want 400 or more", head, status)
			}
			if status, _, _ := conn.answer(); status != 0 {
				t.Errorf("%q: got another answer with status %d, want a closed connection", head, status)
			}
		}
	}
	conn := r.dial() // a body beyond the limit is rejected without reading it
	io.WriteString(conn, "POST /reads HTTP/1.1\r\nHost: x\r\n"+validHead+"Content-Length: 60000000\r\n\r\n")
	conn.expect(413)
	conn = r.dial()
	io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n")
	conn.expect(404)
	if events := r.events.Queue.Take(nil); len(events) > 0 {
		t.Fatalf("got events %+v, want none", events)
	}
	conn = r.dial()
	io.WriteString(conn, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
	conn.expect(200)
}

func TestQueryArrivalIsTheTimeOfItsFirstByte(t *testing.T) {
	r := newFixture(t, 100, nil)
	c := r.dial()
	text := request("/reads", validHead, validBody)
	for range 2 {
		time.Sleep(20 * time.Millisecond)
		before := time.Now()
		io.WriteString(c, text[:1])
		time.Sleep(20 * time.Millisecond)
		after := time.Now()
		io.WriteString(c, text[1:])
		q := r.expectEvent(policy.QueryReceived)
		if q.Arrived.Before(before) || q.Arrived.After(after) {
			t.Fatalf("the query arrived %v after its first byte was sent, want at most %v, when the rest was sent", q.Arrived.Sub(before), after.Sub(before))
		}
		q.Done <- aggregator.Reply{End: aggregator.Aborted}
		c.expect(500)
	}
}

func TestClientDisconnectIsReportedOnce(t *testing.T) {
	r := newFixture(t, 100, nil)
	c := r.dial()
	c.sendQuery()
	q := r.expectEvent(policy.QueryReceived)
	c.Close()
	if r.expectEvent(policy.ClientDisconnected) != q {
		t.Fatal("the disconnect was reported for another query")
	}
	c = r.dial() // a client that closes only its sending side gets no 200
	c.sendQuery()
	r.expectEvent(policy.QueryReceived)
	c.Conn.(*net.TCPConn).CloseWrite()
	r.expectEvent(policy.ClientDisconnected)
	if status, _, _ := c.answer(); status == 200 {
		t.Fatal("got status 200 after a disconnect")
	}
}

func TestStalledRequestTimesOutWithoutHarmingOthers(t *testing.T) {
	r := newFixture(t, 100, func(s *Server) { s.http.ReadTimeout = 50 * time.Millisecond })
	text := request("/reads", validHead, validBody)
	for _, stops := range []int{10, len(text) - 10} {
		c, other := r.dial(), r.dial()
		io.WriteString(c, text[:stops])
		other.sendQuery()
		r.expectEvent(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
		other.expect(500)
		if status, _, _ := c.answer(); status != 0 && status != 400 {
			t.Fatalf("got status %d, want 400 or a closed connection", status)
		}
		c.Close()
		r.waitForEnd(reasonRequestTimeout)
	}
	c := r.dial() // a query in progress for longer than ReadTimeout is not reported as disconnected
	c.sendQuery()
	q := r.expectEvent(policy.QueryReceived)
	time.Sleep(100 * time.Millisecond)
	q.Done <- aggregator.Reply{End: aggregator.Rejected}
	c.expect(429)
}

func TestAtTheLimitIdleConnectionsAreEvictedAndNewQueriesRejected(t *testing.T) {
	r := newFixture(t, 5, nil)
	idle := r.dial()
	idle.sendQuery()
	r.expectEvent(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
	idle.expect(500)
	r.waitUntilIdle(idle) // until then its query counts as in progress
	for range 4 {
		busy := r.dial()
		busy.sendQuery()
		held := r.expectEvent(policy.QueryReceived)
		defer func() {
			held.Done <- aggregator.Reply{End: aggregator.Aborted}
			busy.expect(500)
		}()
	}
	last := r.dial() // the limit of queries in progress is reached
	last.sendQuery()
	if head, _ := last.expect(503); head.Get("Connection") != "close" {
		t.Fatalf("got headers %v, want Connection: close", head)
	}
	if status, _, _ := idle.answer(); status != 0 {
		t.Fatalf("the idle connection got status %d, want a closed connection", status)
	}
}

// Clients that send one query and keep their connections do not use up the descriptors: the connections that have been idle for
// longest are closed.
func TestIdleConnectionsAreLimited(t *testing.T) {
	r := newFixture(t, 10, nil)
	held := r.dial()
	held.sendQuery()
	reply := r.expectEvent(policy.QueryReceived).Done
	var once []*client
	for range 5 {
		c := r.dial()
		once = append(once, c)
		c.sendQuery()
		r.expectEvent(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
		c.expect(500)
		r.waitUntilIdle(c) // otherwise a later connection might be evicted in its place
	}
	for _, c := range once[:2] {
		if status, _, _ := c.answer(); status != 0 {
			t.Fatalf("got status %d, want a closed connection", status)
		}
	}
	for _, c := range once[2:] {
		c.sendQuery()
		r.expectEvent(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
		c.expect(500)
	}
	reply <- aggregator.Reply{End: aggregator.Aborted}
	held.expect(500)
}

// A connection that is idle for too long is closed, and so are one that sends nothing and one whose head exceeds the limit.
func TestConnectionsWithoutARequestTimeOut(t *testing.T) {
	r := newFixture(t, 100, func(s *Server) { s.http.ReadTimeout, s.http.IdleTimeout = 100*time.Millisecond, 50*time.Millisecond })
	idle, silent, endless := r.dial(), r.dial(), r.dial()
	idle.sendQuery()
	r.expectEvent(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
	idle.expect(500)
	io.WriteString(endless, "POST /reads HTTP/1.1\r\nA: "+strings.Repeat("a", 4*maxHeader))
	r.waitForEnd(reasonIdle)
	r.waitForEnd(reasonNoRequest)
	for _, c := range []*client{idle, silent} {
		if status, _, _ := c.answer(); status != 0 {
			t.Fatalf("got status %d, want a closed connection", status)
		}
	}
	if status, _, _ := endless.answer(); status != 431 && status != 0 {
		t.Fatalf("got status %d, want 431 or a closed connection", status)
	}
}

// Only a limited number of large bodies is handled at once; the next one is refused with 503.
func TestLargeBodiesAreLimited(t *testing.T) {
	r := newFixture(t, 100, func(s *Server) { s.largeBodies = make(chan struct{}, 1) })
	large := strings.Replace(validBody, "c4", strings.Repeat("c", 2*maxSmallBody), 1)
	for range 2 {
		first, second := r.dial(), r.dial()
		io.WriteString(first, request("/reads", validHead, large))
		held := r.expectEvent(policy.QueryReceived)
		if len(held.Payload) != 2*maxSmallBody+1 {
			t.Fatalf("the query has %d bytes, want %d", len(held.Payload), 2*maxSmallBody+1)
		}
		io.WriteString(second, request("/reads", validHead, large))
		second.expect(503)
		held.Done <- aggregator.Reply{End: aggregator.Aborted}
		first.expect(500)
	}
}

func TestClientThatDoesNotReadDelaysNoOther(t *testing.T) {
	r := newFixture(t, 100, func(s *Server) { s.answerTimeout = 100 * time.Millisecond })
	c, other := r.dial(), r.dial()
	c.sendQuery()
	q := r.expectEvent(policy.QueryReceived)
	q.Subqueries[0].Answered, q.Subqueries[0].Value = true, bytes.Repeat([]byte("v"), 32<<20) // more than socket buffers hold
	q.Done <- aggregator.Reply{End: aggregator.Satisfied}
	other.sendQuery()
	r.expectEvent(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
	other.expect(500)
	r.waitForEnd(reasonAnswerUnwritten)
}

// A new connection, or one with a partial request, may have bytes that are not read yet. It is therefore evicted only after
// stallTimeout, but then before any connection that has served a query.
func TestStalledConnectionsAreEvictedAfterAWhile(t *testing.T) {
	r := newFixture(t, 8, nil)
	served := r.dial()
	served.sendQuery()
	r.expectEvent(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
	served.expect(500)
	began := time.Now()
	partial := r.dial()
	io.WriteString(partial, "POST /reads")
	time.Sleep(20 * time.Millisecond) // the server reads it before the others connect
	silent := r.dial()
	for range 5 {
		r.dial()
	}
	third, fourth := r.dial(), r.dial()
	for _, c := range []*client{third, fourth} {
		c.sendQuery()
		r.expectEvent(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
		c.expect(500)
	}
	if time.Since(began) < stallTimeout {
		t.Fatal("connections were evicted before stallTimeout")
	}
	for _, c := range []*client{silent, partial} {
		if status, _, _ := c.answer(); status != 0 {
			t.Fatalf("a connection without a complete request got status %d, want a closed connection", status)
		}
	}
	served.sendQuery()
	r.expectEvent(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
	served.expect(500)
}

// There are far more clients than connections. Each client gets an answer, and no connection is closed without one.
func TestABurstOfClientsIsAnsweredCompletely(t *testing.T) {
	r := newFixture(t, 8, nil)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-r.events.Queue.Ready():
				for _, e := range r.events.Queue.Take(nil) {
					if e.Kind == policy.QueryReceived {
						e.ClientQuery.Done <- aggregator.Reply{End: aggregator.Rejected}
					}
				}
			case <-done:
				return
			}
		}
	}()
	defer close(done)
	var clients []*client
	for range 400 {
		c := r.dial()
		c.sendQuery()
		clients = append(clients, c)
	}
	for i, c := range clients {
		if status, _, _ := c.answer(); status != 429 && status != 503 {
			t.Fatalf("client %d got status %d, want 429 or 503", i, status)
		}
	}
}

// During servePeriod a draining server keeps connections open, accepts new ones and answers their queries before the end of the drain.
// Only after servePeriod do answers close their connections.
func TestDrainKeepsServingAndAnswersAllPendingQueries(t *testing.T) {
	r := newFixture(t, 100, func(s *Server) { s.servePeriod = 600 * time.Millisecond })
	busy, idle := r.dial(), r.dial()
	busy.sendQuery()
	held := r.expectEvent(policy.QueryReceived)
	drained := make(chan struct{})
	go func() { r.Drain(); close(drained) }()
	for _, c := range []*client{idle, r.dial(), idle} { // longer than frontDrainDelay in total
		time.Sleep(180 * time.Millisecond)
		io.WriteString(c, request("/reads", strings.Replace(validHead, "0.480", "9", 1), validBody))
		q := r.expectEvent(policy.QueryReceived)
		if q.Timeout > 0.95 {
			t.Fatalf("the query may wait %g s, longer than the aggregator runs", q.Timeout)
		}
		q.Done <- aggregator.Reply{End: aggregator.Rejected}
		if head, _ := c.expect(429); head.Get("Connection") == "close" {
			t.Fatal("the answer closes the connection during servePeriod")
		}
	}
	if status, _, _ := idle.answer(); status != 0 {
		t.Fatalf("the idle connection got status %d, want a closed connection", status)
	}
	if _, err := net.Dial("tcp", r.address); err == nil {
		t.Fatal("the server still accepts connections")
	}
	select {
	case <-drained:
		t.Fatal("the drain ended with a query in progress")
	default:
	}
	held.Done <- aggregator.Reply{End: aggregator.Satisfied}
	if head, _ := busy.expect(200); head.Get("Connection") != "close" {
		t.Fatalf("got headers %v, want Connection: close", head)
	}
	select {
	case <-drained:
	case <-time.After(waitTimeout):
		t.Fatal("the drain did not end")
	}
	r = newFixture(t, 100, func(s *Server) { s.servePeriod = time.Hour })
	r.Drain() // without connections it ends early
}

func FuzzBodies(f *testing.F) {
	for _, s := range []string{validBody, `{"targets":[{"partition":1,"share":1e-9,"est_us":1e300}],"query":"\ud800"}`,
		`{"targets":[{"partition":1,"share":0}],"query":"\u0000\"\\"}`, `{"query":null,"targets":null}`, `[]`, ``} {
		f.Add([]byte(s))
	}
	names := newNameTable(settings.Net{Shards: 8})
	f.Fuzz(func(t *testing.T, text []byte) {
		var q aggregator.Query
		if names.readBody(text, &q) != nil {
			return
		}
		var in struct{ Query string }
		if err := json.Unmarshal(text, &in); err != nil || !utf8.Valid(text) || in.Query != string(q.Payload) {
			t.Fatalf("%q: query is %q, %v; read as %q", text, in.Query, err, q.Payload)
		}
		if len(q.Subqueries) > 8 {
			t.Fatalf("%q: got %d subqueries, want at most 8", text, len(q.Subqueries))
		}
		for i := range q.Subqueries {
			p := &q.Subqueries[i]
			if p.Shard < 0 || p.Shard > 7 || !(p.Weight >= 0 && p.Weight <= 1) || !(p.Hint >= 0) {
				t.Fatalf("%q: got invalid subquery %+v", text, p)
			}
			p.Answered, p.Value = i%2 == 0, q.Payload
		}
		var out struct {
			Whole   bool
			Results []struct {
				Partition int
				Value     string
			}
		}
		answer := appendResults(nil, &q, true)
		if err := json.Unmarshal(answer, &out); err != nil || !out.Whole || len(out.Results) != (len(q.Subqueries)+1)/2 {
			t.Fatalf("answer %q: %v", answer, err)
		}
		if out.Results[0].Value != string(q.Payload) {
			t.Fatalf("value %q became %q", q.Payload, out.Results[0].Value)
		}
	})
}
