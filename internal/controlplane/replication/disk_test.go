package replication

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// errDiskFull is how a store rejects a write that it has not done.
var errDiskFull = rpcerror.WrapNotExecuted(errors.New("no room"), 0)

// diskFault makes one disk, or now and then all, full or stalled for some time.
func (s *simulation) diskFault() {
	addresses := []string{s.randomNode().address}
	if s.random.IntN(4) == 0 {
		addresses = s.view.Members
	}
	length, full := s.between(0, 5*time.Second), s.random.IntN(2) == 0
	for _, address := range addresses {
		if full {
			s.fullDisks[address] = true
			s.at(length, func() { delete(s.fullDisks, address) })
			continue
		}
		s.stalls[address] = s.now + length
	}
}

// otherThan returns a member other than a leader that does not lead the second group.
func (s *simulation) otherThan(leader *simulatedNode) *simulatedNode {
	for _, address := range s.view.Members {
		if n := s.nodes[address]; n != leader && !n.valid("jobs/b") {
			return n
		}
	}
	return nil
}

// shouldHoldSameState expects that two members hold the same state of a group; the simulation must be idle.
func shouldHoldSameState(one, other *simulatedNode, group string) {
	So(one.disk.Table(stateTable(group)), ShouldResemble, other.disk.Table(stateTable(group)))
	So(decodeMeta(one.disk.Table(metaTable(group))).position, ShouldResemble, decodeMeta(other.disk.Table(metaTable(group))).position)
}

// shouldCatchUp expects that a member holds what the leader does once nothing is proposed any more.
func (s *simulation) shouldCatchUp(n *simulatedNode) {
	s.proposing = false
	So(s.run(3*time.Second), ShouldBeNil)
	So(s.led(), ShouldBeTrue)
	shouldHoldSameState(n, s.leader("jobs/a"), "jobs/a")
}

func TestLeaderDiskFault(t *testing.T) {
	faults := map[string]func(*simulation, *simulatedNode){
		"is full":    func(s *simulation, n *simulatedNode) { s.fullDisks[n.address] = true },
		"is stalled": func(s *simulation, n *simulatedNode) { s.stalls[n.address] = s.now + time.Minute },
	}
	for name, begin := range faults {
		Convey("When the disk of a leader "+name+" another takes over, and the first stays a follower", t, func() {
			var worst time.Duration
			for seed := range seeds(25) {
				s := quietCluster(seed, 3)
				old := s.leader("jobs/a")
				begin(s, old)
				began := s.now
				replaced := func() bool { n := s.leader("jobs/a"); return n != nil && n != old && s.led() }
				So(s.until(10*time.Second, replaced), ShouldBeNil)
				So(replaced(), ShouldBeTrue)
				worst = max(worst, s.now-began)
				next, before := s.leader("jobs/a"), s.history.commits
				So(s.run(5*time.Second), ShouldBeNil)
				So(s.leader("jobs/a") == next, ShouldBeTrue)
				So(s.history.commits-before, ShouldBeGreaterThan, 100)
				s.heal()
				if name == "is full" {
					s.shouldCatchUp(old)
				}
			}
			t.Logf("the disk of a leader %s: another leads after at most %v", name, worst)
			So(worst, ShouldBeLessThan, 3*time.Second)
		})
	}
}

func TestALeaderWhoseDiskIsFullResigns(t *testing.T) {
	Convey("A leader whose disk rejects a write resigns, so that the others need not wait for its lease", t, func() {
		for seed := range seeds(25) {
			s := quietCluster(seed, 3)
			old := s.leader("jobs/a")
			s.fullDisks[old.address] = true
			So(s.until(time.Second, func() bool { return !old.valid("jobs/a") }), ShouldBeNil)
			vacant := func() bool { return s.otherThan(old).core.group("jobs/a").vacant }
			So(s.until(300*time.Millisecond, vacant), ShouldBeNil)
			So(vacant(), ShouldBeTrue)
		}
	})
}

func TestFollowerDiskFault(t *testing.T) {
	Convey("When the disk of a follower is full or stalled for a while the leaders stay, and it catches up", t, func() {
		const length = 5 * time.Second
		for seed := range seeds(25) {
			s := quietCluster(seed, 3)
			leader := s.leader("jobs/a")
			term := leader.terms["jobs/a"].Number()
			other := s.otherThan(leader)
			if seed%2 == 0 {
				s.fullDisks[other.address] = true
				s.at(length, func() { delete(s.fullDisks, other.address) })
			} else {
				s.stalls[other.address] = s.now + length
			}
			before := s.history.commits
			So(s.run(length), ShouldBeNil)
			So(s.history.commits-before, ShouldBeGreaterThan, 100)
			So(s.run(2*time.Second), ShouldBeNil)
			So(s.leader("jobs/a") == leader, ShouldBeTrue)
			So(leader.terms["jobs/a"].Number(), ShouldEqual, term)
			s.shouldCatchUp(other)
		}
	})
}

func TestAllDisksFull(t *testing.T) {
	Convey("When all disks were full leaders are back within three seconds of the end", t, func() {
		var worst time.Duration
		for seed := range seeds(25) {
			s := quietCluster(seed, 3)
			for _, address := range s.view.Members {
				s.fullDisks[address] = true
			}
			So(s.run(5*time.Second), ShouldBeNil)
			s.heal()
			worst = max(worst, s.timeToLead())
		}
		t.Logf("all disks were full: led again after at most %v", worst)
		So(worst, ShouldBeLessThan, 3*time.Second)
	})
}

func TestReplicaWhoseDiskRefusesWrites(t *testing.T) {
	Convey("Given a replica whose disk is full", t, func() {
		s, n := singleReplica(defects{})
		s.fullDisks[n.address] = true
		Convey("it denies a vote at once, and votes again a backoff after there is space", func() {
			So(n.requestVote("x", 7).Granted, ShouldBeFalse)
			So(n.disk, ShouldBeEmpty)
			delete(s.fullDisks, n.address)
			So(n.requestVote("x", 8).Granted, ShouldBeFalse)
			So(s.run(rejectionBackoff), ShouldBeNil)
			So(n.requestVote("x", 9).Granted, ShouldBeTrue)
			So(decodeMeta(n.disk.Table(metaTable("jobs/a"))).term, ShouldEqual, 9)
		})
		Convey("it follows no term below one that it was asked to vote in", func() {
			So(n.requestVote("x", 7).Granted, ShouldBeFalse)
			delete(s.fullDisks, n.address)
			So(s.run(rejectionBackoff), ShouldBeNil)
			So(n.appendFirst("jobs/a", 6).Outcome, ShouldEqual, staleTerm)
		})
		Convey("it rejects a batch at once, and accepts it a backoff after there is space", func() {
			So(n.appendFirst("jobs/a", 7).Outcome, ShouldEqual, unavailable)
			So(n.disk, ShouldBeEmpty)
			delete(s.fullDisks, n.address)
			So(n.sendHeartbeat("jobs/a", 7).Outcome, ShouldEqual, unavailable)
			So(s.run(rejectionBackoff), ShouldBeNil)
			retried := n.appendFirst("jobs/a", 7)
			So(retried.Outcome, ShouldEqual, accepted)
			So(retried.Position, ShouldResemble, Position{7, 1})
			So(n.disk.Table(stateTable("jobs/a")), ShouldResemble, map[string][]byte{"key": []byte("value")})
			So(n.sendHeartbeat("jobs/a", 7).Outcome, ShouldEqual, accepted)
		})
		Convey("it stores a new leader's term before it answers a heartbeat", func() {
			So(n.sendHeartbeat("jobs/a", 7).Outcome, ShouldEqual, unavailable)
			delete(s.fullDisks, n.address)
			So(s.run(rejectionBackoff), ShouldBeNil)
			So(n.sendHeartbeat("jobs/a", 7).Outcome, ShouldEqual, accepted)
			So(decodeMeta(n.disk.Table(metaTable("jobs/a"))).term, ShouldEqual, 7)
		})
		Convey("it votes no more once the store has failed for good", func() {
			n.core.fail(errors.New("broken"))
			delete(s.fullDisks, n.address)
			So(s.run(2*rejectionBackoff), ShouldBeNil)
			So(n.requestVote("x", 9).Granted, ShouldBeFalse)
		})
	})
}

func TestReplicaWhoseDiskIsStalled(t *testing.T) {
	Convey("Given a replica that follows a leader and whose disk stalls", t, func() {
		s, n := singleReplica(defects{})
		So(n.appendFirst("jobs/a", 7).Outcome, ShouldEqual, accepted)
		So(n.appendFirst("jobs/b", 7).Outcome, ShouldEqual, accepted)
		s.stalls[n.address] = s.now + 5*time.Second
		So(n.requestVote("x", 8) == nil, ShouldBeTrue)
		Convey("it answers heartbeats of the other group, and those of a stale term of this one", func() {
			So(n.sendHeartbeat("jobs/b", 7).Outcome, ShouldEqual, accepted)
			So(n.sendHeartbeat("jobs/a", 7).Outcome, ShouldEqual, staleTerm)
		})
		Convey("it rejects at once what would have to wait, when the write has hung for stallLimit", func() {
			So(s.run(stallLimit), ShouldBeNil)
			So(n.appendFirst("jobs/a", 8).Outcome, ShouldEqual, unavailable)
			So(n.requestVote("x", 9).Granted, ShouldBeFalse)
			So(n.sendHeartbeat("jobs/a", 8).Outcome, ShouldEqual, unavailable)
		})
		Convey("it goes on when the stall is over", func() {
			So(s.run(5*time.Second), ShouldBeNil)
			So(decodeMeta(n.disk.Table(metaTable("jobs/a"))).term, ShouldEqual, 8)
			So(n.sendHeartbeat("jobs/a", 8).Outcome, ShouldEqual, accepted)
		})
	})
}
