package replication

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEmptyProposalIsNotConfirmedAfterLeaseExpiry guards against stale reads. A proposal without entries confirms an earlier read
// of its proposer. If no batch is in progress, it needs no messages, and only a valid lease ensures that no other leader has
// written in the meantime.
func TestEmptyProposalIsNotConfirmedAfterLeaseExpiry(t *testing.T) {
	Convey("Given a newly elected leader that is partitioned from all others", t, func() {
		s := newSimulation(3, 3, defects{}, Timing{})
		s.proposing = false
		s.start()
		group := s.groups[0]
		So(s.runUntil(10*time.Second, func() bool { return s.leader(group) != nil }), ShouldBeNil)
		leader := s.leader(group)
		So(leader, ShouldNotBeNil)
		term := leader.terms[group]
		s.isolate(leader)
		So(s.runUntil(time.Second, func() bool { return !term.Valid() }), ShouldBeNil)

		Convey("it confirms nothing between the end of its lease and the end of its term", func() {
			So(term.hasEnded(), ShouldBeFalse)
			confirmed := false
			term.Propose(nil, func() { confirmed = true })
			So(s.run(2*time.Second), ShouldBeNil)
			So(term.hasEnded(), ShouldBeTrue)
			So(confirmed, ShouldBeFalse)
		})
		Convey("it confirms the proposal once a majority replies again", func() {
			confirmed := false
			term.Propose(nil, func() { confirmed = true })
			clear(s.partitions)
			So(s.runUntil(time.Second, func() bool { return confirmed }), ShouldBeNil)
			So(confirmed, ShouldBeTrue)
		})
	})
}
