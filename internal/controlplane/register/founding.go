package register

import (
	"context"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

// foundingName is the register of the first view.
const foundingName = "replicaset/founding"

// Founding commits the first view of the replicas in a write-once register on the founders, so that two of them cannot commit
// different ones. It implements replicaset.Founding.
type Founding struct {
	self     string
	caller   transport.Caller
	acceptor *Acceptor
	founders func() []string
}

// FoundingConfig is what a Founding needs.
type FoundingConfig struct {
	Self     string // this process's internal address
	Store    storage.Store
	Ready    func() bool     // whether this member may vote
	Founders func() []string // internal addresses; empty while not known
	Caller   transport.Caller
}

// NewFounding makes the acceptor and the proposer of the first view.
func NewFounding(config FoundingConfig) *Founding {
	f := &Founding{self: config.Self, caller: config.Caller, founders: config.Founders}
	f.acceptor = NewAcceptor(AcceptorConfig{
		Name:  foundingName,
		Store: config.Store,
		Ready: config.Ready,
		View:  f.view,
	})
	return f
}

// Serve registers the internal calls.
func (f *Founding) Serve(mux *transport.Mux) { f.acceptor.Serve(mux) }

// Commit proposes the first view and returns the one that was committed, by this or an earlier proposal. Errors of a quorum
// round carry an rpcerror.Error.
func (f *Founding) Commit(ctx context.Context, view replicaset.View) (replicaset.View, error) {
	proposed, err := msgpack.Marshal(view)
	if err != nil {
		return replicaset.View{}, fmt.Errorf("encode first view: %w", err)
	}
	register := New(Config{Name: foundingName, Self: f.self, Acceptor: f.acceptor, View: f.view, Caller: f.caller})
	value, err := register.Change(ctx, writeOnce(proposed))
	if err != nil {
		return replicaset.View{}, fmt.Errorf("settle first view: %w", err)
	}
	var first replicaset.View
	if err := msgpack.Unmarshal(value, &first); err != nil {
		return replicaset.View{}, fmt.Errorf("decode first view: %w", err)
	}
	return first, nil
}

// view is the fixed set of the founders.
func (f *Founding) view() replicaset.View {
	founders := f.founders()
	if len(founders) == 0 {
		return replicaset.View{}
	}
	return replicaset.View{Version: 1, Members: founders}
}
