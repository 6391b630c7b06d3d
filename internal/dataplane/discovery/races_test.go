package discovery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/internal/eventqueue/queuetest"
	"puffinlink.example/puffinlink/internal/leaktest"
	"puffinlink.example/puffinlink/policy"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// bare is a register by hand, whose answers need not be whole.
type bare struct {
	*testing.T
	*Client
	events *queuetest.Receiver[aggregator.Event]
	server *net.TCPListener
}

func newBare(t *testing.T, asked bool, change func(*Client)) *bare {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r := &bare{T: t, events: queuetest.New[aggregator.Event](), server: l}
	set := settings.Settings{}
	set.ListOnRequest = asked
	r.Client, err = New(l.Addr().String(), []byte(listLine(41, true, backend("s1", "SERVING"))), set, r.events.Queue, zap.NewNop(), counters.New())
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(r.Client)
	}
	go r.Client.Run()
	t.Cleanup(func() { r.Stop(); l.Close() })
	r.events.Next(t) // what was known
	return r
}

// accept takes the next request, which has to be this one.
func (r *bare) accept(query string) *net.TCPConn {
	r.Helper()
	r.server.SetDeadline(time.Now().Add(patience))
	c, err := r.server.AcceptTCP()
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { c.Close() })
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil || req.URL.String() != query {
		r.Fatalf("asked %v, %v, expected %q", req, err, query)
	}
	return c
}

const (
	noLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	chunked  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// nothing expects that nothing was told by now.
func (r *bare) nothing() {
	r.Helper()
	if rest := r.events.Remaining(); len(rest) > 0 {
		r.Fatalf("told %+v", rest)
	}
}

// What was not ended by its line break before a reset is no list, though it can be read; what was, counts. The watch goes on from there.
func TestConnectionResetDoesNotEndALine(t *testing.T) {
	r := newBare(t, false, nil)
	list := listLine(43, false, backend("s2", "SERVING"))
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(strings.TrimSpace(list)), "", " "); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{noLength + strings.TrimSpace(list), chunked + chunk(strings.TrimSpace(list)), noLength + indented.String(),
		noLength, noLength + list[:40], chunked + chunk(list[:40])} {
		c := r.accept("/discovery/hosts?stream=1&index=41")
		c.Write([]byte(text))
		reset(c)
	}
	c := r.accept("/discovery/hosts?stream=1&index=41")
	r.nothing()
	c.Write([]byte(chunked + chunk(list) + chunk(`{"generation":44`)))
	if e := r.events.Next(t); e.List != policy.ListPatch || len(e.Entries) != 1 {
		t.Fatalf("told %+v", e)
	}
	reset(c)
	r.accept("/discovery/hosts?stream=1&index=43")
	r.nothing()
}

// Neither is a complete list that is reset, in whatever form it came; and what is cut short is none either.
func TestConnectionResetDoesNotEndAFullList(t *testing.T) {
	r := newBare(t, true, nil)
	list := listLine(43, true, backend("s2", "SERVING"))
	for _, text := range []string{noLength + list, chunked + chunk(list), "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + list} {
		r.RequestFullList()
		c := r.accept("/discovery/hosts")
		c.Write([]byte(text))
		reset(c)
		if e := r.events.Next(t); e.List != policy.ListFailed {
			t.Fatalf("%q: told %+v", text, e)
		}
	}
	r.RequestFullList()
	c := r.accept("/discovery/hosts")
	c.Write([]byte(noLength + list))
	c.Close()
	if e := r.events.Next(t); e.List != policy.ListComplete {
		t.Fatalf("told %+v", e)
	}
}

// A whole list that was asked for at the old address, or before what a watch has told since, is asked for anew.
func TestOutdatedFullListIsRequestedAgain(t *testing.T) {
	r, other := newBare(t, true, nil), newBare(t, true, nil)
	r.RequestFullList()
	old := r.accept("/discovery/hosts")
	if err := r.MoveTo(other.server.Addr().String()); err != nil {
		t.Fatal(err)
	}
	r.Subscribe(true) // told behind the move: its watch shows that the move was taken
	c := other.accept("/discovery/hosts?stream=1&index=41")
	old.Write([]byte(noLength + listLine(99, true, backend("s9", "SERVING"))))
	old.Close()
	again := other.accept("/discovery/hosts")
	r.nothing()
	c.Write([]byte(chunked + chunk(listLine(44, false, backend("s1", "DRAINING")))))
	if e := r.events.Next(t); e.List != policy.ListPatch || e.Entries[0].Phase != policy.Draining {
		t.Fatalf("told %+v", e)
	}
	again.Write([]byte(noLength + listLine(41, true, backend("s1", "SERVING")))) // as it was before the drain
	again.Close()
	third := other.accept("/discovery/hosts")
	r.nothing()
	third.Write([]byte(noLength + listLine(45, true, backend("s1", "DRAINING"))))
	third.Close()
	if e := r.events.Next(t); e.List != policy.ListComplete || e.Entries[0].Phase != policy.Draining {
		t.Fatalf("told %+v", e)
	}
}

// A watch that falls silent is renewed wherever it stands: with its request taken and no head, with a head and no line, with half a
// line, behind heartbeats. What the old one says late counts no more.
func TestWatchStalledAtAnyPointIsRenewed(t *testing.T) {
	r := newBare(t, false, func(r *Client) { r.watchTimeout = 200 * time.Millisecond })
	list := listLine(43, false, backend("s9", "SERVING"))
	var old []*net.TCPConn
	for _, text := range []string{"", "HTTP/1.1 200", chunked, noLength, chunked + chunk(list[:50]), chunked + chunk("\n") + chunk(list[:50])} {
		c := r.accept("/discovery/hosts?stream=1&index=41")
		c.Write([]byte(text))
		old = append(old, c)
	}
	c := r.accept("/discovery/hosts?stream=1&index=41")
	for _, o := range old {
		o.Write([]byte(chunked + chunk(list)))
	}
	c.Write([]byte(chunked + chunk(listLine(44, false, backend("s1", "DRAINING")))))
	if e := r.events.Next(t); e.List != policy.ListPatch || len(e.Entries) != 1 || e.Entries[0].Backend != 1 {
		t.Fatalf("told %+v", e)
	}
	r.accept("/discovery/hosts?stream=1&index=44")
	r.nothing()
}

// A register that comes back after a while is heard at once: of what it has, the first line counts, drains above all. The waits between
// tries have grown by then, and go back with the first heartbeat: the next silence has 6 s of its own.
func TestHeartbeatResetsTheBackoff(t *testing.T) {
	queue := eventqueue.New[aggregator.Event]()
	r, err := New("127.0.0.1:1", []byte(listLine(41, true)), settings.Settings{}, queue, zap.NewNop(), counters.New())
	if err != nil {
		t.Fatal(err)
	}
	for range 10 {
		r.watchNo++
		r.cancel = func() {}
		r.handle(&message{kind: messageWatchEnded, watch: r.watchNo, err: net.ErrClosed})
	}
	if r.backoff != maxBackoff {
		t.Fatalf("waits %s after ten tries, expected %s", r.backoff, maxBackoff)
	}
	r.cancel = func() {}
	r.handle(&message{kind: messageLine, watch: r.watchNo})
	heard := r.lastLineAt
	r.retryWatch("silent", net.ErrClosed)
	if r.backoff != minBackoff {
		t.Fatalf("waits %s after a beat, expected %s", r.backoff, minBackoff)
	}
	if late := r.watchTimeout + minBackoff*3/2; late >= 6*time.Second || heard.IsZero() {
		t.Fatalf("a new watch stands %s after the last byte, expected less than 6 s", late)
	}
}

// Outage and return: while nobody listens at the registry's address the list stays as it is; once somebody does, the watch is there
// within the longest wait between tries.
func TestRegistryThatRecoversIsWatched(t *testing.T) {
	r := newBare(t, false, nil)
	address := r.server.Addr().(*net.TCPAddr)
	c := r.accept("/discovery/hosts?stream=1&index=41")
	r.server.Close()
	c.Write([]byte(chunked + chunk("\n")))
	reset(c)
	for late := time.Now().Add(patience); r.counters.Get("watches", "watch_ended") < 3; time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("it does not try again")
		}
	}
	r.nothing()
	var err error
	if r.server, err = net.ListenTCP("tcp", address); err != nil {
		t.Fatal(err)
	}
	defer r.server.Close()
	c = r.accept("/discovery/hosts?stream=1&index=41")
	c.Write([]byte(chunked + chunk(listLine(50, false, backend("s1", "DRAINING")))))
	if e := r.events.Next(t); e.List != policy.ListPatch || e.Entries[0].Phase != policy.Draining {
		t.Fatalf("told %+v", e)
	}
}
