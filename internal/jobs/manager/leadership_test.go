package manager

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/scheduler"
)

func TestWakeUpDoesNotDelayTick(t *testing.T) {
	groupScheduler, err := scheduler.New(scheduler.Settings{}, currentTime(), nil)
	Convey("The wait after a wake-up ends at the next tick at the latest", t, func() {
		So(err, ShouldBeNil)
		l := &leadership{scheduler: groupScheduler, lastTick: time.Now().Add(-tickInterval)}
		So(l.nextWait(), ShouldBeLessThanOrEqualTo, time.Millisecond)
		l.lastTick = time.Now()
		So(l.nextWait(), ShouldBeBetween, tickInterval/2, tickInterval+time.Millisecond)
	})
}
