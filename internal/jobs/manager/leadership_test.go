package manager

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/scheduler"
)

func TestWakeUpsDoNotDelayTheTick(t *testing.T) {
	jobs, err := scheduler.New(scheduler.Settings{}, currentTime(), nil)
	Convey("A wake-up does not postpone the tick", t, func() {
		So(err, ShouldBeNil)
		l := &leadership{scheduler: jobs, tickedAt: time.Now().Add(-tickInterval)}
		So(l.nextWait(), ShouldBeLessThanOrEqualTo, time.Millisecond)
		l.tickedAt = time.Now()
		So(l.nextWait(), ShouldBeBetween, tickInterval/2, tickInterval+time.Millisecond)
	})
}
