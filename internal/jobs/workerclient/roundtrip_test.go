package workerclient

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestRoundTrips(t *testing.T) {
	convey.Convey("Given the round trips of a calm searcher", t, func() {
		var trips roundTrips
		convey.So(trips.hedgeDelay(), convey.ShouldEqual, initialMargin)
		for range 50 {
			trips.observe(3 * time.Millisecond)
		}
		convey.Convey("the limits are at their shortest", func() {
			convey.So(trips.hedgeDelay(), convey.ShouldEqual, shortestHedgeDelay)
			convey.So(trips.orderLimit(), convey.ShouldEqual, shortestOrderLimit)
			convey.So(trips.lookLimit(), convey.ShouldEqual, shortestLookLimit)
		})
		convey.Convey("a repeatable call is repeated far sooner than it is given up", func() {
			convey.So(trips.repeatDelay(), convey.ShouldBeBetween, 3*time.Millisecond, shortestOrderLimit/4)
		})
		convey.Convey("and later where the round trips vary", func() {
			for _, trip := range []time.Duration{60, 5, 90, 5, 70, 5} {
				trips.observe(trip * time.Millisecond)
			}
			convey.So(trips.repeatDelay(), convey.ShouldBeGreaterThan, 100*time.Millisecond)
		})
		convey.Convey("a single slow one lets the next calls wait longer", func() {
			trips.observe(350 * time.Millisecond)
			convey.So(trips.orderLimit(), convey.ShouldBeGreaterThan, 500*time.Millisecond)
			for range 30 {
				trips.observe(3 * time.Millisecond)
			}
			convey.So(trips.orderLimit(), convey.ShouldEqual, shortestOrderLimit)
		})
		convey.Convey("a start is given less time while many get no answer, and as much as before later", func() {
			convey.So(trips.startLimit(), convey.ShouldEqual, shortestOrderLimit)
			trips.startEnded(false)
			convey.So(trips.startLimit(), convey.ShouldEqual, shortestOrderLimit) // one says little
			trips.startEnded(false)
			convey.So(trips.startLimit(), convey.ShouldEqual, trips.margin())
			convey.So(trips.startLimit(), convey.ShouldBeLessThan, shortestOrderLimit/2)
			for range 50 {
				trips.observe(250 * time.Millisecond)
			}
			convey.So(trips.startLimit(), convey.ShouldEqual, longestOrderLimit) // slow answers are waited for
			trips.startEnded(true)
			convey.So(trips.startLimit(), convey.ShouldEqual, trips.orderLimit())
		})
		convey.Convey("no limit grows beyond its longest", func() {
			for range 50 {
				trips.observe(time.Hour)
				trips.observe(time.Millisecond)
			}
			convey.So(trips.hedgeDelay(), convey.ShouldEqual, longestHedgeDelay)
			convey.So(trips.orderLimit(), convey.ShouldEqual, longestOrderLimit)
			convey.So(trips.lookLimit(), convey.ShouldEqual, longestLookLimit)
		})
	})
}
