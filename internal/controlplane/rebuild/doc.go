// Package rebuild brings back a core node that lost its disk. Until then the node must not vote, promise or answer
// reads, as it does not know any more what it has promised.
//
// The node waits, and then merges the snapshots of a majority of the other members. Every quorum round counts an answer only
// within register.RoundLimit of the round's start. So when the snapshots are taken, each round that counted an answer of the
// lost disk is over, and one of the members that give a snapshot has stored what that round decided.
//
// A joining member that replaced another one is rebuilt in the same way; package replicaset says why that is safe. What
// makes a disk complete is therefore bound to the membership: a process that was replaced is incomplete until it has
// become a member again and was rebuilt, though its disk was kept.
//
// The state transfer is a pull: the receiver asks each donor for its snapshot, chunk by chunk. A departing member stays
// until those that may need its snapshot have been rebuilt ([Rebuilder.HandOver]).
package rebuild
