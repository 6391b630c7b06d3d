package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/transport"
)

func TestResignationIsSentAtMostOnce(t *testing.T) {
	Convey("A resignation runs once: a late copy would make a process that is back count as gone", t, func() {
		var route transport.Route = resignCall.Route()
		_, once := route.(transport.AtMostOnceRoute)
		So(once, ShouldBeTrue)
	})
}
