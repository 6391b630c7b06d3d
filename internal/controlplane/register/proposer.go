package register

import (
	"context"
	"errors"
	"fmt"
)

// proposer carries out one change, in as many attempts as it takes. What it decides between rounds is in decision.go.
type proposer struct {
	register            *Register
	change              func(current []byte) (next []byte, err error)
	proposals           []proposal // that were sent
	proposalsSuperseded bool       // whether none of those took or can take effect
}

// run repeats attempts until one succeeds, the function refuses, or the context ends.
func (p *proposer) run(ctx context.Context) ([]byte, error) {
	for attempt := 0; ; attempt++ {
		value, err := p.attempt(ctx)
		if err == nil || !retryable(err) {
			return value, err
		}
		p.register.reportNewerView(err)
		if backoffErr := p.register.backOff(ctx, attempt); backoffErr != nil {
			return nil, fmt.Errorf("%w (%w)", backoffErr, err)
		}
	}
}

// retryable tells whether another attempt may succeed.
func retryable(err error) bool {
	var refusal *functionError
	return !errors.As(err, &refusal) && !errors.Is(err, errUnknownOutcome) && !errors.Is(err, ErrNoView)
}

// attempt makes one prepare round and, unless the outcome rests on a committed state already, one accept round.
func (p *proposer) attempt(ctx context.Context) ([]byte, error) {
	view := p.register.config.View()
	if view.Version == 0 {
		return nil, ErrNoView
	}
	preparing := &round{view: view, limit: p.register.roundLimit}
	proposalNumber := p.register.nextProposalNumber()
	cached := p.register.newestAvailable(view.Version)
	request := prepareRequest{ViewVersion: view.Version, ProposalNumber: proposalNumber, Known: cached.proposalNumber, ByChunks: true}
	err := preparing.run(ctx, func(ctx context.Context, member string) (reply, error) {
		return p.register.prepare(ctx, member, request)
	})
	p.register.observe(preparing.highestPromised)
	if err != nil {
		return nil, err
	}
	if err := p.register.completeValue(ctx, preparing, cached); err != nil {
		return nil, err
	}
	decision, committed, err := p.afterPrepare(preparing, proposalNumber)
	if err != nil {
		return nil, err
	}
	if !committed {
		request := acceptRequest{ViewVersion: view.Version, ProposalNumber: proposalNumber, State: decision.state}
		if err := p.accept(ctx, request, preparing); err != nil {
			return nil, err
		}
		p.proposalsSuperseded = !decision.isProposal
	}
	return decision.value, decision.refusal
}

// accept makes the accept round that follows a prepare round.
func (p *proposer) accept(ctx context.Context, request acceptRequest, prepared *round) error {
	view := prepared.view
	accepting := &round{view: view, limit: p.register.roundLimit}
	proposed := p.register.stateToCache(view.Version, request)
	send := p.register.accept
	if proposed.chunking != nil {
		send = p.register.chunkedAccept(proposed, prepared.withoutChunkSupport())
	}
	err := accepting.run(ctx, func(ctx context.Context, member string) (reply, error) {
		return send(ctx, member, request)
	})
	p.register.observe(accepting.highestPromised)
	if err == nil {
		p.register.cache(proposed)
	}
	return err
}
