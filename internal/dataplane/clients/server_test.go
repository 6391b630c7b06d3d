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

const patience = queuetest.Patience

// fixture is a server whose module's actor the test plays.
type fixture struct {
	*testing.T
	*Server
	events  *queuetest.Ear[aggregator.Event]
	address string
}

func newFixture(t *testing.T, most int, change func(*Server)) *fixture {
	set := settings.Settings{Net: settings.Net{Indexes: []string{"reads", "orders"}, Customers: []string{"acme"}, Shards: 8}}
	set.Limits.RetryAfter = true
	r := &fixture{T: t, events: queuetest.New[aggregator.Event]()}
	r.Server = New(set, most, 64<<20, r.events.Queue, zap.NewNop(), counters.New())
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

func (r *fixture) event(kind policy.EventKind) *aggregator.Query {
	r.Helper()
	e := r.events.Next(r.T)
	if e.Kind != kind {
		r.Fatalf("got %+v", e)
	}
	return e.ClientQuery
}

// ended waits until a connection has ended for a reason.
func (r *fixture) ended(why reason) {
	r.Helper()
	for late := time.Now().Add(patience); r.counters.Get("client_lines", string(why)) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			r.Fatalf("no connection ended by %s", why)
		}
	}
}

// idle waits until the table calls a client's connection idle, which may be after the client has read its answer.
func (r *fixture) idle(c *client) {
	r.Helper()
	for late := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		r.connections.mu.Lock()
		for l := range r.connections.open {
			if l.idle && l.RemoteAddr().String() == c.LocalAddr().String() {
				r.connections.mu.Unlock()
				return
			}
		}
		r.connections.mu.Unlock()
		if time.Now().After(late) {
			r.Fatal("the connection is never idle")
		}
	}
}

// client is one connection of a client's.
type client struct {
	net.Conn
	in *bufio.Reader
	r  *fixture
}

func (r *fixture) dial() *client {
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		r.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(patience))
	r.Cleanup(func() { c.Close() })
	return &client{c, bufio.NewReader(c), r}
}

const goodBody = `{"targets":[{"partition":3,"share":0.5,"est_us":9000,"route":"00000000000000ff"},{"partition":5,"share":0.5}],"query":"c4\u0031"}`

func request(path, head, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", path, head, len(body), body)
}

const goodHead = "Req-Id: ab12\r\nReq-Kind: reads\r\nReq-Owner: acme\r\nReq-Deadline: 0.480\r\n"

func (c *client) sendQuery() {
	io.WriteString(c, request("/reads?key=7f3a9c21e0b4d655", goodHead, goodBody))
}

// answer reads a whole answer; no status means that the connection ended without one.
func (c *client) answer() (status int, head http.Header, body string) {
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, nil, ""
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		c.r.Fatal(err)
	}
	if res.Close {
		res.Header.Set("Connection", "close")
	}
	return res.StatusCode, res.Header, string(text)
}

func (c *client) expect(want int) (http.Header, string) {
	c.r.Helper()
	status, head, body := c.answer()
	if status != want {
		c.r.Fatalf("got status %d %q, expected %d", status, body, want)
	}
	return head, body
}

func TestQueryAndEachAnswer(t *testing.T) {
	r := newFixture(t, 100, nil)
	c := r.dial()
	for _, a := range []struct {
		reply aggregator.Reply
		want  int
		after string
		body  string
	}{
		{aggregator.Reply{End: aggregator.Satisfied, Complete: true}, 200, "", `{"whole":true,"results":[{"partition":5,"value":"a\"\\\u0009é"}]}`},
		{aggregator.Reply{End: aggregator.Nacked, RetryAfter: 0.0501}, 429, "0.051", ""},
		{aggregator.Reply{End: aggregator.Nacked}, 429, "", ""},
		{aggregator.Reply{End: aggregator.QueueFull}, 503, "", ""},
		{aggregator.Reply{End: aggregator.Aborted}, 500, "", ""},
		{aggregator.Reply{End: aggregator.Duplicate}, 409, "", "a lookup of this id is already held.\n"},
	} {
		before := time.Now()
		c.sendQuery()
		q := r.event(policy.QueryReceived)
		if q.Arrived.Before(before) || q.Arrived.After(time.Now()) {
			t.Fatalf("arrived %v after it was sent", q.Arrived.Sub(before))
		}
		if q.ID != "ab12" || q.Index != 0 || q.Timeout != 0.48 || q.Key != 0x7f3a9c21e0b4d655 || string(q.Payload) != "c41" ||
			len(q.Subqueries) != 2 || q.Subqueries[0].Hint != 0.009 || q.Subqueries[0].Key != 255 || q.Subqueries[1].Shard != 5 {
			t.Fatalf("got %+v", q)
		}
		q.Subqueries[1].Answered, q.Subqueries[1].Value = true, []byte("a\"\\\té")
		q.Done <- a.reply
		head, body := c.expect(a.want)
		if head.Get("Retry-After") != a.after || body != a.body || head.Get("Content-Length") != fmt.Sprint(len(body)) {
			t.Fatalf("got %v %q", head, body)
		}
	}
}

func TestMalformedRequestsNeverReachThePolicy(t *testing.T) {
	r := newFixture(t, 100, nil)
	for _, c := range []struct {
		path, head, body string
		want             int
		says             string
	}{
		{"/writes", goodHead, goodBody, 404, "nothing under this path"},
		{"/reads", strings.Replace(goodHead, "reads", "orders", 1), goodBody, 400, "Req-Kind"},
		{"/reads", strings.Replace(goodHead, "ab12", "", 1), goodBody, 400, "Req-Id"},
		{"/reads", strings.Replace(goodHead, "ab12", "a b", 1), goodBody, 400, "Req-Id"},
		{"/reads", strings.Replace(goodHead, "acme", "emca", 1), goodBody, 400, "Req-Owner"},
		{"/reads", strings.Replace(goodHead, "0.480", "NaN", 1), goodBody, 400, "Req-Deadline"},
		{"/reads", strings.Replace(goodHead, "0.480", "-1", 1), goodBody, 400, "Req-Deadline"},
		{"/reads", goodHead, `{"targets":[]`, 400, "body"},
		{"/reads", goodHead, `{"targets":[],"query":"x"}`, 400, "no part"},
		{"/reads", goodHead, `{"targets":[{"partition":3,"share":1}],"query":7}`, 400, "query"},
		{"/reads", goodHead, `{"targets":[{"partition":8,"share":1}],"query":"x"}`, 400, "shard"},
		{"/reads", goodHead, `{"targets":[{"partition":3.5,"share":1}],"query":"x"}`, 400, "body"},
		{"/reads", goodHead, `{"targets":[{"partition":3}],"query":"x"}`, 400, "share"},
		{"/reads", goodHead, `{"targets":[{"partition":3,"share":1.5}],"query":"x"}`, 400, "share"},
		{"/reads", goodHead, `{"targets":[{"partition":3,"share":0.5},{"partition":3,"share":0.5}],"query":"x"}`, 400, "twice"},
		{"/reads", goodHead, `{"targets":[{"partition":3,"share":1,"est_us":-1}],"query":"x"}`, 400, "est_us"},
		{"/reads", goodHead, `{"targets":[{"partition":3,"share":1,"route":"q"}],"query":"x"}`, 400, "route"},
		{"/reads", goodHead, strings.Repeat("x", maxBody+1), 413, "at most"},
		{"/reads", goodHead + "Req-Id: ab13\r\n", goodBody, 400, "twice"},
		{"/reads", strings.Replace(goodHead, "0.480", "0x1p-2", 1), goodBody, 400, "Req-Deadline"},
		{"/reads", strings.Replace(goodHead, "0.480", "Inf", 1), goodBody, 400, "Req-Deadline"},
		{"/reads", goodHead, `{"targets":[{"partition":3,"share":0.5},{"partition":4,"share":0.4}],"query":"x"}`, 400, "add up"},
		{"/reads", goodHead, `{"targets":[{"Partition":3,"share":1}],"query":"x"}`, 400, "not a shard"},
		{"/reads", goodHead, `{"targets":[{"partition":3,"partition":4,"share":1}],"query":"x"}`, 400, "duplicate"},
		{"/reads", goodHead, `{"targets":[{"partition":3,"share":1}],"query":"x","query":"y"}`, 400, "duplicate"},
		{"/reads", goodHead, `{"targets":[{"partition":3,"share":1}],"query":"\ud800"}`, 400, "body"},
		{"/reads", goodHead, `{"targets":[` + strings.Repeat("{},", 20000) + `{}],"query":"x"}`, 400, "more than 8 parts"},
		{"/reads", goodHead, `{"targets":7,"query":"x"}`, 400, "list"},
	} {
		l := r.dial()
		io.WriteString(l, request(c.path, c.head, c.body))
		if _, body := l.expect(c.want); !strings.Contains(body, c.says) || strings.Count(body, "\n") != 1 {
			t.Errorf("%s %.60q: got %q", c.path, c.body, body)
		}
	}
	// The length of a body stated twice, in whatever way, may hide another request in it; net/http lets some pass.
	hidden := request("/reads", goodHead, goodBody)
	for _, head := range []string{"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "transfer-encoding:chunked\r\ncontent-length:4\r\n",
		"Content-Length: 4\r\nContent-Length: 4\r\n", "Content-Length: 4\r\nContent-Length: 5\r\n", "Content-Length: -4\r\n",
		"Content-Length: 4, 4\r\n", "Content-Length : 4\r\n", "Content-Length: 99999999999999999999\r\n", "Transfer-Encoding: gzip\r\n"} {
		for _, before := range []string{"", "GET /up HTTP/1.1\r\nHost: x\r\n\r\n"} { // alone, and right behind another
			l := r.dial()
			io.WriteString(l, before+"POST /reads HTTP/1.1\r\nHost: x\r\n"+goodHead+head+"\r\n0\r\n\r\n"+hidden)
			if before != "" {
				l.expect(200)
			}
			if status, _, _ := l.answer(); status < 400 {
				t.Errorf("%q: got status %d", head, status)
			}
			if status, _, _ := l.answer(); status != 0 {
				t.Errorf("%q: the connection goes on with status %d", head, status)
			}
		}
	}
	l := r.dial() // a large body is not waited for
	io.WriteString(l, "POST /reads HTTP/1.1\r\nHost: x\r\n"+goodHead+"Content-Length: 60000000\r\n\r\n")
	l.expect(413)
	l = r.dial()
	io.WriteString(l, "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n")
	l.expect(404)
	if told := r.events.Queue.Take(nil); len(told) > 0 {
		t.Fatalf("told %+v", told)
	}
	l = r.dial()
	io.WriteString(l, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
	l.expect(200)
}

func TestTimeoutCountsFromTheFirstByte(t *testing.T) {
	r := newFixture(t, 100, nil)
	c := r.dial()
	text := request("/reads", goodHead, goodBody)
	for range 2 {
		time.Sleep(20 * time.Millisecond)
		before := time.Now()
		io.WriteString(c, text[:1])
		time.Sleep(20 * time.Millisecond)
		after := time.Now()
		io.WriteString(c, text[1:])
		q := r.event(policy.QueryReceived)
		if q.Arrived.Before(before) || q.Arrived.After(after) {
			t.Fatalf("arrived %v after the first byte was sent, the rest %v after", q.Arrived.Sub(before), after.Sub(before))
		}
		q.Done <- aggregator.Reply{End: aggregator.Aborted}
		c.expect(500)
	}
}

func TestClientDisconnectIsReportedOnce(t *testing.T) {
	r := newFixture(t, 100, nil)
	c := r.dial()
	c.sendQuery()
	q := r.event(policy.QueryReceived)
	c.Close()
	if r.event(policy.ClientDisconnected) != q {
		t.Fatal("another lookup's client is told to have gone")
	}
	c = r.dial() // one that closes its own direction only is never told that it was served
	c.sendQuery()
	r.event(policy.QueryReceived)
	c.Conn.(*net.TCPConn).CloseWrite()
	r.event(policy.ClientDisconnected)
	if status, _, _ := c.answer(); status == 200 {
		t.Fatal("told that it was served")
	}
}

func TestStalledRequestTimesOutWithoutHarmingOthers(t *testing.T) {
	r := newFixture(t, 100, func(s *Server) { s.http.ReadTimeout = 50 * time.Millisecond })
	text := request("/reads", goodHead, goodBody)
	for _, stops := range []int{10, len(text) - 10} {
		c, other := r.dial(), r.dial()
		io.WriteString(c, text[:stops])
		other.sendQuery()
		r.event(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
		other.expect(500)
		if status, _, _ := c.answer(); status != 0 && status != 400 {
			t.Fatalf("got status %d", status)
		}
		c.Close()
		r.ended(reasonRequestTimeout)
	}
	c := r.dial() // one that is held for longer than reading may take is not taken to have left
	c.sendQuery()
	q := r.event(policy.QueryReceived)
	time.Sleep(100 * time.Millisecond)
	q.Done <- aggregator.Reply{End: aggregator.Nacked}
	c.expect(429)
}

func TestAtTheLimitIdleConnectionsAreEvictedAndNewQueriesRejected(t *testing.T) {
	r := newFixture(t, 5, nil)
	idle := r.dial()
	idle.sendQuery()
	r.event(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
	idle.expect(500)
	r.idle(idle) // until then its query counts as held
	for range 4 {
		busy := r.dial()
		busy.sendQuery()
		held := r.event(policy.QueryReceived)
		defer func() {
			held.Done <- aggregator.Reply{End: aggregator.Aborted}
			busy.expect(500)
		}()
	}
	last := r.dial() // all that may be held is held
	last.sendQuery()
	if head, _ := last.expect(503); head.Get("Connection") != "close" {
		t.Fatalf("got %v", head)
	}
	if status, _, _ := idle.answer(); status != 0 {
		t.Fatalf("the idle connection got status %d", status)
	}
}

// Clients that ask once and keep their connections do not use up those that clients may have: the longest idle ones close.
func TestIdleConnectionsAreLimited(t *testing.T) {
	r := newFixture(t, 10, nil)
	held := r.dial()
	held.sendQuery()
	reply := r.event(policy.QueryReceived).Done
	var once []*client
	for range 5 {
		c := r.dial()
		once = append(once, c)
		c.sendQuery()
		r.event(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
		c.expect(500)
		r.idle(c) // else a later one may go in its place
	}
	for _, c := range once[:2] {
		if status, _, _ := c.answer(); status != 0 {
			t.Fatalf("got status %d", status)
		}
	}
	for _, c := range once[2:] {
		c.sendQuery()
		r.event(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
		c.expect(500)
	}
	reply <- aggregator.Reply{End: aggregator.Aborted}
	held.expect(500)
}

// A connection that is idle for long is closed, and one that says nothing, or that stops half way, gets its end in time.
func TestConnectionsWithoutARequestTimeOut(t *testing.T) {
	r := newFixture(t, 100, func(s *Server) { s.http.ReadTimeout, s.http.IdleTimeout = 100*time.Millisecond, 50*time.Millisecond })
	idle, silent, endless := r.dial(), r.dial(), r.dial()
	idle.sendQuery()
	r.event(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
	idle.expect(500)
	io.WriteString(endless, "POST /reads HTTP/1.1\r\nA: "+strings.Repeat("a", 4*maxHeader))
	r.ended(reasonIdle)
	r.ended(reasonNoRequest)
	for _, c := range []*client{idle, silent} {
		if status, _, _ := c.answer(); status != 0 {
			t.Fatalf("got status %d", status)
		}
	}
	if status, _, _ := endless.answer(); status != 431 && status != 0 {
		t.Fatalf("got status %d", status)
	}
}

// Large bodies take memory by turns.
func TestLargeBodiesAreLimited(t *testing.T) {
	r := newFixture(t, 100, func(s *Server) { s.largeBodies = make(chan struct{}, 1) })
	large := strings.Replace(goodBody, "c4", strings.Repeat("c", 2*smallBody), 1)
	for range 2 {
		first, second := r.dial(), r.dial()
		io.WriteString(first, request("/reads", goodHead, large))
		held := r.event(policy.QueryReceived)
		if len(held.Payload) != 2*smallBody+1 {
			t.Fatalf("the query has %d bytes", len(held.Payload))
		}
		io.WriteString(second, request("/reads", goodHead, large))
		second.expect(503)
		held.Done <- aggregator.Reply{End: aggregator.Aborted}
		first.expect(500)
	}
}

func TestClientThatDoesNotReadDelaysNoOther(t *testing.T) {
	r := newFixture(t, 100, func(s *Server) { s.answerTimeout = 100 * time.Millisecond })
	c, other := r.dial(), r.dial()
	c.sendQuery()
	q := r.event(policy.QueryReceived)
	q.Subqueries[0].Answered, q.Subqueries[0].Value = true, bytes.Repeat([]byte("v"), 32<<20) // more than sockets hold unread
	q.Done <- aggregator.Reply{End: aggregator.Satisfied}
	other.sendQuery()
	r.event(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
	other.expect(500)
	r.ended(reasonAnswerUnwritten)
}

// A new connection, and one half way in a request, may hold what nobody has read yet: they are not taken for idle at once.
// Then they go before any connection that served a query.
func TestStalledConnectionsAreEvictedAfterAWhile(t *testing.T) {
	r := newFixture(t, 8, nil)
	served := r.dial()
	served.sendQuery()
	r.event(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
	served.expect(500)
	began := time.Now()
	half := r.dial()
	io.WriteString(half, "POST /reads")
	time.Sleep(20 * time.Millisecond) // it is heard before the others come
	silent := r.dial()
	for range 5 {
		r.dial()
	}
	third, fourth := r.dial(), r.dial()
	for _, c := range []*client{third, fourth} {
		c.sendQuery()
		r.event(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
		c.expect(500)
	}
	if time.Since(began) < stallTimeout {
		t.Fatal("connections were closed that may have asked")
	}
	for _, c := range []*client{silent, half} {
		if status, _, _ := c.answer(); status != 0 {
			t.Fatalf("a connection that asked nothing got status %d", status)
		}
	}
	served.sendQuery()
	r.event(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Aborted}
	served.expect(500)
}

// Far more clients than connections at once: each gets an answer, and none finds its connection closed without one.
func TestABurstOfClientsIsAnsweredCompletely(t *testing.T) {
	r := newFixture(t, 8, nil)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-r.events.Queue.Ready():
				for _, e := range r.events.Queue.Take(nil) {
					if e.Kind == policy.QueryReceived {
						e.ClientQuery.Done <- aggregator.Reply{End: aggregator.Nacked}
					}
				}
			case <-done:
				return
			}
		}
	}()
	defer close(done)
	var crowd []*client
	for range 400 {
		c := r.dial()
		c.sendQuery()
		crowd = append(crowd, c)
	}
	for i, c := range crowd {
		if status, _, _ := c.answer(); status != 429 && status != 503 {
			t.Fatalf("client %d got status %d", i, status)
		}
	}
}

// A stopping aggregator serves on while it surely lives: connections stay open, queries that come then get their answers in that
// time, and only after it do answers close their connections.
func TestDrainKeepsServingAndAnswersAllPendingQueries(t *testing.T) {
	r := newFixture(t, 100, func(s *Server) { s.servePeriod = 600 * time.Millisecond })
	busy, idle := r.dial(), r.dial()
	busy.sendQuery()
	held := r.event(policy.QueryReceived)
	drained := make(chan struct{})
	go func() { r.Drain(); close(drained) }()
	for _, c := range []*client{idle, r.dial(), idle} { // beyond the time that a front takes to notice
		time.Sleep(180 * time.Millisecond)
		io.WriteString(c, request("/reads", strings.Replace(goodHead, "0.480", "9", 1), goodBody))
		q := r.event(policy.QueryReceived)
		if q.Timeout > 0.95 {
			t.Fatalf("may wait %g s, longer than the mixer lives", q.Timeout)
		}
		q.Done <- aggregator.Reply{End: aggregator.Nacked}
		if head, _ := c.expect(429); head.Get("Connection") == "close" {
			t.Fatal("the connection closes with others perhaps not there yet")
		}
	}
	if status, _, _ := idle.answer(); status != 0 {
		t.Fatalf("the idle connection got status %d", status)
	}
	if _, err := net.Dial("tcp", r.address); err == nil {
		t.Fatal("still accepting")
	}
	select {
	case <-drained:
		t.Fatal("stopped with a lookup held")
	default:
	}
	held.Done <- aggregator.Reply{End: aggregator.Satisfied}
	if head, _ := busy.expect(200); head.Get("Connection") != "close" {
		t.Fatalf("got %v", head)
	}
	select {
	case <-drained:
	case <-time.After(patience):
		t.Fatal("did not stop")
	}
	r = newFixture(t, 100, func(s *Server) { s.servePeriod = time.Hour })
	r.Drain() // nobody is there
}

func FuzzBodies(f *testing.F) {
	for _, s := range []string{goodBody, `{"targets":[{"partition":1,"share":1e-9,"est_us":1e300}],"query":"\ud800"}`,
		`{"targets":[{"partition":1,"share":0}],"query":"\u0000\"\\"}`, `{"query":null,"targets":null}`, `[]`, ``} {
		f.Add([]byte(s))
	}
	b := newNameTable(settings.Net{Shards: 8})
	f.Fuzz(func(t *testing.T, text []byte) {
		var q aggregator.Query
		if b.readBody(text, &q) != nil {
			return
		}
		var in struct{ Query string }
		if err := json.Unmarshal(text, &in); err != nil || !utf8.Valid(text) || in.Query != string(q.Payload) {
			t.Fatalf("%q: query is %q, %v; read as %q", text, in.Query, err, q.Payload)
		}
		if len(q.Subqueries) > 8 {
			t.Fatalf("%q: %d parts", text, len(q.Subqueries))
		}
		for i := range q.Subqueries {
			p := &q.Subqueries[i]
			if p.Shard < 0 || p.Shard > 7 || !(p.Weight >= 0 && p.Weight <= 1) || !(p.Hint >= 0) {
				t.Fatalf("%q: part %+v", text, p)
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
