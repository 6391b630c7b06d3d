package scheduler

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

func TestFoundWorkers(t *testing.T) {
	convey.Convey("Given a list that is read page by page", t, func() {
		now := Now{Steady: time.Unix(1_700_000_000, 0), WallMS: 1_700_000_000_000}
		s, err := New(Settings{HoldMax: 6 * time.Second}, now, nil)
		convey.So(err, convey.ShouldBeNil)
		first, second := []workerclient.Instance{{ID: "i-1"}}, []workerclient.Instance{{ID: "i-2"}}
		s.Found(now, first)
		convey.Convey("the searchers of each page are known at once, and no page makes those of others missing", func() {
			convey.So(s.Knows("i-1"), convey.ShouldBeTrue)
			for range missingLists + 1 {
				s.Found(now, second)
			}
			convey.So(s.Knows("i-1"), convey.ShouldBeTrue)
			convey.So(s.Knows("i-2"), convey.ShouldBeTrue)
		})
		convey.Convey("whole lists without one end its life", func() {
			for range missingLists {
				s.Inventory(now, second)
			}
			convey.So(s.Knows("i-1"), convey.ShouldBeFalse)
		})
	})
}

func TestNextDueIsKept(t *testing.T) {
	convey.Convey("The next due time is that of the earliest job that waits for one", t, func() {
		now := Now{Steady: time.Unix(1_700_000_000, 0), WallMS: 1_700_000_000_000}
		s, err := New(Settings{HoldMax: 6 * time.Second}, now, nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.NextDue(), convey.ShouldBeZeroValue)
		late, early := newJob("0000000000000001", jobRecord{}), newJob("0000000000000002", jobRecord{})
		s.schedule(late, now.WallMS+2000)
		convey.So(s.NextDue(), convey.ShouldEqual, now.WallMS+2000)
		s.schedule(early, now.WallMS+1000)
		convey.So(s.NextDue(), convey.ShouldEqual, now.WallMS+1000)
		s.schedule(early, now.WallMS+3000)
		convey.So(s.NextDue(), convey.ShouldEqual, now.WallMS+2000)
		s.unschedule(late)
		convey.So(s.NextDue(), convey.ShouldEqual, now.WallMS+3000)
		s.unschedule(early)
		convey.So(s.NextDue(), convey.ShouldBeZeroValue)
	})
}
