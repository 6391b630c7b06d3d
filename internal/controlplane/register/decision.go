package register

import (
	"bytes"
	"errors"
	"fmt"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// errUnknownOutcome is the failure of a change of which nobody can tell any more whether it took effect.
var errUnknownOutcome = errors.New("others have changed the register since; whether this change took effect is not known")

// proposal is a result of the change's function that was sent to acceptors.
type proposal struct {
	proposalNumber ProposalNumber
	state          state
}

// functionError is an error of the change's function, which ends the change.
type functionError struct{ cause error }

func (e *functionError) Error() string { return e.cause.Error() }
func (e *functionError) Unwrap() error { return e.cause }

// decision is what an attempt is to commit, and what then is the outcome of the change.
type decision struct {
	state      state
	isProposal bool   // whether the state is a result of the function; else it is the current one, to be confirmed
	value      []byte // the result of the change
	refusal    error  // the error of the function, as a functionError
}

// afterPrepare decides what to commit after a prepare round, and whether that is committed already: then it rests on a
// committed state, and none of this change's proposals is open.
func (p *proposer) afterPrepare(preparing *round, proposalNumber ProposalNumber) (decided decision, committed bool, err error) {
	latest, committed := p.register.committed(preparing)
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

// decide applies the function to the current state, unless an earlier proposal of this change is part of it.
func (p *proposer) decide(current state, proposalNumber ProposalNumber) (decision, error) {
	for _, earlier := range p.proposals {
		if p.register.forgetsProposals {
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
		return decision{state: current, refusal: &functionError{err}}, nil //nolint:nilerr // returned once the current state is committed
	case unchanged(current.Value, next):
		return decision{state: current, value: current.Value}, nil
	}
	made := current.next(next, proposalNumber)
	return decision{state: made, isProposal: true, value: next}, nil
}

// unchanged tells whether a function left a value as it was.
func unchanged(current, next []byte) bool {
	return (current == nil) == (next == nil) && bytes.Equal(current, next)
}

// changeError adds to the error that ended the change whether the change may have been executed.
func (p *proposer) changeError(err error) error {
	err = fmt.Errorf("change register %s: %w", p.register.config.Name, err)
	if len(p.proposals) > 0 && !p.proposalsSuperseded {
		return rpcerror.WrapMayHaveExecuted(err)
	}
	return rpcerror.WrapNotExecuted(err, 0)
}
