package replication

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// clusterWithLeaders returns a simulation without faults in which all groups have leaders.
func clusterWithLeaders(seed uint64, members int) *simulation {
	s := newSimulation(seed, members, defects{}, Timing{})
	s.start()
	So(s.runUntil(3*time.Second, s.allGroupsLed), ShouldBeNil)
	So(s.allGroupsLed(), ShouldBeTrue)
	So(s.run(2*time.Second), ShouldBeNil)
	return s
}

// timeUntilAllLed runs the simulation until all groups have leaders, and returns the time that this took.
func (s *simulation) timeUntilAllLed() time.Duration {
	start := s.now
	So(s.runUntil(10*time.Second, s.allGroupsLed), ShouldBeNil)
	So(s.allGroupsLed(), ShouldBeTrue)
	return s.now - start
}

func TestFailoverCompletesWithinLimit(t *testing.T) {
	for _, members := range []int{3, 5} {
		Convey("Given a cluster without faults", t, func() {
			Convey("the first leaders are elected within two seconds after the start", func() {
				var longest time.Duration
				for seed := range seeds(25) {
					s := newSimulation(seed, members, defects{}, Timing{})
					s.start()
					longest = max(longest, s.timeUntilAllLed())
				}
				t.Logf("%d members, first leaders elected after at most %v", members, longest)
				So(longest, ShouldBeLessThan, 2*time.Second)
			})
			Convey("when a leader is killed, another is elected within three seconds", func() {
				var longest time.Duration
				for seed := range seeds(25) {
					s := clusterWithLeaders(seed, members)
					s.leader("jobs/a").kill(false)
					longest = max(longest, s.timeUntilAllLed())
				}
				t.Logf("%d members, leader killed: replaced after at most %v", members, longest)
				So(longest, ShouldBeLessThan, 3*time.Second)
			})
			Convey("when a leader is partitioned, its lease expires before another is elected", func() {
				for seed := range seeds(25) {
					s := clusterWithLeaders(seed, members)
					old := s.leader("jobs/a")
					s.isolate(old)
					So(s.runUntil(5*time.Second, func() bool { return !old.holdsLease("jobs/a") }), ShouldBeNil)
					So(s.timeUntilAllLed(), ShouldBeLessThan, 3*time.Second)
				}
			})
			Convey("when a leader resigns, another is elected without waiting for the lease", func() {
				var longest time.Duration
				for seed := range seeds(25) {
					s := clusterWithLeaders(seed, members)
					s.leader("jobs/a").terms["jobs/a"].Resign()
					longest = max(longest, s.timeUntilAllLed())
				}
				t.Logf("%d members, leader resigned: replaced after at most %v", members, longest)
				So(longest, ShouldBeLessThan, 1200*time.Millisecond)
			})
			Convey("when all nodes are killed at once, leaders are elected within three seconds after the last restart", func() {
				var longest time.Duration
				for seed := range seeds(25) {
					s := clusterWithLeaders(seed, members)
					for _, n := range s.nodes {
						n.kill(false)
					}
					for _, address := range s.view.Members {
						s.schedule(s.randomBetween(0, time.Second), s.nodes[address].start)
					}
					So(s.run(time.Second), ShouldBeNil)
					longest = max(longest, s.timeUntilAllLed())
				}
				t.Logf("%d members, all killed: leaders elected at most %v after the last restart", members, longest)
				So(longest, ShouldBeLessThan, 3*time.Second)
			})
		})
	}
}

// isolate partitions a node from all others.
func (s *simulation) isolate(n *simulatedNode) {
	for _, address := range s.view.Members {
		s.partitions[link{n.address, address}] = true
		s.partitions[link{address, n.address}] = true
	}
}

func TestRecoveredReplicaDoesNotDeposeLeader(t *testing.T) {
	Convey("Given a leader", t, func() {
		s := clusterWithLeaders(7, 3)
		leader := s.leader("jobs/a")
		term := leader.terms["jobs/a"].Number()
		expectSameLeader := func() {
			So(s.leader("jobs/a") == leader, ShouldBeTrue)
			So(leader.terms["jobs/a"].Number(), ShouldEqual, term)
		}
		other := s.nodes[s.view.Members[0]]
		if other == leader {
			other = s.nodes[s.view.Members[1]]
		}
		Convey("a restarted replica does not depose it", func() {
			other.kill(false)
			So(s.run(3*time.Second), ShouldBeNil)
			other.start()
			So(s.run(5*time.Second), ShouldBeNil)
			expectSameLeader()
		})
		Convey("a replica that is partitioned only from the leader does not depose it", func() {
			s.partitions[link{leader.address, other.address}] = true
			s.partitions[link{other.address, leader.address}] = true
			So(s.run(8*time.Second), ShouldBeNil)
			expectSameLeader()
			s.heal()
			So(s.run(5*time.Second), ShouldBeNil)
			expectSameLeader()
		})
		Convey("a replica that was frozen does not depose it", func() {
			other.frozenUntil = s.now + 4*time.Second
			So(s.run(8*time.Second), ShouldBeNil)
			expectSameLeader()
		})
		Convey("a replica with a slow disk neither deposes it nor delays its commits", func() {
			s.slowDisks[other.address] = 900 * time.Millisecond
			So(s.run(time.Second), ShouldBeNil)
			before := s.checker.commits
			So(s.run(5*time.Second), ShouldBeNil)
			expectSameLeader()
			So(s.checker.commits-before, ShouldBeGreaterThan, 150)
		})
	})
}

func TestLaggingReplicaCatchesUp(t *testing.T) {
	Convey("A replica that was down or has lost its disk catches up with the leader", t, func() {
		for _, loseDisk := range []bool{false, true} {
			s := clusterWithLeaders(3, 3)
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

func TestIsolatedNodeLosesQuorumContact(t *testing.T) {
	Convey("Given three nodes without faults", t, func() {
		s := clusterWithLeaders(5, 3)
		node := s.nodes[s.view.Members[0]]
		contact := func(n *simulatedNode) bool { return n.core.members.contactsQuorum(s.view, s.now) }
		Convey("each node is in contact with a majority and knows the same leaders", func() {
			for _, n := range s.nodes {
				So(contact(n), ShouldBeTrue)
				So(n.core.leaders.byGroup, ShouldResemble, node.core.leaders.byGroup)
				So(len(n.core.leaders.byGroup), ShouldEqual, 2)
			}
		})
		Convey("an isolated node loses contact within 1.25 s, and regains it after the partition", func() {
			s.isolate(node)
			So(s.run(1250*time.Millisecond), ShouldBeNil)
			So(contact(node), ShouldBeFalse)
			s.heal()
			So(s.run(time.Second), ShouldBeNil)
			So(contact(node), ShouldBeTrue)
		})
	})
}

func TestLateRepliesDoNotCountTowardsQuorum(t *testing.T) {
	Convey("Given a leader whose newest batch only one follower has acknowledged", t, func() {
		s := clusterWithLeaders(5, 3)
		s.proposing = false
		So(s.run(time.Second), ShouldBeNil)
		l := s.leader("jobs/a").core.group("jobs/a").leadership
		So(l.commitIndex, ShouldEqual, l.lastPosition.Index)
		l.commitIndex--
		for _, follower := range l.followers {
			follower.matchIndex = 0
		}
		for _, follower := range l.followers {
			follower.matchIndex, follower.matchSentAt = l.lastPosition.Index, l.core.now-l.core.timing.ReplyTimeout-time.Millisecond
			break
		}
		Convey("a reply to a request that was sent longer than ReplyTimeout ago does not count", func() {
			l.advanceCommitIndex()
			So(l.commitIndex, ShouldEqual, l.lastPosition.Index-1)
		})
		Convey("a reply to a later request counts", func() {
			for _, follower := range l.followers {
				follower.matchSentAt += 2 * time.Millisecond
			}
			l.advanceCommitIndex()
			So(l.commitIndex, ShouldEqual, l.lastPosition.Index)
		})
	})
	Convey("A campaign fails if the votes arrive after ReplyTimeout", t, func() {
		s := newSimulation(5, 3, defects{}, Timing{})
		n := s.nodes[s.view.Members[0]]
		n.start()
		g := n.core.group("jobs/a")
		g.startCampaign()
		c := g.campaign
		n.core.now += n.core.timing.ReplyTimeout + time.Millisecond
		c.countVote(s.view.Members[1], voteRequest{PreVote: true}, voteReply{Granted: true}, nil)
		So(c.ended, ShouldBeTrue)
		So(g.leadership == nil, ShouldBeTrue)
	})
}
