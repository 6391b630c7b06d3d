// Package override decides what operators' overrides do: weights, backends out of service and pins. Clock, commands
// and lists go in; a patch for the decision module, and what changed, come out. It does no I/O, has no clock and no
// goroutine. A command is decided, then kept by whoever keeps it, then applied: between the two nothing has changed.
//
// Files: this one holds what goes in and out, decide.go the commands and their guard rails, capacity.go
// the guard rails of capacity, table.go, members.go and
// ends.go what is remembered, precedence.go which override stands above which, patch.go the patches, view.go what is shown.
package override

import (
	"fmt"

	"puffinlink.example/puffinlink/policy"
)

// Revision counts the changes of a table, from 1. An override is named by the revision that set it.
type Revision uint64

// Key names a command, so that the same one sent twice acts once.
type Key string

// Kind is what an override does.
type Kind uint8

// The kinds of overrides.
const (
	Weight Kind = iota // a factor on the share of a backend or of all at a location
	Out                // no new part call there
	Pin                // a range of shards goes to one backend alone
)

var kindNames = [...]string{"weight", "out", "pin"}

// String is the kind's name, as commands state it.
func (k Kind) String() string { return kindNames[k] }

// UnknownKindError is a kind's name that there is not.
type UnknownKindError string

// Error names the kind and those that there are.
func (e UnknownKindError) Error() string {
	return fmt.Sprintf("kind is %q, expected weight, out or pin", string(e))
}

// KindOf reads a kind's name.
func KindOf(name string) (Kind, error) {
	for i, n := range kindNames {
		if n == name {
			return Kind(i), nil
		}
	}
	return 0, UnknownKindError(name)
}

// Spec is what an operator wants. Exactly one of Backend and Location is stated; times are the clock's seconds.
type Spec struct {
	Kind         Kind           `json:"Kind"`
	Backend      string         `json:"Searcher"`
	Location     string         `json:"Location"` // instead of a backend: all there; not for a pin
	From         policy.ShardID `json:"From"`     // Pin: the first shard
	To           policy.ShardID `json:"To"`       // Pin: the last shard
	Index        string         `json:"Index"`    // of which alone; "" for every one
	Factor       float64        `json:"Factor"`   // Weight: over 0 and up to 1
	Strict       bool           `json:"Strict"`   // Pin: refused, not given to siblings, while its backend is dead
	Author       string         `json:"Author"`
	Reason       string         `json:"Reason"`
	End          float64        `json:"End"`          // when it ends by itself
	UntilRestart bool           `json:"UntilRestart"` // it ends earlier, with the next start of its backend
}

// Override is one that holds.
type Override struct {
	Spec
	ID      Revision `json:"ID"`
	Since   float64  `json:"Since"`
	Started float64  `json:"Started"` // UntilRestart: the start known when it was set
}

// Op is what a command does.
type Op uint8

// The operations of commands.
const (
	Set Op = iota
	Clear
)

// Command is what an operator sends.
type Command struct {
	Key    Key // "" for none: then it acts as often as it is sent
	For    Revision
	Op     Op
	Spec   Spec     // Set; its End counts where Lasts is 0
	Lasts  float64  // Set: it ends so long after it is taken, however often it is sent
	ID     Revision // Clear
	Author string   // Clear
	Reason string   // Clear
	Force  bool     // overrules guard rails, and nothing else
}

// What is what a change did.
type What uint8

// What changes did.
const (
	WasSet What = iota
	WasCleared
	HasEnded
	HasRestarted
)

var whatNames = [...]string{"set", "cleared", "ended", "restarted"}

// String names what the change did, as changes are shown and counted.
func (w What) String() string { return whatNames[w] }

// Change is one revision, as it is kept and as it is told to who watches.
type Change struct {
	Revision Revision `json:"Revision"`
	At       float64  `json:"At"`
	What     What     `json:"What"`
	Override Override `json:"Override"` // WasSet: what holds from now on; else what held
	Author   string   `json:"Author"`
	Reason   string   `json:"Reason"`
	Key      Key      `json:"Key"`
	Digest   uint64   `json:"Digest"` // of the command, against a key used for another
	Forced   []string `json:"Forced"` // guard rails that were overruled
}

// Code is why a command is refused.
type Code string

// The codes of refusals.
const (
	Invalid          Code = "invalid"        // it can't be meant; force changes nothing
	Conflict         Code = "conflict"       // made for another revision
	KeyReused        Code = "key_reused"     // the key was another command's
	Unknown          Code = "unknown"        // no such override
	TooMany          Code = "too_many"       // a cap is reached
	LastReplica      Code = "last_holder"    // a shard would be left with nobody
	ShardCapacity    Code = "shard_capacity" // too much of a shard's capacity would be gone
	LocationCapacity Code = "place_capacity" // too much of a location's capacity would be gone
	NotAReplica      Code = "not_a_holder"   // the backend does not hold the shards of the pin
	Absent           Code = "absent"         // the list does not name it
)

// guards are the codes that force overrules.
var guards = map[Code]bool{LastReplica: true, ShardCapacity: true, LocationCapacity: true, NotAReplica: true, Absent: true}

// Refusal is the error of a command that is not taken.
type Refusal struct {
	Code Code
	Text string // what is wrong, and what was expected
}

// Error is the code and the text.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Text }

func refuse(code Code, format string, args ...any) error {
	return &Refusal{code, fmt.Sprintf(format, args...)}
}

// Member is a backend as the list names it, in the list's own names.
type Member struct {
	Name     string
	ID       policy.BackendID
	Location string
	Cell     policy.CellID
	Phase    policy.Phase
	Share    float64 // its capacity against others', 0 for not stated
	Started  float64
}

// Limits are a table's caps and figures. Times are seconds.
type Limits struct {
	Indexes         []string `json:"Indexes"`
	Shards          int      `json:"Shards"`
	Cells           int      `json:"Cells"`
	Width           int      `json:"Width"`
	MaxDuration     float64  `json:"MostTime"`  // the longest that an override may hold
	MaxOverrides    int      `json:"Most"`      // overrides at once
	MaxPins         int      `json:"MostPins"`  // shards pinned at once, each counted as often as it is
	MaxShardLoss    float64  `json:"ShardGone"` // share of a shard's capacity that overrides may take together
	MaxLocationLoss float64  `json:"PlaceGone"` // the same of a location's
	SlowStart       float64  `json:"Ramp"`      // how long one backend alone takes to come back from nothing
	RecoveryRate    float64  `json:"Together"`  // share of all backends, and of all shards, that may come back in a second
}

// Defaults are what holds where the operator's file says nothing. A working day is the longest for which whoever set
// one can be asked; half of a shard is one of two replicas; in a ramp's time a window grows from its start to many
// times that; together a fleet comes back in half a minute.
func Defaults() Limits {
	return Limits{MaxDuration: 12 * 3600, MaxOverrides: 10000, MaxPins: 65536, MaxShardLoss: 0.5, MaxLocationLoss: 0.5, SlowStart: 10, RecoveryRate: 1.0 / 30}
}
