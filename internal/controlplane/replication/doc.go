// Package replication keeps replicated key/value states, one per group, on the core nodes. A group has at most one acting
// leader, which gathers changes into batches. A batch is committed once a majority of the replicas has synced it to disk.
//
// # Relation to Raft
//
// Terms, votes, elections, append requests and the commit index follow Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", USENIX ATC 2014; Ongaro, "Consensus: Bridging Theory and Practice", Stanford 2014,
// here "the thesis"):
//
//   - A replica votes once in a term, and follows no leader of a lower one than its current term (thesis, 3.3 and 3.4).
//     The vote is on disk before it is answered.
//   - A campaign begins with a pre-vote, which asks whether a vote would be given and raises no term (thesis, 9.6). So a
//     replica that was partitioned does not depose a leader when it returns.
//   - A leader commits what a majority of matching indexes covers, and only batches of its own term: the first batch of a
//     term is empty, and its commitment completes the election (thesis, 3.6.2 and 6.4).
//
// What differs:
//
//   - There is no log. A replica holds the state as of one Position, a batch moves it to the next, and a replica that is
//     elsewhere gets a snapshot. An index counts the batches of its term from 1, so that a Position is what ZooKeeper's
//     broadcast calls a zxid (Junqueira, Reed and Serafini, "Zab", DSN 2011).
//   - A vote does not depend on whose state is newer. As with the promises of Paxos (Lamport, "Paxos Made Simple", 2001),
//     votes carry the voters' positions, and the winner adopts the newest state among them; one that does not fit into the
//     vote is fetched before the campaign goes on.
//   - An answer counts in a majority for Timing.ReplyTimeout after its request was sent, so that one that was delayed for
//     long commits and elects nothing.
//   - Membership changes come from package replicaset, which numbers the views. A request of an older view than a replica
//     knows is answered with unavailable.
//
// # Leases
//
// A leader acts while its lease lasts, without a round of messages for each read (Gray and Cheriton, "Leases: An Efficient
// Fault-Tolerant Mechanism for Distributed File Cache Consistency", SOSP 1989; thesis, 6.4.1). A replica that follows a
// leader elects no other for Timing.FollowerLease after it heard from it. The leader counts the shorter Timing.LeaderLease
// from the moment at which it sent what a majority answered. The difference bounds how much clocks may drift apart during
// one lease; they are steady clocks and are never compared between machines. A replica that has restarted does not know
// which lease it had granted, and votes only after a whole one has passed, but for the node that it voted for last.
//
// # Structure
//
// All decisions are made by the type core and what it consists of (replica, campaign, leadership, snapshotFetch). They know
// neither goroutines nor sockets, take the time as an argument, and leave their calls and writes as effects. Node runs a
// core on a real clock, store and network; the tests run several on a simulated one, and explore interleavings.
package replication
