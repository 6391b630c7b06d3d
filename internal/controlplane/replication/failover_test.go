package replication

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// quietCluster is a simulation that has its first leaders.
func quietCluster(seed uint64, members int) *simulation {
	s := newSimulation(seed, members, defects{}, Timing{})
	s.start()
	So(s.until(3*time.Second, s.led), ShouldBeNil)
	So(s.led(), ShouldBeTrue)
	So(s.run(2*time.Second), ShouldBeNil)
	return s
}

// timeToLead is how long it takes until all groups are led.
func (s *simulation) timeToLead() time.Duration {
	began := s.now
	So(s.until(10*time.Second, s.led), ShouldBeNil)
	So(s.led(), ShouldBeTrue)
	return s.now - began
}

func TestFailOver(t *testing.T) {
	for _, members := range []int{3, 5} {
		Convey("Given leaders in calm", t, func() {
			Convey("the first ones are there soon after the start", func() {
				var worst time.Duration
				for seed := range seeds(25) {
					s := newSimulation(seed, members, defects{}, Timing{})
					s.start()
					worst = max(worst, s.timeToLead())
				}
				t.Logf("%d members, first leaders: at most %v", members, worst)
				So(worst, ShouldBeLessThan, 2*time.Second)
			})
			Convey("when a leader is killed another follows within three seconds", func() {
				var worst time.Duration
				for seed := range seeds(25) {
					s := quietCluster(seed, members)
					s.leader("jobs/a").kill(false)
					worst = max(worst, s.timeToLead())
				}
				t.Logf("%d members, a leader killed: at most %v", members, worst)
				So(worst, ShouldBeLessThan, 3*time.Second)
			})
			Convey("when a leader is cut off another follows, and the old one is not valid by then", func() {
				for seed := range seeds(25) {
					s := quietCluster(seed, members)
					old := s.leader("jobs/a")
					s.isolate(old)
					So(s.until(5*time.Second, func() bool { return !old.valid("jobs/a") }), ShouldBeNil)
					So(s.timeToLead(), ShouldBeLessThan, 3*time.Second)
				}
			})
			Convey("when a leader resigns another follows without waiting for the lease", func() {
				var worst time.Duration
				for seed := range seeds(25) {
					s := quietCluster(seed, members)
					s.leader("jobs/a").terms["jobs/a"].Resign()
					worst = max(worst, s.timeToLead())
				}
				t.Logf("%d members, a leader resigns: at most %v", members, worst)
				So(worst, ShouldBeLessThan, 1200*time.Millisecond)
			})
			Convey("when all are killed at once leaders are back within three seconds of the return", func() {
				var worst time.Duration
				for seed := range seeds(25) {
					s := quietCluster(seed, members)
					for _, n := range s.nodes {
						n.kill(false)
					}
					for _, address := range s.view.Members {
						s.at(s.between(0, time.Second), s.nodes[address].start)
					}
					So(s.run(time.Second), ShouldBeNil)
					worst = max(worst, s.timeToLead())
				}
				t.Logf("%d members, all killed: at most %v after the last return", members, worst)
				So(worst, ShouldBeLessThan, 3*time.Second)
			})
		})
	}
}

// isolate cuts a node off from all others.
func (s *simulation) isolate(n *simulatedNode) {
	for _, address := range s.view.Members {
		s.partitions[link{n.address, address}] = true
		s.partitions[link{address, n.address}] = true
	}
}

func TestLeadershipIsSticky(t *testing.T) {
	Convey("Given a leader", t, func() {
		s := quietCluster(7, 3)
		leader := s.leader("jobs/a")
		term := leader.terms["jobs/a"].Number()
		stays := func() {
			So(s.leader("jobs/a") == leader, ShouldBeTrue)
			So(leader.terms["jobs/a"].Number(), ShouldEqual, term)
		}
		other := s.nodes[s.view.Members[0]]
		if other == leader {
			other = s.nodes[s.view.Members[1]]
		}
		Convey("a replica that comes back does not depose it", func() {
			other.kill(false)
			So(s.run(3*time.Second), ShouldBeNil)
			other.start()
			So(s.run(5*time.Second), ShouldBeNil)
			stays()
		})
		Convey("a replica that was cut off from it alone does not depose it", func() {
			s.partitions[link{leader.address, other.address}] = true
			s.partitions[link{other.address, leader.address}] = true
			So(s.run(8*time.Second), ShouldBeNil)
			stays()
			s.heal()
			So(s.run(5*time.Second), ShouldBeNil)
			stays()
		})
		Convey("a replica that was frozen does not depose it", func() {
			other.frozenUntil = s.now + 4*time.Second
			So(s.run(8*time.Second), ShouldBeNil)
			stays()
		})
		Convey("a slow disk of a replica does not depose it or hold it up", func() {
			s.slowDisks[other.address] = 900 * time.Millisecond
			So(s.run(time.Second), ShouldBeNil)
			before := s.history.commits
			So(s.run(5*time.Second), ShouldBeNil)
			stays()
			So(s.history.commits-before, ShouldBeGreaterThan, 150)
		})
	})
}

func TestLaggingReplicaCatchesUp(t *testing.T) {
	Convey("Given a replica that was away or has lost its disk", t, func() {
		for _, loseDisk := range []bool{false, true} {
			s := quietCluster(3, 3)
			leader := s.leader("jobs/a")
			other := s.nodes[s.view.Members[0]]
			if other == leader {
				other = s.nodes[s.view.Members[1]]
			}
			other.kill(loseDisk)
			So(s.run(2*time.Second), ShouldBeNil)
			other.start()
			So(s.run(5*time.Second), ShouldBeNil)
			s.proposing = false
			So(s.run(2*time.Second), ShouldBeNil)
			So(other.disk.Table("group/jobs/a"), ShouldResemble, leader.disk.Table("group/jobs/a"))
			So(decodeMeta(other.disk.Table("group-meta/jobs/a")), ShouldResemble, decodeMeta(leader.disk.Table("group-meta/jobs/a")))
		}
	})
}

func TestContactAndLeaders(t *testing.T) {
	Convey("Given three nodes in calm", t, func() {
		s := quietCluster(5, 3)
		one := s.nodes[s.view.Members[0]]
		contact := func(n *simulatedNode) bool { return n.core.members.contactsQuorum(s.view, s.now) }
		Convey("each is in contact and knows the same leaders", func() {
			for _, n := range s.nodes {
				So(contact(n), ShouldBeTrue)
				So(n.core.leaders.byGroup, ShouldResemble, one.core.leaders.byGroup)
				So(len(n.core.leaders.byGroup), ShouldEqual, 2)
			}
		})
		Convey("the one that is cut off is out of contact within a second and a quarter, and back after the cut", func() {
			s.isolate(one)
			So(s.run(1250*time.Millisecond), ShouldBeNil)
			So(contact(one), ShouldBeFalse)
			s.heal()
			So(s.run(time.Second), ShouldBeNil)
			So(contact(one), ShouldBeTrue)
		})
	})
}

func TestLateAcknowledgementsCommitNothing(t *testing.T) {
	Convey("Given a leader whose newest batch only one follower has answered", t, func() {
		s := quietCluster(5, 3)
		s.proposing = false
		So(s.run(time.Second), ShouldBeNil)
		l := s.leader("jobs/a").core.group("jobs/a").leading
		So(l.commitIndex, ShouldEqual, l.lastPosition.Index)
		l.commitIndex--
		for _, follower := range l.followers {
			follower.matchIndex = 0
		}
		for _, follower := range l.followers {
			follower.matchIndex, follower.matchSentAt = l.lastPosition.Index, l.core.now-l.core.timing.ReplyTimeout-time.Millisecond
			break
		}
		Convey("an answer to a request sent longer ago than a round lasts does not count", func() {
			l.advanceCommitIndex()
			So(l.commitIndex, ShouldEqual, l.lastPosition.Index-1)
		})
		Convey("one to a later request does", func() {
			for _, follower := range l.followers {
				follower.matchSentAt += 2 * time.Millisecond
			}
			l.advanceCommitIndex()
			So(l.commitIndex, ShouldEqual, l.lastPosition.Index)
		})
	})
	Convey("A campaign fails when the votes come later than a round lasts", t, func() {
		s := newSimulation(5, 3, defects{}, Timing{})
		n := s.nodes[s.view.Members[0]]
		n.start()
		g := n.core.group("jobs/a")
		g.startCampaign()
		c := g.campaigning
		n.core.now += n.core.timing.ReplyTimeout + time.Millisecond
		c.countVote(s.view.Members[1], voteRequest{PreVote: true}, voteReply{Granted: true}, nil)
		So(c.ended, ShouldBeTrue)
		So(g.leading == nil, ShouldBeTrue)
	})
}
