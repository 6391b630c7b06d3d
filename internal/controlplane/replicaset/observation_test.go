package replicaset

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestAFrozenProcessStartsItsObservationAnew(t *testing.T) {
	convey.Convey("The quorum counts as reachable since the newest interruption", t, func() {
		start := time.Now()
		at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
		var observed observation
		observed.observe(at(0), true)
		observed.observe(at(100), true)
		convey.So(observed.connectedSince, convey.ShouldEqual, at(0))
		observed.observe(at(5000), true)
		convey.So(observed.connectedSince, convey.ShouldEqual, at(5000))
		observed.observe(at(5100), false)
		convey.So(observed.connectedSince.IsZero(), convey.ShouldBeTrue)
		observed.observe(at(5200), true)
		convey.So(observed.connectedSince, convey.ShouldEqual, at(5200))
	})
}
