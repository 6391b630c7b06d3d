package register

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	viewChangeName  = "replicaset/next" // part of the paths of the calls
	viewChangeTable = TablePrefix + "replicaset/"
)

// errExcludesSelf reports a proposed view that does not contain the member that has to accept it.
var errExcludesSelf = errors.New("the proposed view excludes this member, which is not about to stop")

// ViewChange commits the view that follows the current one. It uses one write-once register for each version of the view. The
// acceptors are the members of the current view. Therefore two members cannot commit different views.
//
// A member does not accept a view without itself, unless it is about to stop. In that case, it keeps running until the joining
// member has copied its tables. Therefore a quorum of members that may vote is available to the next view, and the joining
// members can be rebuilt from it. ViewChange implements replicaset.ViewChange.
type ViewChange struct {
	config   ViewChangeConfig
	acceptor *Acceptor
}

// ViewChangeConfig configures a ViewChange.
type ViewChangeConfig struct {
	Self   string // internal address of this process
	Store  storage.Store
	Ready  func() bool            // reports whether this member may vote
	View   func() replicaset.View // the current view
	Caller transport.Caller
	// Departing reports whether this process is about to stop and waits for its replacement. Nil means that it never does.
	Departing   func() bool
	RandomBelow func(bound time.Duration) time.Duration // see Config; may be nil
}

// NewViewChange returns a ViewChange with the local acceptor of the next view.
func NewViewChange(config ViewChangeConfig) *ViewChange {
	acceptor := NewAcceptor(AcceptorConfig{Name: viewChangeName, Store: config.Store, Ready: config.Ready, View: config.View})
	acceptor.tableName = func(viewVersion uint64) string {
		return viewChangeTable + strconv.FormatUint(viewVersion+1, 10)
	}
	v := &ViewChange{config: config, acceptor: acceptor}
	acceptor.validateValue = v.validateNextView
	return v
}

// validateNextView returns an error for a view without this member, unless this member is departing.
func (v *ViewChange) validateNextView(value []byte) error {
	if value == nil {
		return nil
	}
	var next replicaset.View
	if err := msgpack.Unmarshal(value, &next); err != nil {
		return fmt.Errorf("decode the next view: %w", err)
	}
	if !next.Has(v.config.Self) && !v.departing() {
		return errExcludesSelf
	}
	return nil
}

// departing reports whether this member is about to stop.
func (v *ViewChange) departing() bool { return v.config.Departing != nil && v.config.Departing() }

// Pending returns the view after current that this member has accepted, if there is one. This view is not necessarily
// committed.
func (v *ViewChange) Pending(current replicaset.View) (next replicaset.View, found bool, err error) {
	stored, err := decodeAcceptorState(v.config.Store.Table(v.acceptor.tableName(current.Version)))
	if err != nil || stored.accepted.State.Value == nil {
		return replicaset.View{}, false, err
	}
	if err := msgpack.Unmarshal(stored.accepted.State.Value, &next); err != nil {
		return replicaset.View{}, false, fmt.Errorf("decode view %d: %w", current.Version+1, err)
	}
	return next, true, nil
}

// Serve registers the handlers of the acceptor's internal calls.
func (v *ViewChange) Serve(mux *transport.Mux) { v.acceptor.Serve(mux) }

// Commit proposes the view that follows current and returns the view that was committed. That may be the view of an earlier
// proposal. If a member reports a newer view than current, Commit returns that view. Commit fails with ErrNoView if this process
// already uses another view than current.
func (v *ViewChange) Commit(ctx context.Context, current, next replicaset.View) (replicaset.View, error) {
	proposed, err := msgpack.Marshal(next)
	if err != nil {
		return replicaset.View{}, fmt.Errorf("encode view %d: %w", next.Version, err)
	}
	var newer replicaset.View
	register := New(Config{
		Name: viewChangeName, Self: v.config.Self, Acceptor: v.acceptor, Caller: v.config.Caller, RandomBelow: v.config.RandomBelow,
		View: func() replicaset.View {
			if newer.Version > current.Version || v.config.View().Version != current.Version {
				return replicaset.View{}
			}
			return current
		},
		OnNewerView: func(view replicaset.View) { newer = view },
	})
	value, err := register.Change(ctx, writeOnce(proposed))
	if newer.Version > current.Version {
		return newer, nil
	}
	if err != nil {
		return replicaset.View{}, fmt.Errorf("commit view %d: %w", next.Version, err)
	}
	var committed replicaset.View
	if err := msgpack.Unmarshal(value, &committed); err != nil {
		return replicaset.View{}, fmt.Errorf("decode view %d: %w", next.Version, err)
	}
	return committed, nil
}

// writeOnce returns the change function of a write-once register. It sets the value if there is none and otherwise keeps the
// current value.
func writeOnce(proposed []byte) func(current []byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		if current != nil {
			return current, nil
		}
		return proposed, nil
	}
}
