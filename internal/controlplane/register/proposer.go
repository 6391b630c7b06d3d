package register

import (
	"context"
	"errors"
	"fmt"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// errUnknownOutcome is the failure of a change of which nobody can tell any more whether it took effect.
var errUnknownOutcome = errors.New("others have changed the register since; whether this change took effect is not known")

// proposal is a result of the function that was sent to acceptors.
type proposal struct {
	proposalNumber ProposalNumber
	state          state
}

// proposer carries out one change, in as many attempts as it takes.
type proposer struct {
	register *Register
	change   func(current []byte) (next []byte, err error)
	sent     []proposal // whose outcome is open
	resolved bool       // whether none of those took or can take effect
}

// functionError is an error of the caller's function, which ends the change.
type functionError struct{ cause error }

func (e *functionError) Error() string { return e.cause.Error() }
func (e *functionError) Unwrap() error { return e.cause }

// run repeats attempts until one succeeds, the function refuses, or the context ends.
func (p *proposer) run(ctx context.Context) ([]byte, error) {
	for attempt := 0; ; attempt++ {
		value, err := p.attempt(ctx)
		if err == nil || !retryable(err) {
			return value, err
		}
		p.register.learn(err)
		if pauseErr := p.register.pause(ctx, attempt); pauseErr != nil {
			return nil, fmt.Errorf("%w (%w)", pauseErr, err)
		}
	}
}

func retryable(err error) bool {
	var refusal *functionError
	return !errors.As(err, &refusal) && !errors.Is(err, errUnknownOutcome) && !errors.Is(err, ErrNoView)
}

// failed adds the verdict to the error that ended the change.
func (p *proposer) failed(err error) error {
	err = fmt.Errorf("change register %s: %w", p.register.config.Name, err)
	if len(p.sent) > 0 && !p.resolved {
		return rpcerror.Unclear(err)
	}
	return rpcerror.Unexecuted(err, 0)
}

// attempt makes one prepare round and, unless the outcome rests on a committed state already, one accept round.
func (p *proposer) attempt(ctx context.Context) ([]byte, error) {
	view := p.register.config.View()
	if view.Version == 0 {
		return nil, ErrNoView
	}
	preparing := &round{view: view, limit: p.register.roundLimit}
	proposalNumber := p.register.nextProposalNumber()
	known := p.register.held(view.Version)
	request := prepareRequest{ViewVersion: view.Version, ProposalNumber: proposalNumber, Known: known.proposalNumber, ByChunks: true}
	err := preparing.run(ctx, func(ctx context.Context, member string) (reply, error) {
		return p.register.prepare(ctx, member, request)
	})
	p.register.saw(preparing.highest)
	if err != nil {
		return nil, err
	}
	if err := p.register.complete(ctx, preparing, known); err != nil {
		return nil, err
	}
	decision, committed, err := p.prepared(preparing, proposalNumber)
	if err != nil {
		return nil, err
	}
	if !committed {
		request := acceptRequest{ViewVersion: view.Version, ProposalNumber: proposalNumber, State: decision.state}
		if err := p.accept(ctx, request, preparing); err != nil {
			return nil, err
		}
		p.resolved = !decision.proposes
	}
	return decision.value, decision.refusal
}

// prepared decides what to commit after a prepare round, and whether that is settled already: then it rests on a
// committed state, and none of this change's proposals is open.
func (p *proposer) prepared(preparing *round, proposalNumber ProposalNumber) (decided decision, committed bool, err error) {
	latest, committed := p.register.committed(preparing)
	decided, err = p.decide(latest.State, proposalNumber)
	if err != nil {
		return decision{}, false, err
	}
	if decided.proposes {
		p.sent = append(p.sent, proposal{proposalNumber, decided.state})
		return decided, false, nil
	}
	return decided, committed && len(p.sent) == 0, nil
}

// decision is what an attempt is to commit, and what then is the outcome of the change.
type decision struct {
	state    state
	proposes bool // whether the state is a result of the function; else it is the current one, to be confirmed
	value    []byte
	refusal  error
}

// decide applies the function to the current state, unless an earlier proposal of this change is part of it.
func (p *proposer) decide(current state, proposalNumber ProposalNumber) (decision, error) {
	for _, earlier := range p.sent {
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
		return decision{state: current, refusal: &functionError{err}}, nil
	case unchanged(current.Value, next):
		return decision{state: current, value: current.Value}, nil
	}
	made := current.next(next, proposalNumber)
	return decision{state: made, proposes: true, value: next}, nil
}

// accept makes the accept round that follows a prepare round.
func (p *proposer) accept(ctx context.Context, request acceptRequest, prepared *round) error {
	view := prepared.view
	accepting := &round{view: view, limit: p.register.roundLimit}
	proposed := p.register.proposed(view.Version, request)
	send := p.register.accept
	if proposed.cut != nil {
		send = p.register.acceptByChunks(proposed, prepared.takeWholeOnly())
	}
	err := accepting.run(ctx, func(ctx context.Context, member string) (reply, error) {
		return send(ctx, member, request)
	})
	p.register.saw(accepting.highest)
	if err == nil {
		p.register.know(proposed)
	}
	return err
}
