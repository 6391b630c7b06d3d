package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/transport"
)

func TestResignationIsSentAtMostOnce(t *testing.T) {
	Convey("A resignation is sent at most once, as a late duplicate would mark a restarted process as stopped", t, func() {
		var route transport.Route = resignCall.Route()
		_, once := route.(transport.AtMostOnceRoute)
		So(once, ShouldBeTrue)
	})
}
