package replication

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A proposal without entries confirms what its proposer has read. It is called back at once where no batch is under way, so
// the lease alone shows that no other leader has written in the meantime.
func TestNothingIsCommittedAfterTheLease(t *testing.T) {
	Convey("Given a leader that has just been elected and is partitioned from all others", t, func() {
		s := newSimulation(3, 3, defects{}, Timing{})
		s.proposing = false
		s.start()
		group := s.groups[0]
		So(s.until(10*time.Second, func() bool { return s.leader(group) != nil }), ShouldBeNil)
		leader := s.leader(group)
		So(leader, ShouldNotBeNil)
		term := leader.terms[group]
		s.isolate(leader)
		So(s.until(time.Second, func() bool { return !term.Valid() }), ShouldBeNil)

		Convey("it confirms nothing between the end of its lease and that of its term", func() {
			So(term.over(), ShouldBeFalse)
			confirmed := false
			term.Propose(nil, func() { confirmed = true })
			So(s.run(2*time.Second), ShouldBeNil)
			So(term.over(), ShouldBeTrue)
			So(confirmed, ShouldBeFalse)
		})
		Convey("it confirms once a majority answers again", func() {
			confirmed := false
			term.Propose(nil, func() { confirmed = true })
			clear(s.partitions)
			So(s.until(time.Second, func() bool { return confirmed }), ShouldBeNil)
			So(confirmed, ShouldBeTrue)
		})
	})
}
