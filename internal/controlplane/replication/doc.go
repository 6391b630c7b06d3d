// Package replication replicates key/value state across the coordinators, one state per replication group. The
// replicas of a group elect a leader. The leader collects proposed changes into batches and sends them to the other replicas.
//
// A batch is committed once a majority of the replicas has synced it to disk. Each new leader starts with a state that contains
// all committed batches. At most one leader of a group holds a valid lease at any time, and only that leader acts.
//
// The coordinator starts a Node. The job manager implements Handler and acts as leader. The package never interprets keys or
// values, and never changes the membership itself.
//
// # Relation to Raft
//
// Terms, votes, elections, append requests and the commit index follow Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", USENIX ATC 2014; Ongaro, "Consensus: Bridging Theory and Practice", Stanford 2014,
// here "the thesis"):
//
//   - A replica votes at most once per term, and rejects leaders whose term is lower than its current term (thesis, 3.3 and
//     3.4). It syncs its vote to disk before it replies.
//   - A campaign starts with a pre-vote, which asks the other replicas whether they would grant a vote and does not increase
//     the term (thesis, 9.6). A replica that returns from a partition therefore does not depose the current leader.
//   - A leader derives the commit index from the match indexes of a majority, and only counts batches of its own term. The
//     first batch of a term is empty, and committing it completes the election (thesis, 3.6.2 and 6.4).
//
// The protocol differs from Raft in these points:
//
//   - There is no log. A replica stores the state as of one Position, and a batch moves the state to the next position. A
//     replica at another position receives a snapshot. Indexes restart at 1 in each term, so a Position corresponds to a
//     zxid of ZooKeeper's atomic broadcast (Junqueira, Reed and Serafini, "Zab", DSN 2011).
//   - A replica grants its vote regardless of whose state is newer. As with promises in Paxos (Lamport, "Paxos Made Simple",
//     2001), each vote carries the position of the voter, and the winner adopts the newest state among the votes. If that
//     state is too large for a vote, the candidate fetches it before the campaign continues.
//   - A reply counts towards a majority only within Timing.ReplyTimeout after its request was sent. A reply that was delayed
//     for long can neither commit a batch nor elect a leader.
//   - Package replicaset manages membership changes and numbers the views. A replica rejects requests from an older view
//     than its own.
//
// # Leases
//
// A leader serves reads without a round of messages while its lease is valid (Gray and Cheriton, "Leases: An Efficient
// Fault-Tolerant Mechanism for Distributed File Cache Consistency", SOSP 1989; thesis, 6.4.1). After a replica has received a
// message from its leader, it votes for no other candidate for Timing.FollowerLease. The leader uses the shorter
// Timing.LeaderLease, counted from the time at which it sent the requests that a majority answered. The difference bounds the
// clock drift that is tolerated during one lease. The clocks are monotonic and are never compared between machines. A
// restarted replica does not know which lease it had granted. Until a full lease has passed, it votes only for the node that
// it voted for last.
//
// # Structure
//
// The type core and its parts (replica, campaign, leadership, snapshotFetch) make all decisions. They use no goroutines or
// sockets, take the time as an argument, and return calls and writes as effects. Node runs a core on a real clock, store and
// network. The tests run several cores on a simulated clock and network, and explore interleavings.
package replication
