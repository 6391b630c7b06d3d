package workerclient

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestRoundTrips(t *testing.T) {
	convey.Convey("Given the round trips of a calm worker", t, func() {
		var trips roundTrips
		convey.So(trips.overdueDelay(), convey.ShouldEqual, initialMargin)
		for range 50 {
			trips.observe(3 * time.Millisecond)
		}
		convey.Convey("the time-outs are at their shortest", func() {
			convey.So(trips.overdueDelay(), convey.ShouldEqual, minOverdueDelay)
			convey.So(trips.commandTimeout(), convey.ShouldEqual, minCommandTimeout)
			convey.So(trips.pollTimeout(), convey.ShouldEqual, minPollTimeout)
		})
		convey.Convey("an idempotent call is hedged far sooner than it times out", func() {
			convey.So(trips.hedgeDelay(), convey.ShouldBeBetween, 3*time.Millisecond, minCommandTimeout/4)
		})
		convey.Convey("and later where the round trips vary", func() {
			for _, trip := range []time.Duration{60, 5, 90, 5, 70, 5} {
				trips.observe(trip * time.Millisecond)
			}
			convey.So(trips.hedgeDelay(), convey.ShouldBeGreaterThan, 100*time.Millisecond)
		})
		convey.Convey("a single slow one lets the next calls wait longer", func() {
			trips.observe(350 * time.Millisecond)
			convey.So(trips.commandTimeout(), convey.ShouldBeGreaterThan, 500*time.Millisecond)
			for range 30 {
				trips.observe(3 * time.Millisecond)
			}
			convey.So(trips.commandTimeout(), convey.ShouldEqual, minCommandTimeout)
		})
		convey.Convey("the time-out of a start is shorter while many get no response, and as before later", func() {
			convey.So(trips.startTimeout(), convey.ShouldEqual, minCommandTimeout)
			trips.startEnded(false)
			convey.So(trips.startTimeout(), convey.ShouldEqual, minCommandTimeout) // a single one says little
			trips.startEnded(false)
			convey.So(trips.startTimeout(), convey.ShouldEqual, trips.margin())
			convey.So(trips.startTimeout(), convey.ShouldBeLessThan, minCommandTimeout/2)
			for range 50 {
				trips.observe(250 * time.Millisecond)
			}
			convey.So(trips.startTimeout(), convey.ShouldEqual, maxCommandTimeout) // slow responses are waited for
			trips.startEnded(true)
			convey.So(trips.startTimeout(), convey.ShouldEqual, trips.commandTimeout())
		})
		convey.Convey("no time-out grows beyond its longest", func() {
			for range 50 {
				trips.observe(time.Hour)
				trips.observe(time.Millisecond)
			}
			convey.So(trips.overdueDelay(), convey.ShouldEqual, maxOverdueDelay)
			convey.So(trips.commandTimeout(), convey.ShouldEqual, maxCommandTimeout)
			convey.So(trips.pollTimeout(), convey.ShouldEqual, maxPollTimeout)
		})
	})
}
