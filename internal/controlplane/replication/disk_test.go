package replication

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// errDiskFull is the error of a store that has rejected a write without executing it.
var errDiskFull = rpcerror.WrapNotExecuted(errors.New("disk full"), 0)

// injectDiskFault makes one disk, or in a quarter of the cases all disks, full or stalled for some time.
func (s *simulation) injectDiskFault() {
	affected := []string{s.randomNode().address}
	if s.random.IntN(4) == 0 {
		affected = s.view.Members
	}
	duration, full := s.randomBetween(0, 5*time.Second), s.random.IntN(2) == 0
	for _, address := range affected {
		if full {
			s.fullDisks[address] = true
			s.schedule(duration, func() { delete(s.fullDisks, address) })
			continue
		}
		s.stalledUntil[address] = s.now + duration
	}
}

// memberOtherThan returns a member that is not the given leader and does not lead "jobs/b" either.
func (s *simulation) memberOtherThan(leader *simulatedNode) *simulatedNode {
	for _, address := range s.view.Members {
		if n := s.nodes[address]; n != leader && !n.holdsLease("jobs/b") {
			return n
		}
	}
	return nil
}

// expectSameState checks that two members store the same state of a group. No writes may be in progress.
func expectSameState(one, other *simulatedNode, group string) {
	So(one.disk.Table(stateTable(group)), ShouldResemble, other.disk.Table(stateTable(group)))
	So(decodeMeta(one.disk.Table(metaTable(group))).position, ShouldResemble, decodeMeta(other.disk.Table(metaTable(group))).position)
}

// expectCatchUp stops all proposals and checks that a member then reaches the state of the leader of "jobs/a".
func (s *simulation) expectCatchUp(n *simulatedNode) {
	s.proposing = false
	So(s.run(3*time.Second), ShouldBeNil)
	So(s.allGroupsLed(), ShouldBeTrue)
	expectSameState(n, s.leader("jobs/a"), "jobs/a")
}

func TestLeaderWithDiskFaultIsReplaced(t *testing.T) {
	faults := map[string]func(*simulation, *simulatedNode){
		"is full":    func(s *simulation, n *simulatedNode) { s.fullDisks[n.address] = true },
		"is stalled": func(s *simulation, n *simulatedNode) { s.stalledUntil[n.address] = s.now + time.Minute },
	}
	for name, inject := range faults {
		Convey("When the disk of a leader "+name+", another leader is elected and keeps the lead", t, func() {
			var longest time.Duration
			for seed := range seeds(25) {
				s := clusterWithLeaders(seed, 3)
				old := s.leader("jobs/a")
				inject(s, old)
				start := s.now
				replaced := func() bool { n := s.leader("jobs/a"); return n != nil && n != old && s.allGroupsLed() }
				So(s.runUntil(10*time.Second, replaced), ShouldBeNil)
				So(replaced(), ShouldBeTrue)
				longest = max(longest, s.now-start)
				next, before := s.leader("jobs/a"), s.checker.commits
				So(s.run(5*time.Second), ShouldBeNil)
				So(s.leader("jobs/a") == next, ShouldBeTrue)
				So(s.checker.commits-before, ShouldBeGreaterThan, 100)
				s.heal()
				if name == "is full" {
					s.expectCatchUp(old)
				}
			}
			t.Logf("disk of the leader %s: replaced after at most %v", name, longest)
			So(longest, ShouldBeLessThan, 3*time.Second)
		})
	}
}

func TestLeaderWithFullDiskResigns(t *testing.T) {
	Convey("A leader whose disk rejects a write resigns, so the others do not wait for its lease to expire", t, func() {
		for seed := range seeds(25) {
			s := clusterWithLeaders(seed, 3)
			old := s.leader("jobs/a")
			s.fullDisks[old.address] = true
			So(s.runUntil(time.Second, func() bool { return !old.holdsLease("jobs/a") }), ShouldBeNil)
			leaderless := func() bool { return s.memberOtherThan(old).core.group("jobs/a").leaderless }
			So(s.runUntil(300*time.Millisecond, leaderless), ShouldBeNil)
			So(leaderless(), ShouldBeTrue)
		}
	})
}

func TestFollowerDiskFaultDoesNotDeposeLeader(t *testing.T) {
	Convey("When the disk of a follower is full or stalled, the leader keeps its term and the follower catches up afterwards", t, func() {
		const diskFaultDuration = 5 * time.Second
		for seed := range seeds(25) {
			s := clusterWithLeaders(seed, 3)
			leader := s.leader("jobs/a")
			term := leader.terms["jobs/a"].Number()
			other := s.memberOtherThan(leader)
			if seed%2 == 0 {
				s.fullDisks[other.address] = true
				s.schedule(diskFaultDuration, func() { delete(s.fullDisks, other.address) })
			} else {
				s.stalledUntil[other.address] = s.now + diskFaultDuration
			}
			before := s.checker.commits
			So(s.run(diskFaultDuration), ShouldBeNil)
			So(s.checker.commits-before, ShouldBeGreaterThan, 100)
			So(s.run(2*time.Second), ShouldBeNil)
			So(s.leader("jobs/a") == leader, ShouldBeTrue)
			So(leader.terms["jobs/a"].Number(), ShouldEqual, term)
			s.expectCatchUp(other)
		}
	})
}

func TestLeadersReturnAfterAllDisksWereFull(t *testing.T) {
	Convey("When all disks were full, leaders are elected within three seconds after space is available again", t, func() {
		var longest time.Duration
		for seed := range seeds(25) {
			s := clusterWithLeaders(seed, 3)
			for _, address := range s.view.Members {
				s.fullDisks[address] = true
			}
			So(s.run(5*time.Second), ShouldBeNil)
			s.heal()
			longest = max(longest, s.timeUntilAllLed())
		}
		t.Logf("all disks were full: leaders elected after at most %v", longest)
		So(longest, ShouldBeLessThan, 3*time.Second)
	})
}

func TestReplicaWithFullDiskRejectsVotesAndBatches(t *testing.T) {
	Convey("Given a replica whose disk is full", t, func() {
		s, n := newSingleReplica(defects{})
		s.fullDisks[n.address] = true
		Convey("it denies a vote at once, and votes again after rejectionBackoff once there is space", func() {
			So(n.sendVoteRequest("x", 7).Granted, ShouldBeFalse)
			So(n.disk, ShouldBeEmpty)
			delete(s.fullDisks, n.address)
			So(n.sendVoteRequest("x", 8).Granted, ShouldBeFalse)
			So(s.run(rejectionBackoff), ShouldBeNil)
			So(n.sendVoteRequest("x", 9).Granted, ShouldBeTrue)
			So(decodeMeta(n.disk.Table(metaTable("jobs/a"))).term, ShouldEqual, 9)
		})
		Convey("it rejects a leader of a lower term than that of a denied vote request", func() {
			So(n.sendVoteRequest("x", 7).Granted, ShouldBeFalse)
			delete(s.fullDisks, n.address)
			So(s.run(rejectionBackoff), ShouldBeNil)
			So(n.sendFirstBatch("jobs/a", 6).Outcome, ShouldEqual, staleTerm)
		})
		Convey("it rejects a batch at once, and accepts it after rejectionBackoff once there is space", func() {
			So(n.sendFirstBatch("jobs/a", 7).Outcome, ShouldEqual, unavailable)
			So(n.disk, ShouldBeEmpty)
			delete(s.fullDisks, n.address)
			So(n.sendHeartbeat("jobs/a", 7).Outcome, ShouldEqual, unavailable)
			So(s.run(rejectionBackoff), ShouldBeNil)
			retried := n.sendFirstBatch("jobs/a", 7)
			So(retried.Outcome, ShouldEqual, accepted)
			So(retried.Position, ShouldResemble, Position{7, 1})
			So(n.disk.Table(stateTable("jobs/a")), ShouldResemble, map[string][]byte{"key": []byte("value")})
			So(n.sendHeartbeat("jobs/a", 7).Outcome, ShouldEqual, accepted)
		})
		Convey("it syncs the term of a new leader before it accepts a heartbeat", func() {
			So(n.sendHeartbeat("jobs/a", 7).Outcome, ShouldEqual, unavailable)
			delete(s.fullDisks, n.address)
			So(s.run(rejectionBackoff), ShouldBeNil)
			So(n.sendHeartbeat("jobs/a", 7).Outcome, ShouldEqual, accepted)
			So(decodeMeta(n.disk.Table(metaTable("jobs/a"))).term, ShouldEqual, 7)
		})
		Convey("it grants no votes after a permanent failure of the store", func() {
			n.core.fail(errors.New("store failed"))
			delete(s.fullDisks, n.address)
			So(s.run(2*rejectionBackoff), ShouldBeNil)
			So(n.sendVoteRequest("x", 9).Granted, ShouldBeFalse)
		})
	})
}

func TestReplicaWithStalledDiskRejectsRequestsThatNeedIt(t *testing.T) {
	Convey("Given a replica that follows a leader and whose disk stalls", t, func() {
		s, n := newSingleReplica(defects{})
		So(n.sendFirstBatch("jobs/a", 7).Outcome, ShouldEqual, accepted)
		So(n.sendFirstBatch("jobs/b", 7).Outcome, ShouldEqual, accepted)
		s.stalledUntil[n.address] = s.now + 5*time.Second
		So(n.sendVoteRequest("x", 8) == nil, ShouldBeTrue)
		Convey("it answers heartbeats of the other group, and rejects those of a stale term of this group", func() {
			So(n.sendHeartbeat("jobs/b", 7).Outcome, ShouldEqual, accepted)
			So(n.sendHeartbeat("jobs/a", 7).Outcome, ShouldEqual, staleTerm)
		})
		Convey("it rejects requests that need the disk at once, when a write has been in progress for stallLimit", func() {
			So(s.run(stallLimit), ShouldBeNil)
			So(n.sendFirstBatch("jobs/a", 8).Outcome, ShouldEqual, unavailable)
			So(n.sendVoteRequest("x", 9).Granted, ShouldBeFalse)
			So(n.sendHeartbeat("jobs/a", 8).Outcome, ShouldEqual, unavailable)
		})
		Convey("it continues when the stall is over", func() {
			So(s.run(5*time.Second), ShouldBeNil)
			So(decodeMeta(n.disk.Table(metaTable("jobs/a"))).term, ShouldEqual, 8)
			So(n.sendHeartbeat("jobs/a", 8).Outcome, ShouldEqual, accepted)
		})
	})
}
