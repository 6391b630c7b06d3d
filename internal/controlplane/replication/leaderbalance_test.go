package replication

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLeadersAreBalanced(t *testing.T) {
	Convey("At the first start each group gets a leader of its own, as far as members go", t, func() {
		for seed := range seeds(20) {
			s := newSimulation(seed, 3, defects{}, Timing{})
			s.start()
			So(s.until(3*time.Second, s.led), ShouldBeNil)
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
