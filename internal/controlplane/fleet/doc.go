// Package fleet coordinates the aggregators of one site. It enforces the tenants' quotas over all aggregators together. It
// enforces the contracts that keep a tenant's data in some zones. It shares outlier reports about backends. A node starts a
// Fleet only if its operator's file configures one.
//
// Each of these packages implements one part. None of them does I/O or reads a clock:
//
//   - membership: the nodes of the fleet, and which of them vote.
//   - failuredetector: the nodes that are alive (SWIM with the Lifeguard extensions).
//   - consensus: the agreement of the voters on contracts and quotas, and the election of the granter (Raft).
//   - quota: the leases of tokens that the granter gives to the nodes, which spend the tokens without waiting.
//   - residency: the leases of contracts, and their compilation into masks of zones.
//   - outlier: the reports about slow and failing backends, which spread by gossip, and the verdicts derived from them.
//
// Package sealedmessage authenticates the messages between nodes. Package udptransport sends and receives them.
//
// Fleet.Run executes all parts in one goroutine, which owns the control state. The fields of Fleet are grouped by concern:
// granterClient sends requests to the granter, leadership answers them if this node is the granter, voter runs this node's
// part in the consensus, tables holds the agreed tables, outliers the reports and verdicts, and commands the pending commands.
//
// Queries read an immutable view through an atomic pointer, see Admit. They never wait for the goroutine of Run or for another
// node.
//
// Times are float64 seconds of the node's own clock, unless a name says otherwise. The encoded forms and the operator's file
// use seconds too. The guarantees and their assumptions are described in docs/fleet-design.md.
package fleet
