package replication

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLeadersAreBalancedAcrossMembers(t *testing.T) {
	Convey("At the first start no member leads more than one of the two groups", t, func() {
		for seed := range seeds(20) {
			s := newSimulation(seed, 3, defects{}, Timing{})
			s.start()
			So(s.runUntil(3*time.Second, s.allGroupsLed), ShouldBeNil)
			So(s.run(time.Second), ShouldBeNil)
			leading := map[string]int{}
			for _, group := range []string{"jobs/a", "jobs/b"} {
				leading[s.leader(group).address]++
			}
			for _, count := range leading {
				So(count, ShouldBeLessThanOrEqualTo, 1)
			}
		}
	})
}
