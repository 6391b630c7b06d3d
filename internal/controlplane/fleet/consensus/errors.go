package consensus

import (
	"errors"
	"fmt"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// ErrNotLeader is returned by Machine.Propose on a voter that is not the leader.
var ErrNotLeader = errors.New("this mixer does not lead the council")

var errNoDirectoryID = errors.New("the directory has no ID")

// directoryError wraps the value of a panic of the library about the contents of a directory.
type directoryError struct{ value any }

func (e directoryError) Error() string {
	return fmt.Sprintf("invalid contents of the directory: %v", e.value)
}

// voterIDMismatchError reports a voter that sent a message with the ID of another voter.
type voterIDMismatchError struct {
	from membership.Name
	id   uint64
}

func (e voterIDMismatchError) Error() string {
	return fmt.Sprintf("the message from %s has the sender ID %x, which belongs to another voter", e.from, e.id)
}

// staleTableError reports that a table of an operator's file is not newer than the one last applied from a file. Its text becomes
// part of the replicated state, so it must be the same at all voters.
type staleTableError struct {
	table          string
	found, current uint64
}

func (e staleTableError) Error() string {
	return fmt.Sprintf("%s: version %d is not above %d, which is held", e.table, e.found, e.current)
}
