package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"
)

// snapshotTicks is how long a snapshot may be on its way to a voter until it counts as lost.
const snapshotTicks = 2 * electionTicks

// resendSnapshots counts a snapshot as lost whose voter has not confirmed it in time, so that it is sent again. The library sends
// that voter nothing else and waits for word of the snapshot for ever, and a message of ours may get lost unseen.
func (m *Machine) resendSnapshots() {
	if !m.Leads() {
		clear(m.unconfirmed)
		return
	}
	var lost []uint64
	m.node.WithProgress(func(id uint64, _ raft.ProgressType, progress tracker.Progress) {
		if progress.State != tracker.StateSnapshot {
			delete(m.unconfirmed, id)
			return
		}
		if m.unconfirmed[id]++; m.unconfirmed[id] >= snapshotTicks {
			lost = append(lost, id)
		}
	})
	for _, id := range lost {
		delete(m.unconfirmed, id)
		m.node.ReportSnapshot(id, raft.SnapshotFailure)
	}
}

// cut makes a snapshot of the state and lets go of the entries before it. A voter that is new finds itself in it.
func (m *Machine) compact() error {
	s, err := m.storage.CreateSnapshot(m.state.Index, m.confState, encoded(&m.state))
	if err != nil {
		return err
	}
	m.pendingSnapshot = s
	return m.storage.Compact(m.state.Index)
}
