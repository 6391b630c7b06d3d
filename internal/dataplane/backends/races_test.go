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

// blockWrites sends a call that is larger than the kernel buffers, and returns its connection once the write has begun. Frames
// sent later wait behind that write until the test reads from the connection.
func (r *fixture) blockWrites() *peerConnection {
	r.Helper()
	r.hub.writeTimeout = waitTimeout // the write must not time out before the test reads, however busy the machine is
	r.send("large", strings.Repeat("q", 16<<20), time.Minute, 1)
	p := r.accept(r.listener)
	if _, err := p.in.Peek(5); err != nil {
		r.Fatal(err)
	}
	return p
}

// drain reads the large call completely, and returns what was written after it until the hub closed the connection.
func (p *peerConnection) drain() string {
	p.f.Helper()
	header := make([]byte, 4)
	if _, err := io.ReadFull(p.in, header); err != nil {
		p.f.Fatal(err)
	}
	n := int(header[0])<<24 | int(header[1])<<16 | int(header[2])<<8 | int(header[3])
	if _, err := io.CopyN(io.Discard, p.in, int64(n)); err != nil {
		p.f.Fatal(err)
	}
	p.writeFrame('R', "large.0 done 0 -\n") // makes the connection idle, so that CloseIdle closes it
	p.f.expectEnd(1, policy.Answered)
	p.f.hub.CloseIdle(1)
	text, _ := io.ReadAll(p.in)
	return string(text)
}

// A call that is canceled while it waits behind a write is never written, and neither is its cancel frame.
func TestCallCanceledBehindAWriteIsNotSent(t *testing.T) {
	r := newFixture(t, nil)
	p := r.blockWrites()
	calls := r.send("bb", "q", time.Minute, 1)
	r.hub.Cancel(1, calls[0].Subquery, 0)
	r.expectEnd(calls[0].Subquery, policy.Canceled)
	if text := p.drain(); text != "" {
		t.Fatalf("%q was written", text)
	}
}

// A call that times out while it waits behind a write is never written.
func TestCallTimedOutBehindAWriteIsNotSent(t *testing.T) {
	r := newFixture(t, nil)
	p := r.blockWrites()
	calls := r.send("bb", "q", 20*time.Millisecond, 1)
	r.expectEnd(calls[0].Subquery, policy.TimedOut)
	if text := p.drain(); text != "" {
		t.Fatalf("%q was written", text)
	}
}

// A call that was written ends only after its cancel frame was written. Until then, another call of its subquery would be a
// duplicate, which a deployment may forbid.
func TestCanceledCallEndsOnceTheCancelFrameIsWritten(t *testing.T) {
	r := newFixture(t, nil)
	r.hub.writeTimeout = waitTimeout
	calls := r.send("aa", "q", time.Minute, 1)
	p := r.accept(r.listener)
	p.expect('S', "aa.0")
	large := r.send("large", strings.Repeat("q", 16<<20), time.Minute, 1)
	if _, err := p.in.Peek(5); err != nil { // the cancel frame waits behind this write
		t.Fatal(err)
	}
	r.hub.Cancel(1, calls[0].Subquery, 0)
	duplicate := calls[0]
	r.lastSubquery++
	duplicate.Subquery = r.lastSubquery
	r.hub.Send(1, append(calls[:0:0], duplicate))
	r.expectEnd(duplicate.Subquery, policy.NotSent) // the first call has not ended, as its cancel frame is not written yet
	if _, err := io.CopyN(io.Discard, p.in, int64(4+1+len("large.0 0 d=59999 16777216\n")+16<<20)); err != nil {
		t.Fatal(err)
	}
	p.expect('C', "aa.0")
	r.expectEnd(calls[0].Subquery, policy.Canceled)
	p.writeFrame('R', "large.0 done 0 -\n")
	r.expectEnd(large[0].Subquery, policy.Answered)
}

// A retry is not written after the end of its deduplication window, if it waited behind a write until then.
func TestRetryBeyondItsDedupWindowIsNotSent(t *testing.T) {
	r := newFixture(t, nil)
	p := r.blockWrites()
	calls := r.send("bb", "q", time.Minute, 1)
	r.lastSubquery++
	late := calls[0]
	late.Subquery, late.Shard, late.StartBy = r.lastSubquery, 7, time.Now()
	kept := r.send("cc", "q", time.Minute, 1)
	r.hub.Send(1, append(kept[:0:0], late))
	io.CopyN(io.Discard, p.in, 4+int64(1+len("large.0 0 d=60000 16777216\n")+16<<20)-1) // one byte less, because the length of the remaining time varies
	r.expectEnd(late.Subquery, policy.NotSent)
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

// The drain or removal of a backend revokes at once the calls that wait for a dial. Later calls are not sent either.
func TestDrainRevokesCallsWaitingForAConnect(t *testing.T) {
	for _, phase := range []policy.Phase{policy.Draining, policy.Removed} {
		r := newFixture(t, func(n *settings.Net) { n.ConnectTimeoutS = 50 })
		address := r.unresponsive()
		r.updateEntry(address, policy.Ready, 0)
		calls := r.send("aa", "q", time.Minute, 2)
		r.updateEntry(address, phase, 0)
		for range calls {
			if e := r.nextEvent(); e.Kind != policy.CallEnded || e.Outcome != policy.NotSent {
				t.Fatalf("got %+v", e.Event)
			}
		}
		r.expectEnd(r.send("bb", "q", time.Minute, 1)[0].Subquery, policy.NotSent)
	}
}

// A drain revokes calls that wait behind a write. They are not written once the connection is read again, whether the blocked
// write has timed out by then or not.
func TestDrainRevokesCallsWaitingBehindAWrite(t *testing.T) {
	r := newFixture(t, nil)
	p := r.blockWrites()
	calls := r.send("bb", "q", time.Minute, 1)
	r.updateEntry(r.listener.Addr().String(), policy.Draining, 0)
	r.expectEnd(calls[0].Subquery, policy.NotSent)
	got, err := io.Copy(io.Discard, io.LimitReader(p.in, int64(4+1+len("large.0 0 d=59999 16777216\n")+16<<20)))
	if err != nil {
		t.Fatal(err)
	}
	if got > 16<<20 { // the blocked write was completed
		p.writeFrame('R', "large.0 done 0 -\n")
	}
	if e := r.nextEvent(); e.Subquery != 1 {
		t.Fatalf("got %+v", e.Event)
	}
	r.hub.CloseIdle(1)
	if text, _ := io.ReadAll(p.in); strings.Contains(string(text), "bb.0") {
		t.Fatalf("%q was written after the drain", text)
	}
}

// Stop cancels dials in progress and doesn't wait for their timeout.
func TestStopCancelsConnects(t *testing.T) {
	r := newFixture(t, func(n *settings.Net) { n.ConnectTimeoutS = 3600 })
	r.updateEntry(r.unresponsive(), policy.Ready, 0)
	r.send("aa", "q", time.Hour, 1)
	for deadline := time.Now().Add(waitTimeout); r.hub.counters.Get("lines", "dialled") == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no dial was started")
		}
	}
	stopped := make(chan struct{})
	go func() { r.hub.Stop(); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(waitTimeout):
		t.Fatal("Stop still waits for a dial")
	}
}

// blockedSocket is a socket whose reads block until it is released. Data that arrives earlier stays in the kernel's buffers.
type blockedSocket struct {
	net.Conn
	release chan struct{}
}

func (s blockedSocket) Read(b []byte) (int, error) {
	<-s.release
	return s.Conn.Read(b)
}

// newBlockedConnection returns a connection over a blockedSocket, the other end of it, and the messages of the connection.
func newBlockedConnection(t *testing.T) (conn *connection, peer *net.TCPConn, release chan struct{}, messages chan message) {
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
	release, messages = make(chan struct{}), make(chan message, 100)
	conn = &connection{socket: blockedSocket{socket, release}, writeTimeout: waitTimeout, out: eventqueue.New[outgoing](), canceledUntil: map[string]time.Time{}}
	go func() { messages <- conn.run(func(n message) { messages <- n }) }()
	return conn, p.(*net.TCPConn), release, messages
}

// expectAnswerThenEnd expects one answer and then the end of the connection.
func expectAnswerThenEnd(t *testing.T, messages chan message) {
	t.Helper()
	answers := 0
	for n := range messages {
		switch n.kind {
		case messageFrameReceived:
			answers++
		case messageFrameCorrupted:
			t.Fatalf("got %+v", n)
		case messageConnectionEnded:
			if answers != 1 {
				t.Fatalf("got %d answers before the end, expected 1", answers)
			}
			return
		}
	}
}

// A complete answer counts even if its connection was reset, and the next write failed, before the answer was read.
func TestAnswerReceivedBeforeAResetCounts(t *testing.T) {
	conn, peer, release, messages := newBlockedConnection(t)
	peer.Write(appendFrame(nil, frameAnswer, []byte("aa.0 done 0 -\nvalue")...))
	peer.SetLinger(0)
	peer.Close()
	for broken := false; !broken; { // until a write fails
		conn.out.Put(outgoing{frameType: frameHealthProbe})
		select {
		case n := <-messages:
			if n.kind != messageFrameWritten {
				t.Fatalf("got %+v", n)
			}
		case <-time.After(time.Millisecond):
		}
		broken = conn.finishing() || errors.Is(conn.socket.SetReadDeadline(time.Time{}), net.ErrClosed)
	}
	close(release)
	expectAnswerThenEnd(t, messages)
}

// A complete answer counts even if the connection is closed before the answer was read, because its backend was restarted.
func TestAnswerReceivedBeforeACloseCounts(t *testing.T) {
	conn, peer, release, messages := newBlockedConnection(t)
	defer peer.Close()
	peer.Write(appendFrame(nil, frameAnswer, []byte("aa.0 done 0 -\nvalue")...))
	conn.batchesInFlight = 1
	(&actor{}).close(conn, reasonRestarted)
	close(release)
	expectAnswerThenEnd(t, messages)
}

// dialGate holds back established connections until the test releases them.
type dialGate struct {
	connected chan struct{} // receives a value for each established connection
	release   chan struct{}
}

// holdDials makes all dials wait at a gate. The test calls it before it sends anything.
func (r *fixture) holdDials() dialGate {
	g := dialGate{make(chan struct{}, 100), make(chan struct{})}
	dial := r.hub.dialer
	r.hub.dialer = func(ctx context.Context, timeout time.Duration, address string) (net.Conn, error) {
		c, err := dial(ctx, timeout, address)
		g.connected <- struct{}{}
		<-g.release
		return c, err
	}
	return g
}

// A dial succeeds only after its call has ended: the call was canceled or timed out, or the backend began to drain or was
// removed. The call is never written. The connection is kept for the next call if the backend is still ready, and closed
// otherwise.
func TestLateConnectSendsNoEndedCalls(t *testing.T) {
	for name, c := range map[string]struct {
		wait    time.Duration
		endCall func(*fixture, policy.SubqueryID)
		outcome policy.Outcome
		reused  bool
	}{
		"withdrawn": {time.Minute, func(r *fixture, subquery policy.SubqueryID) { r.hub.Cancel(1, subquery, 0) }, policy.Canceled, true},
		"timed out": {time.Millisecond, func(*fixture, policy.SubqueryID) {}, policy.TimedOut, true},
		"draining":  {time.Minute, func(r *fixture, _ policy.SubqueryID) { r.updateEntry(r.listener.Addr().String(), policy.Draining, 0) }, policy.NotSent, false},
		"gone":      {time.Minute, func(r *fixture, _ policy.SubqueryID) { r.updateEntry("", policy.Removed, 0) }, policy.NotSent, false},
	} {
		r := newFixture(t, func(n *settings.Net) { n.IdleTimeoutS, n.ConnectTimeoutS = 60, 2 })
		g := r.holdDials()
		calls := r.send("aa", "q", c.wait, 1)
		<-g.connected
		c.endCall(r, calls[0].Subquery)
		r.expectEnd(calls[0].Subquery, c.outcome)
		close(g.release)
		p := r.accept(r.listener)
		if !c.reused {
			if text, err := io.ReadAll(p.in); len(text) > 0 || err != nil {
				t.Fatalf("%s: %q was written, %v", name, text, err)
			}
			continue
		}
		next := r.send("bb", "q", time.Minute, 1)
		p.expect('S', "bb.0") // the first frame on the connection
		p.writeFrame('R', "bb.0 done 0 -\n")
		r.expectEnd(next[0].Subquery, policy.Answered)
		if n := r.hub.counters.Get("lines", "dialled"); n != 1 {
			t.Fatalf("%s: got %d dials, expected 1", name, n)
		}
	}
}

// A dial to the old address succeeds after the backend's address has changed. The connection is closed, and the call is sent to
// the new address.
func TestLateConnectToAnOldAddressIsClosed(t *testing.T) {
	r := newFixture(t, nil)
	g := r.holdDials()
	calls := r.send("aa", "q", time.Minute, 1)
	<-g.connected
	old := r.accept(r.listener)
	to := r.listen()
	r.updateEntry(to.Addr().String(), policy.Ready, 0)
	<-g.connected
	close(g.release)
	p := r.accept(to)
	p.expect('S', "aa.0")
	if text, _ := io.ReadAll(old.in); len(text) > 0 {
		t.Fatalf("%q was written to the old address", text)
	}
	p.writeFrame('R', "aa.0 done 0 -\n")
	r.expectEnd(calls[0].Subquery, policy.Answered)
}

// A dial succeeds after Stop was called. The connection is closed, nothing is written on it, and Stop returns.
func TestLateConnectAfterAStopIsClosed(t *testing.T) {
	r := newFixture(t, nil)
	g := r.holdDials()
	r.send("aa", "q", time.Minute, 1)
	<-g.connected
	var wg sync.WaitGroup
	wg.Go(r.hub.Stop)
	p := r.accept(r.listener)
	<-r.hub.dialContext.Done() // the actor's stop message is queued by then
	close(g.release)
	if text, _ := io.ReadAll(p.in); len(text) > 0 {
		t.Fatalf("%q was written", text)
	}
	wg.Wait()
	if len(r.hub.descriptorSlots) != 0 {
		t.Fatalf("%d descriptor slots are still in use", len(r.hub.descriptorSlots))
	}
}
