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

// noConnections waits until the server holds nothing of any client.
func (r *fixture) noConnections() {
	r.Helper()
	for late := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		open, half := r.connections.remaining()
		r.connections.mu.Lock()
		held := r.connections.activeQueries
		r.connections.mu.Unlock()
		if open == 0 && half == 0 && held == 0 {
			return
		}
		if time.Now().After(late) {
			r.Fatalf("%d connections open, %d half, %d lookups held", open, half, held)
		}
	}
}

func pipelined(id string) string {
	return request("/reads", strings.Replace(goodHead, "ab12", id, 1), goodBody)
}

// A client that leaves behind what it pipelined is told of as soon as one that sent nothing, however it leaves.
func TestDisconnectBehindPipelinedRequests(t *testing.T) {
	for name, ahead := range map[string]string{"byte": "P", "request": pipelined("second"), "many": strings.Repeat(pipelined("second"), 100)} {
		for _, how := range []string{"fin", "half", "reset"} {
			r := newFixture(t, 100, nil)
			c := r.dial()
			io.WriteString(c, pipelined("first")+ahead)
			q := r.event(policy.QueryReceived)
			switch tcp := c.Conn.(*net.TCPConn); how {
			case "fin":
				tcp.Close()
			case "half":
				tcp.CloseWrite()
			case "reset":
				tcp.SetLinger(0)
				tcp.Close()
			}
			if gone := r.event(policy.ClientDisconnected); gone != q {
				t.Fatalf("%s, %s: lookup %q is told to have no client", name, how, gone.ID)
			}
			c.Close()
			r.noConnections()
			if rest := r.events.Rest(); len(rest) != 0 { // of what it sent behind
				t.Fatalf("%s, %s: %q is sent on", name, how, rest[0].ClientQuery.ID)
			}
		}
	}
}

// What is pipelined is answered in its turn as long as it is little, the last one too.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	r := newFixture(t, 100, nil)
	c := r.dial()
	io.WriteString(c, pipelined("a")+pipelined("b"))
	for _, id := range []string{"a", "b", "c"} {
		q := r.event(policy.QueryReceived)
		if q.ID != id {
			t.Fatalf("got %q, expected %q", q.ID, id)
		}
		if id == "a" {
			io.WriteString(c, pipelined("c")[:40])
			io.WriteString(c, pipelined("c")[40:])
		}
		q.Done <- aggregator.Reply{End: aggregator.Nacked}
		if head, _ := c.expect(429); head.Get("Connection") == "close" {
			t.Fatalf("the connection ends with the answer to %q", id)
		}
	}
}

// More is not kept: the answer in hand is whole, and the last; nothing of the rest reaches the policy.
func TestPipelinedBytesBeyondTheLimitEndTheConnection(t *testing.T) {
	r := newFixture(t, 100, nil)
	c, other := r.dial(), r.dial()
	io.WriteString(c, pipelined("first"))
	q := r.event(policy.QueryReceived)
	if _, err := io.WriteString(c, strings.Repeat(pipelined("more"), 2*maxReadAhead/len(pipelined("more")))); err != nil {
		t.Fatal(err)
	}
	r.overrun()
	other.sendQuery()
	r.event(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Nacked}
	other.expect(429)
	q.Done <- aggregator.Reply{End: aggregator.Nacked}
	if head, _ := c.expect(429); head.Get("Connection") != "close" {
		t.Fatal("the connection stays open")
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Fatalf("ended by %v, expected io.EOF", err)
	}
	c.Close()
	other.Close()
	r.noConnections()
	if rest := r.events.Rest(); len(rest) != 0 {
		t.Fatalf("%d events", len(rest))
	}
}

// overrun waits until some connection has sent more than is kept.
func (r *fixture) overrun() {
	r.Helper()
	for late := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		r.connections.mu.Lock()
		for l := range r.connections.open {
			if l.overrun.Load() {
				r.connections.mu.Unlock()
				return
			}
		}
		r.connections.mu.Unlock()
		if time.Now().After(late) {
			r.Fatal("nothing ran over")
		}
	}
}

// No close over bytes that nobody has read: it would be a reset, and may cost the client the answer before it.
func TestAnAnswerBeforeUnreadBytesIsNotReset(t *testing.T) {
	r := newFixture(t, 100, nil)
	c := r.dial()
	io.WriteString(c, strings.Replace(pipelined("x"), "Req-Deadline: 0.480", "Req-Deadline: never", 1)+strings.Repeat("x", 100<<10))
	if head, _ := c.expect(400); head.Get("Connection") != "close" {
		t.Fatal("the connection stays open")
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Fatalf("ended by %v, expected io.EOF", err)
	}
	if _, err := io.WriteString(c, "more"); err != nil {
		t.Fatal(err)
	}
	c.Close()
	r.noConnections()
}

// A client that rests until it is told is told by an end and not by a reset. A request that crosses with it is never sent on.
func TestBytesAfterTheCloseAreDiscarded(t *testing.T) {
	r := newFixture(t, 100, func(s *Server) { s.servePeriod = time.Millisecond })
	rests, half := r.dial(), r.dial()
	rests.sendQuery()
	r.event(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Nacked}
	rests.expect(429)
	io.WriteString(half, "POST /reads HTTP/1.1\r\nReq-Id: half")
	drained := make(chan struct{})
	go func() { r.Drain(); close(drained) }()
	for _, c := range []*client{rests, half} {
		if _, err := c.in.ReadByte(); err != io.EOF {
			t.Fatalf("ended by %v, expected io.EOF", err)
		}
	}
	if _, err := io.WriteString(rests, pipelined("after")); err != nil {
		t.Fatal(err)
	}
	if _, err := rests.in.ReadByte(); err != io.EOF {
		t.Fatalf("ended by %v, expected io.EOF", err)
	}
	rests.Close()
	half.Close()
	<-drained
	r.noConnections()
	if rest := r.events.Rest(); len(rest) != 0 {
		t.Fatalf("%+v was sent on", rest[0].ClientQuery)
	}
}

// A stop ends in time whatever clients do: one does not read its answer, one trickles a head, one a body. Those that are held are answered
// before.
func TestStopDoesNotWaitForClientsThatNeverClose(t *testing.T) {
	r := newFixture(t, 100, func(s *Server) {
		s.servePeriod, s.answerTimeout = time.Millisecond, time.Hour
		s.http.ReadTimeout, s.http.IdleTimeout = time.Hour, time.Hour
	})
	deaf, held, head, body := r.dial(), r.dial(), r.dial(), r.dial()
	deaf.sendQuery()
	q := r.event(policy.QueryReceived)
	q.Subqueries[0].Answered, q.Subqueries[0].Value = true, bytes.Repeat([]byte("v"), 32<<20) // more than sockets hold unread
	q.Done <- aggregator.Reply{End: aggregator.Satisfied}
	if _, err := deaf.in.Peek(1); err != nil { // its answer is on its way
		t.Fatal(err)
	}
	held.sendQuery()
	q = r.event(policy.QueryReceived)
	text := pipelined("trickles")
	io.WriteString(head, text[:20])
	io.WriteString(body, text[:len(text)-20])
	drained := make(chan struct{})
	go func() { r.Drain(); close(drained) }()
	trickles := time.NewTicker(50 * time.Millisecond)
	defer trickles.Stop()
	late := time.After(patience)
	for sent := 0; ; sent++ {
		select {
		case <-trickles.C:
			if sent == 2 {
				q.Done <- aggregator.Reply{End: aggregator.Nacked}
				held.expect(429)
			}
			if sent < 10 {
				io.WriteString(head, text[20+sent:21+sent])
				io.WriteString(body, text[len(text)-20+sent:len(text)-19+sent])
			}
		case <-drained:
			if sent < 2 {
				t.Fatal("it ended with a lookup held")
			}
			if rest := r.events.Rest(); len(rest) != 0 {
				t.Fatalf("%+v was sent on", rest[0].ClientQuery)
			}
			r.noConnections()
			return
		case <-late:
			t.Fatal("it waits for them")
		}
	}
}

// One that rests on for ever is left after a while, and at once where its place is needed.
func TestLingeringCloseTimesOut(t *testing.T) {
	r := newFixture(t, 2, nil)
	for range 6 {
		c := r.dial()
		c.sendQuery()
		r.event(policy.QueryReceived).Done <- aggregator.Reply{End: aggregator.Nacked}
		c.expect(429)
	}
	r.noConnections()
}

// taken is a connection whose bytes were taken from the kernel, and are not told of until the test lets go.
type taken struct {
	net.Conn
	got, let chan struct{}
}

func (c *taken) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.got <- struct{}{}
		<-c.let
	}
	return n, err
}

// newUnservedConnection is a connection that net/http does not read, and its client.
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
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	s := newConnections(10, 1<<20, zap.NewNop(), counters.New())
	l := &connection{Conn: conn, table: s, clientLeft: make(chan struct{}), opened: time.Now(), idle: true}
	l.readerStopped = sync.NewCond(&l.readMu)
	s.open[l] = true
	return l, client
}

// net/http stops its own read by a deadline that has passed, and takes it back. That may find who follows instead, where a client asks anew
// right behind its answer: the next request is read all the same.
func TestDeadlineThatIsResetEndsNothing(t *testing.T) {
	l, client := newUnservedConnection(t)
	io.WriteString(client, "P")
	if n, err := l.Read(make([]byte, 1)); n != 1 || err != nil { // as net/http looks for its client's disconnect
		t.Fatal(n, err)
	}
	l.SetReadDeadline(past)
	l.readMu.Lock()
	for l.watching {
		l.readerStopped.Wait()
	}
	l.readMu.Unlock()
	l.SetReadDeadline(time.Time{})
	io.WriteString(client, "OST")
	b := make([]byte, 3)
	if _, err := io.ReadFull(l, b); err != nil || string(b) != "OST" {
		t.Fatalf("read %q, %v", b, err)
	}
}

// Another deadline that is set while a reader waits for who follows does not leave it waiting.
func TestDeadlineSetDuringTheCloseDoesNotBlockTheReader(t *testing.T) {
	l, client := newUnservedConnection(t)
	for range 200 {
		io.WriteString(client, "P")
		if n, err := l.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Fatal(n, err)
		}
		set := make(chan struct{})
		go func() { l.SetReadDeadline(time.Time{}); close(set) }()
		read := make(chan error)
		go func() { _, err := l.Read(make([]byte, 4096)); read <- err }()
		<-set
		l.readMu.Lock()
		for l.watching {
			l.readerStopped.Wait()
		}
		l.readMu.Unlock()
		io.WriteString(client, "x")
		if err := <-read; err != nil {
			t.Fatal(err)
		}
	}
}

// A request that was read as its connection is told to end is not dropped: it is read to its end and can be answered.
func TestARequestReadAsItsConnectionEndsIsAnswered(t *testing.T) {
	l, client := newUnservedConnection(t)
	held := &taken{l.Conn, make(chan struct{}), make(chan struct{})}
	l.Conn = held
	request := pipelined("x")
	io.WriteString(client, request[:100])
	text := make(chan string)
	go func() {
		got := ""
		for b := make([]byte, 4096); len(got) < len(request); {
			n, err := l.Read(b)
			if got += string(b[:n]); err != nil {
				break
			}
		}
		text <- got
	}()
	<-held.got // nobody knows yet
	l.table.closeIdle(reasonShutdown)
	held.let <- struct{}{}
	io.WriteString(client, request[100:])
	<-held.got
	held.let <- struct{}{}
	if got := <-text; got != request {
		t.Fatalf("read %q", got)
	}
	l.answering.Store(true)
	if _, err := io.WriteString(l, "HTTP/1.1 429 Too Many Requests\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusTooManyRequests {
		t.Fatalf("got %v", res)
	}
}

// Clients that leave in a burst, each with a query held: all are told of, and nothing of them is left.
func TestABurstOfClientsDisconnects(t *testing.T) {
	r := newFixture(t, 1000, nil)
	var crowd []*client
	for i := range 300 {
		c := r.dial()
		c.sendQuery()
		if i%3 == 0 {
			io.WriteString(c, pipelined("ahead"))
		}
		crowd = append(crowd, c)
	}
	for range crowd {
		r.event(policy.QueryReceived)
	}
	for i, c := range crowd {
		if i%2 == 0 {
			c.Conn.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	}
	for range crowd {
		r.event(policy.ClientDisconnected)
	}
	r.noConnections()
}

// A client that leaves as its answer is decided is ended once, whichever comes first: by its answer, or by word of its leaving, not by both.
func TestAnswerRacesWithItsClientsDisconnect(t *testing.T) {
	r := newFixture(t, 100, nil)
	gone := map[*aggregator.Query]bool{}
	hear := func(e aggregator.Event) {
		if e.Kind != policy.ClientDisconnected || gone[e.ClientQuery] {
			t.Fatalf("got %+v", e)
		}
		gone[e.ClientQuery] = true
	}
	answered := map[*aggregator.Query]bool{}
	for i := range 100 {
		c := r.dial()
		c.sendQuery()
		e := r.events.Next(t)
		for ; e.Kind != policy.QueryReceived; e = r.events.Next(t) {
			hear(e) // of the round before
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
	r.noConnections()
	for _, e := range r.events.Rest() {
		hear(e)
	}
	for q := range gone {
		if answered[q] {
			t.Fatalf("%q was answered, and its client told to be gone", q.ID)
		}
	}
}
