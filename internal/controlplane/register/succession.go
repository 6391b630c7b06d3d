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
	successionName  = "replicaset/next" // in the paths of the calls
	successionTable = TablePrefix + "replicaset/"
)

// errExcludesSelf is the refusal of a view without the member that is asked to accept it.
var errExcludesSelf = errors.New("a member that is not about to stop accepts no view without itself")

// Succession commits which view follows the current one, in a write-once register for each version. Its acceptors are the
// members of the current view, so that two of them cannot commit different ones. None of them accepts a view without itself,
// unless it is about to stop and stays to give the joining member its copy. So a quorum of members that may vote is there to
// give copies in the next view, and joining members can be rebuilt from it. It implements replicaset.Succession.
type Succession struct {
	config   SuccessionConfig
	acceptor *Acceptor
}

// SuccessionConfig is what a Succession needs.
type SuccessionConfig struct {
	Self   string // this process's internal address
	Store  storage.Store
	Ready  func() bool            // whether this member may vote
	View   func() replicaset.View // the current view
	Caller transport.Caller
	// Departing tells whether this process is about to stop and waits to be replaced; nil where it never does.
	Departing   func() bool
	RandomBelow func(bound time.Duration) time.Duration // as in Config; may be nil
}

// NewSuccession makes the acceptor and the proposer of the next view.
func NewSuccession(config SuccessionConfig) *Succession {
	acceptor := NewAcceptor(AcceptorConfig{Name: successionName, Store: config.Store, Ready: config.Ready, View: config.View})
	acceptor.table = func(viewVersion uint64) string {
		return successionTable + strconv.FormatUint(viewVersion+1, 10)
	}
	s := &Succession{config: config, acceptor: acceptor}
	acceptor.validateValue = s.validateNextView
	return s
}

// validateNextView refuses a view without this member, unless it is departing.
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

func (s *Succession) departing() bool { return s.config.Departing != nil && s.config.Departing() }

// Pending returns the view after current that this member has accepted, if there is one; whether it is committed is not
// known.
func (s *Succession) Pending(current replicaset.View) (next replicaset.View, found bool, err error) {
	stored, err := decodeAcceptorState(s.config.Store.Table(s.acceptor.table(current.Version)))
	if err != nil || stored.accepted.State.Value == nil {
		return replicaset.View{}, false, err
	}
	if err := msgpack.Unmarshal(stored.accepted.State.Value, &next); err != nil {
		return replicaset.View{}, false, fmt.Errorf("decode view %d: %w", current.Version+1, err)
	}
	return next, true, nil
}

// Serve registers the internal calls.
func (s *Succession) Serve(mux *transport.Mux) { s.acceptor.Serve(mux) }

// Commit proposes the view that follows current and returns the one that was committed, by this or an earlier proposal. It
// fails with ErrNoView once this process knows a newer view than current.
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
		return replicaset.View{}, fmt.Errorf("settle view %d: %w", next.Version, err)
	}
	var committed replicaset.View
	if err := msgpack.Unmarshal(value, &committed); err != nil {
		return replicaset.View{}, fmt.Errorf("decode view %d: %w", next.Version, err)
	}
	return committed, nil
}

// writeOnce is the change of a write-once register: it proposes a value where there is none, and leaves one that is there.
func writeOnce(proposed []byte) func(current []byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		if current != nil {
			return current, nil
		}
		return proposed, nil
	}
}
