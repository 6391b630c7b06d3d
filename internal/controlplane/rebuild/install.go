package rebuild

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/timer"
)

// installInterval is the time between attempts to write the merged snapshots to a full disk.
const installInterval = 250 * time.Millisecond

// install replaces all replicated tables by the merged snapshots and marks this member complete, in one write. So a crash
// leaves it incomplete, and it starts over. absences is this process's number of them when the snapshots were taken. The
// write is retried while the disk is full: this member votes for nothing before, so the snapshots lack no vote of its own.
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
		if !timer.Sleep(ctx, installInterval) {
			return context.Cause(ctx)
		}
	}
}
