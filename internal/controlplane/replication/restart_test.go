package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestVotesAndLeasesSurviveRestart(t *testing.T) {
	Convey("A vote survives a restart", t, func() {
		holds := func(injected defects) bool {
			s, n := newSingleReplica(injected)
			So(n.sendVoteRequest("x", 7).Granted, ShouldBeTrue)
			n.restart()
			So(s.run(2*s.timing.FollowerLease), ShouldBeNil)
			return !n.sendVoteRequest("y", 7).Granted && n.sendVoteRequest("y", 8).Granted
		}
		So(holds(defects{}), ShouldBeTrue)
		So(holds(defects{forgetTerms: true}), ShouldBeFalse)
	})
	Convey("After a restart a replica votes for no other candidate until a lease granted before has expired", t, func() {
		holds := func(injected defects) bool {
			s, n := newSingleReplica(injected)
			So(n.sendBatchOrSnapshot(false, 0, 1, 1).Outcome, ShouldEqual, accepted)
			n.restart()
			early := n.sendVoteRequest("y", 8).Granted
			So(s.run(s.timing.FollowerLease), ShouldBeNil)
			So(n.sendVoteRequest("y", 9).Granted, ShouldBeTrue)
			return !early
		}
		So(holds(defects{}), ShouldBeTrue)
		So(holds(defects{forgetLeasesOnRestart: true}), ShouldBeFalse)
	})
	Convey("A replica votes for no other candidate before the lease has expired", t, func() {
		s, n := newSingleReplica(defects{})
		So(n.sendBatchOrSnapshot(false, 0, 1, 1).Outcome, ShouldEqual, accepted)
		So(s.run(s.timing.LeaderLease), ShouldBeNil)
		So(n.sendVoteRequest("y", 8).Granted, ShouldBeFalse)
		So(s.run(s.timing.FollowerLease-s.timing.LeaderLease), ShouldBeNil)
		So(n.sendVoteRequest("y", 9).Granted, ShouldBeTrue)
		So(n.sendBatchOrSnapshot(false, 1, 2, 2).Outcome, ShouldEqual, staleTerm)
	})
	Convey("A delayed snapshot does not overwrite later batches", t, func() {
		holds := func(injected defects) bool {
			_, n := newSingleReplica(injected)
			So(n.sendBatchOrSnapshot(true, 0, 3, 3).Outcome, ShouldEqual, accepted)
			So(n.sendBatchOrSnapshot(false, 3, 4, 4).Outcome, ShouldEqual, accepted)
			answer := n.sendBatchOrSnapshot(true, 0, 3, 3)
			return answer.Position == Position{7, 4} && n.disk.Table("group/jobs/a")["key"][0] == 4
		}
		So(holds(defects{}), ShouldBeTrue)
		So(holds(defects{acceptStaleSnapshots: true}), ShouldBeFalse)
	})
	Convey("A batch that does not start at the replica's position is rejected, and a duplicate batch has no effect", t, func() {
		_, n := newSingleReplica(defects{})
		So(n.sendBatchOrSnapshot(true, 0, 3, 3).Outcome, ShouldEqual, accepted)
		So(n.sendBatchOrSnapshot(false, 4, 5, 5).Outcome, ShouldEqual, positionMismatch)
		So(n.sendBatchOrSnapshot(false, 3, 4, 4).Outcome, ShouldEqual, accepted)
		So(n.sendBatchOrSnapshot(false, 3, 4, 9).Position, ShouldResemble, Position{7, 4})
		So(n.disk.Table("group/jobs/a")["key"], ShouldResemble, []byte{4})
	})
}
