package register

import (
	"context"
	"errors"
	"fmt"
)

// proposer runs one change in one or more attempts. The decisions between the rounds are in decision.go.
type proposer struct {
	register            *Register
	change              func(current []byte) (next []byte, err error)
	proposals           []proposal // proposals that may have been sent
	proposalsSuperseded bool       // whether none of the proposals took effect or can still take effect
}

// run repeats attempts until one succeeds, an error is not retryable, or the context ends.
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

// retryable reports whether another attempt may succeed.
func retryable(err error) bool {
	var refusal *functionError
	return !errors.As(err, &refusal) && !errors.Is(err, errUnknownOutcome) && !errors.Is(err, ErrNoView)
}

// attempt runs one prepare round. It then runs one accept round, unless the result is based on a state that is already
// committed.
func (p *proposer) attempt(ctx context.Context) ([]byte, error) {
	view := p.register.config.View()
	if view.Version == 0 {
		return nil, ErrNoView
	}
	prepareRound := &round{view: view, limit: p.register.roundLimit}
	proposalNumber := p.register.nextProposalNumber()
	cached := p.register.newestAvailable(view.Version)
	request := prepareRequest{ViewVersion: view.Version, ProposalNumber: proposalNumber, CachedProposalNumber: cached.proposalNumber, AcceptsManifest: true}
	err := prepareRound.run(ctx, func(ctx context.Context, member string) (reply, error) {
		return p.register.prepare(ctx, member, request)
	})
	p.register.raiseCounter(prepareRound.highestPromised)
	if err != nil {
		return nil, err
	}
	if err := p.register.completeValue(ctx, prepareRound, cached); err != nil {
		return nil, err
	}
	decision, committed, err := p.afterPrepare(prepareRound, proposalNumber)
	if err != nil {
		return nil, err
	}
	if !committed {
		request := acceptRequest{ViewVersion: view.Version, ProposalNumber: proposalNumber, State: decision.state}
		if err := p.accept(ctx, request, prepareRound); err != nil {
			return nil, err
		}
		p.proposalsSuperseded = !decision.isProposal
	}
	return decision.value, decision.refusal
}

// accept runs the accept round that follows a prepare round.
func (p *proposer) accept(ctx context.Context, request acceptRequest, prepareRound *round) error {
	view := prepareRound.view
	acceptRound := &round{view: view, limit: p.register.roundLimit}
	proposed := p.register.stateToCache(view.Version, request)
	send := p.register.accept
	if proposed.chunking != nil {
		send = p.register.chunkedAccept(proposed, prepareRound.membersWithoutChunkSupport())
	}
	err := acceptRound.run(ctx, func(ctx context.Context, member string) (reply, error) {
		return send(ctx, member, request)
	})
	p.register.raiseCounter(acceptRound.highestPromised)
	if err == nil {
		p.register.cache(proposed)
	}
	return err
}
