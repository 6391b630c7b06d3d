package wakeup

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSignalMergesNotifications(t *testing.T) {
	pending := func(signal Signal) bool {
		select {
		case <-signal:
			return true
		default:
			return false
		}
	}
	Convey("Given a signal", t, func() {
		signal := New()
		Convey("nothing is received before it is notified", func() {
			So(pending(signal), ShouldBeFalse)
		})
		Convey("several notifications are received as one, and a later one separately", func() {
			signal.Notify()
			signal.Notify()
			So(pending(signal), ShouldBeTrue)
			So(pending(signal), ShouldBeFalse)
			signal.Notify()
			So(pending(signal), ShouldBeTrue)
		})
	})
}
