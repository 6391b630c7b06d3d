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

// Bounds of the backoff between attempts; each is drawn between half of the bound and the bound, which doubles.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// Config is what a Register needs.
type Config struct {
	Name        string                 // the same at all members
	Self        string                 // this process's internal address
	Acceptor    *Acceptor              // this member's own, which is called directly; nil where there is none
	View        func() replicaset.View // the current view
	OnNewerView func(replicaset.View)  // called with a newer view that a member works with; may be nil
	Caller      transport.Caller
	// RandomBelow returns a random duration below a bound; nil draws from the process's source. A simulation gives its own, so
	// that its seed replays it.
	RandomBelow func(bound time.Duration) time.Duration
}

// Register is a proposer: it reads and changes the register's value. Its methods may be called from any goroutine; its changes
// are made one after the other, so that they do not compete.
type Register struct {
	config   Config
	changing chan struct{} // holds a token while nobody changes the register here

	mutex   sync.Mutex        // guards what follows
	counter uint64            // highest that was seen or used in a proposal number
	cached  cachedState       // newest that was read or accepted
	partial *chunks.Assembler // of a value that is not complete yet

	// Rules of the protocol; tests replace them to show that each is needed.
	roundLimit       time.Duration
	committed        func(*round) (reply, bool)
	forgetsProposals bool
}

// New makes a proposer.
func New(config Config) *Register {
	r := &Register{
		config:     config,
		changing:   make(chan struct{}, 1),
		roundLimit: RoundLimit,
		committed:  (*round).latest,
	}
	r.changing <- struct{}{}
	return r
}

// Change applies a function to the current value, which is nil before the first change, and returns the value that it
// made. The function may be called several times, but at most one result takes effect; it must not modify its argument.
// Where it returns the value unchanged, or an error, that rests on a committed value.
//
// Errors carry an rpcerror.Error; the function's own error is in their chain. NotExecuted means that no result of
// the function was or will be the register's value.
func (r *Register) Change(ctx context.Context, change func(current []byte) (next []byte, err error)) ([]byte, error) {
	if err := r.waitTurn(ctx); err != nil {
		return nil, rpcerror.WrapNotExecuted(fmt.Errorf("change register %s: %w", r.config.Name, err), 0)
	}
	defer func() { r.changing <- struct{}{} }()
	p := &proposer{register: r, change: change}
	value, err := p.run(ctx)
	if err != nil {
		return nil, p.changeError(err)
	}
	return value, nil
}

// waitTurn waits until no other change of this proposer is under way. A change whose context has ended gets no turn: its
// proposals would only compete with those of others.
func (r *Register) waitTurn(ctx context.Context) error {
	if ctx.Err() == nil {
		select {
		case <-r.changing:
			return nil
		case <-ctx.Done():
		}
	}
	return context.Cause(ctx)
}

// agreementWait is how long a read waits for the answers of further members where those of the first majority differ. A change is
// then under way, or was left half done; to complete it takes a majority that can write.
const agreementWait = 100 * time.Millisecond

// Read returns the current value; nil before the first change. It takes one round where a majority agrees, and then needs no disk.
func (r *Register) Read(ctx context.Context) ([]byte, error) {
	view := r.config.View()
	if view.Version == 0 {
		return nil, rpcerror.WrapNotExecuted(fmt.Errorf("read register %s: %w", r.config.Name, ErrNoView), 0)
	}
	reading := round{view: view, limit: r.roundLimit}
	cached := r.newestAvailable(view.Version)
	request := readRequest{ViewVersion: view.Version, Known: cached.proposalNumber, ByChunks: true}
	err := reading.run(ctx, func(ctx context.Context, member string) (reply, error) {
		return r.read(ctx, member, request)
	})
	if err == nil {
		if latest, committed := r.committed(&reading); committed {
			return r.resolveValue(ctx, &reading, latest, cached)
		}
		if common, agreed := reading.awaitAgreement(ctx, agreementWait); agreed {
			return r.resolveValue(ctx, &reading, common, cached)
		}
	}
	r.reportNewerView(err)
	return r.Change(ctx, func(current []byte) ([]byte, error) { return current, nil })
}

// resolveValue returns the value of an answer on which a majority agrees.
func (r *Register) resolveValue(ctx context.Context, reading *round, latest reply, cached cachedState) ([]byte, error) {
	if latest.Accepted == (ProposalNumber{}) {
		return latest.State.Value, nil
	}
	state, err := r.acceptedStateFor(ctx, reading, latest.Accepted, cached)
	if err != nil {
		return nil, rpcerror.WrapNotExecuted(fmt.Errorf("read register %s: %w: %w", r.config.Name, errValueIncomplete, err), 0)
	}
	return state.Value, nil
}

// nextProposalNumber returns a proposal number above all that this proposer has seen.
func (r *Register) nextProposalNumber() ProposalNumber {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counter++
	return ProposalNumber{Counter: r.counter, Member: r.config.Self}
}

// observe makes later proposal numbers higher than one that was promised to anyone.
func (r *Register) observe(proposalNumber ProposalNumber) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counter = max(r.counter, proposalNumber.Counter)
}

// reportNewerView passes on a newer view that made a round fail.
func (r *Register) reportNewerView(err error) {
	var mismatch *viewError
	if errors.As(err, &mismatch) && mismatch.view.Version > r.config.View().Version && r.config.OnNewerView != nil {
		r.config.OnNewerView(mismatch.view)
	}
}

// isLocal tells whether a member's acceptor is in this process.
func (r *Register) isLocal(member string) bool {
	return member == r.config.Self && r.config.Acceptor != nil
}

// prepare, accept and read send a request to a member. The local acceptor is called without the network, and its answers have
// the value inline in any case.
func (r *Register) prepare(ctx context.Context, member string, request prepareRequest) (reply, error) {
	if r.isLocal(member) {
		request.Known = ProposalNumber{}
		return r.config.Acceptor.prepare(ctx, request)
	}
	return prepareCall(r.config.Name).Call(ctx, r.config.Caller, member, request)
}

func (r *Register) accept(ctx context.Context, member string, request acceptRequest) (reply, error) {
	if r.isLocal(member) {
		return r.config.Acceptor.accept(ctx, request)
	}
	return acceptCall(r.config.Name).Call(ctx, r.config.Caller, member, request)
}

func (r *Register) read(ctx context.Context, member string, request readRequest) (reply, error) {
	if r.isLocal(member) {
		return r.config.Acceptor.read(ctx, readRequest{ViewVersion: request.ViewVersion})
	}
	return readCall(r.config.Name).Call(ctx, r.config.Caller, member, request)
}

// backOff waits a random time before the next attempt.
func (r *Register) backOff(ctx context.Context, attempt int) error {
	draw := r.config.RandomBelow
	if draw == nil {
		draw = rand.N[time.Duration]
	}
	bound := min(minBackoff<<min(attempt, 10), maxBackoff)
	timer := time.NewTimer(bound/2 + draw(bound/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
