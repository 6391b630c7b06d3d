package rebuild

import (
	"context"
	"strconv"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// TableName is the name of the table with the marker that this member's disk is complete. The table is local to the member
// and not replicated.
const TableName = "rebuild"

const completeKey = "complete"

// completeChange returns the write that marks this disk complete for a membership (see completeMarker).
func completeChange(absences uint64) storage.Change {
	return storage.Change{Table: TableName, Key: completeKey, Value: completeMarker(absences)}
}

// completeMarker returns the marker of a disk that is complete. It identifies the membership by its number, which is the
// number of absences before it plus 1.
func completeMarker(absences uint64) []byte { return strconv.AppendUint(nil, absences+1, 10) }

// Ready reports whether this member may vote and answer reads. It becomes false again when the member is replaced; the process
// must then exit.
func (r *Rebuilder) Ready() bool {
	select {
	case <-r.complete:
		return r.config.Views.Absences() == r.completeAbsences
	default:
		return false
	}
}

// Complete returns a channel that is closed when this member is complete for the first time. Ready is true from then on, until
// the member is replaced.
func (r *Rebuilder) Complete() <-chan struct{} { return r.complete }

// markComplete makes this member ready for the membership that began after the given number of absences.
func (r *Rebuilder) markComplete(absences uint64) {
	r.completeOnce.Do(func() {
		r.completeAbsences = absences
		close(r.complete)
	})
}

// Watch waits until this member has been complete and is then replaced, and returns ErrReplaced. It returns nil if the context
// ends first.
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
