package backends

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
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

// fixture is a hub with one backend, whose side of the connections the test plays.
type fixture struct {
	*testing.T
	hub          *Hub
	events       *queuetest.Receiver[aggregator.Event]
	listener     net.Listener
	lastSubquery policy.SubqueryID
}

func newFixture(t *testing.T, adjust func(*settings.Net)) *fixture {
	netSettings := settings.Net{CallsPerConnection: 100, IdleTimeoutS: 60, ConnectTimeoutS: 2, LoadReports: true}
	if adjust != nil {
		adjust(&netSettings)
	}
	r := &fixture{T: t, events: queuetest.New[aggregator.Event]()}
	r.hub = New(netSettings, 100, r.events.Queue, zap.NewNop(), counters.New())
	t.Cleanup(r.hub.Stop)
	r.listener = r.listen()
	r.updateEntry(r.listener.Addr().String(), policy.Ready, 0)
	return r
}

// listen returns a listener for a backend.
func (r *fixture) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { l.Close() })
	return l
}

// updateEntry passes a list entry of the backend to the hub.
func (r *fixture) updateEntry(address string, phase policy.Phase, started float64) {
	r.hub.Update(policy.Entry{Backend: 1, Phase: phase, StartedAt: started}, address)
}

// send sends the subqueries of a query in one call. The shard of a subquery is its index.
func (r *fixture) send(id, query string, wait time.Duration, subqueries int) (calls []aggregator.Call) {
	now := time.Now()
	q := &aggregator.Query{ID: id, Payload: []byte(query)}
	for i := range subqueries {
		r.lastSubquery++
		calls = append(calls, aggregator.Call{Subquery: r.lastSubquery, Query: q, Shard: policy.ShardID(i), Sent: now, StopAt: now.Add(wait), StartBy: now.Add(wait)})
	}
	r.hub.Send(1, slices.Clone(calls))
	return calls
}

// accept accepts the next connection to a backend's listener.
func (r *fixture) accept(l net.Listener) *peerConnection {
	l.(*net.TCPListener).SetDeadline(time.Now().Add(waitTimeout))
	c, err := l.Accept()
	if err != nil {
		r.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(waitTimeout))
	r.Cleanup(func() { c.Close() })
	return &peerConnection{c, bufio.NewReader(c), r}
}

// peerConnection is the backend's side of a connection.
type peerConnection struct {
	net.Conn
	in *bufio.Reader
	f  *fixture
}

// expect reads a frame and checks its type and the start of its payload. It returns the payload.
func (p *peerConnection) expect(frameType byte, start string) string {
	p.f.Helper()
	got, rest, err := readFrame(p.in)
	if err != nil || got != frameType || !strings.HasPrefix(string(rest), start) {
		p.f.Fatalf("got frame %c %q, %v; expected %c %q", got, rest, err, frameType, start)
	}
	return string(rest)
}

func (p *peerConnection) writeFrame(frameType byte, rest string) {
	p.Write(appendFrame(nil, frameType, []byte(rest)...))
}

// nextEvent waits for the next event of the hub.
func (r *fixture) nextEvent() aggregator.Event {
	r.Helper()
	e := r.events.Next(r.T)
	return e
}

// expectEnd waits for the next event, which has to be the end of the subquery's call with the outcome.
func (r *fixture) expectEnd(subquery policy.SubqueryID, outcome policy.Outcome) aggregator.Event {
	r.Helper()
	e := r.nextEvent()
	if e.Kind != policy.CallEnded || e.Subquery != subquery || e.Outcome != outcome {
		r.Fatalf("got %+v, expected subquery %d to end as %s", e.Event, subquery, outcomeNames[outcome])
	}
	return e
}

func TestAnswersMayArriveInAnyOrderOnOneConnection(t *testing.T) {
	r := newFixture(t, nil)
	a, b := r.send("aa", "x\"\\y", 2*time.Second, 1), r.send("bb", "", time.Second, 1)
	p := r.accept(r.listener)
	if got := p.expect('S', "aa.0 0 d="); !strings.HasSuffix(got, " 4\nx\"\\y") {
		t.Fatalf("got %q", got)
	}
	var remainingMs int
	if fmt.Sscanf(p.expect('S', "bb.0 0 d="), "bb.0 0 d=%d 0", &remainingMs); remainingMs <= 0 || remainingMs > 1000 {
		t.Fatalf("got a remaining time of %d ms, expected 1 to 1000", remainingMs)
	}
	p.writeFrame('R', "bb.0 full 0 -\n")
	p.writeFrame('R', "bb.0 full 0 -\n") // a repeated answer is dropped
	p.writeFrame('R', "aa.0 done 17 queue=3,util=x,\xff new=1=,inflight=-1,latency_ms=20\nva\nlue")
	r.expectEnd(b[0].Subquery, policy.Rejected)
	e := r.expectEnd(a[0].Subquery, policy.Answered)
	if string(e.Value) != "va\nlue" || e.Load.Has != policy.HasQueued|policy.HasServiceTime || e.Load.Queued != 3 || e.Load.ServiceTimeSeconds != 0.02 {
		t.Fatalf("got %q, %+v", e.Value, e.Load)
	}
}

func TestSubqueriesOfACallShareAFrame(t *testing.T) {
	r := newFixture(t, nil)
	calls := r.send("aa", "q", time.Second, 2)
	p := r.accept(r.listener)
	if got := p.expect('S', "aa.0 0 d="); !strings.Contains(got, " 1\nqaa.1 1 d=") {
		t.Fatalf("got %q", got)
	}
	p.writeFrame('R', "aa.1 failed 0 -\n")
	r.expectEnd(calls[1].Subquery, policy.Errored)
	p.writeFrame('R', "aa.0 done 0 -\n")
	r.expectEnd(calls[0].Subquery, policy.Answered)
}

func TestRefusedConnectIsNotExecuted(t *testing.T) {
	r := newFixture(t, nil)
	r.listener.Close()
	calls := r.send("aa", "q", time.Second, 2)
	for _, c := range calls {
		r.expectEnd(c.Subquery, policy.NotConnected)
	}
	r.hub.Probe(1, false)
	if e := r.nextEvent(); e.Kind != policy.ProbeEnded || e.Outcome != policy.NotConnected {
		t.Fatalf("got %+v", e.Event)
	}
}

// A dial that times out shows that nothing was executed. That holds for a probe too, although its own timeout expires at about
// the same time.
func TestConnectTimeoutIsReportedAsNotConnected(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.ConnectTimeoutS = 0.1 })
	r.updateEntry(r.unresponsive(), policy.Ready, 0)
	calls := r.send("aa", "q", time.Minute, 1)
	r.expectEnd(calls[0].Subquery, policy.NotConnected)
	r.hub.Probe(1, false)
	if e := r.nextEvent(); e.Kind != policy.ProbeEnded || e.Outcome != policy.NotConnected {
		t.Fatalf("got %+v", e.Event)
	}
}

// A call that waits for a dial to an outdated address is sent to the new address.
func TestCallMovesToTheNewAddressWhileConnecting(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.ConnectTimeoutS = 0.5 })
	r.updateEntry(r.unresponsive(), policy.Ready, 0)
	calls := r.send("aa", "q", time.Minute, 1)
	r.updateEntry(r.listener.Addr().String(), policy.Ready, 0)
	p := r.accept(r.listener)
	p.expect('S', "aa.0")
	time.Sleep(600 * time.Millisecond) // the dial to the old address times out meanwhile
	p.writeFrame('R', "aa.0 done 0 -\n")
	r.expectEnd(calls[0].Subquery, policy.Answered)
}

// Connections are used even if the connect timeout is longer than the idle timeout.
func TestConnectionIsUsableWithIdleTimeoutBelowConnectTimeout(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.IdleTimeoutS, n.ConnectTimeoutS = 2, 5 })
	calls := r.send("aa", "q", time.Minute, 1)
	p := r.accept(r.listener)
	p.expect('S', "aa.0")
	p.writeFrame('R', "aa.0 done 0 -\n")
	r.expectEnd(calls[0].Subquery, policy.Answered)
}

// unresponsive returns an address where dials are never answered.
func (r *fixture) unresponsive() string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { syscall.Close(fd) })
	syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	syscall.Listen(fd, 0)
	at, err := syscall.Getsockname(fd)
	if err != nil {
		r.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	for { // the kernel answers no dials once the accept queue is full
		c, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		r.Cleanup(func() { c.Close() })
	}
}

func TestConnectionBrokenAfterTheFrameMayHaveExecuted(t *testing.T) {
	r := newFixture(t, nil)
	calls := r.send("aa", "q", time.Second, 1)
	p := r.accept(r.listener)
	p.expect('S', "aa.0")
	p.Close()
	r.expectEnd(calls[0].Subquery, policy.Broken)
	again := r.send("ab", "q", time.Second, 1) // on a new connection
	p = r.accept(r.listener)
	p.expect('S', "ab.0")
	p.writeFrame('F', "no more")
	r.expectEnd(again[0].Subquery, policy.Broken)
}

// A corrupt answer fails its call at once, long before the call's deadline, and closes the connection. Other calls in flight
// there may have been executed.
func TestCorruptedAnswersFailAtOnce(t *testing.T) {
	long := strings.Repeat("x", maxFrame)
	for name, corrupt := range map[string]func(p *peerConnection){
		"noise":                     func(p *peerConnection) { io.WriteString(p, "\xffnoise, and more of it") },
		"no frame type":             func(p *peerConnection) { p.Write(make([]byte, 4)) },
		"length of 3 GB":            func(p *peerConnection) { io.WriteString(p, "\xb0\x00\x00\x00Raa.0 done 1 -\n"+long) },
		"length too long":           func(p *peerConnection) { io.WriteString(p, "\x00\x00\x01\x00Raa.0 done 1 -\nvalue") },
		"header without a line end": func(p *peerConnection) { p.writeFrame('R', "aa.0 done 1 -"+long[:1000]) },
		"unknown frame type":        func(p *peerConnection) { p.writeFrame('Q', "aa.0 done 1 -\nvalue") },
		"unknown outcome":           func(p *peerConnection) { p.writeFrame('R', "aa.0 dome 1 -\nvalue") },
		"unknown id":                func(p *peerConnection) { p.writeFrame('R', "ab.0 done 1 -\nvalue") },
		"value not in UTF-8":        func(p *peerConnection) { p.writeFrame('R', "aa.0 done 1 -\nval\xc3") },
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, nil)
			calls := r.send("aa", "q", time.Minute, 1)
			p := r.accept(r.listener)
			p.expect('S', "aa.0")
			began := time.Now()
			corrupt(p)
			r.expectEnd(calls[0].Subquery, policy.Errored)
			if took := time.Since(began); took > 2*frameTimeout {
				t.Fatalf("the call ended only after %v", took)
			}
			if _, _, err := readFrame(p.in); err == nil {
				t.Fatal("the connection is still open")
			}
			if r.hub.counters.Get("lines", string(reasonReset)) > 0 {
				t.Fatal("the end of the connection is counted as a reset")
			}
		})
	}
	r := newFixture(t, nil)
	calls := append(r.send("aa", "q", time.Minute, 1), r.send("bb", "q", time.Minute, 1)...)
	p := r.accept(r.listener)
	p.expect('S', "aa.0")
	p.expect('S', "bb.0")
	p.writeFrame('R', "bb.0 what 1 -\nvalue")
	r.expectEnd(calls[1].Subquery, policy.Errored)
	r.expectEnd(calls[0].Subquery, policy.Broken)
}

// An answer counts whatever data follows it. The next call succeeds, on a new connection if that data was corrupt.
func TestCorruptDataAfterAnAnswerKeepsTheAnswer(t *testing.T) {
	for _, trailing := range []string{"noise behind it", "\x00\x00\x00\x14Raa.0 done 1 -\nother", "\x00\x00\x00\x99Raa.0", "\x00", "\x00\x00\x00\x09Rzz.0 wha"} {
		r := newFixture(t, nil)
		calls := r.send("aa", "q", time.Minute, 1)
		p := r.accept(r.listener)
		p.expect('S', "aa.0")
		p.Write(append(appendFrame(nil, 'R', []byte("aa.0 done 1 -\nvalue")...), trailing...))
		if e := r.expectEnd(calls[0].Subquery, policy.Answered); string(e.Value) != "value" {
			t.Fatalf("%q: got %q", trailing, e.Value)
		}
		time.Sleep(20 * time.Millisecond) // the trailing data is read before the next call is sent
		next := r.send("bb", "q", time.Minute, 1)
		if strings.HasSuffix(trailing, "other") {
			p.expect('S', "bb.0")
		} else {
			p = r.accept(r.listener)
			p.expect('S', "bb.0")
		}
		p.writeFrame('R', "bb.0 done 1 -\nown")
		if e := r.expectEnd(next[0].Subquery, policy.Answered); string(e.Value) != "own" {
			t.Fatalf("%q: got %q", trailing, e.Value)
		}
	}
}

// separateProbe requests a separate probe and answers it on the given connection. If that is nil, it accepts a new connection.
// It returns the connection.
func (r *fixture) separateProbe(on *peerConnection) *peerConnection {
	r.Helper()
	r.hub.Probe(1, true)
	if on == nil {
		on = r.accept(r.listener)
	}
	on.expect('M', "")
	on.writeFrame('M', "-")
	if e := r.nextEvent(); e.Kind != policy.ProbeEnded || e.Outcome != policy.Answered {
		r.Fatalf("got %+v, expected an answered probe", e.Event)
	}
	return on
}

// An unresponsive connection carries no new calls, and the next probe reaches the backend on another connection. An answer to a
// call in flight makes the connection usable again.
func TestUnresponsiveConnectionDoesNotFailItsBackend(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.ConnectTimeoutS = 0.1 })
	out := r.send("aa", "q", time.Minute, 1)
	p := r.accept(r.listener)
	p.expect('S', "aa.0")
	for _, want := range []policy.Outcome{policy.TimedOut, policy.Answered} {
		r.hub.Probe(1, false)
		if want == policy.Answered {
			other := r.accept(r.listener)
			other.expect('M', "")
			other.writeFrame('M', "-")
		}
		if e := r.nextEvent(); e.Kind != policy.ProbeEnded || e.Outcome != want {
			t.Fatalf("got %+v", e.Event)
		}
	}
	p.expect('M', "")
	p.expect('M', "") // sent on the connection when it was marked unresponsive
	p.writeFrame('R', "aa.0 done 1 -\nvalue")
	r.expectEnd(out[0].Subquery, policy.Answered)
	r.send("cc", "q", time.Minute, 1)
	p.expect('S', "cc.0")
}

// A backend with a long queue answers probes at once, also on the connection of a queued call. That connection and its call
// must survive. Such connections were once taken for unresponsive ones and closed, dozens of them per second.
func TestLongQueueDoesNotMakeAConnectionUnresponsive(t *testing.T) {
	const connectTimeout = 50 * time.Millisecond
	r := newFixture(t, func(n *settings.Net) { n.ConnectTimeoutS = connectTimeout.Seconds() })
	out := r.send("aa", "q", time.Minute, 1)
	p := r.accept(r.listener)
	p.expect('S', "aa.0")
	other := r.separateProbe(nil)
	p.expect('M', "")
	p.writeFrame('M', "-")
	for begun := time.Now(); time.Since(begun) < 4*connectTimeout; { // an unresponsive connection would be closed by then
		r.separateProbe(other)
	}
	p.writeFrame('R', "aa.0 done 1 -\nvalue")
	r.expectEnd(out[0].Subquery, policy.Answered)
}

// A separate probe is answered on a connection of its own. That shows that the connection without any answer is unresponsive, and
// it carries no new calls.
func TestSeparateProbeDetectsAnUnresponsiveConnection(t *testing.T) {
	// An unresponsive connection is closed after the connect timeout, which is far longer than a busy machine delays this test.
	r := newFixture(t, func(n *settings.Net) { n.ConnectTimeoutS = 2 })
	out := r.send("aa", "q", time.Hour, 1)
	p := r.accept(r.listener)
	p.expect('S', "aa.0")
	other := r.separateProbe(nil)
	r.send("bb", "q", time.Minute, 1)
	other.expect('S', "bb.0")
	p.expect('M', "")
	p.writeFrame('R', "aa.0 done 1 -\nvalue") // the call was only slow
	r.expectEnd(out[0].Subquery, policy.Answered)
	lost := r.send("cc", "q", time.Minute, 1)
	p.expect('S', "cc.0")
	r.separateProbe(nil) // neither connection is idle
	other.writeFrame('R', "bb.0 done 1 -\nvalue")
	r.nextEvent()
	r.expectEnd(lost[0].Subquery, policy.TimedOut) // long before its deadline
	p.expect('M', "")
	if _, _, err := readFrame(p.in); !errors.Is(err, io.EOF) {
		t.Fatalf("the unresponsive connection is still open: %v", err)
	}
}

// The actor of a backend that the list no longer contains ends after its last call, and its connections with it.
func TestRemovedBackendsAreReleased(t *testing.T) {
	r := newFixture(t, nil)
	calls := r.send("aa", "q", time.Minute, 1)
	p := r.accept(r.listener)
	p.expect('S', "aa.0")
	r.hub.Retain(map[policy.BackendID]bool{})
	p.writeFrame('R', "aa.0 done 0 -\n")
	r.expectEnd(calls[0].Subquery, policy.Answered)
	if _, _, err := readFrame(p.in); !errors.Is(err, io.EOF) {
		t.Fatalf("the connection is still open: %v", err)
	}
	for deadline := time.Now().Add(waitTimeout); len(r.hub.actors) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the actor is still running")
		}
		r.hub.Update(policy.Entry{Backend: 2, Phase: policy.Removed}, "")
	}
	if len(r.hub.removed) > 0 {
		t.Fatalf("removed actors are still kept: %v", r.hub.removed)
	}
	r.expectEnd(r.send("ab", "q", time.Minute, 1)[0].Subquery, policy.NotConnected)
}

func TestConnectionsStayWithinTheDescriptorLimit(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.CallsPerConnection = 1 })
	r.hub.descriptorSlots = make(chan struct{}, 1)
	first := r.send("aa", "q", time.Minute, 1)
	p := r.accept(r.listener)
	p.expect('S', "aa.0")
	r.expectEnd(r.send("bb", "q", time.Minute, 1)[0].Subquery, policy.NotSent)
	p.writeFrame('R', "aa.0 done 0 -\n")
	r.expectEnd(first[0].Subquery, policy.Answered)
	r.send("cc", "q", time.Minute, 1)
	p.expect('S', "cc.0")
}

func TestPartlyWrittenFrameIsNotExecuted(t *testing.T) {
	r := newFixture(t, nil)
	large := r.send("aa", strings.Repeat("q", 16<<20), time.Minute, 1) // more than the kernel buffers hold
	queued := r.send("bb", "q", time.Minute, 1)
	p := r.accept(r.listener)
	io.ReadFull(p.in, make([]byte, 5))
	p.Close()
	ended := map[policy.SubqueryID]policy.Outcome{}
	for range 2 {
		e := r.nextEvent()
		ended[e.Subquery] = e.Outcome
	}
	if ended[large[0].Subquery] != policy.NotConnected || ended[queued[0].Subquery] != policy.NotConnected {
		t.Fatalf("got %v", ended)
	}
}

func TestTimeoutAndCancelAreSentAndLateAnswersDropped(t *testing.T) {
	r := newFixture(t, nil)
	slow, canceled := r.send("aa", "q", 60*time.Millisecond, 1), r.send("bb", "q", time.Minute, 1)
	p := r.accept(r.listener)
	p.expect('S', "aa.0")
	p.expect('S', "bb.0")
	p.expect('C', "aa.0")
	r.expectEnd(slow[0].Subquery, policy.TimedOut)
	r.hub.Cancel(1, canceled[0].Subquery, canceled[0].Number)
	r.expectEnd(canceled[0].Subquery, policy.Canceled)
	p.expect('C', "bb.0")
	// The retry uses another connection, where no answer to the first attempt can be taken for its own.
	canceled[0].Number++
	r.hub.Send(1, canceled)
	other := r.accept(r.listener)
	other.expect('S', "bb.0")
	p.writeFrame('R', "bb.0 full 0 -\n")
	p.writeFrame('R', "aa.0 done 0 -\nlate")
	other.writeFrame('R', "bb.0 done 0 -\nown")
	if e := r.expectEnd(canceled[0].Subquery, policy.Answered); e.Call != 1 || string(e.Value) != "own" {
		t.Fatalf("got %+v", e)
	}
}

func TestCallCanceledBeforeAConnectionIsNotSent(t *testing.T) {
	r := newFixture(t, nil)
	calls := r.send("aa", "q", time.Minute, 2)
	r.hub.Cancel(1, calls[0].Subquery, 0)
	r.expectEnd(calls[0].Subquery, policy.Canceled)
	p := r.accept(r.listener)
	if got := p.expect('S', ""); strings.Contains(got, "aa.0") {
		p.expect('C', "aa.0") // the connection was established before the cancellation
	}
}

func TestConnectionCarriesAtMostTheConfiguredNumberOfCalls(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.CallsPerConnection = 2 })
	var calls []aggregator.Call
	for i := range 3 {
		calls = append(calls, r.send(fmt.Sprint("a", i), "q", time.Minute, 1)...)
	}
	p, o := r.accept(r.listener), r.accept(r.listener)
	if first, _, _ := readFrame(p.in); first != 'S' {
		t.Fatalf("got %c", first)
	}
	o.expect('S', "")
	for _, c := range calls {
		r.hub.Cancel(1, c.Subquery, 0)
		r.expectEnd(c.Subquery, policy.Canceled)
	}
	r.send("b0", "q", time.Minute, 1) // on an existing connection, without a third one
	r.listener.(*net.TCPListener).SetDeadline(time.Now().Add(50 * time.Millisecond))
	if c, err := r.listener.Accept(); err == nil {
		t.Fatalf("got a third connection from %v", c.RemoteAddr())
	}
}

func TestProbeOutcomesAreReported(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.ConnectTimeoutS = 0.2 })
	p := (*peerConnection)(nil)
	for _, c := range []struct {
		reply string
		want  policy.Outcome
	}{{"queue=2", policy.Answered}, {"-", policy.Answered}, {"failed", policy.Errored}, {"", policy.TimedOut}} {
		r.hub.Probe(1, false)
		if p == nil {
			p = r.accept(r.listener)
		}
		p.expect('M', "") // on the open connection
		if c.reply != "" {
			p.writeFrame('M', c.reply)
		}
		if e := r.nextEvent(); e.Kind != policy.ProbeEnded || e.Outcome != c.want {
			t.Fatalf("%q: got %+v", c.reply, e.Event)
		}
	}
	r.hub.Probe(1, false)
	p = r.accept(r.listener) // the first connection left the last probe unanswered
	p.expect('M', "")
	p.Close()
	if e := r.nextEvent(); e.Kind != policy.ProbeEnded || e.Outcome != policy.Broken {
		t.Fatalf("got %+v", e.Event)
	}
}

func TestOutdatedConnectionsEndTheirCallsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		started        float64
		addressChanges bool
	}{"address change": {0, true}, "later start": {float64(time.Now().Unix()) + 3600, false}} {
		r := newFixture(t, nil)
		calls := r.send("aa", "q", time.Minute, 1)
		r.accept(r.listener).expect('S', "aa.0")
		to := r.listener
		if c.addressChanges {
			to = r.listen()
		}
		r.updateEntry(to.Addr().String(), policy.Ready, c.started)
		r.expectEnd(calls[0].Subquery, policy.Broken)
		next := r.send("ab", "q", time.Minute, 1)
		p := r.accept(to)
		p.expect('S', "ab.0")
		r.updateEntry("", policy.Removed, 0) // calls in flight are completed
		p.writeFrame('R', "ab.0 done 0 -\n")
		if e := r.expectEnd(next[0].Subquery, policy.Answered); len(r.events.Remaining()) > 0 {
			t.Fatalf("%s: got more events than %+v", name, e)
		}
	}
}

// An idle connection is closed before its backend may close it, and on request. A connection with a call in flight is not.
func TestIdleConnectionsAreClosed(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.IdleTimeoutS, n.ConnectTimeoutS = 0.3, 0.2 })
	calls := r.send("aa", "q", time.Minute, 1)
	p := r.accept(r.listener)
	p.expect('S', "aa.0")
	r.hub.CloseIdle(1)
	time.Sleep(150 * time.Millisecond) // longer than the idle limit
	p.writeFrame('R', "aa.0 done 0 -\n")
	r.expectEnd(calls[0].Subquery, policy.Answered)
	if _, _, err := readFrame(p.in); !errors.Is(err, io.EOF) {
		t.Fatalf("got %v", err)
	}
	calls = r.send("ab", "q", time.Minute, 1)
	p = r.accept(r.listener)
	p.expect('S', "ab.0")
	p.writeFrame('R', "ab.0 done 0 -\n")
	r.expectEnd(calls[0].Subquery, policy.Answered)
	r.hub.CloseIdle(1)
	if _, _, err := readFrame(p.in); !errors.Is(err, io.EOF) {
		t.Fatalf("got %v", err)
	}
}

func FuzzFrames(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x10Raa.0 done 7 -\nvalu"))
	f.Add([]byte("\x00\x00\x00\x03Ra \x00\x00\x00\x00"))
	f.Add([]byte("\x7f\xff\xff\xffR"))
	f.Add([]byte("\x00\x00\x00\x22Raa.0 failed 0 queue=1,util=1e999,=\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bufio.NewReader(bytes.NewReader(in))
		var again []byte
		for {
			frameType, rest, err := readFrame(r)
			if err != nil {
				break
			}
			again = appendFrame(again, frameType, rest...)
			a, err := parseAnswer(rest)
			if err != nil {
				continue
			}
			if !utf8.Valid(a.value) || a.load.InFlight < 0 {
				t.Fatalf("%q parsed as %+v", rest, a)
			}
			if !bytes.HasSuffix(rest, a.value) || !strings.HasPrefix(string(rest), a.name+" ") || strings.Contains(a.name, "\n") {
				t.Fatalf("%q parsed as %+v", rest, a)
			}
		}
		if !bytes.HasPrefix(in, again) {
			t.Fatalf("the frames of %q encode as %q", in, again)
		}
	})
}
