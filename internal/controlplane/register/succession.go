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
	successionName  = "replicaset/next" // part of the paths of the calls
	successionTable = TablePrefix + "replicaset/"
)

// errExcludesSelf reports a proposed view that does not contain the member that has to accept it.
var errExcludesSelf = errors.New("the proposed view excludes this member, which is not about to stop")

// Succession commits the view that follows the current one. It uses one write-once register for each version of the view. The
// acceptors are the members of the current view. Therefore two members cannot commit different views.
//
// A member does not accept a view without itself, unless it is about to stop. In that case, it keeps running until the joining
// member has copied its tables. Therefore a quorum of members that may vote is available to the next view, and the joining
// members can be rebuilt from it. Succession implements replicaset.Succession.
type Succession struct {
	config   SuccessionConfig
	acceptor *Acceptor
}

// SuccessionConfig configures a Succession.
type SuccessionConfig struct {
	Self   string // internal address of this process
	Store  storage.Store
	Ready  func() bool            // reports whether this member may vote
	View   func() replicaset.View // the current view
	Caller transport.Caller
	// Departing reports whether this process is about to stop and waits for its replacement. Nil means that it never does.
	Departing   func() bool
	RandomBelow func(bound time.Duration) time.Duration // see Config; may be nil
}

// NewSuccession returns a Succession with the local acceptor of the next view.
func NewSuccession(config SuccessionConfig) *Succession {
	acceptor := NewAcceptor(AcceptorConfig{Name: successionName, Store: config.Store, Ready: config.Ready, View: config.View})
	acceptor.tableName = func(viewVersion uint64) string {
		return successionTable + strconv.FormatUint(viewVersion+1, 10)
	}
	s := &Succession{config: config, acceptor: acceptor}
	acceptor.validateValue = s.validateNextView
	return s
}

// validateNextView returns an error for a view without this member, unless this member is departing.
func (s *Succession) validateNextView(value []byte) error {
	if value == nil {
		return nil
	}
	var next replicaset.View
	if err := msgpack.Unmarshal(value, &next); err != nil {
		return fmt.Errorf("decode the next view: %w", err)
	}
	if !next.Has(s.config.Self) && !s.departing() {
		return errExcludesSelf
	}
	return nil
}

// departing reports whether this member is about to stop.
func (s *Succession) departing() bool { return s.config.Departing != nil && s.config.Departing() }

// Pending returns the view after current that this member has accepted, if there is one. This view is not necessarily
// committed.
func (s *Succession) Pending(current replicaset.View) (next replicaset.View, found bool, err error) {
	stored, err := decodeAcceptorState(s.config.Store.Table(s.acceptor.tableName(current.Version)))
	if err != nil || stored.accepted.State.Value == nil {
		return replicaset.View{}, false, err
	}
	if err := msgpack.Unmarshal(stored.accepted.State.Value, &next); err != nil {
		return replicaset.View{}, false, fmt.Errorf("decode view %d: %w", current.Version+1, err)
	}
	return next, true, nil
}

// Serve registers the handlers of the acceptor's internal calls.
func (s *Succession) Serve(mux *transport.Mux) { s.acceptor.Serve(mux) }

// Commit proposes the view that follows current and returns the view that was committed. That may be the view of an earlier
// proposal. If a member reports a newer view than current, Commit returns that view. Commit fails with ErrNoView if this process
// already uses another view than current.
func (s *Succession) Commit(ctx context.Context, current, next replicaset.View) (replicaset.View, error) {
	proposed, err := msgpack.Marshal(next)
	if err != nil {
		return replicaset.View{}, fmt.Errorf("encode view %d: %w", next.Version, err)
	}
	var newer replicaset.View
	register := New(Config{
		Name: successionName, Self: s.config.Self, Acceptor: s.acceptor, Caller: s.config.Caller, RandomBelow: s.config.RandomBelow,
		View: func() replicaset.View {
			if newer.Version > current.Version || s.config.View().Version != current.Version {
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
