package rebuild_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// changingViews is a view that a test changes.
type changingViews struct {
	mutex          sync.Mutex
	view           replicaset.View
	changed        chan struct{}
	absences       uint64
	ignoresLearned bool // takes no view from others
}

func newChangingViews(view replicaset.View, absences uint64) *changingViews {
	return &changingViews{view: view, absences: absences, changed: make(chan struct{})}
}

// View implements rebuild.Views.
func (v *changingViews) View() replicaset.View {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.view
}

// Changed implements rebuild.Views.
func (v *changingViews) Changed() <-chan struct{} {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.changed
}

// Absences implements rebuild.Views.
func (v *changingViews) Absences() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.absences
}

// Learn implements rebuild.Views.
func (v *changingViews) Learn(view replicaset.View) error {
	if !v.ignoresLearned {
		v.set(view, v.Absences())
	}
	return nil
}

func (v *changingViews) set(view replicaset.View, absences uint64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.view, v.absences = view, absences
	close(v.changed)
	v.changed = make(chan struct{})
}

func startMember(t *testing.T, network *networktest.Network, self string, views rebuild.Views, store storage.SnapshotStore, firstStart bool) *rebuild.Rebuilder {
	rebuilder, err := rebuild.New(rebuild.Config{
		Self: self, FirstStart: firstStart, Views: views, Store: store, Caller: network.Caller(self), Logger: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	rebuilder.Register(rebuild.Infallible(union), "data/")
	mux := transport.NewMux()
	rebuilder.Serve(mux)
	network.Serve(self, mux)
	return rebuilder
}

func TestAJoiningMemberIsRebuiltOnlyByMembersOfItsView(t *testing.T) {
	before := replicaset.View{Version: 1, Members: []string{"a", "b", "gone"}}
	after := replicaset.View{Version: 2, Members: []string{"a", "b", "new"}}
	var outside, stubborn, ready bool
	var learned replicaset.View
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := networktest.New(1)
		a, b, views := newChangingViews(before, 0), newChangingViews(before, 0), newChangingViews(before, 1)
		b.ignoresLearned = true
		startMember(t, network, "a", a, storage.NewMemory(), true)
		startMember(t, network, "b", b, storage.NewMemory(), true)
		rebuilder := startMember(t, network, "new", views, storage.NewMemory(), false)
		go rebuilder.Run(ctx)
		<-time.After(time.Minute)
		outside = rebuilder.Ready()
		views.set(after, 1)
		<-time.After(time.Minute)
		stubborn = rebuilder.Ready()
		learned = a.View()
		b.set(after, 0)
		<-time.After(time.Minute)
		ready = rebuilder.Ready()
		cancel()
		<-time.After(drainTime)
	})
	convey.Convey("A process that is no member is not rebuilt", t, func() { convey.So(outside, convey.ShouldBeFalse) })
	convey.Convey("A member that is asked takes the newcomer's view first", t, func() {
		convey.So(learned, convey.ShouldResemble, after)
	})
	convey.Convey("A member that keeps to the old view gives no copy", t, func() {
		convey.So(stubborn, convey.ShouldBeFalse)
		convey.So(ready, convey.ShouldBeTrue)
	})
}

func TestAJoiningMemberOfAnEvenViewFetchesAQuorumOfSnapshots(t *testing.T) {
	view := replicaset.View{Version: 2, Members: []string{"a", "b", "c", "new"}}
	ready := make(map[uint64]bool)
	for absences := range uint64(2) {
		virtualtime.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			network := networktest.New(1)
			for _, self := range view.Members[:2] {
				startMember(t, network, self, newChangingViews(view, 0), storage.NewMemory(), true)
			}
			rebuilder := startMember(t, network, "new", newChangingViews(view, absences), storage.NewMemory(), false)
			go rebuilder.Run(ctx)
			<-time.After(time.Minute)
			ready[absences] = rebuilder.Ready()
			cancel()
			<-time.After(drainTime)
		})
	}
	convey.Convey("Two of three others are enough for a member that lost its disk, not for a newcomer", t, func() {
		convey.So(ready, convey.ShouldResemble, map[uint64]bool{0: true, 1: false})
	})
}

func TestAReplacedMemberIsCompleteNoMore(t *testing.T) {
	with := replicaset.View{Version: 1, Members: []string{"a", "b", "c"}}
	without := replicaset.View{Version: 2, Members: []string{"b", "c", "new"}}
	var before, after, again bool
	var ended error
	virtualtime.Test(t, func(t *testing.T) {
		network := networktest.New(1)
		views, store := newChangingViews(with, 0), storage.NewMemory()
		rebuilder := startMember(t, network, "a", views, store, true)
		watched := make(chan error, 1)
		go func() { watched <- rebuilder.Watch(context.Background()) }()
		before = rebuilder.Ready()
		views.set(without, 1)
		after, ended = rebuilder.Ready(), <-watched
		again = startMember(t, network, "a", views, store, true).Ready()
	})
	convey.Convey("A member is replaced", t, func() {
		convey.So(before, convey.ShouldBeTrue)
		convey.Convey("it votes no more, and its process is to end", func() {
			convey.So(after, convey.ShouldBeFalse)
			convey.So(ended, convey.ShouldEqual, rebuild.ErrReplaced)
		})
		convey.Convey("with its disk kept it is incomplete at the next start", func() {
			convey.So(again, convey.ShouldBeFalse)
		})
	})
}

// startAs starts a process with an incarnation.
func startAs(t *testing.T, network *networktest.Network, self string, incarnation uint64, views rebuild.Views, store storage.SnapshotStore) *rebuild.Rebuilder {
	rebuilder, err := rebuild.New(rebuild.Config{
		Self: self, Incarnation: incarnation, Views: views, Store: store, Caller: network.Caller(self), Logger: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	rebuilder.Register(rebuild.Infallible(union), "data/")
	mux := transport.NewMux()
	rebuilder.Serve(mux)
	network.Serve(self, mux)
	return rebuilder
}

// A view in which "new" took the place of "gone".
var (
	viewWithReplaced = replicaset.View{Version: 1, Members: []string{"a", "b", "gone"}}
	viewWithJoined   = replicaset.View{Version: 2, Members: []string{"a", "b", "new"}, Replaced: "gone", JoinedIncarnation: 7}
)

// rebuiltFromReplaced tells whether a joining member is rebuilt while of the members of its view only one can be reached, beside the
// one that it replaces.
func rebuiltFromReplaced(t *testing.T, incarnation uint64, prepare func(views *changingViews, store *storage.Memory)) (ready bool) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := networktest.New(1)
		startMember(t, network, "a", newChangingViews(viewWithReplaced, 0), storage.NewMemory(), true)
		views, store := newChangingViews(viewWithReplaced, 0), storage.NewMemory()
		prepare(views, store)
		startMember(t, network, "gone", views, store, false)
		rebuilder := startAs(t, network, "new", incarnation, newChangingViews(viewWithJoined, 1), storage.NewMemory())
		go rebuilder.Run(ctx)
		<-time.After(time.Minute)
		ready = rebuilder.Ready()
		cancel()
		<-time.After(drainTime)
	})
	return ready
}

func TestTheSnapshotOfAReplacedMember(t *testing.T) {
	complete := func(views *changingViews, store *storage.Memory) {
		store.Write(set(rebuild.TableName, "complete", "1"))
		views.set(viewWithJoined, 1)
	}
	cases := []struct {
		name        string
		incarnation uint64
		prepare     func(views *changingViews, store *storage.Memory)
		counts      bool
	}{
		{"of a complete one", 7, complete, true},
		{"for a later process at the newcomer's address", 8, complete, false},
		{"of one that was incomplete itself", 7, func(views *changingViews, _ *storage.Memory) { views.set(viewWithJoined, 1) }, false},
		{"of one that was replaced earlier", 7, func(views *changingViews, store *storage.Memory) {
			store.Write(set(rebuild.TableName, "complete", "1"))
			views.set(viewWithJoined, 2)
		}, false},
		{"of one that still works with the view before", 7, func(views *changingViews, store *storage.Memory) {
			store.Write(set(rebuild.TableName, "complete", "1"))
			views.ignoresLearned = true
		}, false},
	}
	for _, one := range cases {
		ready := rebuiltFromReplaced(t, one.incarnation, one.prepare)
		convey.Convey("The copy "+one.name, t, func() { convey.So(ready, convey.ShouldEqual, one.counts) })
	}
}

func TestAJoiningMemberIsNeverRebuiltFromNothing(t *testing.T) {
	alone := replicaset.View{Version: 2, Members: []string{"new"}, Replaced: "gone", JoinedIncarnation: 7}
	var early, late bool
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := networktest.New(1)
		rebuilder := startAs(t, network, "new", 7, newChangingViews(alone, 1), storage.NewMemory())
		go rebuilder.Run(ctx)
		<-time.After(time.Minute)
		early = rebuilder.Ready()
		store := storage.NewMemory()
		store.Write(set(rebuild.TableName, "complete", "1"))
		startMember(t, network, "gone", newChangingViews(alone, 1), store, false)
		<-time.After(time.Minute)
		late = rebuilder.Ready()
		cancel()
		<-time.After(drainTime)
	})
	convey.Convey("The only member is replaced: the newcomer waits for its copy", t, func() {
		convey.So(early, convey.ShouldBeFalse)
		convey.So(late, convey.ShouldBeTrue)
	})
}
