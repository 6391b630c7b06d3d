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
	// SubqueryID names a subquery of a query.
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
	// CallNo numbers the calls of a subquery.
	CallNo int
	// AggregatorNo numbers the aggregators.
	AggregatorNo int
	// TimerID names a timer.
	TimerID int
)

// Effect tells whether a subquery may be executed twice.
type Effect uint8

// The effects.
const (
	Idempotent    Effect = iota // harmless at any time
	Fingerprinted               // harmless within DedupS, in which backends drop repeats
	OnceOnly                    // not allowed
)

// Settings are an instance's settings. Times are in seconds; a zero value means not stated.
type Settings struct {
	Seed          uint64
	Self          AggregatorNo
	Aggregators   int
	Location      LocationID
	Step          float64 // least time between two calls of Step
	Indexes       []IndexSettings
	Customers     []CustomerSettings
	OverShare     float64 // value of a query over its customer's quota, as a share of its usual value
	ListOnRequest bool    // the list comes only on request
	Layout        Layout
	Limits        Limits
	Rules         Rules
	Prices        Prices
}

// IndexSettings are the settings of an index.
type IndexSettings struct {
	Soft, Hard        float64 // deadlines, in seconds from arrival
	Value, LateValue  float64 // of an answer; share of it after the soft deadline
	Effect            Effect
	DedupS            float64 // how many seconds backends drop repeats of a fingerprinted subquery
	Required, Minimum float64 // shares of the weight for a complete answer, and for any
	PartialValue      float64 // of a partial answer, by its share of the weight
	SecondStep        int     // most subqueries of the second step, 0 for none
}

// CustomerSettings describe one customer's share of the service.
type CustomerSettings struct {
	Share, QuotaPerS float64
}

// Layout says which backends hold a shard: those of cells shard, shard+1, ... shard+Width-1, modulo Cells.
type Layout struct {
	Cells, Width   int
	CallSubqueries int // subqueries that may share one call
	CallCost       float64
}

// Limits are what the deployment permits.
type Limits struct {
	Cancel, Probe, PeerMessages, Hedge, RetryAfter bool
	MaxAttempts, MaxPending                        int
	MaxRetryAfter, ConnectTimeout                  float64
}

// Rules are the parameters of the six rules of docs/design.md. Fields ending in S are in seconds.
type Rules struct {
	AnswerSlack, ListPollEvery                    float64
	SlowStartShare, SlowStartS                    float64
	DrainGrace                                    float64
	CrashMultiple, CrashWindowS                   float64
	RetryBudget                                   bool
	RetryBudgetFree, RetryBudgetPer, RetryBudgetS float64
}

// Prices are deducted from the service's value, each times its rate.
type Prices struct {
	CrossLocation, Waste, Probe, LateFail, Handshake, Connection, Peer, Lists float64
}

// EventKind names what happened.
type EventKind uint8

// The kinds of events, each with the fields that count for it.
const (
	ListChanged        EventKind = iota // List, Backends
	QueryReceived                       // Query, No, Index, Customer, Remaining, Hint, Subqueries, Resent
	SubqueryReceived                    // Subquery, No, Index, Remaining, Hint, Shard, Weight
	CallBegan                           // Subquery, Call, Backend: a streamed answer has begun
	CallEnded                           // Subquery, Call, Backend, Outcome, Elapsed, Load
	ClientDisconnected                  // Query
	TimerDue                            // Timer
	ProbeEnded                          // Backend, Outcome, Elapsed, Load
	MessageArrived                      // Peer, Message
	OverridesChanged                    // Override
)

// Outcome is how a call or a probe ended.
type Outcome uint8

// The outcomes.
const (
	Answered     Outcome = iota
	Errored              // the backend answered with an error
	Rejected             // the backend rejected it without executing it
	TimedOut             // no answer until its StopAt
	NotConnected         // no connection could be made
	Broken               // the connection broke
	Canceled             // by a Cancel action
	NotSent              // given up before it was sent
)

// ListKind tells what a list event holds.
type ListKind uint8

// The kinds of list events.
const (
	ListPatch    ListKind = iota // the entries that changed
	ListComplete                 // all entries
	ListStale                    // all entries, from a copy that may be out of date
	ListFailed                   // none: the list could not be read
)

// Phase is a backend's phase in the list.
type Phase uint8

// The phases.
const (
	Ready Phase = iota
	Draining
	Removed
)

// Entry is a backend's entry in the list.
type Entry struct {
	Backend   BackendID
	Location  LocationID
	Kind      int
	Cell      CellID
	Phase     Phase
	Share     float64
	StartedAt float64 // 0: long past
}

// Load is a backend's own load report; Has tells which fields are stated.
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

// Overrides is a change of operators' overrides; what it does not name stays. Drains, removals and the six rules take
// precedence over overrides.
//
// What aggregators agree on comes the same way: zones take precedence over all overrides, and everything that an
// aggregator observes itself over its peers' observations.
type Overrides struct {
	Backends         []BackendOverride
	Pins             []PinOverride
	Zones            []ZonesOverride
	PeerObservations []PeerObservation
}

// BackendOverride is the complete override of one backend and index from now on. It ends when the backend is removed: if
// the list names it anew, the override has to be given anew.
type BackendOverride struct {
	Backend  BackendID
	Index    IndexID
	Excluded bool    // it gets no new calls; calls in flight go on
	Weight   float64 // share of its usual calls, over 0 and up to 1
}

// PinOverride is the complete pin of one shard of one index from now on.
type PinOverride struct {
	Shard   ShardID
	Index   IndexID
	Backend BackendID // 0 to remove the pin
	Strict  bool      // while the backend is unreachable, subqueries are refused; else its siblings serve them
	Share   float64   // of the subqueries that it applies to; below 1 while a pin is phased out
}

// Zones is the set of locations that may serve a query. It must not be changed once it is in use.
type Zones struct{ in map[LocationID]bool }

// NewZones makes an empty set.
func NewZones() *Zones { return &Zones{map[LocationID]bool{}} }

// Allow adds a location.
func (z *Zones) Allow(at LocationID) { z.in[at] = true }

// Allows tells whether a location is in the set; a nil set has all.
func (z *Zones) Allows(at LocationID) bool { return z == nil || z.in[at] }

// ZonesOverride changes the zones of a query that was received before.
type ZonesOverride struct {
	Query QueryID
	Zones *Zones
}

// PeerObservation is what other aggregators observed of a backend. Until its time it stands in for the average latency,
// which counts while an aggregator has few observations of its own.
type PeerObservation struct {
	Backend         BackendID
	LatencyMultiple float64 // of the usual latency; 0 withdraws the observation
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
	Zones      *Zones // of a query: locations that may serve it, nil for all
	Timer      TimerID
	Peer       AggregatorNo
	Message    []byte
}

// ActionKind names what to do.
type ActionKind uint8

// The kinds of actions, each with the fields that count for it.
const (
	Send            ActionKind = iota // Subquery, Backend, StopAt, BeginBy
	Cancel                            // Subquery, Call
	Answer                            // Query, Complete
	Nack                              // Query, Wait
	Abort                             // Query
	SetTimer                          // Timer, Wait
	Probe                             // Backend, SeparateConnection
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
	SeparateConnection bool // of a probe: it tests the backend, not an existing connection
	Query              QueryID
	Subquery           SubqueryID
	Backend            BackendID
	Call               CallNo
	StopAt             float64 // clock time; 0 for the client's deadline
	BeginBy            float64 // clock time after which it must not be executed; 0 for StopAt
	Wait               float64
	Timer              TimerID
	Peer               AggregatorNo
	Message            []byte
	Text               string
}
