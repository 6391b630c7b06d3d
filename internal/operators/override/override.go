// Package override validates operators' overrides and computes their effect. An override lowers the weight of a backend
// or location, takes it out of service, or pins a range of shards to one backend. Every override expires.
//
// The caller passes in the current time, commands and membership updates. The package returns patches for the decision
// module and the changes to store and publish. A command takes three steps: Decide computes its change, the caller
// stores that change, and Apply makes it effective. The set of live overrides is unchanged until Apply.
//
// The package does no I/O, does not read the clock and starts no goroutine.
//
// This file declares the types that callers use. decide.go validates commands, capacity.go checks how much capacity an
// override removes, table.go and members.go hold the state, ends.go expires overrides, precedence.go decides which
// override wins, patch.go builds patches, and view.go describes the state to operators.
package override

import (
	"fmt"

	"puffinlink.example/puffinlink/policy"
)

// Revision counts the changes of a table, starting at 1. The ID of an override is the revision that set it.
type Revision uint64

// Key is the idempotency key of a command. A command that is sent again with the same key is not applied again.
type Key string

// Kind is the effect of an override.
type Kind uint8

// The kinds of overrides.
const (
	Weight       Kind = iota // scales the share of a backend, or of every backend at a location
	OutOfService             // the backend or location receives no new subqueries
	Pin                      // a range of shards is served by one backend only
)

var kindNames = [...]string{"weight", "out", "pin"}

// String returns the kind's name as it appears in commands.
func (k Kind) String() string { return kindNames[k] }

// UnknownKindError is the name of a kind that does not exist.
type UnknownKindError string

// Error returns a message with the unknown name and the valid names.
func (e UnknownKindError) Error() string {
	return fmt.Sprintf("kind is %q, expected weight, out or pin", string(e))
}

// ParseKind returns the kind with the given name. Its error is an UnknownKindError.
func ParseKind(name string) (Kind, error) {
	for i, n := range kindNames {
		if n == name {
			return Kind(i), nil
		}
	}
	return 0, UnknownKindError(name)
}

// Spec describes an override as the operator requested it. Exactly one of Backend and Location is set. Times are in
// seconds of the clock that the caller of the Table uses.
type Spec struct {
	Kind         Kind           `json:"Kind"`
	Backend      string         `json:"Searcher"`
	Location     string         `json:"Location"` // applies to all backends there; not allowed for a pin
	From         policy.ShardID `json:"From"`     // Pin: the first shard
	To           policy.ShardID `json:"To"`       // Pin: the last shard
	Index        string         `json:"Index"`    // the only index that it applies to; "" for all
	Factor       float64        `json:"Factor"`   // Weight: greater than 0, at most 1
	Strict       bool           `json:"Strict"`   // Pin: subqueries are refused, not sent to other replicas, while the backend is down
	Author       string         `json:"Author"`
	Reason       string         `json:"Reason"`
	ExpiresAt    float64        `json:"End"`
	UntilRestart bool           `json:"UntilRestart"` // it also ends when its backend restarts
}

// Override is a live override.
type Override struct {
	Spec
	ID               Revision `json:"ID"`
	SetAt            float64  `json:"Since"`
	BackendStartedAt float64  `json:"Started"` // UntilRestart: the backend's start time that was known when the override was set
}

// Op is the operation of a command.
type Op uint8

// The operations of commands.
const (
	Set Op = iota
	Clear
)

// Command is an operator's request to set or clear an override.
type Command struct {
	Key              Key // "" for none: each copy that is sent is then a command of its own
	ExpectedRevision Revision
	Op               Op
	Spec             Spec     // Set; its ExpiresAt applies if Duration is 0
	Duration         float64  // Set: seconds from the first acceptance to the expiry; a resend does not extend it
	ID               Revision // Clear
	Author           string   // Clear
	Reason           string   // Clear
	Force            bool     // bypasses the guard rails, but no other check
}

// ChangeKind is the effect of a change.
type ChangeKind uint8

// The kinds of changes.
const (
	SetByOperator ChangeKind = iota
	ClearedByOperator
	Expired
	EndedByRestart
)

var changeKindNames = [...]string{"set", "cleared", "ended", "restarted"}

// String returns the name of the kind of change, as operators see it and as counters use it.
func (k ChangeKind) String() string { return changeKindNames[k] }

// Change is the change of one revision, as it is stored and as watchers receive it.
type Change struct {
	Revision  Revision   `json:"Revision"`
	ChangedAt float64    `json:"At"`
	Kind      ChangeKind `json:"What"`
	Override  Override   `json:"Override"` // the override that was set, cleared or ended
	Author    string     `json:"Author"`
	Reason    string     `json:"Reason"`
	Key       Key        `json:"Key"`
	Digest    uint64     `json:"Digest"` // of the command; detects a key that is reused for a different command
	Forced    []string   `json:"Forced"` // guard rails that Force bypassed
}

// Code is the reason for which a command is refused.
type Code string

// The codes of refusals.
const (
	Invalid          Code = "invalid"        // the command is invalid; Force does not help
	Conflict         Code = "conflict"       // the table is at another revision than the command expects
	KeyReused        Code = "key_reused"     // the key was used for a different command
	Unknown          Code = "unknown"        // no such override
	TooMany          Code = "too_many"       // a limit on the number of overrides or pins is reached
	LastReplica      Code = "last_holder"    // no replica of a shard would be left in service
	ShardCapacity    Code = "shard_capacity" // the overrides together would remove too much of a shard's capacity
	LocationCapacity Code = "place_capacity" // the overrides together would remove too much of a location's capacity
	NotAReplica      Code = "not_a_holder"   // the backend holds no replica of a shard of the pin
	Absent           Code = "absent"         // the backend, or any backend of the location, is missing from the membership list
)

// forceableCodes are the codes of the guard rails, which Force bypasses.
var forceableCodes = map[Code]bool{LastReplica: true, ShardCapacity: true, LocationCapacity: true, NotAReplica: true, Absent: true}

// Refusal is the error of a command that is refused.
type Refusal struct {
	Code Code
	Text string // what is wrong, and what was expected
}

// Error returns the code and the text.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Text }

func refuse(code Code, format string, args ...any) error {
	return &Refusal{code, fmt.Sprintf(format, args...)}
}

// Member is a backend of the membership list, with the names that the list uses.
type Member struct {
	Name      string
	ID        policy.BackendID
	Location  string
	Cell      policy.CellID
	Phase     policy.Phase
	Share     float64 // relative capacity; 0 if unknown, which counts as 1
	StartedAt float64
}

// Limits configures a table. Times are in seconds.
type Limits struct {
	Indexes         []string `json:"Indexes"`
	Shards          int      `json:"Shards"`
	Cells           int      `json:"Cells"`     // cells of the layout
	Width           int      `json:"Width"`     // consecutive cells that hold the replicas of a shard
	MaxDuration     float64  `json:"MostTime"`  // longest time until an override expires
	MaxOverrides    int      `json:"Most"`      // live overrides
	MaxPins         int      `json:"MostPins"`  // pinned shards, counted once for each pin that covers them
	MaxShardLoss    float64  `json:"ShardGone"` // share of a shard's capacity that all overrides together may remove
	MaxLocationLoss float64  `json:"PlaceGone"` // the same for a location's capacity
	SlowStart       float64  `json:"Ramp"`      // how long a single backend takes to recover from 0 to its full level
	RecoveryRate    float64  `json:"Together"`  // share of all backends, and of all pinnable shards, that may recover per second
}

// Defaults returns the limits that apply where the operator's file sets none.
//   - MaxDuration is a working day, the longest time for which the operator who set an override can still be asked.
//   - MaxShardLoss of one half allows one of two replicas to be removed.
//   - SlowStart is long enough for a concurrency window to grow from its initial size to many times that.
//   - RecoveryRate lets the whole fleet recover in half a minute.
func Defaults() Limits {
	return Limits{MaxDuration: 12 * 3600, MaxOverrides: 10000, MaxPins: 65536, MaxShardLoss: 0.5, MaxLocationLoss: 0.5, SlowStart: 10, RecoveryRate: 1.0 / 30}
}
