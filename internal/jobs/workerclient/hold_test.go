package workerclient

import (
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

func TestHoldPlan(t *testing.T) {
	convey.Convey("Given a link whose searcher's clock is known by answers only", t, func() {
		now := time.Unix(1000, 0)
		link := NewLink(Config{
			MaxLease: holdMax, Events: newRecorder(), HTTP: http.DefaultClient, Now: func() time.Time { return now },
		})
		clockMS := func() *int64 {
			reading := now.Sub(time.Unix(0, 0)).Milliseconds()
			return &reading
		}
		answered := func(c holdCall) {
			link.settleHold(c, answer{http.StatusOK, reply{ClockMS: clockMS()}}, nil, now)
			link.listed = true
			link.setContact(reachable)
		}
		convey.Convey("the first call is a look that grants nothing", func() {
			look := link.beginHold()
			convey.So(look.request.waitMS, convey.ShouldEqual, 0)
			convey.So(look.grant, convey.ShouldBeNil)
			convey.So(link.startable(now), convey.ShouldBeFalse)
			convey.So(link.roundTrips.measured, convey.ShouldBeFalse)
			answered(look)
			convey.So(link.roundTrips.measured, convey.ShouldBeTrue)

			convey.Convey("the second grants at once, and starts may go out from then on", func() {
				short := link.beginHold()
				convey.So(short.request.waitMS, convey.ShouldEqual, 0)
				convey.So(short.grant, convey.ShouldNotBeNil)
				convey.So(link.startable(now), convey.ShouldBeFalse)
				answered(short)
				convey.So(link.startable(now), convey.ShouldBeTrue)

				convey.Convey("the next ones wait, and grant when the last grant is old", func() {
					hold := link.beginHold()
					convey.So(hold.request.waitMS, convey.ShouldEqual, 1000)
					convey.So(hold.request.validUntilMS, convey.ShouldEqual, 0)
					now = now.Add(renewalAge + time.Millisecond)
					answered(hold)
					hold = link.beginHold()
					convey.So(hold.request.waitMS, convey.ShouldEqual, 1000)
					convey.So(hold.request.validUntilMS, convey.ShouldBeGreaterThan, short.request.validUntilMS)
				})
				convey.Convey("a call without an answer is followed by a look", func() {
					now = now.Add(2 * time.Second)
					hold := link.beginHold()
					link.settleHold(hold, answer{}, rpcerror.WrapMayHaveExecuted(errSilent), now)
					link.setContact(unreachable)
					look := link.beginHold()
					convey.So(look.request.waitMS, convey.ShouldEqual, 0)
					convey.So(look.grant, convey.ShouldBeNil)
					convey.So(look.timeout, convey.ShouldEqual, lookTimeout)
					convey.So(link.LeasesExpiredBy(), convey.ShouldHappenAfter, now.Add(lateLimit+holdMax-time.Second))
				})
				convey.Convey("a call that never left grants nothing", func() {
					now = now.Add(2 * time.Second)
					before := link.LeasesExpiredBy()
					hold := link.beginHold()
					convey.So(link.LeasesExpiredBy(), convey.ShouldHappenAfter, before)
					link.settleHold(hold, answer{}, rpcerror.WrapNotExecuted(errSilent, 0), now)
					convey.So(link.LeasesExpiredBy(), convey.ShouldEqual, before)
				})
				convey.Convey("without renewal no start goes out in the end", func() {
					now = now.Add(holdMax - minimumLead)
					convey.So(link.startable(now), convey.ShouldBeFalse)
				})
			})
		})
	})
	convey.Convey("Where runs are held for a short time only, everything is quicker", t, func() {
		p := paceFor(time.Second)
		convey.So(p.holdWait, convey.ShouldEqual, 250*time.Millisecond)
		convey.So(p.minimumLead+p.holdWait+p.renewalAge, convey.ShouldBeLessThan, time.Second)
		convey.So(paceFor(time.Hour), convey.ShouldResemble, pace{holdWait, renewalAge, minimumLead, longestIdle})
	})
}
