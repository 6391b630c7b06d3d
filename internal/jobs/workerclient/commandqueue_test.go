package workerclient

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestCommandQueue(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	convey.Convey("Given two stops", t, func() {
		var q commandQueue
		first := queuedStop{command: StopCommand{task(1), 1}, due: now.Add(time.Second), backoff: firstStopBackoff}
		second := queuedStop{command: StopCommand{task(2), 1}, due: now, backoff: firstStopBackoff}
		q.stops = []queuedStop{first, second}
		convey.Convey("the stop that is due first is removed first", func() {
			convey.So(q.removeStop(q.earliestStop()), convey.ShouldResemble, second)
			convey.So(q.removeStop(q.earliestStop()), convey.ShouldResemble, first)
			convey.So(q.stops, convey.ShouldBeEmpty)
		})
		convey.Convey("an unanswered stop is due again after its backoff, which doubles up to a limit", func() {
			stop := q.removeStop(1)
			for _, backoff := range []time.Duration{firstStopBackoff, 2 * firstStopBackoff, 4 * firstStopBackoff, maxStopBackoff, maxStopBackoff} {
				q.retryStop(stop, now)
				stop = q.removeStop(1)
				convey.So(stop.due, convey.ShouldEqual, now.Add(backoff))
			}
		})
	})
	convey.Convey("All commands are answered once none is queued or in flight and all results are older", t, func() {
		var q commandQueue
		convey.So(q.allAnsweredBefore(now), convey.ShouldBeTrue)
		q.activeSenders = 1
		convey.So(q.allAnsweredBefore(now), convey.ShouldBeFalse)
		q.activeSenders = 0
		q.starts = []queuedStart{{startCommand(0, 1), now}}
		convey.So(q.allAnsweredBefore(now), convey.ShouldBeFalse)
		q.removeFirstStart()
		q.resultTime(now)
		convey.So(q.allAnsweredBefore(now), convey.ShouldBeFalse)
		convey.So(q.sendTime(now), convey.ShouldHappenAfter, now)
		convey.So(q.allAnsweredBefore(q.sendTime(now)), convey.ShouldBeTrue)
	})
}
