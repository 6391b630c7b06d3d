package replication

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSnapshotIsInstalledOnlyWhenComplete(t *testing.T) {
	expectState := func(n *simulatedNode, term, index byte, chunks int) {
		state := map[string][]byte{}
		for number := range chunks {
			state[fmt.Sprintf("key %d", number)] = []byte{term, index}
		}
		So(n.disk.Table("group/jobs/a"), ShouldResemble, state)
	}
	Convey("Given a replica without a state", t, func() {
		s, n := newSingleReplica(defects{})
		Convey("the state changes only with the last chunk", func() {
			n.expectMissingChunk(n.sendSnapshotChunk(7, 3, 0, 3), 1)
			n.expectMissingChunk(n.sendSnapshotChunk(7, 3, 1, 3), 2)
			reply := n.sendSnapshotChunk(7, 3, 2, 3)
			So(reply.Outcome, ShouldEqual, accepted)
			So(reply.Position, ShouldResemble, Position{7, 3})
			expectState(n, 7, 3, 3)
		})
		Convey("a duplicate chunk changes nothing", func() {
			n.sendSnapshotChunk(7, 3, 0, 3)
			n.expectMissingChunk(n.sendSnapshotChunk(7, 3, 0, 3), 1)
			n.expectMissingChunk(n.sendSnapshotChunk(7, 3, 1, 3), 2)
			n.expectMissingChunk(n.sendSnapshotChunk(7, 3, 1, 3), 2)
			n.sendSnapshotChunk(7, 3, 2, 3)
			expectState(n, 7, 3, 3)
		})
		Convey("if a chunk is lost, the reply to the next one names the lost chunk", func() {
			n.sendSnapshotChunk(7, 3, 0, 3)
			n.expectMissingChunk(n.sendSnapshotChunk(7, 3, 2, 3), 1)
			n.sendSnapshotChunk(7, 3, 1, 3)
			n.sendSnapshotChunk(7, 3, 2, 3)
			expectState(n, 7, 3, 3)
		})
		Convey("a later chunk is not kept without the first one", func() {
			n.expectMissingChunk(n.sendSnapshotChunk(7, 3, 2, 3), 0)
			n.expectMissingChunk(n.sendSnapshotChunk(7, 3, 1, 3), 0)
		})
		Convey("the chunks of a newer snapshot replace those of an older one, and are not mixed with them", func() {
			n.sendSnapshotChunk(7, 3, 0, 2)
			n.expectMissingChunk(n.sendSnapshotChunk(7, 5, 0, 2), 1)
			n.expectMissingChunk(n.sendSnapshotChunk(7, 3, 1, 2), 0)
			n.expectMissingChunk(n.sendSnapshotChunk(7, 3, 0, 2), 0)
			n.sendSnapshotChunk(7, 5, 1, 2)
			expectState(n, 7, 5, 2)
		})
		Convey("the chunks of a stale leader are rejected, and its earlier ones are dropped", func() {
			n.sendSnapshotChunk(7, 3, 0, 2)
			n.expectMissingChunk(n.sendSnapshotChunk(8, 1, 0, 2), 1)
			So(n.sendSnapshotChunk(7, 3, 1, 2).Outcome, ShouldEqual, staleTerm)
			n.sendSnapshotChunk(8, 1, 1, 2)
			expectState(n, 8, 1, 2)
		})
		Convey("a vote for another candidate between two chunks discards the snapshot", func() {
			n.sendSnapshotChunk(7, 3, 0, 2)
			So(s.run(2*s.timing.FollowerLease), ShouldBeNil)
			So(n.sendVoteRequest("y", 8).Granted, ShouldBeTrue)
			So(n.sendSnapshotChunk(7, 3, 1, 2).Outcome, ShouldEqual, staleTerm)
			So(n.core.group("jobs/a").replica.assembly == nil, ShouldBeTrue)
		})
		Convey("after a restart the replica asks for the first chunk", func() {
			n.sendSnapshotChunk(7, 3, 0, 2)
			n.restart()
			n.expectMissingChunk(n.sendSnapshotChunk(7, 3, 1, 2), 0)
			n.sendSnapshotChunk(7, 3, 0, 2)
			n.sendSnapshotChunk(7, 3, 1, 2)
			expectState(n, 7, 3, 2)
		})
		Convey("the term of the first chunk is durable before the reply", func() {
			n.sendSnapshotChunk(7, 3, 0, 2)
			n.restart()
			So(s.run(2*s.timing.FollowerLease), ShouldBeNil)
			So(n.sendVoteRequest("y", 7).Granted, ShouldBeFalse)
		})
	})
}

func TestMergedBatchesFitIntoOneMessage(t *testing.T) {
	Convey("Given more batches than fit into one message", t, func() {
		h := history{limits: smallLimits}
		h.catchingUp = true
		for sequence := range uint64(10) {
			h.add(newBatch(Position{1, sequence}, Position{1, sequence + 1}, map[string][]byte{fmt.Sprint(sequence): {1}}))
		}
		Convey("a replica receives them in several messages", func() {
			position, messages := Position{1, 0}, 0
			for position != (Position{1, 10}) {
				next, found := h.after(position)
				So(found, ShouldBeTrue)
				So(next.bytes, ShouldBeLessThanOrEqualTo, smallLimits.ChunkBytes)
				position, messages = next.position, messages+1
			}
			So(messages, ShouldBeGreaterThan, 1)
		})
		Convey("more batches are retained during the transfer of a snapshot than after it", func() {
			h.catchingUp = false
			h.add(newBatch(Position{1, 10}, Position{1, 11}, nil))
			So(len(h.batches), ShouldEqual, smallLimits.RetainedBatches)
		})
	})
}

// killFollower kills a follower of the leader of "jobs/a", and runs the simulation for 2 s so that the follower lags behind.
func killFollower(s *simulation) (leader, follower *simulatedNode) {
	leader = s.leader("jobs/a")
	for _, address := range s.view.Members {
		if s.nodes[address] != leader {
			follower = s.nodes[address]
			break
		}
	}
	follower.kill(false)
	So(s.run(2*time.Second), ShouldBeNil)
	return leader, follower
}

// newSimulationWithLeaders starts a simulation without faults, and runs it until all groups have a leader and for 2 s after that.
func newSimulationWithLeaders(seed uint64, limits Limits, groups ...string) *simulation {
	s := newSimulation(seed, 3, defects{}, Timing{})
	s.limits, s.groups = limits, groups
	s.checker = newChecker(s)
	s.start()
	So(s.runUntil(6*time.Second, s.allGroupsLed), ShouldBeNil)
	So(s.allGroupsLed(), ShouldBeTrue)
	So(s.run(2*time.Second), ShouldBeNil)
	return s
}

func TestFollowerCatchesUpWithBusyLeader(t *testing.T) {
	// The seed determines which batches are sent during the transfer of the snapshot, so the test runs several seeds.
	for seed := range uint64(10) {
		Convey(fmt.Sprintf("A follower with a slow link receives the batches after its snapshot, and no second snapshot: seed %d", seed), t, func() {
			s := newSimulationWithLeaders(seed, smallLimits, "jobs/a")
			_, follower := killFollower(s)
			s.slowLinks = map[string]time.Duration{follower.address: 60 * time.Millisecond}
			follower.start()
			delete(s.traffic.snapshots, follower.address)
			So(s.run(500*time.Millisecond), ShouldBeNil)
			So(len(s.laggingMembers("jobs/a")), ShouldEqual, 1)
			s.slowLinks = nil
			So(s.runUntil(catchUpLimit, func() bool { return len(s.laggingMembers("jobs/a")) == 0 }), ShouldBeNil)
			So(s.laggingMembers("jobs/a"), ShouldBeEmpty)
			So(s.traffic.countSnapshots(follower.address), ShouldEqual, 1)
		})
	}
	Convey("A leader with a slower disk than its followers still sends a snapshot", t, func() {
		s := newSimulationWithLeaders(4, smallLimits, "jobs/a")
		s.proposeOften = true
		leader, follower := killFollower(s)
		s.slowDisks[leader.address] = 300 * time.Millisecond
		So(s.run(time.Second), ShouldBeNil)
		follower.start()
		So(s.runUntil(catchUpLimit, func() bool { return len(s.laggingMembers("jobs/a")) == 0 }), ShouldBeNil)
		So(s.laggingMembers("jobs/a"), ShouldBeEmpty)
	})
	Convey("A follower of many groups receives their states one after the other, without waiting for a heartbeat in between", t, func() {
		var groups []string
		for i := range 60 {
			groups = append(groups, fmt.Sprintf("jobs/%d", i))
		}
		groups = append(groups, "jobs/a")
		singleChunkLimits := smallLimits
		singleChunkLimits.ChunkBytes = 4000
		s := newSimulationWithLeaders(4, singleChunkLimits, groups...)
		_, follower := killFollower(s)
		s.proposing = false
		follower.start()
		countLagging := func() (count int) {
			for _, group := range groups {
				count += len(s.laggingMembers(group))
			}
			return count
		}
		So(s.run(catchUpLimit), ShouldBeNil)
		So(countLagging(), ShouldEqual, 0)
	})
	Convey("A leader that needs long to split a snapshot into chunks keeps its term meanwhile, and sends only one snapshot", t, func() {
		s := newSimulationWithLeaders(4, smallLimits, "jobs/a")
		leader, follower := killFollower(s)
		term := leader.core.group("jobs/a").leadership.termNumber
		delete(s.traffic.snapshots, follower.address)
		leader.core.spawn = func(work func()) { leader.runLater(3*time.Second, work) }
		follower.start()
		So(s.run(2500*time.Millisecond), ShouldBeNil)
		So(s.traffic.snapshots[follower.address], ShouldBeEmpty) // the snapshot is still being split, outside the steps of the core
		So(s.runUntil(catchUpLimit, func() bool { return len(s.laggingMembers("jobs/a")) == 0 }), ShouldBeNil)
		So(s.laggingMembers("jobs/a"), ShouldBeEmpty)
		So(s.traffic.countSnapshots(follower.address), ShouldEqual, 1)
		So(s.leader("jobs/a") == leader, ShouldBeTrue)
		So(leader.core.group("jobs/a").leadership.termNumber, ShouldEqual, term)
	})
	Convey("A follower that does not reply does not delay the snapshot of another follower", t, func() {
		s := newSimulationWithLeaders(4, smallLimits, "jobs/a")
		leader := s.leader("jobs/a")
		var others []*simulatedNode
		for _, address := range s.view.Members {
			if n := s.nodes[address]; n != leader {
				others = append(others, n)
			}
		}
		l := leader.core.group("jobs/a").leadership
		l.core.receivingSnapshot[others[0].address] = true // a transfer to this follower is in progress and gets no reply
		others[1].kill(false)
		So(s.run(time.Second), ShouldBeNil)
		others[1].start()
		So(s.run(2*time.Second), ShouldBeNil)
		leaderPosition := leader.core.group("jobs/a").replica.position
		followerPosition := others[1].core.group("jobs/a").replica.position
		So(followerPosition.Term, ShouldEqual, leaderPosition.Term)
		So(followerPosition.Index+10, ShouldBeGreaterThan, leaderPosition.Index)
	})
}

// The leader fails. A member with an old state campaigns, and the member with the newest state does not.
func TestCandidateFetchesNewestState(t *testing.T) {
	Convey("The candidate fetches the newest state in chunks before it leads", t, func() {
		for seed := range uint64(10) {
			s := newSimulationWithLeaders(seed, smallLimits, "jobs/a")
			leader, staleMember := killFollower(s)
			var newestMember *simulatedNode
			for _, address := range s.view.Members {
				if n := s.nodes[address]; n != leader && n != staleMember {
					newestMember = n
				}
			}
			leader.kill(false)
			committed := s.checker.committed["jobs/a"]
			staleMember.start()
			staleMemberLeads := func() bool {
				newestMember.core.group("jobs/a").campaignNotBefore = s.now + time.Minute // keeps this member from campaigning
				return s.allGroupsLed()
			}
			So(s.runUntil(6*time.Second, staleMemberLeads), ShouldBeNil)
			So(s.leader("jobs/a") == staleMember, ShouldBeTrue)
			So(s.traffic.fetchedChunks, ShouldBeGreaterThan, 1)
			So(decodeVersion(staleMember.disk.Table("group/jobs/a")[versionKey]).before(committed), ShouldBeFalse)
			So(s.run(time.Second), ShouldBeNil)
		}
	})
	Convey("A fetched state replaces only an older one", t, func() {
		s, n := newSingleReplica(defects{})
		So(n.sendBatchOrSnapshot(true, 0, 3, 3).Outcome, ShouldEqual, accepted)
		So(s.run(time.Second), ShouldBeNil)
		stateAfterFetch := func(position Position) byte {
			n.step(func() {
				g := n.core.group("jobs/a")
				g.startFetch("x", position)
				g.fetch.receiveChunk(snapshotReply{Chunks: 1, Entries: []Entry{{"key", []byte{99}}}}, nil)
			})
			So(s.run(50*time.Millisecond), ShouldBeNil)
			return n.disk.Table("group/jobs/a")["key"][0]
		}
		So(stateAfterFetch(Position{7, 2}), ShouldEqual, 3)
		So(stateAfterFetch(Position{7, 3}), ShouldEqual, 3)
		So(stateAfterFetch(Position{8, 1}), ShouldEqual, 99)
		So(decodeMeta(n.disk.Table("group-meta/jobs/a")).term, ShouldEqual, 8)
	})
	Convey("A member serves its state only if it is at the requested position", t, func() {
		_, n := newSingleReplica(defects{})
		So(n.sendBatchOrSnapshot(true, 0, 3, 3).Outcome, ShouldEqual, accepted)
		serve := func(position Position, chunk uint32) (result snapshotReply) {
			request := snapshotRequest{Group: "jobs/a", View: 1, Position: position, Chunk: chunk}
			n.step(func() { n.core.serveSnapshot(request, func(reply snapshotReply) { result = reply }) })
			return result
		}
		So(serve(Position{7, 3}, 0), ShouldResemble, snapshotReply{Chunks: 1, Entries: []Entry{{"key", []byte{3}}}})
		So(serve(Position{7, 3}, 1).Chunks, ShouldEqual, 0)
		So(serve(Position{7, 2}, 0).Chunks, ShouldEqual, 0)
		So(n.sendBatchOrSnapshot(false, 3, 4, 4).Outcome, ShouldEqual, accepted)
		So(serve(Position{7, 3}, 0).Chunks, ShouldEqual, 0)
	})
	Convey("A candidate that receives no chunks ends the fetch and backs off", t, func() {
		s, n := newSingleReplica(defects{})
		g := n.core.group("jobs/a")
		n.step(func() { g.startFetch("x", Position{5, 9}) })
		n.step(func() { g.fetch.receiveChunk(snapshotReply{}, nil) })
		So(g.fetch == nil, ShouldBeTrue)
		So(g.campaignNotBefore, ShouldBeGreaterThan, s.now)
	})
}

func TestCandidateWithoutNewestStateDoesNotLead(t *testing.T) {
	Convey("A candidate does not lead if the newest state was omitted from the vote", t, func() {
		s, n := newSingleReplica(defects{})
		g := n.core.group("jobs/a")
		n.step(func() {
			g.startCampaign()
			c := g.campaign
			c.startVote()
			n.core.group("jobs/a").replica.currentTerm = c.term
			c.granted = map[string]voteReply{
				n.address: {Granted: true}, "x": {Granted: true, Position: Position{5, 9}, StateOmitted: true},
			}
			c.win()
		})
		So(g.leadership == nil, ShouldBeTrue)
		So(g.campaign == nil, ShouldBeTrue)
		So(g.campaignNotBefore, ShouldBeGreaterThan, s.now)
	})
}
