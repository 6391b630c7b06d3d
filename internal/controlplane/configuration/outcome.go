package configuration

import (
	"errors"
	"strconv"
	"time"
)

// OutcomeKind is how an order of the operator ended.
type OutcomeKind uint8

const (
	// Undecided is the zero value: nothing speaks against the order, but it has not been taken yet.
	Undecided OutcomeKind = iota
	// Accepted means that a majority holds the change: it is in force, or was before later changes.
	Accepted
	// Invalid means that the order can never be taken.
	Invalid
	// Conflict means that a version above the order's If-Match is current.
	Conflict
	// Unclear means that the order may or may not have been taken; sent again, it is recognised.
	Unclear
	// Unavailable means that the order was not taken, as no majority was reached.
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

// Outcome is the end of an order.
type Outcome struct {
	Kind       OutcomeKind
	Version    uint64        // the order's version, if accepted
	Current    uint64        // the version in force, in a conflict
	RetryAfter time.Duration // the pause asked for, if unavailable; 0 without a hint
	Err        error         // why it was not accepted; nil if it was
}

func acceptedOutcome(version uint64) Outcome { return Outcome{Kind: Accepted, Version: version} }

func invalidOutcome(err error) Outcome { return Outcome{Kind: Invalid, Err: err} }

func conflictOutcome(current uint64) Outcome {
	return Outcome{Kind: Conflict, Current: current, Err: &ConflictError{Current: current}}
}

// ErrOlderThanHistory is why an order is unclear that builds on a version older than the history of taken changes.
var ErrOlderThanHistory = errors.New("the version in If-Match is so old that nobody can tell any more whether this change was taken; read the configuration and send the change on top of it")

// ErrBaseNotInForce is why an order is unclear that builds on a version above the one in force. Versions only rise, so that one may
// still come into force; a refusal would be wrong if the order, on its way to another node as well, were taken after it.
var ErrBaseNotInForce = errors.New("the version in If-Match is not in force yet; send it again, or read the configuration and send the change on top of it")

// ConflictError tells which version an order should have been built on.
type ConflictError struct{ Current uint64 }

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return "version " + strconv.FormatUint(e.Current, 10) + " is current; read it and send the change on top of it"
}
