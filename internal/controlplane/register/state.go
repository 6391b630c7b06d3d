package register

import "slices"

// historyLength is how many changes back a state names the proposals that made it. A proposer whose change is older cannot
// tell any more whether it took effect (errUnknownOutcome).
const historyLength = 16

// state is what a register has: a value, and the proposals by which it came about. The history lets a proposer whose accept
// round had no clear outcome find out whether its change is part of the current value.
type state struct {
	Value    []byte           `msgpack:"v"`
	Sequence uint64           `msgpack:"s"` // number of changes that made the value
	History  []ProposalNumber `msgpack:"h"` // proposals of the last changes, newest first
}

// next is the state after a change by a proposal.
func (s state) next(value []byte, proposal ProposalNumber) state {
	history := s.History[:min(len(s.History), historyLength-1)]
	return state{
		Value:    value,
		Sequence: s.Sequence + 1,
		History:  append([]ProposalNumber{proposal}, history...),
	}
}

// contains tells whether the proposal is among those that made the state, and whether its history reaches back to the
// proposal's position in the sequence (cached): without that nobody can tell whether it is contained.
func (s state) contains(proposal ProposalNumber, sequence uint64) (contained, inHistory bool) {
	if slices.Contains(s.History, proposal) {
		return true, true
	}
	if s.Sequence < sequence {
		return false, true
	}
	return false, s.Sequence-sequence < uint64(len(s.History))
}
