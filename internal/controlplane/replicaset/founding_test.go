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

// drainTime is how long messages may still be in flight at the end of a test, in simulated time.
const drainTime = 10 * time.Second

// managerCluster is processes with a manager each and nothing else, on a network in memory. It is to be run in simulated time.
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
	c := &managerCluster{t: t, network: networktest.New(1), seeds: seeds, running: make(map[string]*managerProcess)}
	c.network.SetFaults(networktest.Faults{Delay: 5 * time.Millisecond})
	return c
}

func addresses(count int) []string {
	var all []string
	for i := range count {
		all = append(all, fmt.Sprintf("core-%d", i))
	}
	return all
}

// start starts a core node, or a process that does not count for the quorum.
func (c *managerCluster) start(self string, store *storage.Memory, firstStart, core bool) *managerProcess {
	var manager *replicaset.Manager
	founding := register.NewFounding(register.FoundingConfig{
		Self:     self,
		Store:    store,
		Ready:    func() bool { return true },
		Founders: func() []string { return manager.Founders() },
		Caller:   c.network.Caller(self),
	})
	manager, err := replicaset.NewManager(replicaset.Config{
		Self:            self,
		Seeds:           c.seeds,
		FirstStart:      firstStart,
		CountsForQuorum: core,
		Store:           store,
		Caller:          c.network.Caller(self),
		Founding:        founding,
		Logger:          zap.NewNop(),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	mux := transport.NewMux()
	manager.Serve(mux)
	founding.Serve(mux)
	c.network.Serve(self, mux)
	ctx, stop := context.WithCancel(context.Background())
	p := &managerProcess{manager, store, stop, make(chan error, 1)}
	go func() { p.ended <- manager.Run(ctx) }()
	c.running[self] = p
	return p
}

func (c *managerCluster) startAll(all []string) {
	for _, self := range all {
		c.start(self, storage.NewMemory(), true, true)
	}
}

// kill ends a process and returns its disk.
func (c *managerCluster) kill(self string) *storage.Memory {
	p := c.running[self]
	c.network.Serve(self, nil)
	p.stop()
	if err := <-p.ended; err != nil {
		c.t.Error(err)
	}
	delete(c.running, self)
	return p.store
}

func (c *managerCluster) end() {
	for self := range c.running {
		c.kill(self)
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
func inManagerCluster(t *testing.T, seeds []string, test func(c *managerCluster, start time.Time)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		c := newManagerCluster(t, seeds...)
		test(c, time.Now())
		c.end()
	})
}

func TestFounding(t *testing.T) {
	all := addresses(5)
	views := make(map[string]replicaset.View)
	var slowest time.Duration
	inManagerCluster(t, all[1:4], func(c *managerCluster, start time.Time) {
		c.startAll(all)
		agent := c.start("front", storage.NewMemory(), true, false)
		for _, self := range all {
			view, took := c.running[self].view(start)
			views[self], slowest = view, max(slowest, took)
		}
		views["front"], _ = agent.view(start)
	})
	convey.Convey("All processes learn the view of all core nodes within 2 s", t, func() {
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
	inManagerCluster(t, all[:3], func(c *managerCluster, start time.Time) {
		c.startAll(all[:3])
		<-time.After(1300 * time.Millisecond)
		c.start(all[3], storage.NewMemory(), true, true)
		view, took = c.running[all[0]].view(start)
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
	inManagerCluster(t, all[:3], func(c *managerCluster, start time.Time) {
		c.startAll(all[1:])
		view, took = c.running[all[3]].view(start)
		first := c.start(all[0], storage.NewMemory(), false, true)
		late, _ = first.view(start)
	})
	convey.Convey("The next founder proposes after 3 s; the first one is a member, and learns the view when it starts", t, func() {
		convey.So(view.Members, convey.ShouldResemble, all)
		convey.So(took, convey.ShouldBeBetween, 3*time.Second, 4*time.Second)
		convey.So(late, convey.ShouldResemble, view)
	})
}

func TestPartitionedFoundersCommitOneView(t *testing.T) {
	all := addresses(3)
	var views []replicaset.View
	inManagerCluster(t, all, func(c *managerCluster, start time.Time) {
		c.network.AddRule(networktest.Rule{From: all[0], To: all[1], Path: "/replicaset/", Lose: true})
		c.network.AddRule(networktest.Rule{From: all[1], To: all[0], Path: "/replicaset/", Lose: true})
		c.startAll(all)
		for _, self := range all {
			view, _ := c.running[self].view(start)
			views = append(views, view)
		}
	})
	convey.Convey("Both propose, and all learn the same view", t, func() {
		convey.So(slices.ContainsFunc(views, func(view replicaset.View) bool { return view.Version != 1 }), convey.ShouldBeFalse)
		convey.So(views[1], convey.ShouldResemble, views[0])
		convey.So(views[2], convey.ShouldResemble, views[0])
	})
}

func TestFoundingResumesAfterARestart(t *testing.T) {
	all := addresses(3)
	var before, after []replicaset.View
	inManagerCluster(t, all, func(c *managerCluster, start time.Time) {
		c.startAll(all)
		<-time.After(time.Second)
		disks := make(map[string]*storage.Memory)
		for _, self := range all {
			before = append(before, c.running[self].manager.View())
			disks[self] = c.kill(self)
		}
		for _, self := range all {
			c.start(self, disks[self], false, true)
		}
		for _, self := range all {
			view, _ := c.running[self].view(start)
			after = append(after, view)
		}
	})
	convey.Convey("All core nodes are killed before there is a view, and found it after their restart", t, func() {
		for i := range all {
			convey.So(before[i].Version, convey.ShouldEqual, 0)
			convey.So(after[i], convey.ShouldResemble, replicaset.View{Version: 1, Members: all})
		}
	})
}

func TestARestartedMemberLearnsTheView(t *testing.T) {
	all := addresses(3)
	var withDisk, withoutDisk, withoutSeeds replicaset.View
	inManagerCluster(t, all, func(c *managerCluster, start time.Time) {
		c.startAll(all)
		for _, self := range all {
			c.running[self].view(start)
		}
		disk := c.kill(all[1])
		withDisk = c.start(all[1], disk, false, true).manager.View()

		c.kill(all[2])
		withoutDisk, _ = c.start(all[2], storage.NewMemory(), false, true).view(start)

		c.kill(all[2])
		c.seeds = []string{"gone"}
		withoutSeeds, _ = c.start(all[2], storage.NewMemory(), false, true).view(start)
	})
	expected := replicaset.View{Version: 1, Members: all}
	convey.Convey("With its disk it knows the view at once", t, func() { convey.So(withDisk, convey.ShouldResemble, expected) })
	convey.Convey("Without its disk it requests the view", t, func() { convey.So(withoutDisk, convey.ShouldResemble, expected) })
	convey.Convey("Without its disk and its seeds it receives the view from the other members", t, func() {
		convey.So(withoutSeeds, convey.ShouldResemble, expected)
	})
}

func TestAMemberWithoutItsDiskNeverFounds(t *testing.T) {
	all := addresses(3)
	var view replicaset.View
	inManagerCluster(t, all, func(c *managerCluster, _ time.Time) {
		for _, self := range all {
			c.start(self, storage.NewMemory(), false, true)
		}
		<-time.After(30 * time.Second)
		view = c.running[all[0]].manager.View()
	})
	convey.Convey("Core nodes without disks found nothing after the first start", t, func() {
		convey.So(view.Version, convey.ShouldEqual, 0)
	})
}

func TestANewerViewSpreads(t *testing.T) {
	all := addresses(3)
	newer := replicaset.View{Version: 2, Members: all[:2]}
	var learned []replicaset.View
	inManagerCluster(t, all, func(c *managerCluster, start time.Time) {
		c.startAll(all)
		for _, self := range all {
			c.running[self].view(start)
		}
		if err := c.running[all[0]].manager.Learn(newer); err != nil {
			t.Error(err)
		}
		if err := c.running[all[0]].manager.Learn(replicaset.View{Version: 1, Members: all}); err != nil {
			t.Error(err)
		}
		<-time.After(time.Minute)
		for _, self := range all {
			learned = append(learned, c.running[self].manager.View())
		}
	})
	convey.Convey("Members exchange views, and an older one changes nothing", t, func() {
		convey.So(learned, convey.ShouldResemble, []replicaset.View{newer, newer, newer})
	})
}

func TestFetchViewFromAnyProcess(t *testing.T) {
	all := addresses(1)
	var before, after replicaset.View
	var invalid error
	inManagerCluster(t, all, func(c *managerCluster, start time.Time) {
		p := c.start(all[0], storage.NewMemory(), true, true)
		before, _ = replicaset.FetchView(context.Background(), c.network.Caller("any"), all[0])
		p.view(start)
		after, _ = replicaset.FetchView(context.Background(), c.network.Caller("any"), all[0])
		invalid = p.manager.Learn(replicaset.View{Version: 9})
	})
	convey.Convey("The reply has version 0 until a view is known", t, func() {
		convey.So(before.Version, convey.ShouldEqual, 0)
		convey.So(after, convey.ShouldResemble, replicaset.View{Version: 1, Members: all})
	})
	convey.Convey("A view without members is invalid", t, func() {
		convey.So(invalid, convey.ShouldEqual, replicaset.ErrInvalidView)
	})
}
