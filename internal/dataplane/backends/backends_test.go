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

const patience = queuetest.WaitTimeout

// fixture is a hub with one backend, whose subquery the test plays.
type fixture struct {
	*testing.T
	hub    *Hub
	events *queuetest.Receiver[aggregator.Event]
	peer   net.Listener
	next   policy.SubqueryID
}

func newFixture(t *testing.T, change func(*settings.Net)) *fixture {
	set := settings.Net{Streams: 100, Idle: 60, Connect: 2, Loads: true}
	if change != nil {
		change(&set)
	}
	r := &fixture{T: t, events: queuetest.New[aggregator.Event]()}
	r.hub = New(set, 100, r.events.Queue, zap.NewNop(), counters.New())
	t.Cleanup(r.hub.Stop)
	r.peer = r.listen()
	r.list(r.peer.Addr().String(), policy.Ready, 0)
	return r
}

func (r *fixture) listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { l.Close() })
	return l
}

func (r *fixture) list(address string, phase policy.Phase, started float64) {
	r.hub.Update(policy.Entry{Backend: 1, Phase: phase, StartedAt: started}, address)
}

// send sends subqueries of a query in one call; each subquery's shard is its place.
func (r *fixture) send(id, query string, wait time.Duration, subqueries int) (calls []aggregator.Call) {
	now := time.Now()
	lk := &aggregator.Query{ID: id, Query: []byte(query)}
	for i := range subqueries {
		r.next++
		calls = append(calls, aggregator.Call{Subquery: r.next, Query: lk, Shard: policy.ShardID(i), Sent: now, Stop: now.Add(wait), Begin: now.Add(wait)})
	}
	r.hub.Send(1, slices.Clone(calls))
	return calls
}

// accept takes a connection as a backend would.
func (r *fixture) accept(l net.Listener) *peerConnection {
	l.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
	c, err := l.Accept()
	if err != nil {
		r.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(patience))
	r.Cleanup(func() { c.Close() })
	return &peerConnection{c, bufio.NewReader(c), r}
}

type peerConnection struct {
	net.Conn
	in *bufio.Reader
	r  *fixture
}

func (p *peerConnection) expect(frameType byte, start string) string {
	p.r.Helper()
	got, rest, err := readFrame(p.in)
	if err != nil || got != frameType || !strings.HasPrefix(string(rest), start) {
		p.r.Fatalf("got frame %c %q, %v; expected %c %q", got, rest, err, frameType, start)
	}
	return string(rest)
}

func (p *peerConnection) writeFrame(frameType byte, rest string) {
	p.Write(appendFrame(nil, frameType, []byte(rest)...))
}

// event waits for the next thing told.
func (r *fixture) event() aggregator.Event {
	r.Helper()
	e := r.events.Next(r.T)
	return e
}

func (r *fixture) ended(subquery policy.SubqueryID, how policy.Outcome) aggregator.Event {
	r.Helper()
	e := r.event()
	if e.Kind != policy.CallEnded || e.Subquery != subquery || e.Outcome != how {
		r.Fatalf("got %+v, expected part %d to end as %s", e.Event, subquery, outcomeNames[how])
	}
	return e
}

func TestAnswersInAnyOrderOnOneConnection(t *testing.T) {
	r := newFixture(t, nil)
	a, b := r.send("aa", "x\"\\y", 2*time.Second, 1), r.send("bb", "", time.Second, 1)
	p := r.accept(r.peer)
	if got := p.expect('S', "aa.0 0 d="); !strings.HasSuffix(got, " 4\nx\"\\y") {
		t.Fatalf("got %q", got)
	}
	var left int
	if fmt.Sscanf(p.expect('S', "bb.0 0 d="), "bb.0 0 d=%d 0", &left); left <= 0 || left > 1000 {
		t.Fatalf("says that the mixer waits %d ms", left)
	}
	p.writeFrame('R', "bb.0 full 0 -\n")
	p.writeFrame('R', "bb.0 full 0 -\n") // a second copy is no news
	p.writeFrame('R', "aa.0 done 17 queue=3,util=x,\xff new=1=,inflight=-1,latency_ms=20\nva\nlue")
	r.ended(b[0].Subquery, policy.Rejected)
	e := r.ended(a[0].Subquery, policy.Answered)
	if string(e.Value) != "va\nlue" || e.Load.Has != policy.HasQueued|policy.HasService || e.Load.Queued != 3 || e.Load.ServiceS != 0.02 {
		t.Fatalf("got %q, %+v", e.Value, e.Load)
	}
}

func TestSubqueriesShareACall(t *testing.T) {
	r := newFixture(t, nil)
	calls := r.send("aa", "q", time.Second, 2)
	p := r.accept(r.peer)
	if got := p.expect('S', "aa.0 0 d="); !strings.Contains(got, " 1\nqaa.1 1 d=") {
		t.Fatalf("got %q", got)
	}
	p.writeFrame('R', "aa.1 failed 0 -\n")
	r.ended(calls[1].Subquery, policy.Errored)
	p.writeFrame('R', "aa.0 done 0 -\n")
	r.ended(calls[0].Subquery, policy.Answered)
}

func TestRefusedConnectIsNotExecuted(t *testing.T) {
	r := newFixture(t, nil)
	r.peer.Close()
	calls := r.send("aa", "q", time.Second, 2)
	for _, c := range calls {
		r.ended(c.Subquery, policy.NotConnected)
	}
	r.hub.Probe(1, false)
	if e := r.event(); e.Kind != policy.ProbeEnded || e.Outcome != policy.NotConnected {
		t.Fatalf("got %+v", e.Event)
	}
}

// A connect that never comes up proves that nothing ran; for a probe too, however close its own time-out is.
func TestConnectTimesOut(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.Connect = 0.1 })
	r.list(r.unresponsive(), policy.Ready, 0)
	calls := r.send("aa", "q", time.Minute, 1)
	r.ended(calls[0].Subquery, policy.NotConnected)
	r.hub.Probe(1, false)
	if e := r.event(); e.Kind != policy.ProbeEnded || e.Outcome != policy.NotConnected {
		t.Fatalf("got %+v", e.Event)
	}
}

// What waits for a connect to an address that the list takes back goes to the new one.
func TestAddressChangesWhileConnecting(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.Connect = 0.5 })
	r.list(r.unresponsive(), policy.Ready, 0)
	calls := r.send("aa", "q", time.Minute, 1)
	r.list(r.peer.Addr().String(), policy.Ready, 0)
	p := r.accept(r.peer)
	p.expect('S', "aa.0")
	time.Sleep(600 * time.Millisecond) // the old connect fails meanwhile
	p.writeFrame('R', "aa.0 done 0 -\n")
	r.ended(calls[0].Subquery, policy.Answered)
}

// Where a connect may take all of the idle time, connections are still used.
func TestIdleTimeShorterThanAConnect(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.Idle, n.Connect = 2, 5 })
	calls := r.send("aa", "q", time.Minute, 1)
	p := r.accept(r.peer)
	p.expect('S', "aa.0")
	p.writeFrame('R', "aa.0 done 0 -\n")
	r.ended(calls[0].Subquery, policy.Answered)
}

// unresponsive is an address where no connect is ever answered.
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
	for { // its queue once full, the kernel is silent
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
	p := r.accept(r.peer)
	p.expect('S', "aa.0")
	p.Close()
	r.ended(calls[0].Subquery, policy.Broken)
	again := r.send("ab", "q", time.Second, 1) // on a new connection
	p = r.accept(r.peer)
	p.expect('S', "ab.0")
	p.writeFrame('F', "no more")
	r.ended(again[0].Subquery, policy.Broken)
}

// Whatever spoils an answer, the call that it was meant for has failed at once, long before its deadline, and so has
// the connection; what else is out there may have run.
func TestCorruptedAnswersFailAtOnce(t *testing.T) {
	long := strings.Repeat("x", maxFrame)
	for name, spoil := range map[string]func(p *peerConnection){
		"noise":               func(p *peerConnection) { io.WriteString(p, "\xffnoise, and more of it") },
		"no letter":           func(p *peerConnection) { p.Write(make([]byte, 4)) },
		"3 GB that keep on":   func(p *peerConnection) { io.WriteString(p, "\xb0\x00\x00\x00Raa.0 done 1 -\n"+long) },
		"a length too long":   func(p *peerConnection) { io.WriteString(p, "\x00\x00\x01\x00Raa.0 done 1 -\nvalue") },
		"a line without end":  func(p *peerConnection) { p.writeFrame('R', "aa.0 done 1 -"+long[:1000]) },
		"an unknown letter":   func(p *peerConnection) { p.writeFrame('Q', "aa.0 done 1 -\nvalue") },
		"an unknown end":      func(p *peerConnection) { p.writeFrame('R', "aa.0 dome 1 -\nvalue") },
		"an unknown id":       func(p *peerConnection) { p.writeFrame('R', "ab.0 done 1 -\nvalue") },
		"a value not in UTF8": func(p *peerConnection) { p.writeFrame('R', "aa.0 done 1 -\nval\xc3") },
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, nil)
			calls := r.send("aa", "q", time.Minute, 1)
			p := r.accept(r.peer)
			p.expect('S', "aa.0")
			began := time.Now()
			spoil(p)
			r.ended(calls[0].Subquery, policy.Errored)
			if took := time.Since(began); took > 2*frameTimeout {
				t.Fatalf("known after %v", took)
			}
			if _, _, err := readFrame(p.in); err == nil {
				t.Fatal("the connection stays open")
			}
			if r.hub.counters.Get("lines", string(reasonReset)) > 0 {
				t.Fatal("the connection is said to have broken")
			}
		})
	}
	r := newFixture(t, nil)
	calls := append(r.send("aa", "q", time.Minute, 1), r.send("bb", "q", time.Minute, 1)...)
	p := r.accept(r.peer)
	p.expect('S', "aa.0")
	p.expect('S', "bb.0")
	p.writeFrame('R', "bb.0 what 1 -\nvalue")
	r.ended(calls[1].Subquery, policy.Errored)
	r.ended(calls[0].Subquery, policy.Broken)
}

// An answer counts whatever comes behind it, and the next call on the connection is not hurt by that.
func TestCorruptDataAfterAnAnswerKeepsTheAnswer(t *testing.T) {
	for _, behind := range []string{"noise behind it", "\x00\x00\x00\x14Raa.0 done 1 -\nother", "\x00\x00\x00\x99Raa.0", "\x00", "\x00\x00\x00\x09Rzz.0 wha"} {
		r := newFixture(t, nil)
		calls := r.send("aa", "q", time.Minute, 1)
		p := r.accept(r.peer)
		p.expect('S', "aa.0")
		p.Write(append(appendFrame(nil, 'R', []byte("aa.0 done 1 -\nvalue")...), behind...))
		if e := r.ended(calls[0].Subquery, policy.Answered); string(e.Value) != "value" {
			t.Fatalf("%q: got %q", behind, e.Value)
		}
		time.Sleep(20 * time.Millisecond) // the next call comes later than what follows
		next := r.send("bb", "q", time.Minute, 1)
		if strings.HasSuffix(behind, "other") {
			p.expect('S', "bb.0")
		} else {
			p = r.accept(r.peer)
			p.expect('S', "bb.0")
		}
		p.writeFrame('R', "bb.0 done 1 -\nown")
		if e := r.ended(next[0].Subquery, policy.Answered); string(e.Value) != "own" {
			t.Fatalf("%q: got %q", behind, e.Value)
		}
	}
}

// separateProbe has the backend asked apart, and answers for it on that connection, or else on the new one that this takes.
func (r *fixture) separateProbe(on *peerConnection) *peerConnection {
	r.Helper()
	r.hub.Probe(1, true)
	if on == nil {
		on = r.accept(r.peer)
	}
	on.expect('M', "")
	on.writeFrame('M', "-")
	if e := r.event(); e.Kind != policy.ProbeEnded || e.Outcome != policy.Answered {
		r.Fatalf("got %+v, expected a probe that was answered", e.Event)
	}
	return on
}

// A connection that has fallen silent takes nothing new, and its backend is heard again on another; what is out on it may
// still be answered, and then it is as good as before.
func TestUnresponsiveConnectionDoesNotFailItsBackend(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.Connect = 0.1 })
	out := r.send("aa", "q", time.Minute, 1)
	p := r.accept(r.peer)
	p.expect('S', "aa.0")
	for _, want := range []policy.Outcome{policy.TimedOut, policy.Answered} {
		r.hub.Probe(1, false)
		if want == policy.Answered {
			other := r.accept(r.peer)
			other.expect('M', "")
			other.writeFrame('M', "-")
		}
		if e := r.event(); e.Kind != policy.ProbeEnded || e.Outcome != want {
			t.Fatalf("got %+v", e.Event)
		}
	}
	p.expect('M', "")
	p.expect('M', "") // asked by itself as well, once it had no answer in its time
	p.writeFrame('R', "aa.0 done 1 -\nvalue")
	r.ended(out[0].Subquery, policy.Answered)
	r.send("cc", "q", time.Minute, 1)
	p.expect('S', "cc.0")
}

// A backend whose queue is long answers probes at once, on a connection of its own as on that of a call that waits: the
// connection lives, and the call with it. It was taken for a connection fallen silent, and so were scores in every second.
func TestLongQueueDoesNotMakeAConnectionUnresponsive(t *testing.T) {
	const connect = 50 * time.Millisecond
	r := newFixture(t, func(n *settings.Net) { n.Connect = connect.Seconds() })
	out := r.send("aa", "q", time.Minute, 1)
	p := r.accept(r.peer)
	p.expect('S', "aa.0")
	other := r.separateProbe(nil)
	p.expect('M', "")
	p.writeFrame('M', "-")
	for begun := time.Now(); time.Since(begun) < 4*connect; { // a silent connection would have ended by then
		r.separateProbe(other)
	}
	p.writeFrame('R', "aa.0 done 1 -\nvalue")
	r.ended(out[0].Subquery, policy.Answered)
}

// Asked apart, a backend is heard at once on a connection of its own, and the one that has said nothing takes nothing new.
func TestSeparateProbeDetectsAnUnresponsiveConnection(t *testing.T) {
	// The connect's time is what a silent connection is given: far longer than a busy machine keeps this test from running.
	r := newFixture(t, func(n *settings.Net) { n.Connect = 2 })
	out := r.send("aa", "q", time.Hour, 1)
	p := r.accept(r.peer)
	p.expect('S', "aa.0")
	other := r.separateProbe(nil)
	r.send("bb", "q", time.Minute, 1)
	other.expect('S', "bb.0")
	p.expect('M', "")
	p.writeFrame('R', "aa.0 done 1 -\nvalue") // it was only slow
	r.ended(out[0].Subquery, policy.Answered)
	lost := r.send("cc", "q", time.Minute, 1)
	p.expect('S', "cc.0")
	r.separateProbe(nil) // neither connection is idle
	other.writeFrame('R', "bb.0 done 1 -\nvalue")
	r.event()
	r.ended(lost[0].Subquery, policy.TimedOut) // long before its deadline
	p.expect('M', "")
	if _, _, err := readFrame(p.in); !errors.Is(err, io.EOF) {
		t.Fatalf("the silent connection goes on: %v", err)
	}
}

// Once the list no longer names a backend, its actor ends with its last call, and its connections with it.
func TestRemovedBackendsAreReleased(t *testing.T) {
	r := newFixture(t, nil)
	calls := r.send("aa", "q", time.Minute, 1)
	p := r.accept(r.peer)
	p.expect('S', "aa.0")
	r.hub.Retain(map[policy.BackendID]bool{})
	p.writeFrame('R', "aa.0 done 0 -\n")
	r.ended(calls[0].Subquery, policy.Answered)
	if _, _, err := readFrame(p.in); !errors.Is(err, io.EOF) {
		t.Fatalf("the connection goes on: %v", err)
	}
	for late := time.Now().Add(patience); len(r.hub.actors) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("the actor goes on")
		}
		r.hub.Update(policy.Entry{Backend: 2, Phase: policy.Removed}, "")
	}
	if len(r.hub.removed) > 0 {
		t.Fatalf("%v are still to end", r.hub.removed)
	}
	r.ended(r.send("ab", "q", time.Minute, 1)[0].Subquery, policy.NotConnected)
}

func TestConnectionsStayWithinTheDescriptorLimit(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.Streams = 1 })
	r.hub.descriptors = make(chan struct{}, 1)
	first := r.send("aa", "q", time.Minute, 1)
	p := r.accept(r.peer)
	p.expect('S', "aa.0")
	r.ended(r.send("bb", "q", time.Minute, 1)[0].Subquery, policy.NotSent)
	p.writeFrame('R', "aa.0 done 0 -\n")
	r.ended(first[0].Subquery, policy.Answered)
	r.send("cc", "q", time.Minute, 1)
	p.expect('S', "cc.0")
}

func TestPartlyWrittenFrameIsNotExecuted(t *testing.T) {
	r := newFixture(t, nil)
	large := r.send("aa", strings.Repeat("q", 16<<20), time.Minute, 1) // more than sockets hold unread
	behind := r.send("bb", "q", time.Minute, 1)
	p := r.accept(r.peer)
	io.ReadFull(p.in, make([]byte, 5))
	p.Close()
	ended := map[policy.SubqueryID]policy.Outcome{}
	for range 2 {
		e := r.event()
		ended[e.Subquery] = e.Outcome
	}
	if ended[large[0].Subquery] != policy.NotConnected || ended[behind[0].Subquery] != policy.NotConnected {
		t.Fatalf("got %v", ended)
	}
}

func TestTimeoutAndCancelAreSentAndLateAnswersDropped(t *testing.T) {
	r := newFixture(t, nil)
	slow, kept := r.send("aa", "q", 60*time.Millisecond, 1), r.send("bb", "q", time.Minute, 1)
	p := r.accept(r.peer)
	p.expect('S', "aa.0")
	p.expect('S', "bb.0")
	p.expect('C', "aa.0")
	r.ended(slow[0].Subquery, policy.TimedOut)
	r.hub.Cancel(1, kept[0].Subquery, kept[0].No)
	r.ended(kept[0].Subquery, policy.Canceled)
	p.expect('C', "bb.0")
	// Sent again, it goes on another connection: there no answer to the first can be taken for its own.
	kept[0].No++
	r.hub.Send(1, kept)
	other := r.accept(r.peer)
	other.expect('S', "bb.0")
	p.writeFrame('R', "bb.0 full 0 -\n")
	p.writeFrame('R', "aa.0 done 0 -\nlate")
	other.writeFrame('R', "bb.0 done 0 -\nown")
	if e := r.ended(kept[0].Subquery, policy.Answered); e.Call != 1 || string(e.Value) != "own" {
		t.Fatalf("got %+v", e)
	}
}

func TestCallCanceledBeforeAConnectionIsNotSent(t *testing.T) {
	r := newFixture(t, nil)
	calls := r.send("aa", "q", time.Minute, 2)
	r.hub.Cancel(1, calls[0].Subquery, 0)
	r.ended(calls[0].Subquery, policy.Canceled)
	p := r.accept(r.peer)
	if got := p.expect('S', ""); strings.Contains(got, "aa.0") {
		p.expect('C', "aa.0") // the connection came first
	}
}

func TestConnectionCarriesTheStatedNumberOfCalls(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.Streams = 2 })
	var calls []aggregator.Call
	for i := range 3 {
		calls = append(calls, r.send(fmt.Sprint("a", i), "q", time.Minute, 1)...)
	}
	p, o := r.accept(r.peer), r.accept(r.peer)
	if first, _, _ := readFrame(p.in); first != 'S' {
		t.Fatalf("got %c", first)
	}
	o.expect('S', "")
	for _, c := range calls {
		r.hub.Cancel(1, c.Subquery, 0)
		r.ended(c.Subquery, policy.Canceled)
	}
	r.send("b0", "q", time.Minute, 1) // on a connection that is there: no third is accepted
	r.peer.(*net.TCPListener).SetDeadline(time.Now().Add(50 * time.Millisecond))
	if c, err := r.peer.Accept(); err == nil {
		t.Fatalf("a third connection from %v", c.RemoteAddr())
	}
}

func TestProbes(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.Connect = 0.2 })
	p := (*peerConnection)(nil)
	for _, c := range []struct {
		say  string
		want policy.Outcome
	}{{"queue=2", policy.Answered}, {"-", policy.Answered}, {"failed", policy.Errored}, {"", policy.TimedOut}} {
		r.hub.Probe(1, false)
		if p == nil {
			p = r.accept(r.peer)
		}
		p.expect('M', "") // on the connection that is open
		if c.say != "" {
			p.writeFrame('M', c.say)
		}
		if e := r.event(); e.Kind != policy.ProbeEnded || e.Outcome != c.want {
			t.Fatalf("%q: got %+v", c.say, e.Event)
		}
	}
	r.hub.Probe(1, false)
	p = r.accept(r.peer) // the other had no answer
	p.expect('M', "")
	p.Close()
	if e := r.event(); e.Kind != policy.ProbeEnded || e.Outcome != policy.Broken {
		t.Fatalf("got %+v", e.Event)
	}
}

func TestConnectionsToAnOldAddressEndOnce(t *testing.T) {
	for name, c := range map[string]struct {
		started float64
		moves   bool
	}{"another address": {0, true}, "a later start": {float64(time.Now().Unix()) + 3600, false}} {
		r := newFixture(t, nil)
		calls := r.send("aa", "q", time.Minute, 1)
		r.accept(r.peer).expect('S', "aa.0")
		to := r.peer
		if c.moves {
			to = r.listen()
		}
		r.list(to.Addr().String(), policy.Ready, c.started)
		r.ended(calls[0].Subquery, policy.Broken)
		next := r.send("ab", "q", time.Minute, 1)
		p := r.accept(to)
		p.expect('S', "ab.0")
		r.list("", policy.Removed, 0) // completes what it has
		p.writeFrame('R', "ab.0 done 0 -\n")
		if e := r.ended(next[0].Subquery, policy.Answered); len(r.events.Remaining()) > 0 {
			t.Fatalf("%s: more than %+v was told", name, e)
		}
	}
}

// A connection goes before its backend would end a call on it, and on request, but not while anything is out on it.
func TestIdleConnectionsAreClosed(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.Idle, n.Connect = 0.3, 0.2 })
	calls := r.send("aa", "q", time.Minute, 1)
	p := r.accept(r.peer)
	p.expect('S', "aa.0")
	r.hub.CloseIdle(1)
	time.Sleep(150 * time.Millisecond) // longer than it may be idle
	p.writeFrame('R', "aa.0 done 0 -\n")
	r.ended(calls[0].Subquery, policy.Answered)
	if _, _, err := readFrame(p.in); !errors.Is(err, io.EOF) {
		t.Fatalf("got %v", err)
	}
	calls = r.send("ab", "q", time.Minute, 1)
	p = r.accept(r.peer)
	p.expect('S', "ab.0")
	p.writeFrame('R', "ab.0 done 0 -\n")
	r.ended(calls[0].Subquery, policy.Answered)
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
			letter, rest, err := readFrame(r)
			if err != nil {
				break
			}
			again = appendFrame(again, letter, rest...)
			a, err := parseAnswer(rest)
			if err != nil {
				continue
			}
			if !utf8.Valid(a.value) || a.load.InFlight < 0 {
				t.Fatalf("%q read as %+v", rest, a)
			}
			if !bytes.HasSuffix(rest, a.value) || !strings.HasPrefix(string(rest), a.name+" ") || strings.Contains(a.name, "\n") {
				t.Fatalf("%q read as %+v", rest, a)
			}
		}
		if !bytes.HasPrefix(in, again) {
			t.Fatalf("%q came back as %q", in, again)
		}
	})
}
