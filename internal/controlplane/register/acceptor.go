package register

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// TablePrefix begins the names of the tables that hold registers.
const TablePrefix = "register/"

// Keys of a register's table.
const (
	promisedKey = "promised"
	acceptedKey = "accepted"
)

// notReadyRetry is when a proposer may ask again a member that is being rebuilt.
const notReadyRetry = 200 * time.Millisecond

// ErrNotReady is the refusal of a member that may not vote.
var ErrNotReady = errors.New("member is not ready: it has lost its disk and is being rebuilt")

// AcceptorConfig names what an acceptor works with.
type AcceptorConfig struct {
	Name  string                 // of the register
	Store storage.Store          // holds the table TablePrefix + Name
	Ready func() bool            // whether this member may vote
	View  func() replicaset.View // the current view
}

// Acceptor is one member's replica of a register.
type Acceptor struct {
	config AcceptorConfig
	table  func(viewVersion uint64) string // the store's table for a round in a view
	admits func(value []byte) error        // refuses values that this member must not accept; nil where there are none
	voting sync.Mutex                      // held while a vote is decided and stored
	values values                          // large ones, by parts
	loaded loadedState
}

// acceptedState is a state with the proposal number under which it was accepted.
type acceptedState struct {
	ProposalNumber ProposalNumber `msgpack:"b"`
	State          state          `msgpack:"s"`
	// Manifest is set where the state's value is large: it is stored by parts then, and left out here.
	Manifest *chunks.Manifest `msgpack:"m,omitempty"`
}

// replica is the content of a register's table.
type replica struct {
	promised ProposalNumber
	accepted acceptedState
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

// prepare promises to refuse lower proposal numbers. A proposal number is promised once only, so that two proposers never share one.
func (a *Acceptor) prepare(_ context.Context, request prepareRequest) (reply, error) {
	a.voting.Lock()
	defer a.voting.Unlock()
	answer, held, err := a.begin(request.ViewVersion)
	if err != nil || answer.Outcome != granted {
		return answer, err
	}
	if !held.promised.Less(request.ProposalNumber) {
		answer.Outcome = conflict
		return answer, nil
	}
	promise, err := a.encode(request.ViewVersion, promisedKey, request.ProposalNumber)
	if err != nil {
		return reply{}, err
	}
	if err := a.config.Store.Write(promise); err != nil {
		return reply{}, fmt.Errorf("promise in register %s: %w", a.config.Name, err)
	}
	if now, err := a.admit(request.ViewVersion); err != nil || now.Outcome != granted {
		return now, err
	}
	answer.Promised = request.ProposalNumber
	if held.accepted.ProposalNumber != request.Known {
		answer.State = held.accepted.State
	}
	return answer, nil
}

// accept stores a state unless a higher proposal number was promised.
func (a *Acceptor) accept(_ context.Context, request acceptRequest) (reply, error) {
	a.voting.Lock()
	defer a.voting.Unlock()
	answer, held, err := a.begin(request.ViewVersion)
	if err != nil || answer.Outcome != granted {
		return answer, err
	}
	if request.ProposalNumber.Less(held.promised) {
		answer.Outcome = conflict
		return answer, nil
	}
	if a.admits != nil {
		if err := a.admits(request.State.Value); err != nil {
			return reply{}, rpcerror.Unexecuted(err, 0)
		}
	}
	cut := a.cutLarge(request.State.Value)
	promise, promiseErr := a.encode(request.ViewVersion, promisedKey, request.ProposalNumber)
	accepted, acceptedErr := a.storing(request, cut)
	if err := errors.Join(promiseErr, acceptedErr); err != nil {
		return reply{}, err
	}
	if err := a.config.Store.Write(append([]storage.Change{promise}, accepted...)...); err != nil {
		return reply{}, fmt.Errorf("accept in register %s: %w", a.config.Name, err)
	}
	if now, err := a.admit(request.ViewVersion); err != nil || now.Outcome != granted {
		return now, err
	}
	answer.Promised = request.ProposalNumber
	answer.Accepted = request.ProposalNumber
	a.keepLoaded(request.ViewVersion, accepted, request.State.Value)
	a.values.committed(cut, request.ProposalNumber, request.ViewVersion)
	return answer, nil
}

// read answers with what is stored; a vote that is being written is not waited for.
func (a *Acceptor) read(_ context.Context, request readRequest) (reply, error) {
	answer, held, err := a.begin(request.ViewVersion)
	if err == nil && answer.Outcome == granted && held.accepted.ProposalNumber != request.Known {
		answer.State = held.accepted.State
	}
	return answer, err
}

// admit checks that this member may answer a proposer that works with a view. It is called again once a vote is stored:
// a vote that was stored after this member learned the next view counts for nothing, as joining members may have copied this
// member's tables without it.
func (a *Acceptor) admit(viewVersion uint64) (reply, error) {
	if !a.config.Ready() {
		return reply{}, rpcerror.Unexecuted(ErrNotReady, notReadyRetry)
	}
	view := a.config.View()
	if view.Version != viewVersion {
		return reply{Outcome: viewMismatch, View: view}, nil
	}
	return reply{Outcome: granted, View: replicaset.View{Version: view.Version}}, nil
}

// begin checks that this member may answer a proposer and loads what it holds.
func (a *Acceptor) begin(viewVersion uint64) (reply, replica, error) {
	answer, err := a.admit(viewVersion)
	if err != nil || answer.Outcome != granted {
		return answer, replica{}, err
	}
	held, err := a.load(viewVersion)
	if err != nil {
		return reply{}, replica{}, fmt.Errorf("register %s: %w", a.config.Name, err)
	}
	answer.Promised, answer.Accepted = held.promised, held.accepted.ProposalNumber
	return answer, held, nil
}

func (a *Acceptor) encode(viewVersion uint64, key string, value any) (storage.Change, error) {
	encoded, err := msgpack.Marshal(value)
	if err != nil {
		return storage.Change{}, fmt.Errorf("encode %s of register %s: %w", key, a.config.Name, err)
	}
	return storage.Change{Table: a.table(viewVersion), Key: key, Value: encoded}, nil
}
