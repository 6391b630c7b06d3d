package aggregator

import (
	"time"

	"puffinlink.example/puffinlink/policy"
)

// Event is an event for the aggregator. It extends the policy's event by data that the policy does not need. A query and
// its subqueries arrive as one event.
type Event struct {
	policy.Event
	ClientQuery      *Query            // for QueryReceived and ClientDisconnected
	Value            []byte            // for CallEnded: the backend's answer
	Addresses        []string          // for ListChanged: the address of each entry
	Names            []Name            // for ListChanged: the names of each entry
	Rules            *Rules            // for OverridesChanged: new rules of the admission; nil if unchanged
	PeerObservations []PeerObservation // for OverridesChanged: peers' observations of backends
}

// Name contains the names of a backend and its location in the list. The policy uses numeric IDs instead.
type Name struct{ Backend, Location string }

// Call is an attempt of a subquery at a backend.
type Call struct {
	Subquery policy.SubqueryID
	Number   policy.CallNumber
	Query    *Query // only fields that never change may be read
	Shard    policy.ShardID
	Sent     time.Time
	StopAt   time.Time // end of the wait for an answer
	StartBy  time.Time // latest time to start writing the call; later it must not be written
}

// Backends sends calls and probes to backends. None of its methods may block.
type Backends interface {
	// Update adds a backend or changes its entry and address.
	Update(entry policy.Entry, address string)
	// Retain removes all backends that are not in keep.
	Retain(keep map[policy.BackendID]bool)
	// Send sends calls to a backend as one batch.
	Send(backend policy.BackendID, calls []Call)
	// Cancel cancels a call.
	Cancel(backend policy.BackendID, subquery policy.SubqueryID, number policy.CallNumber)
	// Probe sends a probe to a backend, on a separate connection if so requested.
	Probe(backend policy.BackendID, separateConnection bool)
	// CloseIdle closes idle connections to a backend.
	CloseIdle(backend policy.BackendID)
}

// Discovery requests the list of backends. None of its methods may block.
type Discovery interface {
	// Subscribe turns the subscription to changes of the list on or off.
	Subscribe(on bool)
	// RequestCompleteList requests the complete list.
	RequestCompleteList()
}
