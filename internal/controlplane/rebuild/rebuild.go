// Package rebuild brings back a core node that lost its disk. Until then the node must not vote, promise or answer
// reads, as it does not know any more what it has promised.
//
// The node waits, and then merges what a majority of the other members holds. Every quorum round counts
// an answer only within register.RoundLimit of the round's start. So when the copies are taken, each round that counted
// an answer of the lost disk is over, and one of the members that are asked has stored what that round decided.
//
// A joining member that took a dead member's place is rebuilt in the same way; package replicaset says why that is safe. What
// makes a disk complete is therefore bound to the membership: a process that was replaced is incomplete until it has
// become a member again and was rebuilt, though its disk was kept.
package rebuild

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
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
	TableName   = "rebuild"
	completeKey = "complete"
	askInterval = 250 * time.Millisecond
	// reaskInterval is how long a part of a copy is waited for before it is asked for again; openFetches calls for it are
	// made at most.
	reaskInterval = time.Second
	openFetches   = 3
)

var (
	// ErrNoMerger is the failure of a rebuild that finds a table nobody knows how to merge.
	ErrNoMerger = errors.New("no merger is registered for the table")
	// ErrReplaced ends a process that is not, or no more, a member: what it holds is of no use, and started again it offers
	// itself as a joining member.
	ErrReplaced = errors.New("another has this member's place among the replicas; the process is to start over as a newcomer")
)

// Merger makes a part of the tables from the copies of a majority of the other members. Each copy is of one moment, and
// has only tables of the part.
type Merger func(copies []storage.Tables) (storage.Tables, error)

// Infallible makes a Merger of a function that cannot fail.
func Infallible(merge func(copies []storage.Tables) storage.Tables) Merger {
	return func(copies []storage.Tables) (storage.Tables, error) { return merge(copies), nil }
}

// Views knows the current view of the replicas; *replicaset.Manager is one.
type Views interface {
	View() replicaset.View
	// Changed is closed at the next change of the view.
	Changed() <-chan struct{}
	// Learn takes a view from another member.
	Learn(view replicaset.View) error
	// Absences changes whenever this process is found not to be a member any more.
	Absences() uint64
}

// Config names what a Rebuilder works with.
type Config struct {
	Self string // this process's internal address
	// Incarnation is this process's number in the view with which it became a member; 0 where it never does so.
	Incarnation uint64
	FirstStart  bool // whether the system starts for the very first time; then there is nothing to bring back
	Views       Views
	Store       storage.SnapshotStore
	Caller      transport.Caller
	Logger      *zap.Logger
}

// Rebuilder decides whether this member is complete, and makes it so.
type Rebuilder struct {
	config  Config
	start   time.Time
	mergers mergers
	copies  copies // that others are fetching

	membership uint64        // for which this member is complete, as a number of absences; set before complete is closed
	complete   chan struct{} // closed once this member may take part
	finished   sync.Once
}

// New looks into the store. A member whose disk was kept is complete at once unless it was replaced meanwhile, and so is
// one that starts with the whole system for the first time.
func New(config Config) (*Rebuilder, error) {
	r := &Rebuilder{config: config, start: time.Now(), complete: make(chan struct{})}
	mark, marked := config.Store.Table(TableName)[completeKey]
	absences := config.Views.Absences()
	switch {
	case marked && bytes.Equal(mark, completeMark(absences)):
		r.finish(absences)
	case !marked && config.FirstStart:
		if err := config.Store.Write(completeChange(absences)); err != nil {
			return nil, fmt.Errorf("mark a new disk: %w", err)
		}
		r.finish(absences)
	}
	return r, nil
}

func completeChange(absences uint64) storage.Change {
	return storage.Change{Table: TableName, Key: completeKey, Value: completeMark(absences)}
}

// completeMark names the membership that a disk is complete for; the first one is 1.
func completeMark(absences uint64) []byte { return strconv.AppendUint(nil, absences+1, 10) }

// Register adds a merger for the tables whose names begin with one of the prefixes. No table may belong to two mergers,
// and all must be registered before Run.
func (r *Rebuilder) Register(merge Merger, prefixes ...string) { r.mergers.add(merge, prefixes) }

// Ready tells whether this member may vote and answer. Once it has become false again, the process is to end.
func (r *Rebuilder) Ready() bool {
	select {
	case <-r.complete:
		return r.config.Views.Absences() == r.membership
	default:
		return false
	}
}

// Complete is closed once Ready is true.
func (r *Rebuilder) Complete() <-chan struct{} { return r.complete }

func (r *Rebuilder) finish(membership uint64) {
	r.finished.Do(func() {
		r.membership = membership
		close(r.complete)
	})
}

// Watch waits until this member, having been complete, is replaced, and then returns ErrReplaced; or until the context
// ends, and then returns nil.
func (r *Rebuilder) Watch(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-r.complete:
	}
	for {
		changed := r.config.Views.Changed()
		if !r.Ready() {
			return ErrReplaced
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Run rebuilds this member if that is needed, and then returns. It waits for as long as there is no majority of others, or
// this process is no member. An error other than the context's is final: the store has failed, or a table cannot be
// merged.
func (r *Rebuilder) Run(ctx context.Context) error {
	if r.Ready() {
		return nil
	}
	r.config.Logger.Warn("this disk is empty or incomplete; it is rebuilt from the other members")
	if err := sleep(ctx, settleTime-time.Since(r.start)); err != nil {
		return err
	}
	copies, absences, err := r.collect(ctx)
	if err != nil {
		return err
	}
	if err := r.install(ctx, copies, absences); err != nil {
		return fmt.Errorf("rebuild: %w", err)
	}
	r.finish(absences)
	r.config.Logger.Info("the disk is rebuilt", zap.Int("copies", len(copies)))
	return nil
}

// collect gathers the copies of a majority of the other members of the current view. It also returns the number of
// absences before it began.
func (r *Rebuilder) collect(ctx context.Context) ([]storage.Tables, uint64, error) {
	views := r.config.Views
	for {
		changed := views.Changed()
		absences := views.Absences()
		if view := views.View(); view.Has(r.config.Self) {
			copies := r.collectFrom(ctx, view, changed, CopiesNeeded(view, absences))
			if copies != nil && views.View().Version == view.Version {
				return copies, absences, nil
			}
		} else {
			wait(ctx, changed)
		}
		if ctx.Err() != nil {
			return nil, 0, context.Cause(ctx)
		}
	}
}

// CopiesNeeded is how many other members a rebuild asks, given how often this process was no member. One that lost its
// disk asks as many as meet each majority that it was part of. A joining member asks a quorum, which is one more where the
// number of members is even: until it has been rebuilt, too few members may have learned of its view to keep the others
// from deciding in the view before.
func CopiesNeeded(view replicaset.View, absences uint64) int {
	if absences > 0 {
		return max(1, min(view.Quorum(), len(view.Members)-1))
	}
	return len(view.Members) - view.Quorum() + 1
}

func wait(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

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
