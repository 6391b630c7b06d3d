package policy

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of events. Each comment lists the fields of Event that are set.
const (
	ListChanged        EventKind = iota // List, Entries
	QueryReceived                       // Query, QueryNumber, Index, Customer, Remaining, Hint, Subqueries, Resent
	SubqueryReceived                    // Subquery, QueryNumber, Index, Remaining, Hint, Shard, Weight
	ResponseStarted                     // Subquery, Call, Backend: the first part of a streamed answer was received
	CallEnded                           // Subquery, Call, Backend, Outcome, Elapsed, Load
	ClientDisconnected                  // Query
	TimerDue                            // Timer
	ProbeEnded                          // Backend, Outcome, Elapsed, Load
	MessageReceived                     // Peer, Message
	OverridesChanged                    // Override
)

// Outcome is the outcome of a call or a probe.
type Outcome uint8

// The outcomes.
const (
	Answered     Outcome = iota
	Errored              // the backend answered with an error
	Rejected             // the backend rejected the call without executing it
	TimedOut             // there was no answer until StopAt
	NotConnected         // no connection could be established
	Broken               // the connection broke
	Canceled             // a Cancel action ended the call
	NotSent              // the call was dropped before it was sent
)

// ListKind states which entries a list event contains.
type ListKind uint8

// The kinds of list events.
const (
	ListPatch    ListKind = iota // the entries that changed
	ListComplete                 // all entries
	ListStale                    // all entries, from a copy that may be out of date
	ListFailed                   // no entries: reading the list failed
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
	StartedAt float64 // 0 if the start is long past
}

// Load is a backend's own load report. Has states which fields are set.
type Load struct {
	Has                                                                                 LoadField
	InFlight, Queued, Utilization, ServiceTimeSeconds, ServedPerSecond, FailedPerSecond float64
}

// LoadField is a bit set of fields of Load.
type LoadField uint8

// The fields that a load report may contain.
const (
	HasInFlight LoadField = 1 << iota
	HasQueued
	HasUtilization
	HasServiceTime
	HasServed
	HasFailed
)

// Event is an input of Step. Its kind determines which fields are set.
type Event struct {
	Kind        EventKind
	List        ListKind
	Outcome     Outcome
	Resent      bool
	HasKey      bool
	Query       QueryID
	QueryNumber QueryNumber
	Subquery    SubqueryID
	Index       IndexID
	Customer    CustomerID
	Shard       ShardID
	Subqueries  int
	Key         uint64
	Remaining   float64 // time until the client's deadline
	Hint        float64 // expected work; 0 if not stated
	Weight      float64
	Call        CallNumber
	Backend     BackendID
	Elapsed     float64
	Load        Load
	Entries     []Entry
	Override    *Overrides
	Zones       *Zones // locations that may serve the query; nil for all
	Timer       TimerID
	Peer        AggregatorNumber
	Message     []byte
}
