package register

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// TablePrefix is the prefix of the names of all tables that store registers.
const TablePrefix = "register/"

// notReadyRetryDelay is the retry delay that a member sends to proposers while it is being rebuilt.
const notReadyRetryDelay = 200 * time.Millisecond

// ErrNotReady reports that a member may not vote yet. The member returns it with rpcerror.NotExecuted.
var ErrNotReady = errors.New("member is not ready: it has lost its disk and is being rebuilt")

// AcceptorConfig configures an Acceptor.
type AcceptorConfig struct {
	Name  string                 // name of the register
	Store storage.Store          // stores the table TablePrefix + Name
	Ready func() bool            // reports whether this member may vote
	View  func() replicaset.View // the current view
}

// Acceptor is the replica of a register on one member. It makes each vote durable before it replies. Its methods are safe for
// concurrent use.
type Acceptor struct {
	config AcceptorConfig
	// table returns the name of the table that stores the votes of a view.
	tableName func(viewVersion uint64) string
	// validateValue returns an error for values that this member must not accept. It is nil if every value is valid.
	validateValue func(value []byte) error
	voteMutex     sync.Mutex // held while a vote is decided and stored
	chunks        chunkCache // chunks of large values
	lastLoaded    loadedValue
}

// NewAcceptor returns the acceptor of a register.
func NewAcceptor(config AcceptorConfig) *Acceptor {
	table := TablePrefix + config.Name
	return &Acceptor{config: config, tableName: func(uint64) string { return table }}
}

// Serve registers the handlers of the acceptor's internal calls.
func (a *Acceptor) Serve(mux *transport.Mux) {
	transport.Handle(mux, prepareCall(a.config.Name), a.servePrepare)
	transport.Handle(mux, acceptCall(a.config.Name), a.accept)
	transport.Handle(mux, acceptChunksCall(a.config.Name), a.serveAccept)
	transport.Handle(mux, readCall(a.config.Name), a.serveRead)
	transport.Handle(mux, pushCall(a.config.Name), a.servePush)
	transport.Handle(mux, fetchCall(a.config.Name), a.serveFetch)
}

// prepare stores a promise to refuse lower proposal numbers (phase 1).
func (a *Acceptor) prepare(_ context.Context, request prepareRequest) (reply, error) {
	a.voteMutex.Lock()
	defer a.voteMutex.Unlock()
	answer, stored, err := a.loadForRound(request.ViewVersion)
	if err != nil || answer.Outcome != granted {
		return answer, err
	}
	promised, ok := stored.prepare(request.ProposalNumber)
	if !ok {
		answer.Outcome = conflict
		return answer, nil
	}
	promise, err := a.encodeChange(request.ViewVersion, promisedKey, promised.promised)
	if err != nil {
		return reply{}, err
	}
	if err := a.config.Store.Write(promise); err != nil {
		return reply{}, fmt.Errorf("promise in register %s: %w", a.config.Name, err)
	}
	if recheck, err := a.checkMayVote(request.ViewVersion); err != nil || recheck.Outcome != granted {
		return recheck, err
	}
	answer.Promised = request.ProposalNumber
	if stored.accepted.ProposalNumber != request.CachedProposalNumber {
		answer.State = stored.accepted.State
	}
	return answer, nil
}

// accept stores a state unless this member has promised a higher proposal number (phase 2).
func (a *Acceptor) accept(_ context.Context, request acceptRequest) (reply, error) {
	a.voteMutex.Lock()
	defer a.voteMutex.Unlock()
	answer, stored, err := a.loadForRound(request.ViewVersion)
	if err != nil || answer.Outcome != granted {
		return answer, err
	}
	next, ok := stored.accept(request.ProposalNumber, request.State)
	if !ok {
		answer.Outcome = conflict
		return answer, nil
	}
	if a.validateValue != nil {
		if err := a.validateValue(request.State.Value); err != nil {
			return reply{}, rpcerror.WrapNotExecuted(err, 0)
		}
	}
	chunking := a.chunkLarge(request.State.Value)
	promise, promiseErr := a.encodeChange(request.ViewVersion, promisedKey, next.promised)
	accepted, acceptedErr := a.encodeAccepted(request.ViewVersion, next.accepted, chunking)
	if err := errors.Join(promiseErr, acceptedErr); err != nil {
		return reply{}, err
	}
	if err := a.config.Store.Write(append([]storage.Change{promise}, accepted...)...); err != nil {
		return reply{}, fmt.Errorf("accept in register %s: %w", a.config.Name, err)
	}
	if recheck, err := a.checkMayVote(request.ViewVersion); err != nil || recheck.Outcome != granted {
		return recheck, err
	}
	answer.Promised = request.ProposalNumber
	answer.Accepted = request.ProposalNumber
	record := accepted[len(accepted)-1].Value // encodeAccepted returns the accepted state as the last change
	a.lastLoaded.set(a.tableName(request.ViewVersion), record, request.State.Value)
	a.chunks.replace(chunking, request.ProposalNumber, request.ViewVersion)
	return answer, nil
}

// read returns the stored state. It does not wait for a vote that is being written.
func (a *Acceptor) read(_ context.Context, request readRequest) (reply, error) {
	answer, stored, err := a.loadForRound(request.ViewVersion)
	if err == nil && answer.Outcome == granted && stored.accepted.ProposalNumber != request.CachedProposalNumber {
		answer.State = stored.accepted.State
	}
	return answer, err
}

// checkMayVote checks that this member may reply to a proposer with the given view. The outcome of the reply is granted if it
// may. It is called before a vote is decided and again after the vote is stored. A vote must not count if it was stored after
// this member learned the next view, because joining members may already have copied the tables without this vote.
func (a *Acceptor) checkMayVote(viewVersion uint64) (reply, error) {
	if !a.config.Ready() {
		return reply{}, rpcerror.WrapNotExecuted(ErrNotReady, notReadyRetryDelay)
	}
	view := a.config.View()
	if view.Version != viewVersion {
		return reply{Outcome: viewMismatch, View: view}, nil
	}
	return reply{Outcome: granted, View: replicaset.View{Version: view.Version}}, nil
}

// loadForRound checks that this member may reply to a proposer and loads the stored state.
func (a *Acceptor) loadForRound(viewVersion uint64) (reply, acceptorState, error) {
	answer, err := a.checkMayVote(viewVersion)
	if err != nil || answer.Outcome != granted {
		return answer, acceptorState{}, err
	}
	stored, err := a.load(viewVersion)
	if err != nil {
		return reply{}, acceptorState{}, fmt.Errorf("register %s: %w", a.config.Name, err)
	}
	answer.Promised, answer.Accepted = stored.promised, stored.accepted.ProposalNumber
	return answer, stored, nil
}

// encode returns the change that stores a value under a key in the table of a view.
func (a *Acceptor) encodeChange(viewVersion uint64, key string, value any) (storage.Change, error) {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		return storage.Change{}, fmt.Errorf("encode %s of register %s: %w", key, a.config.Name, err)
	}
	return storage.Change{Table: a.tableName(viewVersion), Key: key, Value: encoded}, nil
}
