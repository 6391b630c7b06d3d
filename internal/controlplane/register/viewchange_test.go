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

// mutableView is the current view of a member, which a test can replace.
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

// viewChangingStore calls changeView before each write.
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
	convey.Convey("Given a member that learns the next view while it stores a vote", t, func() {
		next := replicaset.View{Version: 2, Members: []string{"b"}}
		view := &mutableView{}
		store := viewChangingStore{storage.NewMemory(), func() { view.set(next) }}
		acceptor := readyAcceptor(store, view.get)
		proposalNumber := ProposalNumber{Counter: 1, Member: "a"}
		expected := reply{Outcome: viewMismatch, View: next}

		convey.Convey("it does not reply with its promise", func() {
			view.set(replicaset.View{Version: 1, Members: []string{"a"}})
			answer, err := acceptor.prepare(context.Background(), prepareRequest{ViewVersion: 1, ProposalNumber: proposalNumber})
			convey.So(err, convey.ShouldBeNil)
			convey.So(answer, convey.ShouldResemble, expected)
		})
		convey.Convey("it does not reply that it accepted", func() {
			view.set(replicaset.View{Version: 1, Members: []string{"a"}})
			answer, err := acceptor.accept(context.Background(), acceptRequest{ViewVersion: 1, ProposalNumber: proposalNumber})
			convey.So(err, convey.ShouldBeNil)
			convey.So(answer, convey.ShouldResemble, expected)
		})
	})
}

// newViewChanges creates the ViewChange of each member of a view on a network.
func newViewChanges(network *networktest.Network, view replicaset.View, views map[string]*mutableView) map[string]*ViewChange {
	created := make(map[string]*ViewChange)
	for _, self := range view.Members {
		views[self] = &mutableView{view: view}
		created[self] = NewViewChange(ViewChangeConfig{
			Self: self, Store: storage.NewMemory(), Ready: func() bool { return true }, View: views[self].get,
			Caller: network.Caller(self),
		})
		mux := transport.NewMux()
		created[self].Serve(mux)
		network.Serve(self, mux)
	}
	return created
}

func TestConcurrentViewChangesCommitOneView(t *testing.T) {
	current := replicaset.View{Version: 4, Members: []string{"a", "b", "c"}}
	committed := make([]replicaset.View, len(current.Members))
	errs := make([]error, len(current.Members))
	var lateView replicaset.View
	var lateErr, previousViewErr error
	virtualtime.Test(t, func(*testing.T) {
		network := networktest.New(1)
		network.SetFaults(networktest.Faults{MaxDelay: 20 * time.Millisecond})
		views := make(map[string]*mutableView)
		viewChanges := newViewChanges(network, current, views)
		var running sync.WaitGroup
		for i, self := range current.Members {
			running.Go(func() {
				next := replicaset.View{Version: 5, Members: append([]string{"proposed by " + self}, current.Members...)}
				committed[i], errs[i] = viewChanges[self].Commit(context.Background(), current, next)
			})
		}
		running.Wait()
		views["b"].set(committed[0])
		views["c"].set(committed[0])
		lateView, lateErr = viewChanges["a"].Commit(context.Background(), current, replicaset.View{Version: 5, Members: []string{"late"}})
		_, previousViewErr = viewChanges["b"].Commit(context.Background(), current, replicaset.View{Version: 5, Members: []string{"late"}})
		<-time.After(drainTime)
	})
	convey.Convey("Members that propose different views concurrently get the same committed view", t, func() {
		convey.So(errs, convey.ShouldResemble, make([]error, len(errs)))
		convey.So(committed[0].Version, convey.ShouldEqual, 5)
		convey.So(committed[1], convey.ShouldResemble, committed[0])
		convey.So(committed[2], convey.ShouldResemble, committed[0])
	})
	convey.Convey("A member that has not learned the committed view gets it when it proposes another view", t, func() {
		convey.So(lateErr, convey.ShouldBeNil)
		convey.So(lateView, convey.ShouldResemble, committed[0])
	})
	convey.Convey("A member that uses the next view cannot propose a successor of the previous view", t, func() {
		convey.So(previousViewErr, convey.ShouldWrap, ErrNoView)
	})
}

func TestMemberAcceptsNoViewWithoutItself(t *testing.T) {
	current := replicaset.View{Version: 1, Members: []string{"a", "b", "c"}}
	next := replicaset.View{Version: 2, Members: []string{"a", "b", "new"}}
	var withoutMemberErr, withMemberErr error
	var pending bool
	virtualtime.Test(t, func(*testing.T) {
		network := networktest.New(1)
		made := newViewChanges(network, current, make(map[string]*mutableView))
		network.Partition("b", true)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, withoutMemberErr = made["a"].Commit(ctx, current, next)
		_, pending, _ = made["a"].Pending(current)
		network.Partition("b", false)
		_, withMemberErr = made["b"].Commit(context.Background(), current, next)
		<-time.After(drainTime)
	})
	convey.Convey("The member that is to be replaced does not accept the view", t, func() {
		convey.So(withoutMemberErr, convey.ShouldNotBeNil)
		convey.So(pending, convey.ShouldBeTrue)
		convey.So(withMemberErr, convey.ShouldBeNil)
	})
}
