package scheduler

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestNextDueTimeIsTheEarliest(t *testing.T) {
	convey.Convey("The next due time is the earliest due time of the jobs that await a repetition", t, func() {
		now := Now{Monotonic: time.Unix(1_700_000_000, 0), WallMS: 1_700_000_000_000}
		s, err := New(Settings{MaxLease: 6 * time.Second}, now, nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.NextDueMS(), convey.ShouldBeZeroValue)
		late, early := newJob("0000000000000001", jobRecord{}), newJob("0000000000000002", jobRecord{})
		s.scheduleRepetition(late, now.WallMS+2000)
		convey.So(s.NextDueMS(), convey.ShouldEqual, now.WallMS+2000)
		s.scheduleRepetition(early, now.WallMS+1000)
		convey.So(s.NextDueMS(), convey.ShouldEqual, now.WallMS+1000)
		s.scheduleRepetition(early, now.WallMS+3000)
		convey.So(s.NextDueMS(), convey.ShouldEqual, now.WallMS+2000)
		s.unscheduleRepetition(late)
		convey.So(s.NextDueMS(), convey.ShouldEqual, now.WallMS+3000)
		s.unscheduleRepetition(early)
		convey.So(s.NextDueMS(), convey.ShouldBeZeroValue)
	})
}
