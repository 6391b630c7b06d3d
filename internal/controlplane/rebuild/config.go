package rebuild

import (
	"errors"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

var (
	// ErrNoMerger is the failure of a rebuild that finds a table nobody knows how to merge.
	ErrNoMerger = errors.New("no merger is registered for the table")
	// ErrReplaced ends a process that is no member any more: what it holds is out of date, and when it is restarted it announces
	// itself as a joining member.
	ErrReplaced = errors.New("another has this member's place among the replicas; the process is to start over as a joining member")
)

// Views knows the current view. *replicaset.Manager implements it.
type Views interface {
	// View returns the current view.
	View() replicaset.View
	// Changed is closed at the next change of the view.
	Changed() <-chan struct{}
	// Learn makes a view that was received from another member the current one if it is newer.
	Learn(view replicaset.View) error
	// Absences returns a number that grows each time this process learns that it is no member any more.
	Absences() uint64
	// Departing tells whether this process is about to stop.
	Departing() bool
	// KnowsJoiningMember tells whether a core node that waits to become a member has been heard of lately.
	KnowsJoiningMember() bool
	// OthersDepart tells whether every other member is about to stop.
	OthersDepart() bool
}

// Config names what a Rebuilder works with.
type Config struct {
	Self string // this process's internal address
	// Incarnation is this process's number in the view with which it became a member; 0 where it never does so.
	Incarnation uint64
	FirstStart  bool // whether the system starts for the very first time; then there is nothing to rebuild
	Views       Views
	Store       storage.SnapshotStore
	Caller      transport.Caller
	Logger      *zap.Logger
}
