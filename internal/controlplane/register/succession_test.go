package register

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// mutableView is a member's current view.
type mutableView struct {
	mutex sync.Mutex
	view  replicaset.View
}

func (h *mutableView) get() replicaset.View {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.view
}

func (h *mutableView) set(view replicaset.View) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.view = view
}

// viewChangingStore moves to another view whenever something is written.
type viewChangingStore struct {
	*storage.Memory
	changeView func()
}

// Write implements storage.Store.
func (s viewChangingStore) Write(changes ...storage.Change) error {
	s.changeView()
	return s.Memory.Write(changes...)
}

func TestVoteStoredAfterAViewChangeDoesNotCount(t *testing.T) {
	convey.Convey("A member learns the next view while it stores a vote", t, func() {
		next := replicaset.View{Version: 2, Members: []string{"b"}}
		view := &mutableView{}
		store := viewChangingStore{storage.NewMemory(), func() { view.set(next) }}
		acceptor := readyAcceptor(store, view.get)
		proposalNumber := ProposalNumber{Counter: 1, Member: "a"}
		expected := reply{Outcome: viewMismatch, View: next}

		convey.Convey("and does not give its promise", func() {
			view.set(replicaset.View{Version: 1, Members: []string{"a"}})
			answer, err := acceptor.prepare(context.Background(), prepareRequest{ViewVersion: 1, ProposalNumber: proposalNumber})
			convey.So(err, convey.ShouldBeNil)
			convey.So(answer, convey.ShouldResemble, expected)
		})
		convey.Convey("and does not say that it accepted", func() {
			view.set(replicaset.View{Version: 1, Members: []string{"a"}})
			answer, err := acceptor.accept(context.Background(), acceptRequest{ViewVersion: 1, ProposalNumber: proposalNumber})
			convey.So(err, convey.ShouldBeNil)
			convey.So(answer, convey.ShouldResemble, expected)
		})
	})
}

// successions makes the Succession of each member of a view on a network.
func successions(network *networktest.Network, view replicaset.View, holders map[string]*mutableView) map[string]*Succession {
	made := make(map[string]*Succession)
	for _, self := range view.Members {
		holders[self] = &mutableView{view: view}
		made[self] = NewSuccession(SuccessionConfig{
			Self: self, Store: storage.NewMemory(), Ready: func() bool { return true }, View: holders[self].get,
			Caller: network.Caller(self),
		})
		mux := transport.NewMux()
		made[self].Serve(mux)
		network.Serve(self, mux)
	}
	return made
}

func TestConcurrentSuccessionsCommitOneView(t *testing.T) {
	current := replicaset.View{Version: 4, Members: []string{"a", "b", "c"}}
	committed := make([]replicaset.View, len(current.Members))
	errs := make([]error, len(current.Members))
	var late replicaset.View
	var lateErr, nextErr error
	virtualtime.Test(t, func(*testing.T) {
		network := networktest.New(1)
		network.SetFaults(networktest.Faults{MaxDelay: 20 * time.Millisecond})
		views := make(map[string]*mutableView)
		successions := successions(network, current, views)
		var running sync.WaitGroup
		for i, self := range current.Members {
			running.Go(func() {
				next := replicaset.View{Version: 5, Members: append([]string{"entering at " + self}, current.Members...)}
				committed[i], errs[i] = successions[self].Commit(context.Background(), current, next)
			})
		}
		running.Wait()
		views["b"].set(committed[0])
		views["c"].set(committed[0])
		late, lateErr = successions["a"].Commit(context.Background(), current, replicaset.View{Version: 5, Members: []string{"late"}})
		_, nextErr = successions["b"].Commit(context.Background(), current, replicaset.View{Version: 5, Members: []string{"late"}})
		<-time.After(drainTime)
	})
	convey.Convey("Members that propose different views at once learn the same one", t, func() {
		convey.So(errs, convey.ShouldResemble, make([]error, len(errs)))
		convey.So(committed[0].Version, convey.ShouldEqual, 5)
		convey.So(committed[1], convey.ShouldResemble, committed[0])
		convey.So(committed[2], convey.ShouldResemble, committed[0])
	})
	convey.Convey("A member that has not learned the view receives it when it proposes another", t, func() {
		convey.So(lateErr, convey.ShouldBeNil)
		convey.So(late, convey.ShouldResemble, committed[0])
	})
	convey.Convey("A member that works with the next view proposes nothing for the one before", t, func() {
		convey.So(nextErr, convey.ShouldWrap, ErrNoView)
	})
}

func TestMemberAcceptsNoViewWithoutItself(t *testing.T) {
	current := replicaset.View{Version: 1, Members: []string{"a", "b", "c"}}
	next := replicaset.View{Version: 2, Members: []string{"a", "b", "new"}}
	var refused, committed error
	var pending bool
	virtualtime.Test(t, func(*testing.T) {
		network := networktest.New(1)
		made := successions(network, current, make(map[string]*mutableView))
		network.Partition("b", true)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, refused = made["a"].Commit(ctx, current, next)
		_, pending, _ = made["a"].Pending(current)
		network.Partition("b", false)
		_, committed = made["b"].Commit(context.Background(), current, next)
		<-time.After(drainTime)
	})
	convey.Convey("The one that is to be replaced does not help to make the majority", t, func() {
		convey.So(refused, convey.ShouldNotBeNil)
		convey.So(pending, convey.ShouldBeTrue)
		convey.So(committed, convey.ShouldBeNil)
	})
}
