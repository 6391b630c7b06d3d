package rebuild

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

// notReadyRetryAfter is how long after a refusal a member may be asked again.
const notReadyRetryAfter = 250 * time.Millisecond

var (
	// errNotReady is the refusal of a member that is itself incomplete.
	errNotReady = errors.New("this member is being rebuilt itself")
	// errOtherView is the refusal of a member that works with another view than the receiver, or with one that has no such
	// receiver: it might still vote in rounds that the snapshot would lack.
	errOtherView = errors.New("this member works with another view of the replicas")
)

// handleDump stores the receiver's view before it takes the snapshot: from then on this member votes for nothing in the view
// before.
func (r *Rebuilder) handleDump(_ context.Context, request dumpRequest) (dumpReply, error) {
	if !r.mayDonate() {
		return dumpReply{}, rpcerror.WrapNotExecuted(errNotReady, notReadyRetryAfter)
	}
	if err := r.admit(request); err != nil {
		return dumpReply{}, rpcerror.WrapNotExecuted(err, notReadyRetryAfter)
	}
	if request.Chunk > 0 {
		return r.outgoing.chunk(request)
	}
	return r.outgoing.first(request, func() storage.Tables {
		tables := r.config.Store.Snapshot()
		delete(tables, TableName)
		delete(tables, replicaset.TableName)
		return tables
	}), nil
}

// admit learns the receiver's view, and checks that this member works with the same.
func (r *Rebuilder) admit(request dumpRequest) error {
	if request.View.Version > r.config.Views.View().Version {
		if err := r.config.Views.Learn(request.View); err != nil {
			return err
		}
	}
	view := r.config.Views.View()
	if view.Version != request.View.Version || !view.Has(request.Member) || !r.mayDonate() {
		return fmt.Errorf("%w: version %d", errOtherView, view.Version)
	}
	return nil
}

// mayDonate tells whether this process may give its snapshot: as a complete member, or as the complete member that the newest
// view has replaced. The latter votes no more, so that its snapshot has all that it ever voted for.
func (r *Rebuilder) mayDonate() bool { return r.Ready() || r.wasReplaced() }

// wasReplaced tells whether this process was complete in the view before the current one, and was replaced in this.
func (r *Rebuilder) wasReplaced() bool {
	view := r.config.Views.View()
	absences := r.config.Views.Absences()
	if absences == 0 || view.Replaced != r.config.Self || view.Has(r.config.Self) {
		return false
	}
	marker := r.config.Store.Table(TableName)[completeKey]
	return bytes.Equal(marker, completeMarker(absences-1))
}
