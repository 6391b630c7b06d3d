package configuration

import (
	"errors"
	"strconv"
	"time"
)

// OutcomeKind is how an update ended.
type OutcomeKind uint8

const (
	// Undecided is the zero value: nothing speaks against the update, but it has not been applied yet. Put never returns it.
	Undecided OutcomeKind = iota
	// Accepted means that the update is committed: it is in force, or was before later updates.
	Accepted
	// Invalid means that the update can never be applied.
	Invalid
	// Conflict means that a version above the update's If-Match is current.
	Conflict
	// Unclear means that the update may or may not have been applied; sent again, it is recognised.
	Unclear
	// Unavailable means that the update was not applied, as no majority was reached.
	Unavailable
)

// String returns the kind's name for logs.
func (k OutcomeKind) String() string {
	names := [...]string{"undecided", "accepted", "invalid", "conflict", "unclear", "unavailable"}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Outcome is how an update ended.
type Outcome struct {
	Kind       OutcomeKind
	Version    uint64        // the update's version, if accepted
	Current    uint64        // the version in force, in a conflict
	RetryAfter time.Duration // the hint for a retry, if unavailable; 0 without one
	Err        error         // why it was not accepted; nil if it was
}

func acceptedOutcome(version uint64) Outcome { return Outcome{Kind: Accepted, Version: version} }

func invalidOutcome(err error) Outcome { return Outcome{Kind: Invalid, Err: err} }

func conflictOutcome(current uint64) Outcome {
	return Outcome{Kind: Conflict, Current: current, Err: &ConflictError{Current: current}}
}

// ErrOlderThanHistory is why an update is unclear that is built on a version older than the history of applied updates.
var ErrOlderThanHistory = errors.New("the version in If-Match is so old that nobody can tell any more whether this change was taken; read the configuration and send the change on top of it")

// ErrBaseNotInForce is why an update is unclear that is built on a version above the one in force. Versions only rise, so that one
// may still come into force; a refusal would be wrong if the update, in flight to another node as well, were applied after it.
var ErrBaseNotInForce = errors.New("the version in If-Match is not in force yet; send it again, or read the configuration and send the change on top of it")

// ConflictError says which version is current, on which the update should have been built.
type ConflictError struct{ Current uint64 }

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return "version " + strconv.FormatUint(e.Current, 10) + " is current; read it and send the change on top of it"
}
