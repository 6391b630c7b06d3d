package replication

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestChunksOfASnapshot(t *testing.T) {
	holds := func(n *simulatedNode, term, index byte, chunks int) {
		state := map[string][]byte{}
		for number := range chunks {
			state[fmt.Sprintf("key %d", number)] = []byte{term, index}
		}
		So(n.disk.Table("group/jobs/a"), ShouldResemble, state)
	}
	Convey("Given a replica without a state", t, func() {
		s, n := singleReplica(defects{})
		Convey("the state changes with the last chunk and not before", func() {
			n.expectsChunk(n.appendChunk(7, 3, 0, 3), 1)
			n.expectsChunk(n.appendChunk(7, 3, 1, 3), 2)
			answer := n.appendChunk(7, 3, 2, 3)
			So(answer.Outcome, ShouldEqual, accepted)
			So(answer.Position, ShouldResemble, Position{7, 3})
			holds(n, 7, 3, 3)
		})
		Convey("a duplicate chunk changes nothing", func() {
			n.appendChunk(7, 3, 0, 3)
			n.expectsChunk(n.appendChunk(7, 3, 0, 3), 1)
			n.expectsChunk(n.appendChunk(7, 3, 1, 3), 2)
			n.expectsChunk(n.appendChunk(7, 3, 1, 3), 2)
			n.appendChunk(7, 3, 2, 3)
			holds(n, 7, 3, 3)
		})
		Convey("where a chunk is lost, the answer to the next one names it", func() {
			n.appendChunk(7, 3, 0, 3)
			n.expectsChunk(n.appendChunk(7, 3, 2, 3), 1)
			n.appendChunk(7, 3, 1, 3)
			n.appendChunk(7, 3, 2, 3)
			holds(n, 7, 3, 3)
		})
		Convey("a later chunk without the first one is not kept", func() {
			n.expectsChunk(n.appendChunk(7, 3, 2, 3), 0)
			n.expectsChunk(n.appendChunk(7, 3, 1, 3), 0)
		})
		Convey("chunks of a newer snapshot replace those of an older one, and are not mixed with them", func() {
			n.appendChunk(7, 3, 0, 2)
			n.expectsChunk(n.appendChunk(7, 5, 0, 2), 1)
			n.expectsChunk(n.appendChunk(7, 3, 1, 2), 0)
			n.expectsChunk(n.appendChunk(7, 3, 0, 2), 0)
			n.appendChunk(7, 5, 1, 2)
			holds(n, 7, 5, 2)
		})
		Convey("chunks of a stale leader are rejected, and its earlier ones are dropped", func() {
			n.appendChunk(7, 3, 0, 2)
			n.expectsChunk(n.appendChunk(8, 1, 0, 2), 1)
			So(n.appendChunk(7, 3, 1, 2).Outcome, ShouldEqual, staleTerm)
			n.appendChunk(8, 1, 1, 2)
			holds(n, 8, 1, 2)
		})
		Convey("a vote for another candidate in between ends the snapshot", func() {
			n.appendChunk(7, 3, 0, 2)
			So(s.run(2*s.timing.FollowerLease), ShouldBeNil)
			So(n.requestVote("y", 8).Granted, ShouldBeTrue)
			So(n.appendChunk(7, 3, 1, 2).Outcome, ShouldEqual, staleTerm)
			So(n.core.group("jobs/a").replica.assembly == nil, ShouldBeTrue)
		})
		Convey("after a restart the first chunk is asked for", func() {
			n.appendChunk(7, 3, 0, 2)
			n.restart()
			n.expectsChunk(n.appendChunk(7, 3, 1, 2), 0)
			n.appendChunk(7, 3, 0, 2)
			n.appendChunk(7, 3, 1, 2)
			holds(n, 7, 3, 2)
		})
		Convey("the term that a first chunk brings is durable when the chunk is answered", func() {
			n.appendChunk(7, 3, 0, 2)
			n.restart()
			So(s.run(2*s.timing.FollowerLease), ShouldBeNil)
			So(n.requestVote("y", 7).Granted, ShouldBeFalse)
		})
	})
}

func TestBatchesThatAreSentTogetherFitIntoAMessage(t *testing.T) {
	Convey("Given more batches than fit into a message", t, func() {
		h := history{limits: narrow}
		h.catchingUp = true
		for sequence := range uint64(10) {
			h.add(newBatch(Position{1, sequence}, Position{1, sequence + 1}, map[string][]byte{fmt.Sprint(sequence): {1}}))
		}
		Convey("a replica gets them in several messages", func() {
			at, messages := Position{1, 0}, 0
			for at != (Position{1, 10}) {
				next, found := h.after(at)
				So(found, ShouldBeTrue)
				So(next.bytes, ShouldBeLessThanOrEqualTo, narrow.ChunkBytes)
				at, messages = next.position, messages+1
			}
			So(messages, ShouldBeGreaterThan, 1)
		})
		Convey("they are retained while a snapshot is in transfer, and not after", func() {
			h.catchingUp = false
			h.add(newBatch(Position{1, 10}, Position{1, 11}, nil))
			So(len(h.batches), ShouldEqual, narrow.RetainedBatches)
		})
	})
}

// withLaggingFollower kills a follower of the first group's leader, and runs on so that it lags.
func withLaggingFollower(s *simulation) (leader, follower *simulatedNode) {
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

func quietClusterWith(seed uint64, limits Limits, groups ...string) *simulation {
	s := newSimulation(seed, 3, defects{}, Timing{})
	s.limits, s.groups = limits, groups
	s.checker = newChecker(s)
	s.start()
	So(s.runUntil(6*time.Second, s.allGroupsLed), ShouldBeNil)
	So(s.allGroupsLed(), ShouldBeTrue)
	So(s.run(2*time.Second), ShouldBeNil)
	return s
}

func TestCatchingUpUnderABusyLeader(t *testing.T) {
	// Which batches pass during the transfer of the snapshot differs from seed to seed, so several are played.
	for seed := range uint64(10) {
		Convey(fmt.Sprintf("A follower whose link is slow gets the batches after its snapshot, and no second snapshot: seed %d", seed), t, func() {
			s := quietClusterWith(seed, narrow, "jobs/a")
			_, follower := withLaggingFollower(s)
			s.slowLinks = map[string]time.Duration{follower.address: 60 * time.Millisecond}
			follower.start()
			delete(s.traffic.snapshots, follower.address)
			So(s.run(500*time.Millisecond), ShouldBeNil)
			So(len(s.lagging("jobs/a")), ShouldEqual, 1)
			s.slowLinks = nil
			So(s.runUntil(catchUp, func() bool { return len(s.lagging("jobs/a")) == 0 }), ShouldBeNil)
			So(s.lagging("jobs/a"), ShouldBeEmpty)
			So(s.traffic.sentSnapshots(follower.address), ShouldEqual, 1)
		})
	}
	Convey("A leader whose disk is slower than its followers' still sends a snapshot", t, func() {
		s := quietClusterWith(4, narrow, "jobs/a")
		s.proposeOften = true
		leader, follower := withLaggingFollower(s)
		s.slowDisks[leader.address] = 300 * time.Millisecond
		So(s.run(time.Second), ShouldBeNil)
		follower.start()
		So(s.runUntil(catchUp, func() bool { return len(s.lagging("jobs/a")) == 0 }), ShouldBeNil)
		So(s.lagging("jobs/a"), ShouldBeEmpty)
	})
	Convey("A follower of many groups gets their states one after the other, without a heartbeat between them", t, func() {
		var groups []string
		for i := range 60 {
			groups = append(groups, fmt.Sprintf("jobs/%d", i))
		}
		groups = append(groups, "jobs/a")
		whole := narrow
		whole.ChunkBytes = 4000
		s := quietClusterWith(4, whole, groups...)
		_, follower := withLaggingFollower(s)
		s.proposing = false
		follower.start()
		behind := func() (count int) {
			for _, group := range groups {
				count += len(s.lagging(group))
			}
			return count
		}
		So(s.run(catchUp), ShouldBeNil)
		So(behind(), ShouldEqual, 0)
	})
	Convey("A leader whose processor takes long to make a snapshot keeps its term meanwhile, and needs no second one", t, func() {
		s := quietClusterWith(4, narrow, "jobs/a")
		leader, follower := withLaggingFollower(s)
		term := leader.core.group("jobs/a").leadership.termNumber
		delete(s.traffic.snapshots, follower.address)
		leader.core.spawn = func(work func()) { leader.runLater(3*time.Second, work) }
		follower.start()
		So(s.run(2500*time.Millisecond), ShouldBeNil)
		So(s.traffic.snapshots[follower.address], ShouldBeEmpty) // it is being made, and no step waits for that
		So(s.runUntil(catchUp, func() bool { return len(s.lagging("jobs/a")) == 0 }), ShouldBeNil)
		So(s.lagging("jobs/a"), ShouldBeEmpty)
		So(s.traffic.sentSnapshots(follower.address), ShouldEqual, 1)
		So(s.leader("jobs/a") == leader, ShouldBeTrue)
		So(leader.core.group("jobs/a").leadership.termNumber, ShouldEqual, term)
	})
	Convey("A follower that does not answer holds up no other's snapshot", t, func() {
		s := quietClusterWith(4, narrow, "jobs/a")
		leader := s.leader("jobs/a")
		var others []*simulatedNode
		for _, address := range s.view.Members {
			if n := s.nodes[address]; n != leader {
				others = append(others, n)
			}
		}
		l := leader.core.group("jobs/a").leadership
		l.core.receivingSnapshot[others[0].address] = true // one is under way there, without an answer
		others[1].kill(false)
		So(s.run(time.Second), ShouldBeNil)
		others[1].start()
		So(s.run(2*time.Second), ShouldBeNil)
		newest := leader.core.group("jobs/a").replica.position
		at := others[1].core.group("jobs/a").replica.position
		So(at.Term, ShouldEqual, newest.Term)
		So(at.Index+10, ShouldBeGreaterThan, newest.Index)
	})
}

// The leader is lost, a member with the newest state does not campaign, and one with an old state does.
func TestCandidateFetchesTheNewestState(t *testing.T) {
	Convey("It fetches the newest state in chunks before it leads", t, func() {
		for seed := range uint64(10) {
			s := quietClusterWith(seed, narrow, "jobs/a")
			leader, old := withLaggingFollower(s)
			var newest *simulatedNode
			for _, address := range s.view.Members {
				if n := s.nodes[address]; n != leader && n != old {
					newest = n
				}
			}
			leader.kill(false)
			committed := s.checker.committed["jobs/a"]
			old.start()
			led := func() bool {
				newest.core.group("jobs/a").campaignNotBefore = s.now + time.Minute // it never campaigns
				return s.allGroupsLed()
			}
			So(s.runUntil(6*time.Second, led), ShouldBeNil)
			So(s.leader("jobs/a") == old, ShouldBeTrue)
			So(s.traffic.fetched, ShouldBeGreaterThan, 1)
			So(decodeVersion(old.disk.Table("group/jobs/a")[versionKey]).before(committed), ShouldBeFalse)
			So(s.run(time.Second), ShouldBeNil)
		}
	})
	Convey("A fetched state replaces an older one only", t, func() {
		s, n := singleReplica(defects{})
		So(n.append(true, 0, 3, 3).Outcome, ShouldEqual, accepted)
		So(s.run(time.Second), ShouldBeNil)
		fetched := func(position Position) byte {
			n.step(func() {
				g := n.core.group("jobs/a")
				g.startFetch("x", position)
				g.fetch.receiveChunk(snapshotReply{Chunks: 1, Entries: []Entry{{"key", []byte{99}}}}, nil)
			})
			So(s.run(50*time.Millisecond), ShouldBeNil)
			return n.disk.Table("group/jobs/a")["key"][0]
		}
		So(fetched(Position{7, 2}), ShouldEqual, 3)
		So(fetched(Position{7, 3}), ShouldEqual, 3)
		So(fetched(Position{8, 1}), ShouldEqual, 99)
		So(decodeMeta(n.disk.Table("group-meta/jobs/a")).term, ShouldEqual, 8)
	})
	Convey("A member serves its state as of the requested position, and no other", t, func() {
		_, n := singleReplica(defects{})
		So(n.append(true, 0, 3, 3).Outcome, ShouldEqual, accepted)
		serve := func(position Position, chunk uint32) (answer snapshotReply) {
			request := snapshotRequest{Group: "jobs/a", View: 1, Position: position, Chunk: chunk}
			n.step(func() { n.core.serveSnapshot(request, func(reply snapshotReply) { answer = reply }) })
			return answer
		}
		So(serve(Position{7, 3}, 0), ShouldResemble, snapshotReply{Chunks: 1, Entries: []Entry{{"key", []byte{3}}}})
		So(serve(Position{7, 3}, 1).Chunks, ShouldEqual, 0)
		So(serve(Position{7, 2}, 0).Chunks, ShouldEqual, 0)
		So(n.append(false, 3, 4, 4).Outcome, ShouldEqual, accepted)
		So(serve(Position{7, 3}, 0).Chunks, ShouldEqual, 0)
	})
	Convey("A candidate that gets no chunks ends the fetch, and backs off", t, func() {
		s, n := singleReplica(defects{})
		g := n.core.group("jobs/a")
		n.step(func() { g.startFetch("x", Position{5, 9}) })
		n.step(func() { g.fetch.receiveChunk(snapshotReply{}, nil) })
		So(g.fetch == nil, ShouldBeTrue)
		So(g.campaignNotBefore, ShouldBeGreaterThan, s.now)
	})
}

func TestAVoteWithoutItsStateDoesNotElect(t *testing.T) {
	Convey("A candidate does not lead with a position whose state it does not have", t, func() {
		s, n := singleReplica(defects{})
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
