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

// notReadyRetryAfter is the delay after which a receiver may repeat a request that this member refused.
const notReadyRetryAfter = 250 * time.Millisecond

var (
	// errNotReady is returned to a receiver if this member is incomplete itself.
	errNotReady = errors.New("this member is itself being rebuilt")
	// errViewMismatch is returned to a receiver if this member's view is another one, or does not contain the receiver. This
	// member might then still vote in rounds that the snapshot would not include.
	errViewMismatch = errors.New("this member has another view of the replicas")
)

// handleChunk serves one chunk of a snapshot. It stores the receiver's view before it takes the snapshot, so that this member
// no longer votes in the previous view.
func (r *Rebuilder) handleChunk(_ context.Context, request chunkRequest) (chunkReply, error) {
	if !r.mayDonate() {
		return chunkReply{}, rpcerror.WrapNotExecuted(errNotReady, notReadyRetryAfter)
	}
	if err := r.adoptReceiverView(request); err != nil {
		return chunkReply{}, rpcerror.WrapNotExecuted(err, notReadyRetryAfter)
	}
	if request.Chunk > 0 {
		return r.outgoing.laterChunk(request)
	}
	return r.outgoing.firstChunk(request, func() storage.Tables {
		tables := r.config.Store.Snapshot()
		delete(tables, TableName)
		delete(tables, replicaset.TableName)
		return tables
	}), nil
}

// adoptReceiverView learns the receiver's view if it is newer, and checks that this member has the same view.
func (r *Rebuilder) adoptReceiverView(request chunkRequest) error {
	if request.View.Version > r.config.Views.View().Version {
		if err := r.config.Views.Learn(request.View); err != nil {
			return err
		}
	}
	view := r.config.Views.View()
	if view.Version != request.View.Version || !view.Has(request.Member) || !r.mayDonate() {
		return fmt.Errorf("%w: version %d", errViewMismatch, view.Version)
	}
	return nil
}

// mayDonate reports whether this process may provide a snapshot. It may if it is a complete member, or if it was a complete
// member until the newest view replaced it. A replaced member no longer votes, so its snapshot includes everything that it
// voted for.
func (r *Rebuilder) mayDonate() bool { return r.Ready() || r.wasReplaced() }

// wasReplaced reports whether the current view replaced this process, and whether this process was complete until then.
func (r *Rebuilder) wasReplaced() bool {
	view := r.config.Views.View()
	absences := r.config.Views.Absences()
	if absences == 0 || view.Replaced != r.config.Self || view.Has(r.config.Self) {
		return false
	}
	marker := r.config.Store.Table(TableName)[completeKey]
	return bytes.Equal(marker, completeMarker(absences-1))
}
