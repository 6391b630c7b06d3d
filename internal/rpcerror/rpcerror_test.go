package rpcerror

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestErrorsSayWhetherARequestMayHaveBeenExecuted(t *testing.T) {
	cause := errors.New("connection refused")

	Convey("An error keeps its cause, its Execution and its retry hint when it is wrapped again", t, func() {
		err := fmt.Errorf("call worker: %w", WrapNotExecuted(cause, time.Second))
		So(errors.Is(err, cause), ShouldBeTrue)
		So(ExecutionOf(err), ShouldEqual, NotExecuted)
		So(RetryAfter(err), ShouldEqual, time.Second)
		So(err.Error(), ShouldEqual, "call worker: connection refused (request not run)")
	})
	Convey("The error of a request that may have been executed has no retry hint", t, func() {
		err := WrapMayHaveExecuted(cause)
		So(ExecutionOf(err), ShouldEqual, MayHaveExecuted)
		So(RetryAfter(err), ShouldEqual, 0)
		So(err.Error(), ShouldEqual, "connection refused (request may have run)")
	})
	Convey("The request of an error of another package may have been executed", t, func() {
		So(ExecutionOf(cause), ShouldEqual, MayHaveExecuted)
		So(RetryAfter(cause), ShouldEqual, 0)
	})
}
