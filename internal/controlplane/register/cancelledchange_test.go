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

var errUnreachable = errors.New("nobody is there")

// Call implements transport.Caller.
func (c *failingCaller) Call(context.Context, string, transport.Route, any, any) error {
	c.calls.Add(1)
	return rpcerror.WrapNotExecuted(errUnreachable, 0)
}

func TestCancelledChangeSendsNothing(t *testing.T) {
	const attempts = 64 // of two that are ready, a choice at random takes either
	view := replicaset.View{Version: 1, Members: []string{"a", "b", "c"}}
	caller := &failingCaller{}
	register := New(Config{Name: "test", Self: "elsewhere", Caller: caller, View: func() replicaset.View { return view }})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	ran := false
	convey.Convey("A change whose context is over before its turn proposes nothing", t, func() {
		for range attempts {
			_, err := register.Change(ended, func(current []byte) ([]byte, error) { ran = true; return current, nil })
			convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.NotExecuted)
			convey.So(errors.Is(err, context.Canceled), convey.ShouldBeTrue)
		}
		convey.So(caller.calls.Load(), convey.ShouldEqual, 0)
		convey.So(ran, convey.ShouldBeFalse)
	})
}
