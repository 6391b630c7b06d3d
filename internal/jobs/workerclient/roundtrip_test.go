package workerclient

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestTimeoutsFollowMeasuredRoundTrips(t *testing.T) {
	convey.Convey("Given the round trips of a worker with constant response times", t, func() {
		var rtt rttEstimator
		convey.So(rtt.overdueDelay(), convey.ShouldEqual, initialResponseTimeout)
		for range 50 {
			rtt.observe(3 * time.Millisecond)
		}
		convey.Convey("the timeouts are at their minimum", func() {
			convey.So(rtt.overdueDelay(), convey.ShouldEqual, minOverdueDelay)
			convey.So(rtt.commandTimeout(), convey.ShouldEqual, minCommandTimeout)
			convey.So(rtt.pollTimeout(), convey.ShouldEqual, minPollTimeout)
		})
		convey.Convey("an idempotent call is hedged long before its timeout", func() {
			convey.So(rtt.hedgeDelay(), convey.ShouldBeBetween, 3*time.Millisecond, minCommandTimeout/4)
		})
		convey.Convey("and later if the round trips vary", func() {
			for _, trip := range []time.Duration{60, 5, 90, 5, 70, 5} {
				rtt.observe(trip * time.Millisecond)
			}
			convey.So(rtt.hedgeDelay(), convey.ShouldBeGreaterThan, 100*time.Millisecond)
		})
		convey.Convey("a single slow round trip extends the next timeouts", func() {
			rtt.observe(350 * time.Millisecond)
			convey.So(rtt.commandTimeout(), convey.ShouldBeGreaterThan, 500*time.Millisecond)
			for range 30 {
				rtt.observe(3 * time.Millisecond)
			}
			convey.So(rtt.commandTimeout(), convey.ShouldEqual, minCommandTimeout)
		})
		convey.Convey("the timeout of a start is shorter while many starts get no response, and recovers afterwards", func() {
			convey.So(rtt.startTimeout(), convey.ShouldEqual, minCommandTimeout)
			rtt.recordStart(false)
			convey.So(rtt.startTimeout(), convey.ShouldEqual, minCommandTimeout) // a single lost start has no effect
			rtt.recordStart(false)
			convey.So(rtt.startTimeout(), convey.ShouldEqual, rtt.responseTimeout())
			convey.So(rtt.startTimeout(), convey.ShouldBeLessThan, minCommandTimeout/2)
			for range 50 {
				rtt.observe(250 * time.Millisecond)
			}
			convey.So(rtt.startTimeout(), convey.ShouldEqual, maxCommandTimeout) // a slow worker gets the time that it needs
			rtt.recordStart(true)
			convey.So(rtt.startTimeout(), convey.ShouldEqual, rtt.commandTimeout())
		})
		convey.Convey("no timeout exceeds its maximum", func() {
			for range 50 {
				rtt.observe(time.Hour)
				rtt.observe(time.Millisecond)
			}
			convey.So(rtt.overdueDelay(), convey.ShouldEqual, maxOverdueDelay)
			convey.So(rtt.commandTimeout(), convey.ShouldEqual, maxCommandTimeout)
			convey.So(rtt.pollTimeout(), convey.ShouldEqual, maxPollTimeout)
		})
	})
}
