package consensus

import (
	"errors"
	"fmt"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// ErrNotLeader is Propose's at a voter that does not lead.
var ErrNotLeader = errors.New("this mixer does not lead the council")

var errNoDirectoryID = errors.New("the directory has no number")

// directoryError is a panic of the library about what a directory contains.
type directoryError struct{ value any }

func (e directoryError) Error() string { return fmt.Sprintf("the directory: %v", e.value) }

// impostorError names a member that sends under another voter's ID.
type voterIDMismatchError struct {
	from membership.Name
	id   uint64
}

func (e voterIDMismatchError) Error() string {
	return fmt.Sprintf("%s speaks as %x, which is another voter's", e.from, e.id)
}

// staleTableError says that a table of a file is not newer than the one last applied from a file.
type staleTableError struct {
	table          string
	found, current uint64
}

func (e staleTableError) Error() string {
	return fmt.Sprintf("%s: version %d is not above %d, which is held", e.table, e.found, e.current)
}
