package replicaset_test

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

func TestRestartedMemberLearnsView(t *testing.T) {
	all := addresses(3)
	var withDisk, withoutDisk, withoutSeeds replicaset.View
	runInManagerCluster(t, all, func(c *managerCluster, start time.Time) {
		c.startAll(all)
		for _, self := range all {
			c.running[self].awaitView(start)
		}
		disk := c.kill(all[1])
		withDisk = c.start(all[1], disk, false, true).manager.View()

		c.kill(all[2])
		withoutDisk, _ = c.start(all[2], storage.NewMemory(), false, true).awaitView(start)

		c.kill(all[2])
		c.seeds = []string{"gone"}
		withoutSeeds, _ = c.start(all[2], storage.NewMemory(), false, true).awaitView(start)
	})
	expected := replicaset.View{Version: 1, Members: all}
	convey.Convey("With its disk it knows the view at once", t, func() { convey.So(withDisk, convey.ShouldResemble, expected) })
	convey.Convey("Without its disk it requests the view", t, func() { convey.So(withoutDisk, convey.ShouldResemble, expected) })
	convey.Convey("Without its disk and its seeds it receives the view from the other members", t, func() {
		convey.So(withoutSeeds, convey.ShouldResemble, expected)
	})
}

func TestNewerViewReachesAllMembers(t *testing.T) {
	all := addresses(3)
	newer := replicaset.View{Version: 2, Members: all[:2]}
	var learned []replicaset.View
	runInManagerCluster(t, all, func(c *managerCluster, start time.Time) {
		c.startAll(all)
		for _, self := range all {
			c.running[self].awaitView(start)
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
	convey.Convey("All members learn the newer view, and learning an older view changes nothing", t, func() {
		convey.So(learned, convey.ShouldResemble, []replicaset.View{newer, newer, newer})
	})
}

func TestViewCallReturnsVersionZeroUntilViewIsKnown(t *testing.T) {
	all := addresses(1)
	var before, after replicaset.View
	var invalid error
	runInManagerCluster(t, all, func(c *managerCluster, start time.Time) {
		process := c.start(all[0], storage.NewMemory(), true, true)
		before, _ = replicaset.FetchView(context.Background(), c.network.Caller("any"), all[0])
		process.awaitView(start)
		after, _ = replicaset.FetchView(context.Background(), c.network.Caller("any"), all[0])
		invalid = process.manager.Learn(replicaset.View{Version: 9})
	})
	convey.Convey("The reply has version 0 until a view is known", t, func() {
		convey.So(before.Version, convey.ShouldEqual, 0)
		convey.So(after, convey.ShouldResemble, replicaset.View{Version: 1, Members: all})
	})
	convey.Convey("A view without members is invalid", t, func() {
		convey.So(invalid, convey.ShouldEqual, replicaset.ErrInvalidView)
	})
}
