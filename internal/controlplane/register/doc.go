// Package register is a replicated register whose value changes by compare-and-swap. Its acceptors are the members of a
// view of the replica set; any process can be a proposer. There is no log and no leader: the register holds one value, and
// every change is a round trip of its own through a majority.
//
// # Protocol
//
// It is single-decree Paxos (Lamport, "Paxos Made Simple", 2001, section 2.2, "Choosing a Value"), used again and again on
// one register as in CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018, section 2). A change has
// two phases, each a quorum round:
//
//   - Prepare (phase 1). The proposer draws a proposal number above all that it has seen and sends it to all members. An
//     acceptor that has promised no number as high promises to refuse lower ones, and answers with the state that it
//     accepted last. Of a majority's answers, the state with the highest proposal number is the current one.
//   - Accept (phase 2). The proposer applies the change's function to the current state and sends the result. An acceptor
//     stores it unless it has promised a higher proposal number since. Once a majority has stored it, it is committed.
//
// A read is a single round that asks for the accepted states without a promise. Where a majority disagrees, the read falls
// back on a change that leaves the value as it is, which commits the current state before it is returned.
//
// # What safety rests on
//
//   - An acceptor makes a promise or an accepted state durable before it answers ([Acceptor], acceptorState).
//   - Two majorities of a view share a member, and an acceptor answers proposers of its own view alone. Views change by
//     [Succession], a write-once register on the members of the view before.
//   - A member that lost its disk answers nothing until it was rebuilt from a majority of the others ([Merge]). It waits with
//     that until each round is over that may have counted an answer of its former disk: no round lasts longer than
//     [RoundLimit] (see package rebuild).
//   - A proposer does not apply its function again while an earlier result may still take effect: each state names the
//     proposals that made it, back to historyLength changes.
//
// The tests check the model exhaustively up to a depth (TestEveryInterleavingIsLinearizable) and histories of simulated
// clusters for linearizability (TestRegisterIsLinearizable).
//
// # Large values
//
// A value above inlineValueBytes is sent and stored in chunks (package chunks). Answers name it by its manifest; the
// receiver fetches the chunks that it lacks. A vote depends on chunks in no other way than that the value is assembled from
// them, which the manifest's checksum proves.
//
// # Where to find what
//
// Pure, without input or output: acceptorstate.go (acceptor), decision.go (proposer), quorum.go (counting answers), state.go
// (the replicated value), merge.go (rebuild). With it: acceptor.go and acceptorstorage.go (votes and the disk), round.go (one
// request to all members), proposer.go and register.go (changes and reads), acceptortransfer.go, valuefetch.go and
// valuesend.go (chunks on the network).
package register
