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

// rawFixture is a client and a registry that the test plays on raw TCP connections, so that responses may be truncated.
type rawFixture struct {
	*testing.T
	*Client
	events   *queuetest.Receiver[aggregator.Event]
	listener *net.TCPListener
}

func newRawFixture(t *testing.T, listOnRequest bool, adjust func(*Client)) *rawFixture {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r := &rawFixture{T: t, events: queuetest.New[aggregator.Event](), listener: l}
	aggregatorSettings := settings.Settings{}
	aggregatorSettings.ListOnRequest = listOnRequest
	r.Client, err = New(l.Addr().String(), []byte(listLine(41, true, backend("s1", "SERVING"))), aggregatorSettings, r.events.Queue, zap.NewNop(), counters.New())
	if err != nil {
		t.Fatal(err)
	}
	if adjust != nil {
		adjust(r.Client)
	}
	go r.Client.Run()
	t.Cleanup(func() { r.Stop(); l.Close() })
	r.events.Next(t) // the initial list
	return r
}

// accept accepts the next request, which has to be for this URL.
func (r *rawFixture) accept(url string) *net.TCPConn {
	r.Helper()
	r.listener.SetDeadline(time.Now().Add(waitTimeout))
	c, err := r.listener.AcceptTCP()
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { c.Close() })
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil || req.URL.String() != url {
		r.Fatalf("got request %v, %v, expected %q", req, err, url)
	}
	return c
}

// The headers of responses that end with the connection, and of responses in chunks.
const (
	untilCloseHeader = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	chunkedHeader    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// chunk returns a chunk of the chunked transfer encoding.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// reset closes a connection with a TCP reset.
func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// expectNoEvent checks that no event is pending.
func (r *rawFixture) expectNoEvent() {
	r.Helper()
	if rest := r.events.Remaining(); len(rest) > 0 {
		r.Fatalf("got %+v", rest)
	}
}

// A line without its line break before a reset is not a list, even if it can be parsed. A line with its line break counts, and the
// watch resumes at its version.
func TestConnectionResetDoesNotCompleteALine(t *testing.T) {
	r := newRawFixture(t, false, nil)
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
		t.Fatalf("got %+v", e)
	}
	reset(c)
	r.accept("/discovery/hosts?stream=1&index=43")
	r.expectNoEvent()
}

// A complete list is rejected if its connection was reset, whatever its transfer encoding, or if it is shorter than its stated
// length.
func TestConnectionResetDoesNotCompleteAList(t *testing.T) {
	r := newRawFixture(t, true, nil)
	list := listLine(43, true, backend("s2", "SERVING"))
	for _, text := range []string{untilCloseHeader + list, chunkedHeader + chunk(list), "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + list} {
		r.RequestCompleteList()
		c := r.accept("/discovery/hosts")
		c.Write([]byte(text))
		reset(c)
		if e := r.events.Next(t); e.List != policy.ListFailed {
			t.Fatalf("%q: got %+v", text, e)
		}
	}
	r.RequestCompleteList()
	c := r.accept("/discovery/hosts")
	c.Write([]byte(untilCloseHeader + list))
	c.Close()
	if e := r.events.Next(t); e.List != policy.ListComplete {
		t.Fatalf("got %+v", e)
	}
}

// A complete list is requested again if it came from the old address, or is older than what a watch has delivered meanwhile.
func TestOutdatedCompleteListIsRequestedAgain(t *testing.T) {
	r, other := newRawFixture(t, true, nil), newRawFixture(t, true, nil)
	r.RequestCompleteList()
	old := r.accept("/discovery/hosts")
	if err := r.MoveTo(other.listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	r.Subscribe(true) // queued after the move, so its watch shows that the move was handled
	c := other.accept("/discovery/hosts?stream=1&index=41")
	old.Write([]byte(untilCloseHeader + listLine(99, true, backend("s9", "SERVING"))))
	old.Close()
	again := other.accept("/discovery/hosts")
	r.expectNoEvent()
	c.Write([]byte(chunkedHeader + chunk(listLine(44, false, backend("s1", "DRAINING")))))
	if e := r.events.Next(t); e.List != policy.ListPatch || e.Entries[0].Phase != policy.Draining {
		t.Fatalf("got %+v", e)
	}
	again.Write([]byte(untilCloseHeader + listLine(41, true, backend("s1", "SERVING")))) // the list before the drain
	again.Close()
	third := other.accept("/discovery/hosts")
	r.expectNoEvent()
	third.Write([]byte(untilCloseHeader + listLine(45, true, backend("s1", "DRAINING"))))
	third.Close()
	if e := r.events.Next(t); e.List != policy.ListComplete || e.Entries[0].Phase != policy.Draining {
		t.Fatalf("got %+v", e)
	}
}

// A watch without heartbeats is replaced at whatever point it stalls: before the response header, within it, before the first line,
// within a line, or after a heartbeat. Late lines of the old watch are ignored.
func TestWatchStalledAtAnyPointIsRenewed(t *testing.T) {
	r := newRawFixture(t, false, func(r *Client) { r.watchTimeout = 200 * time.Millisecond })
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
		t.Fatalf("got %+v", e)
	}
	r.accept("/discovery/hosts?stream=1&index=44")
	r.expectNoEvent()
}

// The delay between watches grows while the registry is unavailable. The first heartbeat resets it, so that a new watch is again
// established within 6 s of the last line and drains are known in time.
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
		t.Fatalf("the backoff is %s after ten failures, expected %s", r.backoff, maxBackoff)
	}
	r.cancel = func() {}
	r.handle(&message{kind: messageLine, watch: r.currentWatch})
	lastLineAt := r.lastLineAt
	r.retryWatch("silent", net.ErrClosed)
	if r.backoff != minBackoff {
		t.Fatalf("the backoff is %s after a heartbeat, expected %s", r.backoff, minBackoff)
	}
	if longest := r.watchTimeout + minBackoff*3/2; longest >= 6*time.Second || lastLineAt.IsZero() {
		t.Fatalf("a new watch starts %s after the last line, expected less than 6 s", longest)
	}
}

// The list stays unchanged while the registry is unavailable. Once the registry listens again, a watch is
// established within the longest backoff.
func TestRegistryIsWatchedAgainAfterAnOutage(t *testing.T) {
	r := newRawFixture(t, false, nil)
	address := r.listener.Addr().(*net.TCPAddr)
	c := r.accept("/discovery/hosts?stream=1&index=41")
	r.listener.Close()
	c.Write([]byte(chunkedHeader + chunk("\n")))
	reset(c)
	for deadline := time.Now().Add(waitTimeout); r.counters.Get("watches", "watch_ended") < 3; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the watch is not retried")
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
		t.Fatalf("got %+v", e)
	}
}
