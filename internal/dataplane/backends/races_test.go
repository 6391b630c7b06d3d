package backends

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/internal/leaktest"
	"puffinlink.example/puffinlink/policy"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// stuck sends a call that is larger than sockets hold unread, and returns its connection once the write of it has begun: what is
// sent there next waits behind it until the connection is read.
func (r *fixture) stuck() *peerConnection {
	r.Helper()
	r.hub.writeTimeout = patience // it is the test that reads on, however busy the machine is
	r.send("large", strings.Repeat("q", 16<<20), time.Minute, 1)
	p := r.accept(r.peer)
	if _, err := p.in.Peek(5); err != nil {
		r.Fatal(err)
	}
	return p
}

// rest reads the large call to its end, and then what else was written before the connection was closed by us.
func (p *peerConnection) rest() string {
	p.r.Helper()
	head := make([]byte, 4)
	if _, err := io.ReadFull(p.in, head); err != nil {
		p.r.Fatal(err)
	}
	n := int(head[0])<<24 | int(head[1])<<16 | int(head[2])<<8 | int(head[3])
	if _, err := io.CopyN(io.Discard, p.in, int64(n)); err != nil {
		p.r.Fatal(err)
	}
	p.writeFrame('R', "large.0 done 0 -\n") // so that it is idle, and closed where that is asked for
	p.r.ended(1, policy.Answered)
	p.r.hub.CloseIdle(1)
	text, _ := io.ReadAll(p.in)
	return string(text)
}

// A call that was taken back while it waited behind a write is not written after it, and neither is its withdrawal.
func TestCallCanceledBehindAWriteIsNotSent(t *testing.T) {
	r := newFixture(t, nil)
	p := r.stuck()
	calls := r.send("bb", "q", time.Minute, 1)
	r.hub.Cancel(1, calls[0].Subquery, 0)
	r.ended(calls[0].Subquery, policy.Canceled)
	if text := p.rest(); text != "" {
		t.Fatalf("%q was written", text)
	}
}

// One whose time passed while it waited: nobody waits for its answer.
func TestCallTimedOutBehindAWriteIsNotSent(t *testing.T) {
	r := newFixture(t, nil)
	p := r.stuck()
	calls := r.send("bb", "q", 20*time.Millisecond, 1)
	r.ended(calls[0].Subquery, policy.TimedOut)
	if text := p.rest(); text != "" {
		t.Fatalf("%q was written", text)
	}
}

// A call that is on its way to its backend ends once that was told: before, another call of its subquery would be a second copy,
// which a deployment may not allow.
func TestCanceledCallEndsOnceTheCancelFrameIsWritten(t *testing.T) {
	r := newFixture(t, nil)
	r.hub.writeTimeout = patience
	calls := r.send("aa", "q", time.Minute, 1)
	p := r.accept(r.peer)
	p.expect('S', "aa.0")
	large := r.send("large", strings.Repeat("q", 16<<20), time.Minute, 1)
	if _, err := p.in.Peek(5); err != nil { // the write is stuck behind it
		t.Fatal(err)
	}
	r.hub.Cancel(1, calls[0].Subquery, 0)
	twin := calls[0]
	r.next++
	twin.Subquery = r.next
	r.hub.Send(1, append(calls[:0:0], twin))
	r.ended(twin.Subquery, policy.NotSent) // the other is still out, and its withdrawal was heard
	if _, err := io.CopyN(io.Discard, p.in, int64(4+1+len("large.0 0 d=59999 16777216\n")+16<<20)); err != nil {
		t.Fatal(err)
	}
	p.expect('C', "aa.0")
	r.ended(calls[0].Subquery, policy.Canceled)
	p.writeFrame('R', "large.0 done 0 -\n")
	r.ended(large[0].Subquery, policy.Answered)
}

// A repeat that waits for its connection, or behind a write, until it would no longer be known as one.
func TestRetryBeyondItsDedupWindowIsNotSent(t *testing.T) {
	r := newFixture(t, nil)
	p := r.stuck()
	calls := r.send("bb", "q", time.Minute, 1)
	r.next++
	late := calls[0]
	late.Subquery, late.Shard, late.StartBy = r.next, 7, time.Now()
	kept := r.send("cc", "q", time.Minute, 1)
	r.hub.Send(1, append(kept[:0:0], late))
	io.CopyN(io.Discard, p.in, 4+int64(1+len("large.0 0 d=60000 16777216\n")+16<<20)-1) // but for what its length may vary by
	r.ended(late.Subquery, policy.NotSent)
	var text string
	for !strings.Contains(text, "cc.0") {
		b := make([]byte, 1<<10)
		n, err := p.in.Read(b)
		if text += string(b[:n]); err != nil {
			t.Fatal(err)
		}
	}
	if !strings.Contains(text, "bb.0") || strings.Contains(text, "bb.7") {
		t.Fatalf("%q was written", text)
	}
}

// A drain, or the end, takes back at once what waits for a connect that does not come up; later calls are not begun either.
func TestDrainRevokesCallsWaitingForAConnect(t *testing.T) {
	for _, phase := range []policy.Phase{policy.Draining, policy.Removed} {
		r := newFixture(t, func(n *settings.Net) { n.Connect = 50 })
		address := r.unresponsive()
		r.list(address, policy.Ready, 0)
		calls := r.send("aa", "q", time.Minute, 2)
		r.list(address, phase, 0)
		for range calls {
			if e := r.event(); e.Kind != policy.CallEnded || e.Outcome != policy.NotSent {
				t.Fatalf("got %+v", e.Event)
			}
		}
		r.ended(r.send("bb", "q", time.Minute, 1)[0].Subquery, policy.NotSent)
	}
}

// The same for what waits behind a write: it is not written once the connection is read again, whether by then the connection was given
// up or not.
func TestDrainRevokesCallsWaitingBehindAWrite(t *testing.T) {
	r := newFixture(t, nil)
	p := r.stuck()
	calls := r.send("bb", "q", time.Minute, 1)
	r.list(r.peer.Addr().String(), policy.Draining, 0)
	r.ended(calls[0].Subquery, policy.NotSent)
	got, err := io.Copy(io.Discard, io.LimitReader(p.in, int64(4+1+len("large.0 0 d=59999 16777216\n")+16<<20)))
	if err != nil {
		t.Fatal(err)
	}
	if got > 16<<20 { // it was not canceled
		p.writeFrame('R', "large.0 done 0 -\n")
	}
	if e := r.event(); e.Subquery != 1 {
		t.Fatalf("got %+v", e.Event)
	}
	r.hub.CloseIdle(1)
	if text, _ := io.ReadAll(p.in); strings.Contains(string(text), "bb.0") {
		t.Fatalf("%q was written after the drain", text)
	}
}

// A stop does not wait for connects that nobody needs any more.
func TestStopCancelsConnects(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.Connect = 3600 })
	r.list(r.unresponsive(), policy.Ready, 0)
	r.send("aa", "q", time.Hour, 1)
	for late := time.Now().Add(patience); r.hub.counters.Get("lines", "dialled") == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("no connect")
		}
	}
	stopped := make(chan struct{})
	go func() { r.hub.Stop(); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(patience):
		t.Fatal("it still waits")
	}
}

// heldSocket is a connection that is not read until it is let go: what comes meanwhile is here, unread.
type heldSocket struct {
	net.Conn
	let chan struct{}
}

func (h heldSocket) Read(b []byte) (int, error) {
	<-h.let
	return h.Conn.Read(b)
}

// heldConnection is a connection over such a one, with what it tells.
func heldConnection(t *testing.T) (conn *connection, peer *net.TCPConn, let chan struct{}, notes chan message) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	socket, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	p, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	let, notes = make(chan struct{}), make(chan message, 100)
	conn = &connection{socket: heldSocket{socket, let}, writeTimeout: patience, out: eventqueue.New[outgoing](), canceledUntil: map[string]time.Time{}}
	go func() { notes <- conn.run(func(n message) { notes <- n }) }()
	return conn, p.(*net.TCPConn), let, notes
}

// answeredThenEnded expects one answer and then the connection's end.
func answeredThenEnded(t *testing.T, notes chan message) {
	t.Helper()
	answers := 0
	for n := range notes {
		switch n.kind {
		case messageFrameReceived:
			answers++
		case messageCorrupted:
			t.Fatalf("got %+v", n)
		case messageConnectionEnded:
			if answers != 1 {
				t.Fatalf("%d answers came before the end", answers)
			}
			return
		}
	}
}

// An answer that is whole counts, though its connection was reset under the next write before it was read.
func TestAnAnswerBeforeAResetCounts(t *testing.T) {
	conn, peer, let, notes := heldConnection(t)
	peer.Write(appendFrame(nil, frameAnswer, []byte("aa.0 done 0 -\nvalue")...))
	peer.SetLinger(0)
	peer.Close()
	for broken := false; !broken; { // until a write has failed
		conn.out.Put(outgoing{frameType: frameAlive})
		select {
		case n := <-notes:
			if n.kind != messageFrameWritten {
				t.Fatalf("got %+v", n)
			}
		case <-time.After(time.Millisecond):
		}
		broken = conn.finishing() || errors.Is(conn.socket.SetReadDeadline(time.Time{}), net.ErrClosed)
	}
	close(let)
	answeredThenEnded(t, notes)
}

// The same where the connection is closed as its backend was started anew.
func TestAnAnswerBeforeOurCloseCounts(t *testing.T) {
	conn, peer, let, notes := heldConnection(t)
	defer peer.Close()
	peer.Write(appendFrame(nil, frameAnswer, []byte("aa.0 done 0 -\nvalue")...))
	conn.sharedCalls = 1
	(&actor{}).close(conn, reasonRestarted)
	close(let)
	answeredThenEnded(t, notes)
}

// dialGate holds connects that have come up until the test lets them go.
type dialGate struct {
	up  chan struct{} // one has come up
	let chan struct{}
}

// holdDials comes before anything is sent.
func (r *fixture) holdDials() dialGate {
	g := dialGate{make(chan struct{}, 100), make(chan struct{})}
	dial := r.hub.dialer
	r.hub.dialer = func(ctx context.Context, timeout time.Duration, address string) (net.Conn, error) {
		c, err := dial(ctx, timeout, address)
		g.up <- struct{}{}
		<-g.let
		return c, err
	}
	return g
}

// A connect comes up late: after its call was withdrawn, timed out or could no longer begin, its backend drained, was gone or moved. What it was
// for has ended long before and is never written. A connection of use is kept for the next call, any other is closed.
func TestLateConnectSendsNoEndedCalls(t *testing.T) {
	for name, c := range map[string]struct {
		wait time.Duration
		do   func(*fixture, policy.SubqueryID)
		how  policy.Outcome
		kept bool
	}{
		"withdrawn": {time.Minute, func(r *fixture, subquery policy.SubqueryID) { r.hub.Cancel(1, subquery, 0) }, policy.Canceled, true},
		"timed out": {time.Millisecond, func(*fixture, policy.SubqueryID) {}, policy.TimedOut, true},
		"draining":  {time.Minute, func(r *fixture, _ policy.SubqueryID) { r.list(r.peer.Addr().String(), policy.Draining, 0) }, policy.NotSent, false},
		"gone":      {time.Minute, func(r *fixture, _ policy.SubqueryID) { r.list("", policy.Removed, 0) }, policy.NotSent, false},
	} {
		r := newFixture(t, func(n *settings.Net) { n.Idle, n.Connect = 60, 2 })
		g := r.holdDials()
		calls := r.send("aa", "q", c.wait, 1)
		<-g.up
		c.do(r, calls[0].Subquery)
		r.ended(calls[0].Subquery, c.how)
		close(g.let)
		p := r.accept(r.peer)
		if !c.kept {
			if text, err := io.ReadAll(p.in); len(text) > 0 || err != nil {
				t.Fatalf("%s: %q was written, %v", name, text, err)
			}
			continue
		}
		next := r.send("bb", "q", time.Minute, 1)
		p.expect('S', "bb.0") // the first that is written on it
		p.writeFrame('R', "bb.0 done 0 -\n")
		r.ended(next[0].Subquery, policy.Answered)
		if n := r.hub.counters.Get("lines", "dialled"); n != 1 {
			t.Fatalf("%s: %d connects, expected 1", name, n)
		}
	}
}

// A connect that comes up as its backend has moved goes to an address that leads nowhere any more: closed, and the call goes to the new one.
func TestALateConnectToAnOldAddressIsClosed(t *testing.T) {
	r := newFixture(t, nil)
	g := r.holdDials()
	calls := r.send("aa", "q", time.Minute, 1)
	<-g.up
	old := r.accept(r.peer)
	to := r.listen()
	r.list(to.Addr().String(), policy.Ready, 0)
	<-g.up
	close(g.let)
	p := r.accept(to)
	p.expect('S', "aa.0")
	if text, _ := io.ReadAll(old.in); len(text) > 0 {
		t.Fatalf("%q was written to the old address", text)
	}
	p.writeFrame('R', "aa.0 done 0 -\n")
	r.ended(calls[0].Subquery, policy.Answered)
}

// A stop comes while a connect is under way, and it comes up after that: it is closed, nothing is written, and the stop ends.
func TestALateConnectAfterAStopIsClosed(t *testing.T) {
	r := newFixture(t, nil)
	g := r.holdDials()
	r.send("aa", "q", time.Minute, 1)
	<-g.up
	var wg sync.WaitGroup
	wg.Go(r.hub.Stop)
	p := r.accept(r.peer)
	<-r.hub.dialContext.Done() // the stop has been told by then
	close(g.let)
	if text, _ := io.ReadAll(p.in); len(text) > 0 {
		t.Fatalf("%q was written", text)
	}
	wg.Wait()
	if len(r.hub.descriptors) != 0 {
		t.Fatalf("%d places of descriptors are still taken", len(r.hub.descriptors))
	}
}
