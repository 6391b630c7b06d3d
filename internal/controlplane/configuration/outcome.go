package configuration

import (
	"errors"
	"strconv"
	"time"
)

// OutcomeKind classifies the outcome of an update.
type OutcomeKind uint8

const (
	// Undecided is the zero value: the update may be applied, but has not been applied yet. Put never returns it.
	Undecided OutcomeKind = iota
	// Accepted means that the update is committed. It is in force, or was in force until a later update replaced it.
	Accepted
	// Invalid means that the update can never be applied.
	Invalid
	// Conflict means that a version above the update's If-Match is current.
	Conflict
	// Unclear means that the update may or may not have been applied. The operator may safely send it again.
	Unclear
	// Unavailable means that the update was not applied because no majority was reached.
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

// Outcome is the result of an update.
type Outcome struct {
	Kind       OutcomeKind
	Version    uint64        // version of the update, if Accepted
	Current    uint64        // version in force, if Conflict
	RetryAfter time.Duration // suggested delay before a retry, if Unavailable; 0 if there is none
	Err        error         // why the update was not accepted; nil if Accepted
}

func acceptedOutcome(version uint64) Outcome { return Outcome{Kind: Accepted, Version: version} }

func invalidOutcome(err error) Outcome { return Outcome{Kind: Invalid, Err: err} }

func conflictOutcome(current uint64) Outcome {
	return Outcome{Kind: Conflict, Current: current, Err: &ConflictError{Current: current}}
}

// ErrOlderThanHistory is the reason of an Unclear outcome for an update that is based on a version older than the history of
// applied updates.
var ErrOlderThanHistory = errors.New("the version in If-Match is so old that nobody can tell any more whether this change was taken; read the configuration and send the change on top of it")

// ErrBaseNotInForce is the reason of an Unclear outcome for an update that is based on a version above the one in force. That
// version may still come into force. A copy of the update, sent to another node, could then be applied, so a rejection now could
// turn out to be wrong.
var ErrBaseNotInForce = errors.New("the version in If-Match is not in force yet; send it again, or read the configuration and send the change on top of it")

// ConflictError reports the current version. The update was based on an older one.
type ConflictError struct{ Current uint64 }

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return "version " + strconv.FormatUint(e.Current, 10) + " is current; read it and send the change on top of it"
}
