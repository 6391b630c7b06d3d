package register

import (
	"context"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

// foundingName is the name of the register that stores the first view.
const foundingName = "replicaset/founding"

// Founding commits the first view of the replica set. It uses a write-once register on the founders, which are the initial
// members. Therefore two founders cannot commit different views. Founding implements replicaset.Founding.
type Founding struct {
	self     string
	caller   transport.Caller
	acceptor *Acceptor
	founders func() []string
}

// FoundingConfig configures a Founding.
type FoundingConfig struct {
	Self     string // internal address of this process
	Store    storage.Store
	Ready    func() bool     // reports whether this member may vote
	Founders func() []string // internal addresses of the founders; empty while they are unknown
	Caller   transport.Caller
}

// NewFounding returns a Founding with the local acceptor of the first view.
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

// Serve registers the handlers of the acceptor's internal calls.
func (f *Founding) Serve(mux *transport.Mux) { f.acceptor.Serve(mux) }

// Commit proposes the first view and returns the view that was committed. That may be the view of an earlier proposal. Errors
// of a quorum round wrap an rpcerror.Error.
func (f *Founding) Commit(ctx context.Context, view replicaset.View) (replicaset.View, error) {
	proposed, err := msgpack.Marshal(view)
	if err != nil {
		return replicaset.View{}, fmt.Errorf("encode first view: %w", err)
	}
	register := New(Config{Name: foundingName, Self: f.self, Acceptor: f.acceptor, View: f.view, Caller: f.caller})
	value, err := register.Change(ctx, writeOnce(proposed))
	if err != nil {
		return replicaset.View{}, fmt.Errorf("commit first view: %w", err)
	}
	var first replicaset.View
	if err := msgpack.Unmarshal(value, &first); err != nil {
		return replicaset.View{}, fmt.Errorf("decode first view: %w", err)
	}
	return first, nil
}

// view returns the founders as a view, or an empty view while they are unknown.
func (f *Founding) view() replicaset.View {
	founders := f.founders()
	if len(founders) == 0 {
		return replicaset.View{}
	}
	return replicaset.View{Version: 1, Members: founders}
}
