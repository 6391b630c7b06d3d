package workerclient

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestHealth(t *testing.T) {
	t.Parallel()
	convey.Convey("Given a worker to which no call was sent", t, func() {
		var h health
		convey.So(h, convey.ShouldResemble, health{reachabilityUnknown, notSuspected, 0})
		convey.Convey("a command without a response raises a weak suspicion, and a following poll without one does not make it unreachable yet", func() {
			h.commandUnanswered()
			convey.So(h.suspicion, convey.ShouldEqual, weaklySuspected)
			convey.So(h.pollUnanswered(), convey.ShouldBeFalse)
			convey.So(h.suspicion, convey.ShouldEqual, stronglySuspected)
			convey.So(h.pollUnanswered(), convey.ShouldBeTrue)
		})
		convey.Convey("a renewal and a following poll without a response make it unreachable", func() {
			h.renewalUnanswered()
			convey.So(h.pollUnanswered(), convey.ShouldBeTrue)
		})
		convey.Convey("a command without a response does not lower a strong suspicion", func() {
			h.renewalUnanswered()
			h.commandUnanswered()
			convey.So(h.suspicion, convey.ShouldEqual, stronglySuspected)
		})
		convey.Convey("any response removes the suspicion", func() {
			h.renewalUnanswered()
			h.responded()
			convey.So(h.suspicion, convey.ShouldEqual, notSuspected)
			convey.So(h.pollUnanswered(), convey.ShouldBeFalse)
		})
		convey.Convey("a single refusal removes the suspicion, and a second consecutive one makes it unreachable", func() {
			h.renewalUnanswered()
			convey.So(h.listRefused(), convey.ShouldBeFalse)
			convey.So(h.suspicion, convey.ShouldEqual, notSuspected)
			convey.So(h.listRefused(), convey.ShouldBeTrue)
		})
		convey.Convey("only consecutive refusals count", func() {
			h.listRefused()
			h.listed()
			convey.So(h.listRefused(), convey.ShouldBeFalse)
		})
		convey.Convey("a change of reachability is reported once", func() {
			convey.So(h.setReachability(reachable), convey.ShouldBeTrue)
			convey.So(h.setReachability(reachable), convey.ShouldBeFalse)
			convey.So(h.setReachability(unreachable), convey.ShouldBeTrue)
		})
	})
}
