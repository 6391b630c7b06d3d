package rebuild

import (
	"errors"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

var (
	// ErrNoMerger means that a snapshot contains a table for which no Merger is registered.
	ErrNoMerger = errors.New("no merger is registered for the table")
	// ErrReplaced means that this process is no longer a member and must exit. Its state is out of date. After a restart, it
	// announces itself as a joining member.
	ErrReplaced = errors.New("another has this member's place among the replicas; the process is to start over as a joining member")
)

// Views provides the current view and the known changes of the membership. *replicaset.Manager implements it.
type Views interface {
	// View returns the current view.
	View() replicaset.View
	// Changed returns a channel that is closed when the view changes next.
	Changed() <-chan struct{}
	// Learn stores a view that another member sent, and makes it the current view if it is newer.
	Learn(view replicaset.View) error
	// Absences returns how often this process has learned that it is not a member.
	Absences() uint64
	// Departing reports whether this process is about to stop.
	Departing() bool
	// HasJoiningMember reports whether a coordinator that is waiting to become a member was announced recently.
	HasJoiningMember() bool
	// AllOthersDeparting reports whether all other members are about to stop.
	AllOthersDeparting() bool
}

// Config is the configuration of a Rebuilder.
type Config struct {
	Self string // this process's internal address
	// Incarnation identifies this process in the view in which it becomes a member. It is 0 for a process that never joins.
	Incarnation uint64
	FirstStart  bool // whether the whole system starts for the first time, so that there is nothing to rebuild
	Views       Views
	Store       storage.SnapshotStore
	Caller      transport.Caller
	Logger      *zap.Logger
}
