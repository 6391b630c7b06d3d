package aggregator

import (
	"time"

	"puffinlink.example/puffinlink/policy"
)

// Query is one that a client asked for. Until its Done has an answer it is the aggregator's.
type Query struct {
	ID         string // the client's; it is part of the names of part calls
	Index      policy.IndexID
	Customer   policy.CustomerID
	Key        uint64
	HasKey     bool
	Resent     bool
	Arrived    time.Time
	Timeout    float64 // how long from then the client waits
	Query      []byte  // what each part carries
	Subqueries []Subquery
	Done       chan Reply // holds one

	id policy.QueryID
}

// Subquery is one of a query's; its Value is there once it is In.
type Subquery struct {
	Shard        policy.ShardID
	Weight, Hint float64
	Key          uint64
	HasKey       bool
	Answered     bool
	Value        []byte

	attempts policy.CallNo // part calls so far
}

// End is how a query ended for its client.
type End uint8

// The ends of a query.
const (
	Satisfied End = iota
	Nacked
	Aborted
	QueueFull // the most that may be held is held; the module never saw it
	Duplicate
)

// Reply is the final answer of a query.
type Reply struct {
	End        End
	Complete   bool
	RetryAfter float64 // advice when to come back, 0 for none
	Text       string  // why a gate refused it
}

// Event is what an actor tells the module's: one of the module's own events with what it has no place for. A
// query comes as one event, which brings its parts.
type Event struct {
	policy.Event
	ClientQuery      *Query            // LookupTaken, and ClientGone
	Value            []byte            // CallEnded
	Addresses        []string          // ListChanged: one for each entry
	Names            []Name            // the same
	Rules            *Rules            // OverridesChanged: what a gate goes by from here on
	PeerObservations []PeerObservation // the same: what it makes of backends
}

// Name is what the list calls a backend and its location, where the module has numbers.
type Name struct{ Backend, Location string }

// Call is one part call on its way to a backend.
type Call struct {
	Subquery policy.SubqueryID
	No       policy.CallNo
	Query    *Query // of which only what never changes may be read
	Shard    policy.ShardID
	Sent     time.Time
	Stop     time.Time // when to stop waiting
	Begin    time.Time // by when it has to be on its way, whatever held it up; after it, it is not begun
}

// Backends takes what goes to backends. None of its methods may block.
type Backends interface {
	Update(entry policy.Entry, address string)
	Retain(keep map[policy.BackendID]bool)
	Send(to policy.BackendID, calls []Call)
	Cancel(at policy.BackendID, subquery policy.SubqueryID, no policy.CallNo)
	Probe(at policy.BackendID, apart bool)
	CloseIdle(at policy.BackendID)
}

// Discovery takes what is asked of the list. None of its methods may block.
type Discovery interface {
	Subscribe(on bool)
	RequestFullList()
}
