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

// executionCounter counts at the callee how often each request was executed.
type executionCounter struct {
	*transport.Mux
	executions [1 << 13]atomic.Int32 // by the request's number
}

// resetFixture is a callee behind a relay.
type resetFixture struct {
	callee *executionCounter
	server *httptest.Server
	relay  *resettest.Relay
	number uint64
}

func newResetFixture(t *testing.T) *resetFixture {
	b := &resetFixture{callee: &executionCounter{Mux: transport.NewMuxFor(transport.NewIdentity(testCluster, "node-a"))}}
	run := func(_ context.Context, request echo) (echo, error) {
		b.callee.executions[request.Number].Add(1)
		return request, nil
	}
	transport.Handle(b.callee.Mux, atMostOnceCall, run)
	transport.Handle(b.callee.Mux, idempotentCall, run)
	b.server = httptest.NewServer(b.callee)
	b.relay = resettest.New(t, b.server.Listener.Addr().String())
	return b
}

var (
	atMostOnceCall = transport.NewAtMostOnce[echo, echo]("/run-once")
	idempotentCall = transport.NewIdempotent[echo, echo]("/run-again")
)

// outcome is how one call ended for its caller; the callee may not have received all of it yet.
type outcome struct {
	number    uint64
	direction resettest.Direction
	offset    int
	err       error
}

// callKind is a way to send a call.
type callKind struct {
	name          string
	reused        bool // the connection, to a known process
	needsIdentity bool // of the process, which is not known, and is requested first
	send          func(ctx context.Context, client *transport.Client, address string, request echo) (echo, error)
}

var callKinds = []callKind{
	{"idempotent, on a new connection", false, false, sendIdempotent},
	{"idempotent, on a reused connection", true, false, sendIdempotent},
	{"at-most-once, on a new connection", false, true, sendAtMostOnce},
	{"at-most-once, on a reused connection", true, false, sendAtMostOnce},
}

func sendAtMostOnce(ctx context.Context, client *transport.Client, address string, request echo) (echo, error) {
	return atMostOnceCall.Call(ctx, client, address, request)
}

func sendIdempotent(ctx context.Context, client *transport.Client, address string, request echo) (echo, error) {
	return idempotentCall.Call(ctx, client, address, request)
}

// call makes one call whose connection is reset at an offset of one direction.
func (b *resetFixture) call(t *testing.T, kind callKind, direction resettest.Direction, offset int) outcome {
	client := transport.NewClientFor(testCluster)
	defer client.Close()
	b.relay.Arm(direction, resettest.NoReset)
	if kind.reused {
		if _, err := sendIdempotent(t.Context(), client, b.relay.Address(), echo{}); err != nil {
			t.Fatal(err)
		}
	}
	b.relay.Arm(direction, offset)
	b.number++
	request := echo{Number: b.number, Text: "so that the call has some length"}
	reply, err := kind.send(t.Context(), client, b.relay.Address(), request)
	if err == nil && (reply.Number != request.Number || reply.Text != request.Text) {
		t.Fatalf("reply %v to %v", reply, request)
	}
	return outcome{b.number, direction, offset, err}
}

// TestConnectionsResetAtEachByte resets a connection at each byte of a request and of its response.
func TestConnectionsResetAtEachByte(t *testing.T) {
	for _, kind := range callKinds {
		Convey("A call that is "+kind.name, t, func() {
			b := newResetFixture(t)
			So(b.call(t, kind, resettest.Requests, resettest.NoReset).err, ShouldBeNil)
			lengths := [2]int{b.relay.Passed(resettest.Requests), b.relay.Passed(resettest.Responses)}
			var outcomes []outcome
			for _, direction := range []resettest.Direction{resettest.Requests, resettest.Responses} {
				for offset := range lengths[direction] {
					outcomes = append(outcomes, b.call(t, kind, direction, offset))
				}
			}
			last := b.call(t, kind, resettest.Responses, lengths[resettest.Responses])
			So(last.err, ShouldBeNil)
			b.server.Close() // returns when all that was received has been executed
			violations := 0
			for _, r := range outcomes {
				if !b.isConsistent(kind, r) {
					violations++
					t.Errorf("%s, reset after byte %d of direction %d: executed %d times, error %v", kind.name, r.offset, r.direction, b.callee.executions[r.number].Load(), r.err)
				}
			}
			So(violations, ShouldEqual, 0)
			So(b.callee.executions[last.number].Load(), ShouldEqual, 1)
		})
	}
}

// isConsistent tells whether the outcome of a call whose connection was reset is right.
func (b *resetFixture) isConsistent(kind callKind, r outcome) bool {
	executions := b.callee.executions[r.number].Load()
	if r.err == nil || executions > 1 {
		return false
	}
	if kind.needsIdentity {
		return executions == 0 || rpcerror.ExecutionOf(r.err) == rpcerror.MayHaveExecuted
	}
	executedBefore := r.direction == resettest.Responses // the request had arrived, and the response comes after the execution
	return rpcerror.ExecutionOf(r.err) == rpcerror.MayHaveExecuted && (executions == 1) == executedBefore
}
