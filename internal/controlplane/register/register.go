package register

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// The backoff between attempts is a random duration between half of a bound and the bound. The bound starts at minBackoff and
// doubles with each attempt up to maxBackoff.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Config configures a Register.
type Config struct {
	Name        string                 // name of the register; the same on all members
	Self        string                 // internal address of this process
	Acceptor    *Acceptor              // local acceptor, which is called directly; nil if this process is not a member
	View        func() replicaset.View // the current view
	OnNewerView func(replicaset.View)  // called when a member reports a newer view; may be nil
	Caller      transport.Caller
	// RandomBelow returns a random duration below a bound. If it is nil, the global random source is used. A simulation sets
	// it, so that the same seed produces the same run.
	RandomBelow func(bound time.Duration) time.Duration
}

// Register is a proposer. It reads and changes the value of the register. Its methods are safe for concurrent use. It runs one
// change at a time, so that its own changes do not conflict with each other.
type Register struct {
	config      Config
	changeToken chan struct{} // holds one token while no change of this proposer is running

	mutex          sync.Mutex        // guards highestCounter, cached and partial
	highestCounter uint64            // highest counter seen or used in a proposal number
	cached         cachedState       // newest state that was read or accepted
	partial        *chunks.Assembler // chunks of a value that is still incomplete; kept for the next attempt

	// The following fields are rules of the protocol. Tests replace them to show that each rule is necessary.
	roundLimit        time.Duration
	committedReply    func(*round) (reply, bool)
	skipProposalCheck bool
}

// New returns a proposer.
func New(config Config) *Register {
	r := &Register{
		config:         config,
		changeToken:    make(chan struct{}, 1),
		roundLimit:     RoundLimit,
		committedReply: (*round).latest,
	}
	r.changeToken <- struct{}{}
	return r
}

// Change applies a function to the current value and returns the new value. The current value is nil before the first change.
// The function may be called several times, but at most one of its results takes effect. It must not modify its argument. If
// the function returns the value unchanged or returns an error, Change commits the current value before it returns.
//
// Errors wrap an rpcerror.Error and the error of the function. NotExecuted means that no result of the function has been or
// will become the value of the register.
func (r *Register) Change(ctx context.Context, change func(current []byte) (next []byte, err error)) ([]byte, error) {
	if err := r.acquireChangeToken(ctx); err != nil {
		return nil, rpcerror.WrapNotExecuted(fmt.Errorf("change register %s: %w", r.config.Name, err), 0)
	}
	defer func() { r.changeToken <- struct{}{} }()
	p := &proposer{register: r, change: change}
	value, err := p.run(ctx)
	if err != nil {
		return nil, p.changeError(err)
	}
	return value, nil
}

// acquireChangeToken waits until no other change of this proposer is running. It fails if the context has ended, even if the
// token is available. The proposals of a cancelled change would only conflict with those of other proposers.
func (r *Register) acquireChangeToken(ctx context.Context) error {
	if ctx.Err() == nil {
		select {
		case <-r.changeToken:
			return nil
		case <-ctx.Done():
		}
	}
	return context.Cause(ctx)
}

// agreementTimeout is how long a read waits for further replies if the replies of the first majority differ. They differ while
// a change is running or after a change was abandoned. Completing that change would need a majority that can write to disk.
const agreementTimeout = 100 * time.Millisecond

// Read returns the current value, which is nil before the first change. If a majority has accepted the same state, Read needs
// a single round and no disk writes.
func (r *Register) Read(ctx context.Context) ([]byte, error) {
	view := r.config.View()
	if view.Version == 0 {
		return nil, rpcerror.WrapNotExecuted(fmt.Errorf("read register %s: %w", r.config.Name, ErrNoView), 0)
	}
	readRound := round{view: view, limit: r.roundLimit}
	cached := r.newestAvailable(view.Version)
	request := readRequest{ViewVersion: view.Version, CachedProposalNumber: cached.proposalNumber, AcceptsManifest: true}
	err := readRound.run(ctx, func(ctx context.Context, member string) (reply, error) {
		return r.read(ctx, member, request)
	})
	if err == nil {
		if latest, committed := r.committedReply(&readRound); committed {
			return r.resolveValue(ctx, &readRound, latest, cached)
		}
		if majority, agreed := readRound.awaitAgreement(ctx, agreementTimeout); agreed {
			return r.resolveValue(ctx, &readRound, majority, cached)
		}
	}
	r.reportNewerView(err)
	return r.Change(ctx, func(current []byte) ([]byte, error) { return current, nil })
}

// resolveValue returns the value of the state that a majority has accepted.
func (r *Register) resolveValue(ctx context.Context, readRound *round, latest reply, cached cachedState) ([]byte, error) {
	if latest.Accepted == (ProposalNumber{}) {
		return latest.State.Value, nil
	}
	state, err := r.acceptedStateFor(ctx, readRound, latest.Accepted, cached)
	if err != nil {
		return nil, rpcerror.WrapNotExecuted(fmt.Errorf("read register %s: %w: %w", r.config.Name, errValueIncomplete, err), 0)
	}
	return state.Value, nil
}

// nextProposalNumber returns a proposal number above all numbers that this proposer has seen or used.
func (r *Register) nextProposalNumber() ProposalNumber {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.highestCounter++
	return ProposalNumber{Counter: r.highestCounter, Member: r.config.Self}
}

// raiseCounter makes later proposal numbers of this proposer higher than the given one.
func (r *Register) raiseCounter(proposalNumber ProposalNumber) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.highestCounter = max(r.highestCounter, proposalNumber.Counter)
}

// reportNewerView calls OnNewerView if a round failed because members use a newer view.
func (r *Register) reportNewerView(err error) {
	var mismatch *viewError
	if errors.As(err, &mismatch) && mismatch.view.Version > r.config.View().Version && r.config.OnNewerView != nil {
		r.config.OnNewerView(mismatch.view)
	}
}

// isLocal reports whether the acceptor of a member runs in this process.
func (r *Register) isLocal(member string) bool {
	return member == r.config.Self && r.config.Acceptor != nil
}

// prepare sends a prepare request to a member. The local acceptor is called directly and returns its value inline.
func (r *Register) prepare(ctx context.Context, member string, request prepareRequest) (reply, error) {
	if r.isLocal(member) {
		request.CachedProposalNumber = ProposalNumber{}
		return r.config.Acceptor.prepare(ctx, request)
	}
	return prepareCall(r.config.Name).Call(ctx, r.config.Caller, member, request)
}

// accept sends an accept request with an inline value to a member.
func (r *Register) accept(ctx context.Context, member string, request acceptRequest) (reply, error) {
	if r.isLocal(member) {
		return r.config.Acceptor.accept(ctx, request)
	}
	return acceptCall(r.config.Name).Call(ctx, r.config.Caller, member, request)
}

// read sends a read request to a member. The local acceptor is called directly and returns its value inline.
func (r *Register) read(ctx context.Context, member string, request readRequest) (reply, error) {
	if r.isLocal(member) {
		return r.config.Acceptor.read(ctx, readRequest{ViewVersion: request.ViewVersion})
	}
	return readCall(r.config.Name).Call(ctx, r.config.Caller, member, request)
}

// backOff waits for a random duration before the next attempt.
func (r *Register) backOff(ctx context.Context, attempt int) error {
	randomBelow := r.config.RandomBelow
	if randomBelow == nil {
		randomBelow = rand.N[time.Duration]
	}
	bound := min(minBackoff<<min(attempt, 10), maxBackoff)
	timer := time.NewTimer(bound/2 + randomBelow(bound/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
