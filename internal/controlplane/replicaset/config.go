package replicaset

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

// Founding commits the first view once and for all, on the founders.
type Founding interface {
	// Commit proposes the first view and returns the committed one, which may be another.
	Commit(ctx context.Context, view View) (View, error)
}

// Succession commits the view after the current one once and for all, on the members of the current one.
type Succession interface {
	// Commit proposes the view that follows current and returns the committed one, which may be another.
	Commit(ctx context.Context, current, next View) (View, error)
	// Pending returns the view after current that this member has accepted, as far as there is one. It must be completed:
	// as long as it is neither committed nor known to the others, the members cannot commit any other.
	Pending(current View) (next View, found bool, err error)
}

// Liveness is what this process knows of the other members by its own messages from them. It decides when a member is
// replaced, and never whether that is safe.
type Liveness struct {
	QuorumReachable bool                     // a majority of the view, this process included, has answered recently
	SinceContact    map[string]time.Duration // by address, since the last message of a member; absent where there never was one
}

// Config names what a Manager works with.
type Config struct {
	Self            string   // this process's internal address
	Zone            string   // of this process; may be empty
	Seeds           []string // internal addresses of the seeds
	FirstStart      bool     // whether the system starts for the very first time
	CountsForQuorum bool     // whether this process is a core node, which announces itself as a replica
	Store           storage.Store
	Caller          transport.Caller
	Founding        Founding        // nil at processes that are no core nodes
	Succession      Succession      // nil where no member is ever replaced
	Liveness        func() Liveness // needed with Succession
	Logger          *zap.Logger
}
