package rebuild

import (
	"context"
	"strconv"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// TableName is the store's table of the marker that this member is complete. It is the member's own, and not replicated.
const TableName = "rebuild"

const completeKey = "complete"

// completeChange is the write that marks this disk complete.
func completeChange(absences uint64) storage.Change {
	return storage.Change{Table: TableName, Key: completeKey, Value: completeMarker(absences)}
}

// completeMarker names the membership that a disk is complete for; the first one is 1.
func completeMarker(absences uint64) []byte { return strconv.AppendUint(nil, absences+1, 10) }

// Ready tells whether this member may vote and answer reads. Once it has become false again, the process is to end.
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

// markComplete makes this member ready, for the membership that is named by a number of absences.
func (r *Rebuilder) markComplete(membership uint64) {
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
