package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestVotesAndLeasesSurviveRestart(t *testing.T) {
	Convey("A vote survives a restart", t, func() {
		holds := func(injected defects) bool {
			s, n := singleReplica(injected)
			So(n.requestVote("x", 7).Granted, ShouldBeTrue)
			n.restart()
			So(s.run(2*s.timing.FollowerLease), ShouldBeNil)
			return !n.requestVote("y", 7).Granted && n.requestVote("y", 8).Granted
		}
		So(holds(defects{}), ShouldBeTrue)
		So(holds(defects{forgetTerms: true}), ShouldBeFalse)
	})
	Convey("After a restart a replica votes for no other candidate until a lease granted before has expired", t, func() {
		holds := func(injected defects) bool {
			s, n := singleReplica(injected)
			So(n.append(false, 0, 1, 1).Outcome, ShouldEqual, accepted)
			n.restart()
			early := n.requestVote("y", 8).Granted
			So(s.run(s.timing.FollowerLease), ShouldBeNil)
			So(n.requestVote("y", 9).Granted, ShouldBeTrue)
			return !early
		}
		So(holds(defects{}), ShouldBeTrue)
		So(holds(defects{forgetLeasesOnRestart: true}), ShouldBeFalse)
	})
	Convey("A replica votes for no other candidate before the lease has expired", t, func() {
		s, n := singleReplica(defects{})
		So(n.append(false, 0, 1, 1).Outcome, ShouldEqual, accepted)
		So(s.run(s.timing.LeaderLease), ShouldBeNil)
		So(n.requestVote("y", 8).Granted, ShouldBeFalse)
		So(s.run(s.timing.FollowerLease-s.timing.LeaderLease), ShouldBeNil)
		So(n.requestVote("y", 9).Granted, ShouldBeTrue)
		So(n.append(false, 1, 2, 2).Outcome, ShouldEqual, staleTerm)
	})
	Convey("A delayed snapshot does not overwrite later batches", t, func() {
		holds := func(injected defects) bool {
			_, n := singleReplica(injected)
			So(n.append(true, 0, 3, 3).Outcome, ShouldEqual, accepted)
			So(n.append(false, 3, 4, 4).Outcome, ShouldEqual, accepted)
			answer := n.append(true, 0, 3, 3)
			return answer.Position == Position{7, 4} && n.disk.Table("group/jobs/a")["key"][0] == 4
		}
		So(holds(defects{}), ShouldBeTrue)
		So(holds(defects{acceptStaleSnapshots: true}), ShouldBeFalse)
	})
	Convey("A batch that does not start at the replica's position is rejected, and a duplicate batch has no effect", t, func() {
		_, n := singleReplica(defects{})
		So(n.append(true, 0, 3, 3).Outcome, ShouldEqual, accepted)
		So(n.append(false, 4, 5, 5).Outcome, ShouldEqual, positionMismatch)
		So(n.append(false, 3, 4, 4).Outcome, ShouldEqual, accepted)
		So(n.append(false, 3, 4, 9).Position, ShouldResemble, Position{7, 4})
		So(n.disk.Table("group/jobs/a")["key"], ShouldResemble, []byte{4})
	})
}
