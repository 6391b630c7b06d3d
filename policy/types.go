// Package policy decides what an aggregator does with its queries. New starts an instance from its settings; Step takes
// the clock and all that happened since the last call, in order, and appends what to do. Between two calls nothing
// moves: no I/O, no clock, no goroutine, nothing shared.
//
// This file is the package's interface. Every decision, table and tuned value stands in the files policy_*.go; what an
// instance remembers, and the counting that keeps it whole, stands in the files state_*.go, which decide nothing. The
// ordinary path is the scheduling rule SWAG; docs/design.md says when each exception to it acts.
package policy

// Each kind of id is a type of its own. Ids carry no meaning beyond identity.
type (
	// QueryID names a query.
	QueryID uint64
	// QueryNo numbers the queries of a client.
	QueryNo int64
	// SubqueryID names a part of a query.
	SubqueryID uint64
	// BackendID names a backend.
	BackendID uint32
	// IndexID names an index.
	IndexID int
	// CustomerID names a customer.
	CustomerID int
	// LocationID names a location.
	LocationID int
	// ShardID names a shard.
	ShardID int
	// CellID names a cell of the layout of shards on backends.
	CellID int
	// CallNo numbers the calls of a part.
	CallNo int
	// AggregatorNo numbers the aggregators.
	AggregatorNo int
	// TimerID names a timer.
	TimerID int
)

// Effect tells what running a part twice would do.
type Effect uint8

// The effects.
const (
	Idempotent Effect = iota
	Fingerprinted
	OnceOnly
)

// Settings are what an instance is told at its start. Times are seconds; a zero value means not stated.
type Settings struct {
	Seed          uint64
	Self          AggregatorNo
	Aggregators   int
	Location      LocationID
	Step          float64 // least time between two calls of Step
	Indexes       []IndexSettings
	Customers     []CustomerSettings
	OverShare     float64 // what a query past its customer's share is worth, as a share of its gain
	ListOnRequest bool    // the list comes only when asked for
	Layout        Layout
	Limits        Limits
	Rules         Rules
	Prices        Prices
}

// IndexSettings describe one index of query.
type IndexSettings struct {
	Soft, Hard        float64
	Value, LateValue  float64
	Effect            Effect
	DedupS            float64 // how long repeats of a fingerprinted part are dropped
	Required, Minimum float64 // shares of weight for a whole answer, and for any
	PartialValue      float64
	SecondStep        int // parts of the second step, 0 for none
}

// CustomerSettings describe one customer's share of the service.
type CustomerSettings struct {
	Share, QuotaPerS float64
}

// Layout says which backends hold a shard: those of cells shard, shard+1, ... shard+Width-1, modulo Cells.
type Layout struct {
	Cells, Width   int
	CallSubqueries int // parts that may share one call
	CallCost       float64
}

// Limits say what the deployment permits.
type Limits struct {
	Cancel, Probe, PeerMessages, Hedge, RetryAfter bool
	MaxAttempts, MaxPending                        int
	MaxRetryAfter, ConnectTimeout                  float64
}

// Rules are the figures of the six rules.
type Rules struct {
	AnswerSlack, ListPollEvery                    float64
	SlowStartShare, SlowStartS                    float64
	DrainGrace                                    float64
	CrashMultiple, CrashWindowS                   float64
	RetryBudget                                   bool
	RetryBudgetFree, RetryBudgetPer, RetryBudgetS float64
}

// Prices are taken off the service, each times its rate.
type Prices struct {
	CrossLocation, Waste, Probe, LateFail, Handshake, Connection, Peer, Lists float64
}

// EventKind names what happened.
type EventKind uint8

// The kinds of events, each with the fields that count for it.
const (
	ListChanged        EventKind = iota // List, Backends
	QueryReceived                       // Query, No, Index, Customer, Left, Hint, Parts, Resent
	SubqueryReceived                    // Part, No, Index, Left, Hint, Shard, Weight
	CallBegan                           // Part, Call, Backend: a streamed answer has begun
	CallEnded                           // Part, Call, Backend, Outcome, Elapsed, Load
	ClientDisconnected                  // Query
	TimerDue                            // Timer
	ProbeEnded                          // Backend, Outcome, Elapsed, Load
	MessageArrived                      // Peer, Message
	OverridesChanged                    // Override
)

// Outcome is how a part call or a probe ended.
type Outcome uint8

// The outcomes.
const (
	Answered Outcome = iota
	Errored
	Rejected
	TimedOut
	NotConnected
	Broken
	Canceled
	NotSent
)

// ListKind tells what a list event holds.
type ListKind uint8

// The kinds of list events.
const (
	ListPatch ListKind = iota
	ListComplete
	ListStale
	ListFailed
)

// Phase is what the list says of a backend.
type Phase uint8

// The phases.
const (
	Ready Phase = iota
	Draining
	Removed
)

// Entry is one backend as the list names it.
type Entry struct {
	Backend   BackendID
	Location  LocationID
	Kind      int
	Cell      CellID
	Phase     Phase
	Share     float64
	StartedAt float64 // 0: long past
}

// Load is a backend's own report; Has tells which fields are stated.
type Load struct {
	Has                                                LoadField
	InFlight, Queued, Util, ServiceS, ServedPS, FailPS float64
}

// LoadField is a bit for each field of a Load.
type LoadField uint8

// The fields that a Load may state.
const (
	HasInFlight LoadField = 1 << iota
	HasQueued
	HasUtil
	HasService
	HasServed
	HasFail
)

// Overrides are what operators changed of their overrides, as a patch: what it does not name stays. Drains and
// backends that are gone stand above them, and so do the six rules.
//
// What aggregators agree on reaches the module the same way: zones stand over all that operators override, and judgements
// under everything an aggregator sees itself.
type Overrides struct {
	Backends         []BackendOverride
	Pins             []PinOverride
	Zones            []ZonesOverride
	PeerObservations []PeerObservation
}

// BackendOverride is all that holds for one backend and index from now on. It ends with the backend's number: one
// that the list names anew is told of anew.
type BackendOverride struct {
	Backend  BackendID
	Index    IndexID
	Excluded bool    // no new part call goes there; calls out end well
	Weight   float64 // share of its usual part calls, over 0 and up to 1
}

// PinOverride is all that pins one shard of one index from now on.
type PinOverride struct {
	Shard   ShardID
	Index   IndexID
	Backend BackendID // to which; 0 for none any more
	Strict  bool      // if that can't be reached, the parts are refused, else its siblings take them
	Share   float64   // of the parts that are bound by it, 1 but for a pin that wanes
}

// Zones is a set of locations that a query is kept to. It is made before it is used, and never changed then.
type Zones struct{ in map[LocationID]bool }

// NewZones is a set without any.
func NewZones() *Zones { return &Zones{map[LocationID]bool{}} }

// Allow adds a location.
func (z *Zones) Allow(at LocationID) { z.in[at] = true }

// Allows tells whether a location is in it; of none at all, everything is.
func (z *Zones) Allows(at LocationID) bool { return z == nil || z.in[at] }

// ZonesOverride keeps queries that are held already to other zones.
type ZonesOverride struct {
	Query QueryID
	Zones *Zones
}

// PeerObservation is what other aggregators found of a backend. It counts as long as our own evidence is thin, in place of the
// average, for so many seconds.
type PeerObservation struct {
	Backend         BackendID
	LatencyMultiple float64 // of the usual latency; 0 for no judgement any more
	Until           float64 // clock time
}

// Event is one thing that happened; its kind says which fields count.
type Event struct {
	Kind       EventKind
	List       ListKind
	Outcome    Outcome
	Resent     bool
	HasKey     bool
	Query      QueryID
	No         QueryNo
	Subquery   SubqueryID
	Index      IndexID
	Customer   CustomerID
	Shard      ShardID
	Subqueries int
	Key        uint64
	Remaining  float64
	Hint       float64 // expected work, 0 if not stated
	Weight     float64
	Call       CallNo
	Backend    BackendID
	Elapsed    float64
	Load       Load
	Entries    []Entry
	Override   *Overrides
	Zones      *Zones // of a query: where its parts may go, nil for everywhere
	Timer      TimerID
	Peer       AggregatorNo
	Message    []byte
}

// ActionKind names what to do.
type ActionKind uint8

// The kinds of actions, each with the fields that count for it.
const (
	Send            ActionKind = iota // Part, Backend, StopAt, BeginBy
	Cancel                            // Part, Call
	Answer                            // Query, Whole
	Nack                              // Query, Wait
	Abort                             // Query
	SetTimer                          // Timer, Wait
	Probe                             // Backend, Apart
	CloseIdle                         // Backend
	NotifyPeer                        // Peer (AllPeers for every one), Message
	Subscribe                         // On
	RequestFullList                   // no fields
	LogNote                           // Text
)

// AllPeers addresses a message to every other aggregator.
const AllPeers AggregatorNo = -1

// Action is one thing to do; its kind says which fields count.
type Action struct {
	Kind               ActionKind
	Complete           bool
	On                 bool
	SeparateConnection bool // where nothing else is out: whether the backend lives, and not a connection to it
	Query              QueryID
	Subquery           SubqueryID
	Backend            BackendID
	Call               CallNo
	StopAt             float64 // clock time, 0 for when the client gives up
	BeginBy            float64 // clock time after which it may not begin any more, 0 for StopAt
	Wait               float64
	Timer              TimerID
	Peer               AggregatorNo
	Message            []byte
	Text               string
}
