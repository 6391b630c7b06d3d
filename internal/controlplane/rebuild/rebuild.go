package rebuild

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/timer"
)

// openRoundsWait is the delay between the start of a member and its first request for a snapshot. It is longer than the timeout
// of a quorum round, so that all rounds which were open at the start are over.
const openRoundsWait = 2200 * time.Millisecond

// Rebuilder determines whether this member's disk is complete, and rebuilds it if it is not.
type Rebuilder struct {
	config    Config
	startedAt time.Time
	mergers   mergers
	outgoing  outgoingSnapshots

	completeAbsences uint64        // number of absences for which this member is complete; written before complete is closed
	complete         chan struct{} // closed when this member is complete
	completeOnce     sync.Once
}

// New returns a Rebuilder, and reads from the store whether this member is complete. A member that kept its disk is complete at
// once, unless it was replaced in the meantime. A member with a new disk is complete at once only if the whole system starts
// for the first time. New returns an error if it cannot write to the store.
func New(config Config) (*Rebuilder, error) {
	r := &Rebuilder{config: config, startedAt: time.Now(), complete: make(chan struct{})}
	marker, marked := config.Store.Table(TableName)[completeKey]
	absences := config.Views.Absences()
	switch {
	case marked && bytes.Equal(marker, completeMarker(absences)):
		r.markComplete(absences)
	case !marked && config.FirstStart:
		if err := config.Store.Write(completeChange(absences)); err != nil {
			return nil, fmt.Errorf("mark a new disk: %w", err)
		}
		r.markComplete(absences)
	}
	return r, nil
}

// Register adds a merger for the tables whose names begin with one of the prefixes. No table may belong to two mergers. All
// mergers must be registered before Run is called.
func (r *Rebuilder) Register(merge Merger, prefixes ...string) { r.mergers.add(merge, prefixes) }

// Run rebuilds this member if it is incomplete, and then returns. It waits while too few other members provide a snapshot, and
// while this process is not a member. An error other than that of the context is final: the store has failed, or a table
// cannot be merged.
func (r *Rebuilder) Run(ctx context.Context) error {
	if r.Ready() {
		return nil
	}
	r.config.Logger.Warn("disk empty or incomplete; rebuilding it from the other members")
	if !timer.Sleep(ctx, openRoundsWait-time.Since(r.startedAt)) {
		return context.Cause(ctx)
	}
	snapshots, absences, err := r.collectSnapshots(ctx)
	if err != nil {
		return err
	}
	if err := r.install(ctx, snapshots, absences); err != nil {
		return fmt.Errorf("rebuild: %w", err)
	}
	r.markComplete(absences)
	r.config.Logger.Info("disk rebuilt", zap.Int("snapshots", len(snapshots)))
	return nil
}

// collectSnapshots fetches as many snapshots as the rebuild needs in the current view. It also returns the number of absences,
// which it read before it fetched them.
func (r *Rebuilder) collectSnapshots(ctx context.Context) (snapshots []storage.Tables, absences uint64, err error) {
	views := r.config.Views
	for {
		changed := views.Changed()
		absences = views.Absences()
		if view := views.View(); view.Has(r.config.Self) {
			snapshots = r.fetchFromDonors(ctx, view, changed, SnapshotsNeeded(view, absences))
			if snapshots != nil && views.View().Version == view.Version {
				return snapshots, absences, nil
			}
		} else {
			waitForChange(ctx, changed)
		}
		if ctx.Err() != nil {
			return nil, 0, context.Cause(ctx)
		}
	}
}

// SnapshotsNeeded returns the number of snapshots that a rebuild merges. absences is how often this process has learned that it
// is no longer a member.
//
// A member that lost its disk (absences is 0) needs enough snapshots to intersect each majority that it was part of. A joining
// member needs a quorum, which is one more if the number of members is even. Until it has been rebuilt, few members may have
// learned its view, and the others could still decide in the previous view. With fewer snapshots it might miss such a
// decision.
func SnapshotsNeeded(view replicaset.View, absences uint64) int {
	if absences > 0 {
		return max(1, min(view.Quorum(), len(view.Members)-1))
	}
	return len(view.Members) - view.Quorum() + 1
}
