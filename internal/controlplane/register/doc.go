// Package register implements a replicated register whose value changes by compare-and-swap. The acceptors are the members
// of one view of the replica set. Any process can be a proposer. The register has no log and no leader. It holds one value,
// and each change runs its own quorum rounds.
//
// # Protocol
//
// The protocol is single-decree Paxos (Lamport, "Paxos Made Simple", 2001, section 2.2, "Choosing a Value"). As in CASPaxos
// (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018, section 2), it runs repeatedly on the same register.
// A change has two phases. Each phase is one quorum round:
//
//   - Prepare (phase 1). The proposer picks a proposal number above all numbers it has seen and sends it to all members. An
//     acceptor that has promised only lower numbers promises to refuse every lower number. It replies with the state that it
//     accepted last. Among the replies of a majority, the state with the highest proposal number is the current state.
//   - Accept (phase 2). The proposer applies the change function to the current state and sends the result. An acceptor
//     stores the result unless it has promised a higher proposal number since. The result is committed once a majority has
//     stored it.
//
// A read is a single round that requests the accepted states and no promises. If the replies of the majority differ, the
// read waits briefly for further replies. If there is still no majority with the same state, the read runs a change that
// keeps the value. This change commits the current state before the read returns it.
//
// # Guarantees
//
// Reads and changes are linearizable. This relies on the following rules:
//
//   - An acceptor makes a promise or an accepted state durable before it replies (see [Acceptor] and acceptorState).
//   - Two majorities of a view share a member, and an acceptor replies only to proposers of its own view. [ViewChange]
//     changes the view. It is a write-once register on the members of the previous view.
//   - A member that lost its disk does not vote until it has been rebuilt from a majority of the other members ([Merge]). A
//     round may have counted a reply that the member sent before it lost the disk. Therefore the rebuild waits until every
//     such round is over. No round lasts longer than [RoundLimit] (see package rebuild).
//   - A proposer does not apply its change function again while an earlier result may still take effect. Each state lists
//     the proposals of its last historyLength changes, so that the proposer can check this.
//
// TestEveryInterleavingIsLinearizable checks a model of the protocol exhaustively up to a fixed depth.
// TestRegisterIsLinearizable checks histories of simulated clusters for linearizability.
//
// # Large values
//
// A value longer than inlineValueBytes is sent and stored in chunks (package chunks). Replies contain its manifest, and the
// receiver fetches the chunks that it lacks. A vote needs the chunks only to assemble the value. The manifest's checksum
// proves that the assembled value is the right one.
//
// # Files
//
// The following files do no input or output:
//
//   - acceptorstate.go: the rules of the acceptor
//   - decision.go: the rules of the proposer
//   - quorum.go: counting of replies
//   - state.go: the replicated value and its history
//   - merge.go: rebuild of a lost disk
//
// The following files do input or output:
//
//   - acceptor.go and acceptorstorage.go: votes and their storage
//   - round.go: one request to all members
//   - proposer.go and register.go: changes and reads
//   - acceptortransfer.go, valuefetch.go and valuesend.go: transfer of chunks
package register
