package replicaset_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// catchUpTime limits the time from a joining member's start until it is a member that may vote.
const catchUpTime = 4 * time.Second

// viewOf returns the version and members of a process's current view.
func (c *cluster) viewOf(address string) replicaset.View {
	view := c.coordinatorAt(address).manager.View()
	return replicaset.View{Version: view.Version, Members: view.Members}
}

// join starts a joining member in its own zone, and returns how long it takes until it is a member that may vote.
func (c *cluster) join(address string) time.Duration {
	return c.start(address, "elsewhere", storage.NewMemory(), false).awaitMembership()
}

func (c *cluster) write(address, value string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := c.coordinatorAt(address).register.Change(ctx, func([]byte) ([]byte, error) { return []byte(value), nil })
	return err
}

func (c *cluster) read(address string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	value, err := c.coordinatorAt(address).register.Read(ctx)
	if err != nil {
		return err.Error()
	}
	return string(value)
}

func TestFailedMemberIsReplaced(t *testing.T) {
	members := addresses(3)
	for _, downtime := range []time.Duration{0, time.Second, 10 * time.Second} {
		var elapsed time.Duration
		var views []replicaset.View
		var value string
		runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
			if err := c.write(members[0], "kept"); err != nil {
				t.Error(err)
			}
			c.stop(c.coordinatorAt(members[1]))
			<-time.After(downtime)
			elapsed = c.join("new")
			for _, address := range []string{members[0], members[2], "new"} {
				views = append(views, c.viewOf(address))
			}
			c.stop(c.coordinatorAt(members[0]))
			value = c.read(members[2])
		})
		convey.Convey(fmt.Sprintf("A joining member starts %v after a member has failed", downtime), t, func() {
			convey.So(elapsed, convey.ShouldBeLessThan, catchUpTime)
			expected := replicaset.View{Version: 2, Members: []string{members[0], members[2], "new"}}
			convey.So(views, convey.ShouldResemble, []replicaset.View{expected, expected, expected})
			convey.So(value, convey.ShouldEqual, "kept")
		})
	}
}

func TestMembersAreReplacedOneAfterAnother(t *testing.T) {
	members := addresses(3)
	var slowest time.Duration
	var last replicaset.View
	var value string
	runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
		if err := c.write(members[0], "kept"); err != nil {
			t.Error(err)
		}
		for i, address := range members {
			c.seeds = c.coordinatorAt(address).manager.View().Members // as an operator sets them after each replacement
			c.stop(c.coordinatorAt(address))
			<-time.After(time.Second)
			slowest = max(slowest, c.join(fmt.Sprintf("new-%d", i)))
		}
		last = c.viewOf("new-2")
		value = c.read("new-0")
	})
	convey.Convey("After all members were replaced in turn, the new members have the value", t, func() {
		convey.So(slowest, convey.ShouldBeLessThan, catchUpTime)
		convey.So(last, convey.ShouldResemble, replicaset.View{Version: 4, Members: []string{"new-0", "new-1", "new-2"}})
		convey.So(value, convey.ShouldEqual, "kept")
	})
}

func TestJoiningMemberWaitsWhileAllMembersAreLive(t *testing.T) {
	members := addresses(3)
	var before, after replicaset.View
	var elapsed time.Duration
	runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
		joining := c.start("new", "elsewhere", storage.NewMemory(), false)
		<-time.After(20 * time.Second)
		before = c.viewOf(members[0])
		departing := c.coordinatorAt(members[0])
		begin := time.Now()
		departing.leaveUntilReplaced()
		joining.awaitMembership()
		elapsed = time.Since(begin)
		after = c.viewOf(members[2])
	})
	convey.Convey("The view does not change while all members are live", t, func() {
		convey.So(before, convey.ShouldResemble, replicaset.View{Version: 1, Members: members})
	})
	convey.Convey("A member that sends a leave request is replaced at once, while it is still running", t, func() {
		convey.So(after, convey.ShouldResemble, replicaset.View{Version: 2, Members: []string{members[1], members[2], "new"}})
		convey.So(elapsed, convey.ShouldBeLessThan, 1500*time.Millisecond)
	})
}

func TestMemberThatRestartsAfterLeaveRequestStays(t *testing.T) {
	members := addresses(3)
	var view replicaset.View
	runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
		departing := c.coordinatorAt(members[0])
		departing.manager.Leave(departing.ctx)
		c.stop(departing)
		<-time.After(300 * time.Millisecond)
		c.start(members[0], departing.zone, departing.disk, false)
		<-time.After(time.Second)
		c.start("new", "elsewhere", storage.NewMemory(), false)
		<-time.After(10 * time.Second)
		view = c.viewOf(members[1])
	})
	convey.Convey("After a restart at the same address, a joining member replaces no member", t, func() {
		convey.So(view.Version, convey.ShouldEqual, 1)
	})
}

func TestReplacedMemberRejoins(t *testing.T) {
	members := addresses(3)
	var outside, inside replicaset.View
	var ready bool
	var value string
	runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
		c.write(members[0], "old")
		c.network.Partition(members[0], true)
		c.join("new")
		c.write(members[1], "young")
		c.network.Partition(members[0], false)
		<-time.After(5 * time.Second)
		outside, ready = c.viewOf(members[0]), c.coordinatorAt(members[0]).rebuilder.Ready()
		c.stop(c.coordinatorAt(members[1]))
		c.coordinatorAt(members[0]).awaitMembership()
		inside = c.viewOf(members[0])
		c.stop(c.coordinatorAt("new"))
		value = c.read(members[0])
	})
	convey.Convey("A member that was partitioned and replaced", t, func() {
		convey.Convey("is a joining member without a vote when it is reachable again", func() {
			convey.So(outside, convey.ShouldResemble, replicaset.View{Version: 2, Members: []string{members[1], members[2], "new"}})
			convey.So(ready, convey.ShouldBeFalse)
		})
		convey.Convey("replaces the next one that fails, and then has the newest value", func() {
			convey.So(inside, convey.ShouldResemble, replicaset.View{Version: 3, Members: []string{members[0], members[2], "new"}})
			convey.So(value, convey.ShouldEqual, "young")
		})
	})
}

func TestTwoJoiningMembersReplaceTwoFailedMembers(t *testing.T) {
	members := addresses(5)
	var views []replicaset.View
	var first, second time.Duration
	runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
		c.stop(c.coordinatorAt(members[0]))
		c.stop(c.coordinatorAt(members[1]))
		<-time.After(time.Second)
		one := c.start("new-0", "elsewhere", storage.NewMemory(), false)
		other := c.start("new-1", "zone of "+members[1], storage.NewMemory(), false)
		first, second = one.awaitMembership(), other.awaitMembership()
		<-time.After(2 * time.Second)
		for _, address := range append(members[2:], "new-0", "new-1") {
			views = append(views, c.viewOf(address))
		}
	})
	convey.Convey("Two of five members are replaced by two joining members, and all agree", t, func() {
		for _, view := range views {
			convey.So(view, convey.ShouldResemble, replicaset.View{Version: 3, Members: append(slices.Clone(members[2:]), "new-0", "new-1")})
		}
		convey.So(first, convey.ShouldBeLessThan, catchUpTime)
		convey.So(second, convey.ShouldBeLessThan, catchUpTime)
	})
}

// The proposer of the next view is killed after only one other member has accepted the proposal.
func TestOtherMembersCompleteViewOfKilledProposer(t *testing.T) {
	members := addresses(5)
	for _, proposer := range members[1:] {
		var views []replicaset.View
		runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
			c.network.AddRule(networktest.Rule{From: proposer, To: members[0], Path: "/register/replicaset/next/accept"})
			for _, address := range members[2:] {
				c.network.AddRule(networktest.Rule{From: proposer, To: address, Path: "/register/replicaset/next/accept", Drop: true})
			}
			c.stop(c.coordinatorAt(members[0]))
			c.start("new-0", "elsewhere", storage.NewMemory(), false)
			<-time.After(2 * time.Second)
			c.stop(c.coordinatorAt(proposer))
			c.start("new-1", "elsewhere", storage.NewMemory(), false)
			<-time.After(10 * time.Second)
			for _, p := range c.runningCoordinators() {
				views = append(views, c.viewOf(p.address))
			}
		})
		convey.Convey("The others complete the view that "+proposer+" proposed, and agree", t, func() {
			convey.So(views, convey.ShouldHaveLength, 5)
			for _, view := range views {
				convey.So(view.Version, convey.ShouldEqual, 3)
				convey.So(view, convey.ShouldResemble, views[0])
			}
		})
	}
}

func TestMemberInMinorityPartitionReplacesNobody(t *testing.T) {
	members := addresses(3)
	var version uint64
	runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
		joining := c.start("new", "elsewhere", storage.NewMemory(), false)
		<-time.After(time.Second)
		// The joining member and one member can reach only each other.
		c.network.AddRule(networktest.Rule{From: members[0], To: members[1], Drop: true})
		c.network.AddRule(networktest.Rule{From: members[0], To: members[2], Drop: true})
		c.network.AddRule(networktest.Rule{From: members[1], To: members[0], Drop: true})
		c.network.AddRule(networktest.Rule{From: members[2], To: members[0], Drop: true})
		c.network.AddRule(networktest.Rule{From: "new", To: members[1], Drop: true})
		c.network.AddRule(networktest.Rule{From: "new", To: members[2], Drop: true})
		<-time.After(20 * time.Second)
		version = joining.manager.View().Version
	})
	convey.Convey("Without a majority there is no next view", t, func() {
		convey.So(version, convey.ShouldEqual, 1)
	})
}

// Single members have accepted a next view when the member that it replaces becomes reachable again. Many joining members
// announce themselves meanwhile, which must not delay the completion of the view.
func TestPendingViewIsCompletedWhileJoiningMembersWait(t *testing.T) {
	members := addresses(3)
	var before, after uint64
	runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
		for i := range 6 {
			c.start(fmt.Sprintf("new-%d", i), "elsewhere", storage.NewMemory(), false)
			<-time.After(33 * time.Millisecond)
		}
		c.network.AddRule(networktest.Rule{Path: "/register/replicaset/next/accept", Drop: true})
		c.network.Partition(members[0], true)
		<-time.After(2500 * time.Millisecond)
		c.network.Partition(members[0], false)
		<-time.After(2 * time.Second)
		before = c.viewOf(members[0]).Version
		c.network.ClearRules()
		<-time.After(catchUpTime)
		after = c.viewOf(members[1]).Version
	})
	convey.Convey("The view is committed although no member is failed any more", t, func() {
		convey.So(before, convey.ShouldEqual, 1)
		convey.So(after, convey.ShouldEqual, 2)
	})
}

// A member was replaced while it was down or partitioned. It counts as a member again once it has had time to catch up, so another
// member may fail then.
func TestReplacedMemberThatRestartsCatchesUpInTime(t *testing.T) {
	members := addresses(3)
	interruptions := map[string]func(c *cluster, coordinator *testCoordinator){
		"down": func(c *cluster, coordinator *testCoordinator) {
			c.stop(coordinator)
			<-time.After(2600 * time.Millisecond)
			c.start(coordinator.address, coordinator.zone, coordinator.disk, false)
		},
		"partitioned": func(c *cluster, coordinator *testCoordinator) {
			c.network.Partition(coordinator.address, true)
			<-time.After(2600 * time.Millisecond)
			c.network.Partition(coordinator.address, false)
		},
	}
	for interruption, interrupt := range interruptions {
		for phase := range 5 {
			var value string
			var err error
			runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
				c.write(members[0], writtenValue)
				c.start("new", "elsewhere", storage.NewMemory(), false)
				<-time.After(catchUpTime + time.Duration(phase)*300*time.Millisecond)
				interrupt(c, c.coordinatorAt(members[1]))
				restartedAt := time.Now()
				<-time.After(600 * time.Millisecond)
				c.stopGracefully(c.coordinatorAt(members[2])) // the interrupted member may replace it
				<-time.After(time.Until(restartedAt.Add(catchUpTime)))
				c.stop(c.coordinatorAt("new"))
				value, err = c.read(members[0]), c.write(members[0], "after")
			})
			convey.Convey(fmt.Sprintf("A member is replaced while it is %s, phase %d", interruption, phase), t, func() {
				convey.So(value, convey.ShouldEqual, writtenValue)
				convey.So(err, convey.ShouldBeNil)
			})
		}
	}
}
