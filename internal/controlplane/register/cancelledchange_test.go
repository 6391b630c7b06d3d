package register

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// failingCaller fails every call.
type failingCaller struct{ calls atomic.Int64 }

var errUnreachable = errors.New("member is unreachable")

// Call implements transport.Caller.
func (c *failingCaller) Call(context.Context, string, transport.Route, any, any) error {
	c.calls.Add(1)
	return rpcerror.WrapNotExecuted(errUnreachable, 0)
}

func TestCancelledChangeSendsNothing(t *testing.T) {
	const attempts = 64 // select chooses randomly between two ready cases, so one attempt could pass by chance
	view := replicaset.View{Version: 1, Members: []string{"a", "b", "c"}}
	caller := &failingCaller{}
	register := New(Config{Name: "test", Self: "elsewhere", Caller: caller, View: func() replicaset.View { return view }})
	cancelledContext, cancel := context.WithCancel(context.Background())
	cancel()
	functionCalled := false
	convey.Convey("A change whose context has ended before it starts proposes nothing", t, func() {
		for range attempts {
			_, err := register.Change(cancelledContext, func(current []byte) ([]byte, error) { functionCalled = true; return current, nil })
			convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.NotExecuted)
			convey.So(errors.Is(err, context.Canceled), convey.ShouldBeTrue)
		}
		convey.So(caller.calls.Load(), convey.ShouldEqual, 0)
		convey.So(functionCalled, convey.ShouldBeFalse)
	})
}
