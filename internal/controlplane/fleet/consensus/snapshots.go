package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"
)

// snapshotTicks is how long a snapshot may be on its way until it counts as lost.
const snapshotTimeoutTicks = 2 * electionTicks

// resendSnapshots reports a snapshot as lost whose voter has not confirmed it in time, so that the library sends it again.
// Until then it sends that voter nothing else, and waits for ever: it does not know that messages may get lost.
func (m *Machine) resendSnapshots() {
	if !m.Leads() {
		clear(m.pendingSnapshotTicks)
		return
	}
	var lost []uint64
	m.node.WithProgress(func(id uint64, _ raft.ProgressType, progress tracker.Progress) {
		if progress.State != tracker.StateSnapshot {
			delete(m.pendingSnapshotTicks, id)
			return
		}
		if m.pendingSnapshotTicks[id]++; m.pendingSnapshotTicks[id] >= snapshotTimeoutTicks {
			lost = append(lost, id)
		}
	})
	for _, id := range lost {
		delete(m.pendingSnapshotTicks, id)
		m.node.ReportSnapshot(id, raft.SnapshotFailure)
	}
}

// compact makes a snapshot of the state and drops the entries before it. A new voter finds itself in the snapshot.
func (m *Machine) compact() error {
	s, err := m.storage.CreateSnapshot(m.state.Index, m.confState, encodeCanonical(&m.state))
	if err != nil {
		return err
	}
	m.pendingSnapshot = s
	return m.storage.Compact(m.state.Index)
}
