package workerclient

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestTimeoutsFollowMeasuredRoundTrips(t *testing.T) {
	convey.Convey("Given the round trips of a calm worker", t, func() {
		var rtt rttEstimator
		convey.So(rtt.overdueDelay(), convey.ShouldEqual, initialResponseTimeout)
		for range 50 {
			rtt.observe(3 * time.Millisecond)
		}
		convey.Convey("the time-outs are at their shortest", func() {
			convey.So(rtt.overdueDelay(), convey.ShouldEqual, minOverdueDelay)
			convey.So(rtt.commandTimeout(), convey.ShouldEqual, minCommandTimeout)
			convey.So(rtt.pollTimeout(), convey.ShouldEqual, minPollTimeout)
		})
		convey.Convey("an idempotent call is hedged far sooner than it times out", func() {
			convey.So(rtt.hedgeDelay(), convey.ShouldBeBetween, 3*time.Millisecond, minCommandTimeout/4)
		})
		convey.Convey("and later where the round trips vary", func() {
			for _, trip := range []time.Duration{60, 5, 90, 5, 70, 5} {
				rtt.observe(trip * time.Millisecond)
			}
			convey.So(rtt.hedgeDelay(), convey.ShouldBeGreaterThan, 100*time.Millisecond)
		})
		convey.Convey("a single slow one lets the next calls wait longer", func() {
			rtt.observe(350 * time.Millisecond)
			convey.So(rtt.commandTimeout(), convey.ShouldBeGreaterThan, 500*time.Millisecond)
			for range 30 {
				rtt.observe(3 * time.Millisecond)
			}
			convey.So(rtt.commandTimeout(), convey.ShouldEqual, minCommandTimeout)
		})
		convey.Convey("the time-out of a start is shorter while many get no response, and as before later", func() {
			convey.So(rtt.startTimeout(), convey.ShouldEqual, minCommandTimeout)
			rtt.recordStart(false)
			convey.So(rtt.startTimeout(), convey.ShouldEqual, minCommandTimeout) // a single one says little
			rtt.recordStart(false)
			convey.So(rtt.startTimeout(), convey.ShouldEqual, rtt.responseTimeout())
			convey.So(rtt.startTimeout(), convey.ShouldBeLessThan, minCommandTimeout/2)
			for range 50 {
				rtt.observe(250 * time.Millisecond)
			}
			convey.So(rtt.startTimeout(), convey.ShouldEqual, maxCommandTimeout) // slow responses are waited for
			rtt.recordStart(true)
			convey.So(rtt.startTimeout(), convey.ShouldEqual, rtt.commandTimeout())
		})
		convey.Convey("no time-out grows beyond its longest", func() {
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
