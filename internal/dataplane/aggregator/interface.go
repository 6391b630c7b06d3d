package aggregator

import (
	"time"

	"puffinlink.example/puffinlink/policy"
)

// Event is an event for the aggregator: one of the policy's events with what it has no field for. A query comes as one
// event, which brings its subqueries.
type Event struct {
	policy.Event
	ClientQuery      *Query            // LookupTaken, and ClientGone
	Value            []byte            // CallEnded
	Addresses        []string          // ListChanged: one for each entry
	Names            []Name            // the same
	Rules            *Rules            // OverridesChanged: what a gate goes by from here on
	PeerObservations []PeerObservation // the same: what it makes of backends
}

// Name has the list's names of a backend and of its location, for which the policy has numbers.
type Name struct{ Backend, Location string }

// Call is a subquery's call to a backend.
type Call struct {
	Subquery policy.SubqueryID
	Number       policy.CallNo
	Query    *Query // of which only what never changes may be read
	Shard    policy.ShardID
	Sent     time.Time
	StopAt     time.Time // when to stop waiting
	StartBy    time.Time // when its write must have started; after that it must not be written
}

// Backends sends calls and probes to backends. None of its methods may block.
type Backends interface {
	Update(entry policy.Entry, address string)
	Retain(keep map[policy.BackendID]bool)
	Send(backend policy.BackendID, calls []Call)
	Cancel(backend policy.BackendID, subquery policy.SubqueryID, number policy.CallNo)
	Probe(backend policy.BackendID, separateConnection bool)
	CloseIdle(backend policy.BackendID)
}

// Discovery requests the list of backends. None of its methods may block.
type Discovery interface {
	Subscribe(on bool)
	RequestFullList()
}
