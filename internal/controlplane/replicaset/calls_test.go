package replicaset

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/transport"
)

func TestLeaveCallIsExecutedAtMostOnce(t *testing.T) {
	convey.Convey("A leave request is executed at most once, because a late duplicate would cause the replacement of a restarted member", t, func() {
		var route transport.Route = leaveCall.Route()
		_, once := route.(transport.AtMostOnceRoute)
		convey.So(once, convey.ShouldBeTrue)
	})
}
