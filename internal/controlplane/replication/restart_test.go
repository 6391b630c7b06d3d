package replication

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestVotesAndLeasesSurviveARestart(t *testing.T) {
	Convey("A vote survives a restart", t, func() {
		keeps := func(wrong defects) bool {
			s, n := singleReplica(wrong)
			So(n.requestVote("x", 7).Granted, ShouldBeTrue)
			n.restart()
			So(s.run(2*s.timing.FollowerLease), ShouldBeNil)
			return !n.requestVote("y", 7).Granted && n.requestVote("y", 8).Granted
		}
		So(keeps(defects{}), ShouldBeTrue)
		So(keeps(defects{forgetTerms: true}), ShouldBeFalse)
	})
	Convey("After a restart no vote is given to another until a lease from before it has expired", t, func() {
		keeps := func(wrong defects) bool {
			s, n := singleReplica(wrong)
			So(n.append(false, 0, 1, 1).Outcome, ShouldEqual, accepted)
			n.restart()
			early := n.requestVote("y", 8).Granted
			So(s.run(s.timing.FollowerLease), ShouldBeNil)
			So(n.requestVote("y", 9).Granted, ShouldBeTrue)
			return !early
		}
		So(keeps(defects{}), ShouldBeTrue)
		So(keeps(defects{forgetLeasesOnRestart: true}), ShouldBeFalse)
	})
	Convey("No vote is given to another before the lease has expired", t, func() {
		s, n := singleReplica(defects{})
		So(n.append(false, 0, 1, 1).Outcome, ShouldEqual, accepted)
		So(s.run(s.timing.LeaderLease), ShouldBeNil)
		So(n.requestVote("y", 8).Granted, ShouldBeFalse)
		So(s.run(s.timing.FollowerLease-s.timing.LeaderLease), ShouldBeNil)
		So(n.requestVote("y", 9).Granted, ShouldBeTrue)
		So(n.append(false, 1, 2, 2).Outcome, ShouldEqual, staleTerm)
	})
	Convey("A late snapshot does not undo the batches after it", t, func() {
		keeps := func(wrong defects) bool {
			_, n := singleReplica(wrong)
			So(n.append(true, 0, 3, 3).Outcome, ShouldEqual, accepted)
			So(n.append(false, 3, 4, 4).Outcome, ShouldEqual, accepted)
			answer := n.append(true, 0, 3, 3)
			return answer.Position == Position{7, 4} && n.disk.Table("group/jobs/a")["key"][0] == 4
		}
		So(keeps(defects{}), ShouldBeTrue)
		So(keeps(defects{acceptStale: true}), ShouldBeFalse)
	})
	Convey("A batch that does not continue the replica's state is rejected, and a duplicate one changes nothing", t, func() {
		_, n := singleReplica(defects{})
		So(n.append(true, 0, 3, 3).Outcome, ShouldEqual, accepted)
		So(n.append(false, 4, 5, 5).Outcome, ShouldEqual, positionMismatch)
		So(n.append(false, 3, 4, 4).Outcome, ShouldEqual, accepted)
		So(n.append(false, 3, 4, 9).Position, ShouldResemble, Position{7, 4})
		So(n.disk.Table("group/jobs/a")["key"], ShouldResemble, []byte{4})
	})
}
