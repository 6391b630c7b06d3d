package manager

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/scheduler"
)

func TestPauseOfTheLoop(t *testing.T) {
	jobs, err := scheduler.New(scheduler.Settings{}, steady(), nil)
	Convey("A wake-up does not put the tick off", t, func() {
		So(err, ShouldBeNil)
		l := &lead{scheduler: jobs, ticked: time.Now().Add(-tickInterval)}
		So(l.pause(), ShouldBeLessThanOrEqualTo, time.Millisecond)
		l.ticked = time.Now()
		So(l.pause(), ShouldBeBetween, tickInterval/2, tickInterval+time.Millisecond)
	})
}
