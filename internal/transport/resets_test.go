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

// executionCounter is a callee that counts how often each request was executed.
type executionCounter struct {
	*transport.Mux
	executions [1 << 13]atomic.Int32 // by request number
}

// resetFixture is a callee behind a relay that can reset connections.
type resetFixture struct {
	callee *executionCounter
	server *httptest.Server
	relay  *resettest.Relay
	number uint64 // of the latest request
}

func newResetFixture(t *testing.T) *resetFixture {
	f := &resetFixture{callee: &executionCounter{Mux: transport.NewMuxFor(transport.NewIdentity(testCluster, "node-a"))}}
	execute := func(_ context.Context, request echo) (echo, error) {
		f.callee.executions[request.Number].Add(1)
		return request, nil
	}
	transport.Handle(f.callee.Mux, atMostOnceCall, execute)
	transport.Handle(f.callee.Mux, idempotentCall, execute)
	f.server = httptest.NewServer(f.callee)
	f.relay = resettest.New(t, f.server.Listener.Addr().String())
	return f
}

var (
	atMostOnceCall = transport.NewAtMostOnce[echo, echo]("/run-once")
	idempotentCall = transport.NewIdempotent[echo, echo]("/run-again")
)

// outcome is the result of a call at its caller. The callee may still be receiving the request.
type outcome struct {
	number    uint64
	direction resettest.Direction
	offset    int
	err       error
}

// callVariant is a kind of call and the state of the client before it.
type callVariant struct {
	name          string
	reused        bool // whether the client knows the process and has an open connection to it
	needsIdentity bool // whether the client doesn't know the process and has to request its identity first
	send          func(ctx context.Context, client *transport.Client, address string, request echo) (echo, error)
}

var callVariants = []callVariant{
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

// call sends one request on a connection that is reset at an offset of one direction.
func (f *resetFixture) call(t *testing.T, variant callVariant, direction resettest.Direction, offset int) outcome {
	client := transport.NewClientFor(testCluster)
	defer client.Close()
	f.relay.ResetAt(direction, resettest.NoReset)
	if variant.reused {
		if _, err := sendIdempotent(t.Context(), client, f.relay.Address(), echo{}); err != nil {
			t.Fatal(err)
		}
	}
	f.relay.ResetAt(direction, offset)
	f.number++
	request := echo{Number: f.number, Text: "so that the call has some length"}
	reply, err := variant.send(t.Context(), client, f.relay.Address(), request)
	if err == nil && (reply.Number != request.Number || reply.Text != request.Text) {
		t.Fatalf("got the reply %v to the request %v", reply, request)
	}
	return outcome{f.number, direction, offset, err}
}

// TestConnectionsResetAtEachByte guards against a call that is reported as not executed although it was, or is executed twice
// because of a retry. It resets a connection at each byte of a request and of its response.
func TestConnectionsResetAtEachByte(t *testing.T) {
	for _, variant := range callVariants {
		Convey("A call that is "+variant.name, t, func() {
			f := newResetFixture(t)
			So(f.call(t, variant, resettest.Requests, resettest.NoReset).err, ShouldBeNil)
			lengths := [2]int{f.relay.ForwardedBytes(resettest.Requests), f.relay.ForwardedBytes(resettest.Responses)}
			var outcomes []outcome
			for _, direction := range []resettest.Direction{resettest.Requests, resettest.Responses} {
				for offset := range lengths[direction] {
					outcomes = append(outcomes, f.call(t, variant, direction, offset))
				}
			}
			last := f.call(t, variant, resettest.Responses, lengths[resettest.Responses])
			So(last.err, ShouldBeNil)
			f.server.Close() // returns once all received requests have been executed
			violations := 0
			for _, result := range outcomes {
				if !f.isConsistent(variant, result) {
					violations++
					t.Errorf("%s, reset after byte %d of direction %d: executed %d times, error %v", variant.name, result.offset, result.direction, f.callee.executions[result.number].Load(), result.err)
				}
			}
			So(violations, ShouldEqual, 0)
			So(f.callee.executions[last.number].Load(), ShouldEqual, 1)
		})
	}
}

// isConsistent reports whether the outcome of a call whose connection was reset agrees with the number of its executions.
func (f *resetFixture) isConsistent(variant callVariant, result outcome) bool {
	executions := f.callee.executions[result.number].Load()
	if result.err == nil || executions > 1 {
		return false
	}
	if variant.needsIdentity {
		return executions == 0 || rpcerror.ExecutionOf(result.err) == rpcerror.MayHaveExecuted
	}
	executedBefore := result.direction == resettest.Responses // the callee responds only after the execution
	return rpcerror.ExecutionOf(result.err) == rpcerror.MayHaveExecuted && (executions == 1) == executedBefore
}
