package replicaset_test

import (
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

func TestAllProcessesLearnFirstView(t *testing.T) {
	all := addresses(5)
	views := make(map[string]replicaset.View)
	var slowest time.Duration
	runInManagerCluster(t, all[1:4], func(c *managerCluster, start time.Time) {
		c.startAll(all)
		agent := c.start("front", storage.NewMemory(), true, false)
		for _, self := range all {
			view, elapsed := c.running[self].awaitView(start)
			views[self], slowest = view, max(slowest, elapsed)
		}
		views["front"], _ = agent.awaitView(start)
	})
	convey.Convey("All processes learn the view of all coordinators within 2 s", t, func() {
		expected := replicaset.View{Version: 1, Members: all}
		convey.So(views, convey.ShouldHaveLength, len(all)+1)
		for _, view := range views {
			convey.So(view, convey.ShouldResemble, expected)
		}
		convey.So(slowest, convey.ShouldBeBetween, 1500*time.Millisecond, 2*time.Second)
	})
}

func TestNewAnnouncementDelaysBootstrap(t *testing.T) {
	all := addresses(4)
	var view replicaset.View
	var elapsed time.Duration
	runInManagerCluster(t, all[:3], func(c *managerCluster, start time.Time) {
		c.startAll(all[:3])
		<-time.After(1300 * time.Millisecond)
		c.start(all[3], storage.NewMemory(), true, true)
		view, elapsed = c.running[all[0]].awaitView(start)
	})
	convey.Convey("An announcement of a new address delays the commit of the first view", t, func() {
		convey.So(view.Members, convey.ShouldResemble, all)
		convey.So(elapsed, convey.ShouldBeGreaterThan, 2*time.Second)
	})
}

func TestNextFounderProposesWhenFirstIsDown(t *testing.T) {
	all := addresses(4)
	var view, late replicaset.View
	var elapsed time.Duration
	runInManagerCluster(t, all[:3], func(c *managerCluster, start time.Time) {
		c.startAll(all[1:])
		view, elapsed = c.running[all[3]].awaitView(start)
		first := c.start(all[0], storage.NewMemory(), false, true)
		late, _ = first.awaitView(start)
	})
	convey.Convey("The next founder proposes after 3 s; the first one is a member and learns the view when it starts", t, func() {
		convey.So(view.Members, convey.ShouldResemble, all)
		convey.So(elapsed, convey.ShouldBeBetween, 3*time.Second, 4*time.Second)
		convey.So(late, convey.ShouldResemble, view)
	})
}

func TestPartitionedFoundersCommitOneView(t *testing.T) {
	all := addresses(3)
	var views []replicaset.View
	runInManagerCluster(t, all, func(c *managerCluster, start time.Time) {
		c.network.AddRule(networktest.Rule{From: all[0], To: all[1], Path: "/replicaset/", Drop: true})
		c.network.AddRule(networktest.Rule{From: all[1], To: all[0], Path: "/replicaset/", Drop: true})
		c.startAll(all)
		for _, self := range all {
			view, _ := c.running[self].awaitView(start)
			views = append(views, view)
		}
	})
	convey.Convey("Both founders propose, and all processes learn the same view", t, func() {
		convey.So(slices.ContainsFunc(views, func(view replicaset.View) bool { return view.Version != 1 }), convey.ShouldBeFalse)
		convey.So(views[1], convey.ShouldResemble, views[0])
		convey.So(views[2], convey.ShouldResemble, views[0])
	})
}

func TestBootstrapResumesAfterRestart(t *testing.T) {
	all := addresses(3)
	var before, after []replicaset.View
	runInManagerCluster(t, all, func(c *managerCluster, start time.Time) {
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
			view, _ := c.running[self].awaitView(start)
			after = append(after, view)
		}
	})
	convey.Convey("All coordinators are killed before there is a view, and commit the first view after their restart", t, func() {
		for i := range all {
			convey.So(before[i].Version, convey.ShouldEqual, 0)
			convey.So(after[i], convey.ShouldResemble, replicaset.View{Version: 1, Members: all})
		}
	})
}

func TestCoordinatorsWithoutDisksNeverCommitFirstView(t *testing.T) {
	all := addresses(3)
	var view replicaset.View
	runInManagerCluster(t, all, func(c *managerCluster, _ time.Time) {
		for _, self := range all {
			c.start(self, storage.NewMemory(), false, true)
		}
		<-time.After(30 * time.Second)
		view = c.running[all[0]].manager.View()
	})
	convey.Convey("Coordinators that lost their disks after the first start commit no first view", t, func() {
		convey.So(view.Version, convey.ShouldEqual, 0)
	})
}
