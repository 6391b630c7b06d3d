package register

import (
	"context"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

// bootstrapName is the name of the register that stores the first view.
const bootstrapName = "replicaset/founding"

// Bootstrap commits the first view of the replica set. It uses a write-once register on the founders, which are the initial
// members. Therefore two founders cannot commit different views. Bootstrap implements replicaset.Bootstrap.
type Bootstrap struct {
	self     string
	caller   transport.Caller
	acceptor *Acceptor
	founders func() []string
}

// BootstrapConfig configures a Bootstrap.
type BootstrapConfig struct {
	Self     string // internal address of this process
	Store    storage.Store
	Ready    func() bool     // reports whether this member may vote
	Founders func() []string // internal addresses of the founders; empty while they are unknown
	Caller   transport.Caller
}

// NewBootstrap returns a Bootstrap with the local acceptor of the first view.
func NewBootstrap(config BootstrapConfig) *Bootstrap {
	b := &Bootstrap{self: config.Self, caller: config.Caller, founders: config.Founders}
	b.acceptor = NewAcceptor(AcceptorConfig{
		Name:  bootstrapName,
		Store: config.Store,
		Ready: config.Ready,
		View:  b.view,
	})
	return b
}

// Serve registers the handlers of the acceptor's internal calls.
func (b *Bootstrap) Serve(mux *transport.Mux) { b.acceptor.Serve(mux) }

// Commit proposes the first view and returns the view that was committed. That may be the view of an earlier proposal. Errors
// of a quorum round wrap an rpcerror.Error.
func (b *Bootstrap) Commit(ctx context.Context, view replicaset.View) (replicaset.View, error) {
	proposed, err := msgpack.Marshal(view)
	if err != nil {
		return replicaset.View{}, fmt.Errorf("encode first view: %w", err)
	}
	register := New(Config{Name: bootstrapName, Self: b.self, Acceptor: b.acceptor, View: b.view, Caller: b.caller})
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
func (b *Bootstrap) view() replicaset.View {
	founders := b.founders()
	if len(founders) == 0 {
		return replicaset.View{}
	}
	return replicaset.View{Version: 1, Members: founders}
}
