package policy

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
