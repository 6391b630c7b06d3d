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

// openRoundsWait is how long after its start a member asks for snapshots. It exceeds the time-out of a quorum round.
const openRoundsWait = 2200 * time.Millisecond

// Rebuilder decides whether this member is complete, and makes it so.
type Rebuilder struct {
	config   Config
	start    time.Time
	mergers  mergers
	outgoing outgoingSnapshots

	membership uint64        // for which this member is complete, as a number of absences; written before complete is closed
	complete   chan struct{} // closed once this member may take part
	finished   sync.Once
}

// New reads from the store whether this member is complete. A member whose disk was kept is complete at once unless it was replaced meanwhile, and so is
// one that starts with the whole system for the first time. It returns the store's error.
func New(config Config) (*Rebuilder, error) {
	r := &Rebuilder{config: config, start: time.Now(), complete: make(chan struct{})}
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

// Register adds a merger for the tables whose names begin with one of the prefixes. No table may belong to two mergers,
// and all must be registered before Run.
func (r *Rebuilder) Register(merge Merger, prefixes ...string) { r.mergers.add(merge, prefixes) }

// Run rebuilds this member if that is needed, and then returns. It waits for as long as there is no majority of others, or
// this process is no member. An error other than the context's is final: the store has failed, or a table cannot be
// merged.
func (r *Rebuilder) Run(ctx context.Context) error {
	if r.Ready() {
		return nil
	}
	r.config.Logger.Warn("disk empty or incomplete; rebuilding it from the other members")
	if !timer.Sleep(ctx, openRoundsWait-time.Since(r.start)) {
		return context.Cause(ctx)
	}
	snapshots, absences, err := r.collect(ctx)
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

// collect fetches the snapshots of enough other members of the current view, and returns them with the number of absences
// from before it began.
func (r *Rebuilder) collect(ctx context.Context) (snapshots []storage.Tables, absences uint64, err error) {
	views := r.config.Views
	for {
		changed := views.Changed()
		absences = views.Absences()
		if view := views.View(); view.Has(r.config.Self) {
			snapshots = r.collectFrom(ctx, view, changed, SnapshotsNeeded(view, absences))
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

// SnapshotsNeeded is the number of snapshots that a rebuild merges, given how often this process was no member. One that lost
// its disk needs as many as intersect each majority that it was part of. A joining member needs a quorum, one more where the
// number of members is even: until it has been rebuilt, too few members may have learned of its view to keep the others
// from deciding in the view before.
func SnapshotsNeeded(view replicaset.View, absences uint64) int {
	if absences > 0 {
		return max(1, min(view.Quorum(), len(view.Members)-1))
	}
	return len(view.Members) - view.Quorum() + 1
}
