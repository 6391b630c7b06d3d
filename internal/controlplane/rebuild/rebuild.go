// Package rebuild brings back a core mixer that lost its disk. Until then the mixer must not vote, promise or answer
// reads, as it does not know any more what it has promised.
//
// The mixer waits, and then merges what a majority of the other members holds. Every quorum round counts
// an answer only within register.RoundLimit of the round's start. So when the copies are taken, each round that counted
// an answer of the lost disk is over, and one of the members that are asked has stored what that round decided.
package rebuild

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	// settleTime is how long after its start a member asks for copies. It exceeds the limit of a quorum round.
	settleTime = 2200 * time.Millisecond
	// TableName is the store's table of the mark that this member is complete. It is the member's own.
	TableName    = "rebuild"
	completeKey  = "complete"
	askInterval  = 250 * time.Millisecond
	dumpLimit    = 10 * time.Second
	dumpPath     = "/rebuild/dump"
	completeMark = "1"
)

// ErrNoMerger is the failure of a rebuild that finds a table nobody knows how to merge.
var ErrNoMerger = errors.New("no merger is registered for the table")

// Merger makes a part of the tables from the copies of a majority of the other members. Each copy is of one moment, and
// has only tables of the part.
type Merger func(copies []storage.Tables) (storage.Tables, error)

// Infallible makes a Merger of a function that cannot fail.
func Infallible(merge func(copies []storage.Tables) storage.Tables) Merger {
	return func(copies []storage.Tables) (storage.Tables, error) { return merge(copies), nil }
}

// Views tells the current view of the replicas.
type Views interface {
	View() replicaset.View
	// Changed is closed at the next change of the view.
	Changed() <-chan struct{}
}

// Config names what a Rebuilder works with.
type Config struct {
	Self       string // this process's internal address
	FirstStart bool   // whether the system starts for the very first time; then there is nothing to bring back
	Store      storage.SnapshotStore
	Caller     transport.Caller
	Logger     *zap.Logger
}

// Rebuilder decides whether this member is complete, and makes it so.
type Rebuilder struct {
	config  Config
	start   time.Time
	mergers mergers

	complete chan struct{} // closed once this member may take part
	finished sync.Once
}

// New looks into the store. A member whose disk was kept is complete at once, and so is one that starts with the whole
// system for the first time.
func New(config Config) (*Rebuilder, error) {
	r := &Rebuilder{config: config, start: time.Now(), complete: make(chan struct{})}
	_, marked := config.Store.Table(TableName)[completeKey]
	if !marked && !config.FirstStart {
		return r, nil
	}
	if !marked {
		if err := config.Store.Write(completeChange()); err != nil {
			return nil, fmt.Errorf("mark a new disk: %w", err)
		}
	}
	r.finish()
	return r, nil
}

func completeChange() storage.Change {
	return storage.Change{Table: TableName, Key: completeKey, Value: []byte(completeMark)}
}

// Register adds a merger for the tables whose names begin with one of the prefixes. No table may belong to two mergers,
// and all must be registered before Run.
func (r *Rebuilder) Register(merge Merger, prefixes ...string) { r.mergers.add(merge, prefixes) }

// Ready tells whether this member may vote and answer.
func (r *Rebuilder) Ready() bool {
	select {
	case <-r.complete:
		return true
	default:
		return false
	}
}

// Complete is closed once Ready is true.
func (r *Rebuilder) Complete() <-chan struct{} { return r.complete }

func (r *Rebuilder) finish() { r.finished.Do(func() { close(r.complete) }) }

// Run rebuilds this member if that is needed, and then returns. It waits for as long as there is no majority of others.
// An error other than the context's is final: the store has failed, or a table cannot be merged.
func (r *Rebuilder) Run(ctx context.Context, views Views) error {
	if r.Ready() {
		return nil
	}
	r.config.Logger.Warn("this disk is empty or incomplete; it is rebuilt from the other members")
	if err := sleep(ctx, settleTime-time.Since(r.start)); err != nil {
		return err
	}
	copies, err := r.collect(ctx, views)
	if err != nil {
		return err
	}
	if err := r.install(copies); err != nil {
		return fmt.Errorf("rebuild: %w", err)
	}
	r.finish()
	r.config.Logger.Info("the disk is rebuilt", zap.Int("copies", len(copies)))
	return nil
}

// collect gathers the copies of a majority of the other members of the current view.
func (r *Rebuilder) collect(ctx context.Context, views Views) ([]storage.Tables, error) {
	var known replicaset.View
	var copies map[string]storage.Tables
	for {
		if view := views.View(); view.Version > known.Version {
			known, copies = view, make(map[string]storage.Tables)
		}
		if known.Version > 0 {
			r.fetchMissing(ctx, known, copies)
			if len(copies) >= majorityOfOthers(known) && views.View().Version == known.Version {
				return slices.Collect(maps.Values(copies)), nil
			}
		}
		if err := sleep(ctx, askInterval); err != nil {
			return nil, err
		}
	}
}

// majorityOfOthers is the number of members besides one of them that meets each majority which that one was part of.
func majorityOfOthers(view replicaset.View) int { return len(view.Members) - view.Quorum() + 1 }

// sleep waits unless the context ends before.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
