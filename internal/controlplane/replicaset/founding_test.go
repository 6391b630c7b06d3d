package replicaset_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/register"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/leaktest"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// drainTime is how long messages may still be under way at the end of a test, in simulated time.
const drainTime = 10 * time.Second

// managerCluster is a set of processes on a network in memory, to be run in simulated time.
type managerCluster struct {
	t       *testing.T
	network *networktest.Network
	seeds   []string
	running map[string]*managerProcess
}

type managerProcess struct {
	manager *replicaset.Manager
	store   *storage.Memory
	stop    context.CancelFunc
	ended   chan error
}

func newManagerCluster(t *testing.T, seeds ...string) *managerCluster {
	f := &managerCluster{t: t, network: networktest.New(1), seeds: seeds, running: make(map[string]*managerProcess)}
	f.network.SetFaults(networktest.Faults{Delay: 5 * time.Millisecond})
	return f
}

func addresses(count int) []string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprintf("core-%d", i))
	}
	return all
}

// start starts a core node, or another process where it does not count for the quorum.
func (f *managerCluster) start(self string, store *storage.Memory, firstStart, core bool) *managerProcess {
	var manager *replicaset.Manager
	founding := register.NewFounding(register.FoundingConfig{
		Self:     self,
		Store:    store,
		Ready:    func() bool { return true },
		Founders: func() []string { return manager.Founders() },
		Caller:   f.network.Caller(self),
	})
	manager, err := replicaset.NewManager(replicaset.Config{
		Self:            self,
		Seeds:           f.seeds,
		FirstStart:      firstStart,
		CountsForQuorum: core,
		Store:           store,
		Caller:          f.network.Caller(self),
		Founding:        founding,
		Logger:          zap.NewNop(),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	mux := transport.NewMux()
	manager.Serve(mux)
	founding.Serve(mux)
	f.network.Serve(self, mux)
	ctx, stop := context.WithCancel(context.Background())
	p := &managerProcess{manager, store, stop, make(chan error, 1)}
	go func() { p.ended <- manager.Run(ctx) }()
	f.running[self] = p
	return p
}

func (f *managerCluster) startAll(all []string) {
	for _, self := range all {
		f.start(self, storage.NewMemory(), true, true)
	}
}

// kill ends a process and returns its disk.
func (f *managerCluster) kill(self string) *storage.Memory {
	p := f.running[self]
	f.network.Serve(self, nil)
	p.stop()
	if err := <-p.ended; err != nil {
		f.t.Error(err)
	}
	delete(f.running, self)
	return p.store
}

func (f *managerCluster) end() {
	for self := range f.running {
		f.kill(self)
	}
	<-time.After(drainTime)
}

// view waits until a process knows a view, and returns it with the time since a start.
func (p *managerProcess) view(start time.Time) (replicaset.View, time.Duration) {
	for limit := time.After(time.Minute); ; {
		changed := p.manager.Changed()
		if view := p.manager.View(); view.Version > 0 {
			return view, time.Since(start)
		}
		select {
		case <-changed:
		case <-limit:
			return replicaset.View{}, time.Minute
		}
	}
}

// inManagerCluster runs a test in simulated time.
func inManagerCluster(t *testing.T, seeds []string, test func(f *managerCluster, start time.Time)) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newManagerCluster(t, seeds...)
		test(f, time.Now())
		f.end()
	})
}

func TestFounding(t *testing.T) {
	all := addresses(5)
	views := make(map[string]replicaset.View)
	var slowest time.Duration
	inManagerCluster(t, all[1:4], func(f *managerCluster, start time.Time) {
		f.startAll(all)
		agent := f.start("front", storage.NewMemory(), true, false)
		for _, self := range all {
			view, took := f.running[self].view(start)
			views[self], slowest = view, max(slowest, took)
		}
		views["front"], _ = agent.view(start)
	})
	convey.Convey("All processes learn the view of all core mixers within 2 s", t, func() {
		expected := replicaset.View{Version: 1, Members: all}
		convey.So(views, convey.ShouldHaveLength, len(all)+1)
		for _, view := range views {
			convey.So(view, convey.ShouldResemble, expected)
		}
		convey.So(slowest, convey.ShouldBeBetween, 1500*time.Millisecond, 2*time.Second)
	})
}

func TestFoundingWaitsForLaterAnnouncements(t *testing.T) {
	all := addresses(4)
	var view replicaset.View
	var took time.Duration
	inManagerCluster(t, all[:3], func(f *managerCluster, start time.Time) {
		f.startAll(all[:3])
		<-time.After(1300 * time.Millisecond)
		f.start(all[3], storage.NewMemory(), true, true)
		view, took = f.running[all[0]].view(start)
	})
	convey.Convey("A new announcement delays the founding", t, func() {
		convey.So(view.Members, convey.ShouldResemble, all)
		convey.So(took, convey.ShouldBeGreaterThan, 2*time.Second)
	})
}

func TestFoundingWithoutTheFirstFounder(t *testing.T) {
	all := addresses(4)
	var view, late replicaset.View
	var took time.Duration
	inManagerCluster(t, all[:3], func(f *managerCluster, start time.Time) {
		f.startAll(all[1:])
		view, took = f.running[all[3]].view(start)
		first := f.start(all[0], storage.NewMemory(), false, true)
		late, _ = first.view(start)
	})
	convey.Convey("The next founder acts after 3 s; the silent one is a member and learns of it", t, func() {
		convey.So(view.Members, convey.ShouldResemble, all)
		convey.So(took, convey.ShouldBeBetween, 3*time.Second, 4*time.Second)
		convey.So(late, convey.ShouldResemble, view)
	})
}

func TestPartitionedFoundersCommitOneView(t *testing.T) {
	all := addresses(3)
	var views []replicaset.View
	inManagerCluster(t, all, func(f *managerCluster, start time.Time) {
		f.network.AddRule(networktest.Rule{From: all[0], To: all[1], Path: "/replicaset/", Lose: true})
		f.network.AddRule(networktest.Rule{From: all[1], To: all[0], Path: "/replicaset/", Lose: true})
		f.startAll(all)
		for _, self := range all {
			view, _ := f.running[self].view(start)
			views = append(views, view)
		}
	})
	convey.Convey("Both found, and learn the same view", t, func() {
		convey.So(slices.ContainsFunc(views, func(view replicaset.View) bool { return view.Version != 1 }), convey.ShouldBeFalse)
		convey.So(views[1], convey.ShouldResemble, views[0])
		convey.So(views[2], convey.ShouldResemble, views[0])
	})
}

func TestFoundingResumesAfterARestart(t *testing.T) {
	all := addresses(3)
	var before, after []replicaset.View
	inManagerCluster(t, all, func(f *managerCluster, start time.Time) {
		f.startAll(all)
		<-time.After(time.Second)
		disks := make(map[string]*storage.Memory)
		for _, self := range all {
			before = append(before, f.running[self].manager.View())
			disks[self] = f.kill(self)
		}
		for _, self := range all {
			f.start(self, disks[self], false, true)
		}
		for _, self := range all {
			view, _ := f.running[self].view(start)
			after = append(after, view)
		}
	})
	convey.Convey("All core mixers are killed before there is a view, and found it after they are back", t, func() {
		for i := range all {
			convey.So(before[i].Version, convey.ShouldEqual, 0)
			convey.So(after[i], convey.ShouldResemble, replicaset.View{Version: 1, Members: all})
		}
	})
}

func TestARestartedMemberLearnsTheView(t *testing.T) {
	all := addresses(3)
	var withDisk, withoutDisk, withoutSeeds replicaset.View
	inManagerCluster(t, all, func(f *managerCluster, start time.Time) {
		f.startAll(all)
		for _, self := range all {
			f.running[self].view(start)
		}
		disk := f.kill(all[1])
		withDisk = f.start(all[1], disk, false, true).manager.View()

		f.kill(all[2])
		withoutDisk, _ = f.start(all[2], storage.NewMemory(), false, true).view(start)

		f.kill(all[2])
		f.seeds = []string{"gone"}
		withoutSeeds, _ = f.start(all[2], storage.NewMemory(), false, true).view(start)
	})
	expected := replicaset.View{Version: 1, Members: all}
	convey.Convey("With its disk it knows the view at once", t, func() { convey.So(withDisk, convey.ShouldResemble, expected) })
	convey.Convey("Without its disk it asks for the view", t, func() { convey.So(withoutDisk, convey.ShouldResemble, expected) })
	convey.Convey("Without its disk and its seeds it is told by the other members", t, func() {
		convey.So(withoutSeeds, convey.ShouldResemble, expected)
	})
}

func TestAMemberWithoutItsDiskNeverFounds(t *testing.T) {
	all := addresses(3)
	var view replicaset.View
	inManagerCluster(t, all, func(f *managerCluster, start time.Time) {
		for _, self := range all {
			f.start(self, storage.NewMemory(), false, true)
		}
		<-time.After(30 * time.Second)
		view = f.running[all[0]].manager.View()
	})
	convey.Convey("Core mixers without disks found nothing after the first start", t, func() {
		convey.So(view.Version, convey.ShouldEqual, 0)
	})
}

func TestANewerViewSpreads(t *testing.T) {
	all := addresses(3)
	newer := replicaset.View{Version: 2, Members: all[:2]}
	var learned []replicaset.View
	inManagerCluster(t, all, func(f *managerCluster, start time.Time) {
		f.startAll(all)
		for _, self := range all {
			f.running[self].view(start)
		}
		if err := f.running[all[0]].manager.Learn(newer); err != nil {
			t.Error(err)
		}
		if err := f.running[all[0]].manager.Learn(replicaset.View{Version: 1, Members: all}); err != nil {
			t.Error(err)
		}
		<-time.After(time.Minute)
		for _, self := range all {
			learned = append(learned, f.running[self].manager.View())
		}
	})
	convey.Convey("Members exchange their views, and an older one changes nothing", t, func() {
		convey.So(learned, convey.ShouldResemble, []replicaset.View{newer, newer, newer})
	})
}

func TestFetchViewFromAnyProcess(t *testing.T) {
	all := addresses(1)
	var before, after replicaset.View
	var invalid error
	inManagerCluster(t, all, func(f *managerCluster, start time.Time) {
		p := f.start(all[0], storage.NewMemory(), true, true)
		before, _ = replicaset.FetchView(context.Background(), f.network.Caller("any"), all[0])
		p.view(start)
		after, _ = replicaset.FetchView(context.Background(), f.network.Caller("any"), all[0])
		invalid = p.manager.Learn(replicaset.View{Version: 9})
	})
	convey.Convey("The answer has version 0 until a view is known", t, func() {
		convey.So(before.Version, convey.ShouldEqual, 0)
		convey.So(after, convey.ShouldResemble, replicaset.View{Version: 1, Members: all})
	})
	convey.Convey("A view without members is refused", t, func() {
		convey.So(invalid, convey.ShouldEqual, replicaset.ErrInvalidView)
	})
}
