package register

import (
	"bytes"
	"errors"
	"fmt"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// errUnknownOutcome reports that the history of the register is too short to show whether a change took effect.
var errUnknownOutcome = errors.New("the register has changed too often since; it is unknown whether this change took effect")

// proposal is a result of the change function and the proposal number under which it is sent to the acceptors.
type proposal struct {
	proposalNumber ProposalNumber
	state          state
}

// functionError is an error that the change function returned. It ends the change.
type functionError struct{ cause error }

func (e *functionError) Error() string { return e.cause.Error() }
func (e *functionError) Unwrap() error { return e.cause }

// decision is the state that an attempt has to commit and the result of the change after that.
type decision struct {
	state      state
	isProposal bool   // whether the state is a new result of the function; otherwise it is the current state
	value      []byte // value that the change returns
	refusal    error  // error of the change function, as a functionError
}

// afterPrepare decides what to commit after a prepare round. It also reports whether the accept round can be skipped. This is
// the case if the decision keeps a state that is already committed and this change has sent no proposals.
func (p *proposer) afterPrepare(prepareRound *round, proposalNumber ProposalNumber) (decided decision, committed bool, err error) {
	latest, committed := p.register.committedReply(prepareRound)
	decided, err = p.decide(latest.State, proposalNumber)
	if err != nil {
		return decision{}, false, err
	}
	if decided.isProposal {
		p.proposals = append(p.proposals, proposal{proposalNumber, decided.state})
		return decided, false, nil
	}
	return decided, committed && len(p.proposals) == 0, nil
}

// decide applies the change function to the current state, unless the state already contains an earlier proposal of this
// change. It returns errUnknownOutcome if the history does not show whether the state contains the proposal.
func (p *proposer) decide(current state, proposalNumber ProposalNumber) (decision, error) {
	for _, earlier := range p.proposals {
		if p.register.skipProposalCheck {
			break
		}
		contained, known := current.contains(earlier.proposalNumber, earlier.state.Sequence)
		if contained {
			return decision{state: current, value: earlier.state.Value}, nil
		}
		if !known {
			return decision{}, errUnknownOutcome
		}
	}
	next, err := p.change(current.Value)
	switch {
	case err != nil:
		return decision{state: current, refusal: &functionError{err}}, nil //nolint:nilerr // the error is returned after the current state is committed
	case unchanged(current.Value, next):
		return decision{state: current, value: current.Value}, nil
	}
	proposed := current.next(next, proposalNumber)
	return decision{state: proposed, isProposal: true, value: next}, nil
}

// unchanged reports whether the new value equals the current one. A nil value differs from an empty one.
func unchanged(current, next []byte) bool {
	return (current == nil) == (next == nil) && bytes.Equal(current, next)
}

// changeError wraps the error that ended the change and marks whether the change may have been executed.
func (p *proposer) changeError(err error) error {
	err = fmt.Errorf("change register %s: %w", p.register.config.Name, err)
	if len(p.proposals) > 0 && !p.proposalsSuperseded {
		return rpcerror.WrapMayHaveExecuted(err)
	}
	return rpcerror.WrapNotExecuted(err, 0)
}
