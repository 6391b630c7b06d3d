package register

import "slices"

// historyLength is the number of recent changes whose proposal numbers a state lists. A proposer cannot determine whether an
// older change took effect (errUnknownOutcome).
const historyLength = 16

// state is the replicated state of a register: the value and the proposals that produced it. If the outcome of an accept round
// is unknown, the proposer uses the history to find out whether the current value contains its change.
type state struct {
	Value    []byte           `msgpack:"v"`
	Sequence uint64           `msgpack:"s"` // number of changes since the register was created
	History  []ProposalNumber `msgpack:"h"` // proposal numbers of the last changes, newest first
}

// next returns the state after a change by a proposal.
func (s state) next(value []byte, proposal ProposalNumber) state {
	history := s.History[:min(len(s.History), historyLength-1)]
	return state{
		Value:    value,
		Sequence: s.Sequence + 1,
		History:  append([]ProposalNumber{proposal}, history...),
	}
}

// contains reports whether the proposal is one of those that produced the state. The sequence is the number that the state had
// right after the proposal. If inHistory is false, the history does not reach back that far, and the result is unknown.
func (s state) contains(proposal ProposalNumber, sequence uint64) (contained, inHistory bool) {
	if slices.Contains(s.History, proposal) {
		return true, true
	}
	if s.Sequence < sequence {
		return false, true
	}
	return false, s.Sequence-sequence < uint64(len(s.History))
}
