// Package rebuild restores the replicated state of a coordinator that lost its disk. The node fetches snapshots from a majority
// of the other members, merges them, and writes the result in one write. Until then it must not vote, promise or answer
// reads, because it no longer knows what it promised.
//
// A rebuild loses nothing that was decided. Before the node fetches snapshots, it waits until all quorum rounds that may have
// counted an answer from the lost disk are over. Each such round counts an answer only within register.RoundLimit of its
// start. At least one of the members that provide a snapshot has therefore stored what the round decided.
//
// A member that joins in the place of another one is rebuilt in the same way. Package replicaset explains why that is safe.
// Whether a disk is complete therefore depends on the membership. A process that was replaced is incomplete, even if its disk
// was kept, until it has become a member again and has been rebuilt.
//
// The receiver pulls the state: it requests the snapshot of each donor chunk by chunk. A departing member keeps running
// until the members that may need its snapshot have been rebuilt ([Rebuilder.HandOver]).
//
// The coordinator calls the package. Package rebuild never changes the membership, and never interprets the tables: the
// packages that own the tables register a [Merger] for them.
package rebuild
