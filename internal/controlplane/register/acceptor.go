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

// TablePrefix begins the names of the tables that hold registers.
const TablePrefix = "register/"

// notReadyRetry is after which time a proposer may retry at a member that is being rebuilt.
const notReadyRetry = 200 * time.Millisecond

// ErrNotReady is the refusal of a member that may not vote. Proposers get it with rpcerror.NotExecuted.
var ErrNotReady = errors.New("member is not ready: it has lost its disk and is being rebuilt")

// AcceptorConfig is what an Acceptor needs.
type AcceptorConfig struct {
	Name  string                 // of the register
	Store storage.Store          // holds the table TablePrefix + Name
	Ready func() bool            // whether this member may vote
	View  func() replicaset.View // the current view
}

// Acceptor is one member's replica of a register. It stores each vote before it answers. Its methods may be called from any
// goroutine.
type Acceptor struct {
	config AcceptorConfig
	// table returns the name of the store's table for a round in a view.
	table func(viewVersion uint64) string
	// validateValue refuses values that this member must not accept; nil where there are none.
	validateValue func(value []byte) error
	voteMutex     sync.Mutex // locked while a vote is decided and stored
	chunks        chunkCache // of large values
	lastLoaded    loadedValue
}

// NewAcceptor makes the acceptor of a register.
func NewAcceptor(config AcceptorConfig) *Acceptor {
	table := TablePrefix + config.Name
	return &Acceptor{config: config, table: func(uint64) string { return table }}
}

// Serve registers the acceptor's internal calls.
func (a *Acceptor) Serve(mux *transport.Mux) {
	transport.Handle(mux, prepareCall(a.config.Name), a.servePrepare)
	transport.Handle(mux, acceptCall(a.config.Name), a.accept)
	transport.Handle(mux, acceptChunksCall(a.config.Name), a.serveAccept)
	transport.Handle(mux, readCall(a.config.Name), a.serveRead)
	transport.Handle(mux, pushCall(a.config.Name), a.servePush)
	transport.Handle(mux, fetchCall(a.config.Name), a.serveFetch)
}

// prepare promises to refuse lower proposal numbers (phase 1).
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
	promise, err := a.encode(request.ViewVersion, promisedKey, promised.promised)
	if err != nil {
		return reply{}, err
	}
	if err := a.config.Store.Write(promise); err != nil {
		return reply{}, fmt.Errorf("promise in register %s: %w", a.config.Name, err)
	}
	if now, err := a.checkMayVote(request.ViewVersion); err != nil || now.Outcome != granted {
		return now, err
	}
	answer.Promised = request.ProposalNumber
	if stored.accepted.ProposalNumber != request.Known {
		answer.State = stored.accepted.State
	}
	return answer, nil
}

// accept stores a state unless a higher proposal number was promised (phase 2).
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
	promise, promiseErr := a.encode(request.ViewVersion, promisedKey, next.promised)
	accepted, acceptedErr := a.encodeAccepted(request.ViewVersion, next.accepted, chunking)
	if err := errors.Join(promiseErr, acceptedErr); err != nil {
		return reply{}, err
	}
	if err := a.config.Store.Write(append([]storage.Change{promise}, accepted...)...); err != nil {
		return reply{}, fmt.Errorf("accept in register %s: %w", a.config.Name, err)
	}
	if now, err := a.checkMayVote(request.ViewVersion); err != nil || now.Outcome != granted {
		return now, err
	}
	answer.Promised = request.ProposalNumber
	answer.Accepted = request.ProposalNumber
	record := accepted[len(accepted)-1].Value // encodeAccepted puts the accepted state last
	a.lastLoaded.set(a.table(request.ViewVersion), record, request.State.Value)
	a.chunks.replace(chunking, request.ProposalNumber, request.ViewVersion)
	return answer, nil
}

// read answers with what is stored; a vote that is being written is not waited for.
func (a *Acceptor) read(_ context.Context, request readRequest) (reply, error) {
	answer, stored, err := a.loadForRound(request.ViewVersion)
	if err == nil && answer.Outcome == granted && stored.accepted.ProposalNumber != request.Known {
		answer.State = stored.accepted.State
	}
	return answer, err
}

// checkMayVote checks that this member may answer a proposer that works with a view; the answer's outcome is granted if so.
// It is called again once a vote is stored: a vote that was stored after this member learned the next view counts for
// nothing, as joining members may have copied this member's tables without it.
func (a *Acceptor) checkMayVote(viewVersion uint64) (reply, error) {
	if !a.config.Ready() {
		return reply{}, rpcerror.WrapNotExecuted(ErrNotReady, notReadyRetry)
	}
	view := a.config.View()
	if view.Version != viewVersion {
		return reply{Outcome: viewMismatch, View: view}, nil
	}
	return reply{Outcome: granted, View: replicaset.View{Version: view.Version}}, nil
}

// loadForRound checks that this member may answer a proposer, and loads what it has stored.
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

// encode returns the change that stores a value under a key of the table for a view.
func (a *Acceptor) encode(viewVersion uint64, key string, value any) (storage.Change, error) {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		return storage.Change{}, fmt.Errorf("encode %s of register %s: %w", key, a.config.Name, err)
	}
	return storage.Change{Table: a.table(viewVersion), Key: key, Value: encoded}, nil
}
