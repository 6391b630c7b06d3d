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
type rawServer struct {
	*testing.T
	*Client
	events   *queuetest.Ear[aggregator.Event]
	listener *net.TCPListener
}

func newRawServer(t *testing.T, listOnRequest bool, adjust func(*Client)) *rawServer {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r := &rawServer{T: t, events: queuetest.New[aggregator.Event](), listener: l}
	set := settings.Settings{}
	set.ListOnRequest = listOnRequest
	r.Client, err = New(l.Addr().String(), []byte(listLine(41, true, backend("s1", "SERVING"))), set, r.events.Queue, zap.NewNop(), counters.New())
	if err != nil {
		t.Fatal(err)
	}
	if adjust != nil {
		adjust(r.Client)
	}
	go r.Client.Run()
	t.Cleanup(func() { r.Stop(); l.Close() })
	r.events.Next(t) // what was known
	return r
}

// accept takes the next request, which has to be this one.
func (r *rawServer) accept(url string) *net.TCPConn {
	r.Helper()
	r.listener.SetDeadline(time.Now().Add(patience))
	c, err := r.listener.AcceptTCP()
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { c.Close() })
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil || req.URL.String() != url {
		r.Fatalf("asked %v, %v, expected %q", req, err, url)
	}
	return c
}

const (
	untilCloseHeader = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	chunkedHeader    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// nothing expects that nothing was told by now.
func (r *rawServer) expectNoEvent() {
	r.Helper()
	if rest := r.events.Rest(); len(rest) > 0 {
		r.Fatalf("told %+v", rest)
	}
}

// What was not ended by its line break before a reset is no list, though it can be read; what was, counts. The watch goes on from there.
func TestConnectionResetDoesNotCompleteALine(t *testing.T) {
	r := newRawServer(t, false, nil)
	list := listLine(43, false, backend("s2", "SERVING"))
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(strings.TrimSpace(list)), "", " "); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{untilCloseHeader + strings.TrimSpace(list), chunkedHeader + chunk(strings.TrimSpace(list)), untilCloseHeader + indented.String(),
		untilCloseHeader, untilCloseHeader + list[:40], chunkedHeader + chunk(list[:40])} {
		c := r.accept("/discovery/hosts?stream=1&index=41")
		c.Write([]byte(text))
		reset(c)
	}
	c := r.accept("/discovery/hosts?stream=1&index=41")
	r.expectNoEvent()
	c.Write([]byte(chunkedHeader + chunk(list) + chunk(`{"generation":44`)))
	if e := r.events.Next(t); e.List != policy.ListPatch || len(e.Entries) != 1 {
		t.Fatalf("told %+v", e)
	}
	reset(c)
	r.accept("/discovery/hosts?stream=1&index=43")
	r.expectNoEvent()
}

// Neither is a complete list that is reset, in whatever form it came; and what is cut short is none either.
func TestConnectionResetDoesNotCompleteAList(t *testing.T) {
	r := newRawServer(t, true, nil)
	list := listLine(43, true, backend("s2", "SERVING"))
	for _, text := range []string{untilCloseHeader + list, chunkedHeader + chunk(list), "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + list} {
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
	c.Write([]byte(untilCloseHeader + list))
	c.Close()
	if e := r.events.Next(t); e.List != policy.ListComplete {
		t.Fatalf("told %+v", e)
	}
}

// A whole list that was asked for at the old address, or before what a watch has told since, is asked for anew.
func TestOutdatedCompleteListIsRequestedAgain(t *testing.T) {
	r, other := newRawServer(t, true, nil), newRawServer(t, true, nil)
	r.RequestFullList()
	old := r.accept("/discovery/hosts")
	if err := r.MoveTo(other.listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	r.Subscribe(true) // told behind the move: its watch shows that the move was taken
	c := other.accept("/discovery/hosts?stream=1&index=41")
	old.Write([]byte(untilCloseHeader + listLine(99, true, backend("s9", "SERVING"))))
	old.Close()
	again := other.accept("/discovery/hosts")
	r.expectNoEvent()
	c.Write([]byte(chunkedHeader + chunk(listLine(44, false, backend("s1", "DRAINING")))))
	if e := r.events.Next(t); e.List != policy.ListPatch || e.Entries[0].Phase != policy.Draining {
		t.Fatalf("told %+v", e)
	}
	again.Write([]byte(untilCloseHeader + listLine(41, true, backend("s1", "SERVING")))) // as it was before the drain
	again.Close()
	third := other.accept("/discovery/hosts")
	r.expectNoEvent()
	third.Write([]byte(untilCloseHeader + listLine(45, true, backend("s1", "DRAINING"))))
	third.Close()
	if e := r.events.Next(t); e.List != policy.ListComplete || e.Entries[0].Phase != policy.Draining {
		t.Fatalf("told %+v", e)
	}
}

// A watch that falls silent is renewed wherever it stands: with its request taken and no head, with a head and no line, with half a
// line, behind heartbeats. What the old one says late counts no more.
func TestWatchStalledAtAnyPointIsRenewed(t *testing.T) {
	r := newRawServer(t, false, func(r *Client) { r.watchTimeout = 200 * time.Millisecond })
	list := listLine(43, false, backend("s9", "SERVING"))
	var old []*net.TCPConn
	for _, text := range []string{"", "HTTP/1.1 200", chunkedHeader, untilCloseHeader, chunkedHeader + chunk(list[:50]), chunkedHeader + chunk("\n") + chunk(list[:50])} {
		c := r.accept("/discovery/hosts?stream=1&index=41")
		c.Write([]byte(text))
		old = append(old, c)
	}
	c := r.accept("/discovery/hosts?stream=1&index=41")
	for _, o := range old {
		o.Write([]byte(chunkedHeader + chunk(list)))
	}
	c.Write([]byte(chunkedHeader + chunk(listLine(44, false, backend("s1", "DRAINING")))))
	if e := r.events.Next(t); e.List != policy.ListPatch || len(e.Entries) != 1 || e.Entries[0].Backend != 1 {
		t.Fatalf("told %+v", e)
	}
	r.accept("/discovery/hosts?stream=1&index=44")
	r.expectNoEvent()
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
		r.currentWatch++
		r.cancel = func() {}
		r.handle(&message{kind: messageWatchEnded, watch: r.currentWatch, err: net.ErrClosed})
	}
	if r.backoff != maxBackoff {
		t.Fatalf("waits %s after ten tries, expected %s", r.backoff, maxBackoff)
	}
	r.cancel = func() {}
	r.handle(&message{kind: messageLine, watch: r.currentWatch})
	lastLineAt := r.lastLineAt
	r.retryWatch("silent", net.ErrClosed)
	if r.backoff != minBackoff {
		t.Fatalf("waits %s after a beat, expected %s", r.backoff, minBackoff)
	}
	if longest := r.watchTimeout + minBackoff*3/2; longest >= 6*time.Second || lastLineAt.IsZero() {
		t.Fatalf("a new watch stands %s after the last byte, expected less than 6 s", longest)
	}
}

// Outage and return: while nobody listens at the registry's address the list stays as it is; once somebody does, the watch is there
// within the longest wait between tries.
func TestRegistryIsWatchedAgainAfterAnOutage(t *testing.T) {
	r := newRawServer(t, false, nil)
	address := r.listener.Addr().(*net.TCPAddr)
	c := r.accept("/discovery/hosts?stream=1&index=41")
	r.listener.Close()
	c.Write([]byte(chunkedHeader + chunk("\n")))
	reset(c)
	for late := time.Now().Add(patience); r.counters.Get("watches", "watch_ended") < 3; time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("it does not try again")
		}
	}
	r.expectNoEvent()
	var err error
	if r.listener, err = net.ListenTCP("tcp", address); err != nil {
		t.Fatal(err)
	}
	defer r.listener.Close()
	c = r.accept("/discovery/hosts?stream=1&index=41")
	c.Write([]byte(chunkedHeader + chunk(listLine(50, false, backend("s1", "DRAINING")))))
	if e := r.events.Next(t); e.List != policy.ListPatch || e.Entries[0].Phase != policy.Draining {
		t.Fatalf("told %+v", e)
	}
}
