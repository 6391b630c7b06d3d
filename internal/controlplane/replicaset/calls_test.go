package replicaset

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/transport"
)

func TestWhichCallsRunOnce(t *testing.T) {
	convey.Convey("A goodbye runs once: a late copy would let a member be replaced that is back", t, func() {
		var route transport.Route = leaveCall.Route()
		_, once := route.(transport.AtMostOnceRoute)
		convey.So(once, convey.ShouldBeTrue)
	})
}
