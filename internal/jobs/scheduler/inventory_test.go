package scheduler

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

func TestInventoryPageAddsWorkersAndRemovesNone(t *testing.T) {
	convey.Convey("Given a worker list that is read page by page", t, func() {
		now := Now{Monotonic: time.Unix(1_700_000_000, 0), WallMS: 1_700_000_000_000}
		s, err := New(Settings{MaxLease: 6 * time.Second}, now, nil)
		convey.So(err, convey.ShouldBeNil)
		first, second := []workerclient.Instance{{ID: "i-1"}}, []workerclient.Instance{{ID: "i-2"}}
		s.AddInventoryPage(now, first)
		convey.Convey("the workers of each page are known at once, and no page removes the workers of other pages", func() {
			convey.So(s.KnowsWorker("i-1"), convey.ShouldBeTrue)
			for range maxMissedInventories + 1 {
				s.AddInventoryPage(now, second)
			}
			convey.So(s.KnowsWorker("i-1"), convey.ShouldBeTrue)
			convey.So(s.KnowsWorker("i-2"), convey.ShouldBeTrue)
		})
		convey.Convey("consecutive complete lists without a worker remove it", func() {
			for range maxMissedInventories {
				s.SetInventory(now, second)
			}
			convey.So(s.KnowsWorker("i-1"), convey.ShouldBeFalse)
		})
	})
}
