package consensus

import (
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// A voter that starts empty gets all there is in one snapshot. Were that lost and not sent again, it would take no part until
// the leader changed.
func TestLostSnapshotIsResent(t *testing.T) {
	w := newSimulation(t, 3, 7)
	w.eventually(400, "somebody leads", func() bool { return w.leader() != nil })
	w.applyCommand("before")
	leader := w.leader()
	lost := 0
	w.drops = func(f inFlight) bool {
		message := &pb.Message{}
		if f.intro != nil || proto.Unmarshal(f.data, message) != nil || message.GetType() != pb.MsgSnap || lost >= 2 {
			return false
		}
		lost++
		return true
	}
	for _, name := range w.names {
		if w.voters[name] != leader {
			w.startEmpty(name)
			break
		}
	}
	w.eventually(200, "two snapshots are lost", func() bool { return lost == 2 })
	w.eventually(200, "all have the same state", w.sameState)
	if w.leader() != leader {
		t.Error("another leads: the case did not come about")
	}
}
