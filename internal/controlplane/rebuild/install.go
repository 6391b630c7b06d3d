package rebuild

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/timer"
)

// installRetryInterval is the delay between attempts to write the merged snapshots to a full disk.
const installRetryInterval = 250 * time.Millisecond

// install replaces all replicated tables with the merged snapshots and marks this member complete, in one write. After a crash
// during the write, the member is still incomplete and repeats the rebuild. absences is the number of absences when the
// snapshots were taken.
//
// install retries the write while the disk is full. This member does not vote before the write, so the snapshots cannot miss
// any of its votes.
func (r *Rebuilder) install(ctx context.Context, snapshots []storage.Tables, absences uint64) error {
	merged, err := r.mergers.merge(snapshots)
	if err != nil {
		return err
	}
	var changes []storage.Change
	for _, name := range r.config.Store.Tables() {
		if name != TableName && name != replicaset.TableName {
			changes = append(changes, storage.Change{Table: name})
		}
	}
	for name, table := range merged {
		for key, value := range table {
			changes = append(changes, storage.Change{Table: name, Key: key, Value: value})
		}
	}
	changes = append(changes, completeChange(absences))
	for {
		err := r.config.Store.Write(changes...)
		if !storage.IsFull(err) {
			return err
		}
		r.config.Logger.Warn("disk full: merged snapshots not written", zap.Error(err))
		if !timer.Sleep(ctx, installRetryInterval) {
			return context.Cause(ctx)
		}
	}
}
