package consensus

import (
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// A voter that starts with an empty directory receives the whole state in one snapshot. If a lost snapshot were not sent again, the
// voter could not take part until the leader changes. The test drops the first two snapshots.
func TestLostSnapshotIsResent(t *testing.T) {
	w := newSimulation(t, 3, 7)
	w.eventually(400, "a confirmed leader exists", func() bool { return w.leader() != nil })
	w.applyCommand("command before the loss")
	leader := w.leader()
	dropped := 0
	w.dropFilter = func(sent inFlightMessage) bool {
		message := &pb.Message{}
		if sent.introduction != nil || proto.Unmarshal(sent.data, message) != nil || message.GetType() != pb.MsgSnap || dropped >= 2 {
			return false
		}
		dropped++
		return true
	}
	for _, name := range w.names {
		if w.voters[name] != leader {
			w.startEmpty(name)
			break
		}
	}
	w.eventually(200, "two snapshots are lost", func() bool { return dropped == 2 })
	w.eventually(200, "all voters have the same state", w.sameState)
	if w.leader() != leader {
		t.Error("the leader changed, so the test did not show that a snapshot is sent again")
	}
}
