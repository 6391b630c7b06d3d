package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/tracker"
)

// snapshotTimeoutTicks is the number of ticks after which an unacknowledged snapshot counts as lost.
const snapshotTimeoutTicks = 2 * electionTicks

// resendSnapshots reports a snapshot to the library as lost if the receiving voter has not acknowledged it in time. The library then
// sends it again. Without the report the library would wait forever and send that voter nothing else, as it assumes that messages
// are not lost.
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

// compact creates a snapshot of the state and drops the entries before it. The snapshot contains the voters, so a voter with a new ID
// finds its own ID there.
func (m *Machine) compact() error {
	snapshot, err := m.storage.CreateSnapshot(m.state.Index, m.confState, encodeCanonical(&m.state))
	if err != nil {
		return err
	}
	m.pendingSnapshot = snapshot
	return m.storage.Compact(m.state.Index)
}
