package workerclient

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestHealth(t *testing.T) {
	t.Parallel()
	convey.Convey("Given a worker that no call was sent to", t, func() {
		var h health
		convey.So(h, convey.ShouldResemble, health{reachabilityUnknown, notSuspected, 0})
		convey.Convey("a command without a response casts doubt, and a poll without one after it does not prove anything yet", func() {
			h.commandUnanswered()
			convey.So(h.suspicion, convey.ShouldEqual, weaklySuspected)
			convey.So(h.pollUnanswered(), convey.ShouldBeFalse)
			convey.So(h.suspicion, convey.ShouldEqual, stronglySuspected)
			convey.So(h.pollUnanswered(), convey.ShouldBeTrue)
		})
		convey.Convey("a poll without a response after a renewal without one makes it unreachable", func() {
			h.renewalUnanswered()
			convey.So(h.pollUnanswered(), convey.ShouldBeTrue)
		})
		convey.Convey("a command without a response does not lessen a suspicion", func() {
			h.renewalUnanswered()
			h.commandUnanswered()
			convey.So(h.suspicion, convey.ShouldEqual, stronglySuspected)
		})
		convey.Convey("any response removes the doubt", func() {
			h.renewalUnanswered()
			h.responded()
			convey.So(h.suspicion, convey.ShouldEqual, notSuspected)
			convey.So(h.pollUnanswered(), convey.ShouldBeFalse)
		})
		convey.Convey("a single refusal removes the doubt, a second one in a row makes it unreachable", func() {
			h.renewalUnanswered()
			convey.So(h.listRefused(), convey.ShouldBeFalse)
			convey.So(h.suspicion, convey.ShouldEqual, notSuspected)
			convey.So(h.listRefused(), convey.ShouldBeTrue)
		})
		convey.Convey("refusals count in a row only", func() {
			h.listRefused()
			h.listed()
			convey.So(h.listRefused(), convey.ShouldBeFalse)
		})
		convey.Convey("a change of contact is reported once", func() {
			convey.So(h.setReachability(reachable), convey.ShouldBeTrue)
			convey.So(h.setReachability(reachable), convey.ShouldBeFalse)
			convey.So(h.setReachability(unreachable), convey.ShouldBeTrue)
		})
	})
}
