package replication

import (
	"fmt"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// replyTimeout is how long a scripted peer waits for a reply. All disks and links of the simulation are faster, unless a test slows
// them down.
const replyTimeout = 100 * time.Millisecond

// newSingleReplica returns a simulation in which only one member runs, and that member. The test acts as its scripted peer: it sends
// the requests of candidates and leaders.
func newSingleReplica(injected defects) (*simulation, *simulatedNode) {
	s := newSimulation(1, 3, injected, Timing{})
	n := s.nodes[s.view.Members[0]]
	n.start()
	So(s.run(time.Millisecond), ShouldBeNil)
	return s, n
}

// replyOf runs a step that sends a request to a replica. It returns the reply, or nil if there is none within replyTimeout.
func replyOf[Reply any](n *simulatedNode, step func(reply func(Reply))) *Reply {
	var result *Reply
	n.step(func() { step(func(reply Reply) { result = &reply }) })
	So(n.simulation.run(replyTimeout), ShouldBeNil)
	return result
}

// sendVoteRequest sends a vote request for the group "jobs/a".
func (n *simulatedNode) sendVoteRequest(candidate string, term uint64) *voteReply {
	request := voteRequest{Group: "jobs/a", Term: term, Candidate: candidate, View: 1}
	return replyOf(n, func(reply func(voteReply)) { n.core.requestVote(request, reply) })
}

// sendAppend sends an append request as the leader "x" of the request's group and term.
func (n *simulatedNode) sendAppend(request appendRequest) *appendReply {
	request.Leader, request.View = "x", 1
	return replyOf(n, func(reply func(appendReply)) {
		n.corruptAppend(request)
		n.core.append(request, reply)
	})
}

// sendBatchOrSnapshot sends a batch or a snapshot of term 7 for the group "jobs/a". A batch with the previous index 0 is the first one.
func (n *simulatedNode) sendBatchOrSnapshot(snapshot bool, previous, index uint64, value byte) *appendReply {
	request := appendRequest{
		Group: "jobs/a", Term: 7, Snapshot: snapshot, Position: Position{7, index}, Entries: []Entry{{"key", []byte{value}}},
	}
	if previous > 0 {
		request.Previous = Position{7, previous}
	}
	return n.sendAppend(request)
}

// sendFirstBatch sends the first batch of a term.
func (n *simulatedNode) sendFirstBatch(group string, term uint64) *appendReply {
	return n.sendAppend(appendRequest{
		Group: group, Term: term, Position: Position{term, 1}, Entries: []Entry{{"key", []byte("value")}},
	})
}

// sendSnapshotChunk sends one chunk of a snapshot of the group "jobs/a". The chunk contains one entry, "key N" for chunk N.
func (n *simulatedNode) sendSnapshotChunk(term, index uint64, number, chunks uint32) *appendReply {
	return n.sendAppend(appendRequest{
		Group: "jobs/a", Term: term, Snapshot: true, Position: Position{term, index}, Chunk: number, Chunks: chunks,
		Entries: []Entry{{fmt.Sprintf("key %d", number), []byte{byte(term), byte(index)}}},
	})
}

// expectMissingChunk verifies that a replica without a state replied with the number of the next missing chunk.
func (n *simulatedNode) expectMissingChunk(reply *appendReply, number uint32) {
	So(reply.Outcome, ShouldEqual, incomplete)
	So(reply.NextChunk, ShouldEqual, number)
	So(n.disk.Table("group/jobs/a"), ShouldBeEmpty)
}

// sendHeartbeat sends a heartbeat as the leader "x" of a group and term.
func (n *simulatedNode) sendHeartbeat(group string, term uint64) *appendReply {
	request := pingRequest{From: "x", View: 1, Heartbeats: []heartbeat{{group, term}}}
	result := replyOf(n, func(reply func(pingReply)) { n.core.ping(request, reply) })
	if result == nil {
		return nil
	}
	return &result.Heartbeats[0]
}

// restart kills the node's process and starts it again at once.
func (n *simulatedNode) restart() {
	n.kill(false)
	n.start()
	So(n.simulation.run(time.Millisecond), ShouldBeNil)
}
