package replicaset

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestLongGapRestartsQuorumObservation(t *testing.T) {
	convey.Convey("The quorum counts as reachable since the latest interruption", t, func() {
		start := time.Now()
		at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
		var quorum quorumObservation
		quorum.observe(at(0), true)
		quorum.observe(at(100), true)
		convey.So(quorum.connectedSince, convey.ShouldEqual, at(0))
		quorum.observe(at(5000), true)
		convey.So(quorum.connectedSince, convey.ShouldEqual, at(5000))
		quorum.observe(at(5100), false)
		convey.So(quorum.connectedSince.IsZero(), convey.ShouldBeTrue)
		quorum.observe(at(5200), true)
		convey.So(quorum.connectedSince, convey.ShouldEqual, at(5200))
	})
}
