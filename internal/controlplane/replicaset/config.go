package replicaset

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

// Bootstrap commits the first view in a write-once register on the founders.
type Bootstrap interface {
	// Commit proposes a first view and returns the committed one, which may be that of another proposer.
	Commit(ctx context.Context, view View) (View, error)
}

// ViewChange commits the view after the current one in a write-once register on the members of the current view.
type ViewChange interface {
	// Commit proposes next as the view after current and returns the committed one, which may be that of another proposer.
	Commit(ctx context.Context, current, next View) (View, error)
	// Pending returns the view after current that this member has accepted, if there is one. The caller must complete it:
	// while it is neither committed nor known to the other members, they cannot commit any other view.
	Pending(current View) (next View, found bool, err error)
}

// Liveness describes which other members this process has received messages from. It determines when a member is replaced.
// Safety never depends on it.
type Liveness struct {
	QuorumReachable bool                     // a majority of the view, including this process, has replied recently
	SinceContact    map[string]time.Duration // by address, the time since a member's last message; no entry if none has arrived
}

// Config holds the settings and dependencies of a Manager.
type Config struct {
	Self            string   // this process's internal address
	Zone            string   // this process's zone; may be empty
	Seeds           []string // internal addresses of the seeds
	FirstStart      bool     // whether the whole system starts for the first time
	CountsForQuorum bool     // whether this process is a coordinator that may become a member
	Store           storage.Store
	Caller          transport.Caller
	Bootstrap       Bootstrap       // nil if CountsForQuorum is false
	ViewChange      ViewChange      // nil if members are never replaced
	Liveness        func() Liveness // required if ViewChange is set
	Logger          *zap.Logger
}
