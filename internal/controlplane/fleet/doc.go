// Package fleet coordinates the aggregators of one site: tenants' quotas over all of them together, contracts that keep a
// tenant's data in some zones, and outlier reports about backends. Without the operator's file none of it exists.
//
// The parts, each a package below this one that does no I/O and reads no clock:
//
//   - membership: which nodes there are, and which of them vote;
//   - failuredetector: which nodes live (SWIM with Lifeguard's extensions);
//   - consensus: the voters agree on contracts and quotas, and elect the node that grants (Raft);
//   - quota: the granter leases tokens to the nodes, which spend them without waiting;
//   - residency: leases of contracts, and their compilation into masks of zones;
//   - outlier: reports about slow and failing backends, spread by gossip, and the verdicts that follow from them.
//
// sealedmessage authenticates what nodes send to each other, and udptransport carries it.
//
// Fleet runs all of that in one goroutine, which owns the control state. Its fields are grouped by concern: granterClient
// (requests to the granter), leadership (the granter's side), voter, tables, outlierDetection and commandQueue. Traffic
// reads a view through an atomic pointer (admission): it waits neither for that goroutine nor for another node.
//
// Times are float64 seconds, as in the encoded forms and in the operator's file: of the node's own clock, unless the name
// says otherwise. docs/fleet-design.md has the guarantees and what they rest on.
package fleet
