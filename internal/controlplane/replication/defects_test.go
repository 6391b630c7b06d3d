package replication

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// maxSchedules bounds the search for a defect. Most are found by one of the first fifty storms.
const maxSchedules = 400

// Each defect that breaks the protocol is found by some storm; so the storms that find nothing mean something. Three
// defects that take a rare coincidence are brought about by TestVotesAndLeasesSurviveARestart instead.
func TestRandomFaultsFindDefects(t *testing.T) {
	cases := []struct {
		name      string
		wrong     defects
		timing    Timing
		exchanges bool // of members
	}{
		{"a minority commits", defects{forgeAnswers: true}, Timing{}, false},
		{"the lease outlasts the replicas' word", defects{}, Timing{LeaderLease: 3 * time.Second}, false},
		{"batches are accepted on any state", defects{acceptsMismatch: true}, Timing{}, false},
		{"a lost disk votes without a rebuild", defects{noRebuild: true}, Timing{}, false},
		{"rounds of an old view count", defects{ignoreViews: true}, Timing{}, true},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			for seed := range uint64(maxSchedules) {
				s := newSimulation(seed, 3, one.wrong, one.timing)
				s.exchanges = one.exchanges
				if err := s.randomFaults(faultSpan); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no storm found it")
		})
	}
}

// singleReplica is a simulation of which one machine runs, and that machine; the test plays the others.
func singleReplica(wrong defects) (*simulation, *simulatedNode) {
	s := newSimulation(1, 3, wrong, Timing{})
	n := s.nodes[s.view.Members[0]]
	n.start()
	So(s.run(time.Millisecond), ShouldBeNil)
	return s, n
}

// requestVote asks the machine for its vote and returns the answer.
func (n *simulatedNode) requestVote(candidate string, term uint64) (answer voteReply) {
	request := voteRequest{Group: "jobs/a", Term: term, Candidate: candidate, View: 1}
	n.step(func() { n.core.requestVote(request, func(reply voteReply) { answer = reply }) })
	So(n.simulation.run(50*time.Millisecond), ShouldBeNil)
	return answer
}

// append sends the machine a batch or a snapshot of the leader "x" under term 7, and returns the answer.
func (n *simulatedNode) append(snapshot bool, previous, sequence uint64, value byte) (answer appendReply) {
	request := appendRequest{
		Group: "jobs/a", Term: 7, Leader: "x", View: 1, Snapshot: snapshot,
		Position: Position{7, sequence}, Entries: []Entry{{"key", []byte{value}}},
	}
	if previous > 0 {
		request.Previous = Position{7, previous}
	}
	n.step(func() {
		n.corruptAppend(request)
		n.core.append(request, func(reply appendReply) { answer = reply })
	})
	So(n.simulation.run(50*time.Millisecond), ShouldBeNil)
	return answer
}

// restart kills the machine's process and starts it again at once.
func (n *simulatedNode) restart() {
	n.kill(false)
	n.start()
	So(n.simulation.run(time.Millisecond), ShouldBeNil)
}

func TestVotesAndLeasesSurviveARestart(t *testing.T) {
	Convey("A promise outlives a restart", t, func() {
		keeps := func(wrong defects) bool {
			s, n := singleReplica(wrong)
			So(n.requestVote("x", 7).Granted, ShouldBeTrue)
			n.restart()
			So(s.run(2*s.timing.FollowerLease), ShouldBeNil)
			return !n.requestVote("y", 7).Granted && n.requestVote("y", 8).Granted
		}
		So(keeps(defects{}), ShouldBeTrue)
		So(keeps(defects{forgetPromises: true}), ShouldBeFalse)
	})
	Convey("After a restart no vote is given to another until a forgotten lease has run out", t, func() {
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
		So(keeps(defects{forgetLeases: true}), ShouldBeFalse)
	})
	Convey("While a lease runs no vote is given to another, and then it is", t, func() {
		s, n := singleReplica(defects{})
		So(n.append(false, 0, 1, 1).Outcome, ShouldEqual, accepted)
		So(s.run(s.timing.LeaderLease), ShouldBeNil)
		So(n.requestVote("y", 8).Granted, ShouldBeFalse)
		So(s.run(s.timing.FollowerLease-s.timing.LeaderLease), ShouldBeNil)
		So(n.requestVote("y", 9).Granted, ShouldBeTrue)
		So(n.append(false, 1, 2, 2).Outcome, ShouldEqual, staleTerm)
	})
	Convey("A snapshot that comes late does not undo what came after it", t, func() {
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
	Convey("A batch that does not continue the replica's state is not taken, and a repeated one changes nothing", t, func() {
		_, n := singleReplica(defects{})
		So(n.append(true, 0, 3, 3).Outcome, ShouldEqual, accepted)
		So(n.append(false, 4, 5, 5).Outcome, ShouldEqual, positionMismatch)
		So(n.append(false, 3, 4, 4).Outcome, ShouldEqual, accepted)
		So(n.append(false, 3, 4, 9).Position, ShouldResemble, Position{7, 4})
		So(n.disk.Table("group/jobs/a")["key"], ShouldResemble, []byte{4})
	})
}
