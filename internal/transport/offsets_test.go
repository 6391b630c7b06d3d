package transport_test

import (
	"context"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/transport/resettest"
)

// tally counts at the callee how often each request ran.
type tally struct {
	*transport.Mux
	runs [1 << 13]atomic.Int32 // by the request's number
}

// resetBench is a callee behind a relay.
type resetBench struct {
	tally  *tally
	server *httptest.Server
	relay  *resettest.Relay
	number uint64
}

func newResetBench(t *testing.T) *resetBench {
	b := &resetBench{tally: &tally{Mux: transport.NewMuxFor(transport.NewIdentity(testCluster, "node-a"))}}
	run := func(_ context.Context, request echo) (echo, error) {
		b.tally.runs[request.Number].Add(1)
		return request, nil
	}
	transport.Handle(b.tally.Mux, runOnceCall, run)
	transport.Handle(b.tally.Mux, runAgainCall, run)
	b.server = httptest.NewServer(b.tally)
	b.relay = resettest.New(t, b.server.Listener.Addr().String())
	return b
}

var (
	runOnceCall  = transport.NewOnce[echo, echo]("/run-once")
	runAgainCall = transport.NewRepeatable[echo, echo]("/run-again")
)

// result is how one call ended, before all that was sent has been received.
type result struct {
	number uint64
	cut    resettest.Way
	after  int
	err    error
}

// kind is a way to send a call.
type kind struct {
	name      string
	reused    bool // on a connection that a call was sent on before, to a process that is known
	asksFirst bool // who serves the address, as the process is not known
	send      func(ctx context.Context, client *transport.Client, address string, request echo) (echo, error)
}

var kinds = []kind{
	{"repeatable, on a new connection", false, false, sendAgain},
	{"repeatable, on a connection used before", true, false, sendAgain},
	{"once, on a new connection", false, true, sendOnce},
	{"once, on a connection used before", true, false, sendOnce},
}

func sendOnce(ctx context.Context, client *transport.Client, address string, request echo) (echo, error) {
	return runOnceCall.Call(ctx, client, address, request)
}

func sendAgain(ctx context.Context, client *transport.Client, address string, request echo) (echo, error) {
	return runAgainCall.Call(ctx, client, address, request)
}

// call makes one call whose connection is reset after so many bytes.
func (b *resetBench) call(t *testing.T, kind kind, cut resettest.Way, after int) result {
	client := transport.NewClientFor(testCluster)
	defer client.Close()
	b.relay.Arm(cut, resettest.Never)
	if kind.reused {
		if _, err := sendAgain(t.Context(), client, b.relay.Address(), echo{}); err != nil {
			t.Fatal(err)
		}
	}
	b.relay.Arm(cut, after)
	b.number++
	request := echo{Number: b.number, Text: "so that the call has some length"}
	reply, err := kind.send(t.Context(), client, b.relay.Address(), request)
	if err == nil && (reply.Number != request.Number || reply.Text != request.Text) {
		t.Fatalf("answer %v to %v", reply, request)
	}
	return result{b.number, cut, after, err}
}

// TestResetsAtEachByte resets a connection at each byte of a call and of its answer.
func TestResetsAtEachByte(t *testing.T) {
	for _, kind := range kinds {
		Convey("A call that is "+kind.name, t, func() {
			b := newResetBench(t)
			So(b.call(t, kind, resettest.Calls, resettest.Never).err, ShouldBeNil)
			lengths := [2]int{b.relay.Passed(resettest.Calls), b.relay.Passed(resettest.Answers)}
			var results []result
			for _, cut := range []resettest.Way{resettest.Calls, resettest.Answers} {
				for after := range lengths[cut] {
					results = append(results, b.call(t, kind, cut, after))
				}
			}
			last := b.call(t, kind, resettest.Answers, lengths[resettest.Answers])
			So(last.err, ShouldBeNil)
			b.server.Close() // returns when all that was received has run
			faults := 0
			for _, r := range results {
				if !b.right(kind, r) {
					faults++
					t.Errorf("%s, reset after byte %d of way %d: ran %d times, error %v", kind.name, r.after, r.cut, b.tally.runs[r.number].Load(), r.err)
				}
			}
			So(faults, ShouldEqual, 0)
			So(b.tally.runs[last.number].Load(), ShouldEqual, 1)
		})
	}
}

// right judges a call whose connection was reset.
func (b *resetBench) right(kind kind, r result) bool {
	runs := b.tally.runs[r.number].Load()
	if r.err == nil || runs > 1 {
		return false
	}
	if kind.asksFirst {
		return runs == 0 || rpcerror.ExecutionOf(r.err) == rpcerror.MayHaveExecuted
	}
	ranBefore := r.cut == resettest.Answers // the call had arrived, and all of an answer comes after the run
	return rpcerror.ExecutionOf(r.err) == rpcerror.MayHaveExecuted && (runs == 1) == ranBefore
}
