package replicaset_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// handoverResult is what a test observes of a planned replacement.
type handoverResult struct {
	stopTime time.Duration // time from the request to stop until the process has stopped
	value    string
	writeErr error // error of the final write
	version  uint64
}

// isIntactAndWritable reports whether the written value was read and the final write succeeded.
func (r handoverResult) isIntactAndWritable() bool {
	return r.value == writtenValue && r.writeErr == nil
}

// replaceWhileDown writes a value, stops the last members, and replaces the first member by a joining member that started before.
// Then the stopped members restart without their disks. Once they have had time to catch up, the same number of other members
// fails.
func replaceWhileDown(c *cluster, members []string, failing int) (result handoverResult) {
	departing, remaining, failed := members[0], members[1], members[len(members)-failing:]
	joining := c.start("new", "elsewhere", storage.NewMemory(), false)
	<-time.After(catchUpTime)
	c.write(remaining, oldValue)
	c.network.Partition(remaining, true) // so only members that stop or fail have the newest value
	if err := c.write(departing, writtenValue); err != nil {
		result.writeErr = err
		return result
	}
	<-time.After(maxMessageDelay)
	c.network.Partition(remaining, false)
	<-time.After(catchUpTime)
	for _, address := range failed {
		c.stop(c.coordinatorAt(address))
	}
	begin := time.Now()
	c.stopGracefully(c.coordinatorAt(departing))
	result.stopTime = time.Since(begin)
	for _, address := range failed {
		c.start(address, "zone of "+address, storage.NewMemory(), false)
	}
	<-time.After(catchUpTime)
	for range failing {
		c.stop(joining)
		joining = c.coordinatorAt(remaining)
	}
	result.value = c.read(failed[0])
	result.writeErr = c.write(failed[0], "after")
	result.version = c.viewOf(failed[0]).Version
	return result
}

// A machine that is replaced as planned does not count as failed once its successor has had time to catch up. So up to the
// tolerated number of other members may have failed when it stops. It may then be the only remaining member with the newest value.
func TestDepartingMemberHandsOverToJoiningMember(t *testing.T) {
	for _, size := range []int{3, 4, 5, 6} {
		members := addresses(size)
		var result handoverResult
		runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) { result = replaceWhileDown(c, members, (size-1)/2) })
		convey.Convey(fmt.Sprintf("One of %d members stops while %d have failed", size, (size-1)/2), t, func() {
			convey.So(result.writeErr, convey.ShouldBeNil)
			convey.So(result.value, convey.ShouldEqual, writtenValue)
			convey.So(result.version, convey.ShouldEqual, 2)
			convey.So(result.stopTime, convey.ShouldBeLessThan, handoverTimeout)
		})
	}
}

func TestViolatingAnyHandoverRuleLosesDataOrQuorum(t *testing.T) {
	members := addresses(3)
	for _, mutation := range []ruleMutation{
		{name: "a departing member waits for its successor", stopsWithoutHandover: true},
		{name: "a departing member votes for its own replacement", refusesOwnReplacement: true},
		{name: "a replaced member gives its snapshot to its successor", replacedGivesNoSnapshot: true},
	} {
		var result handoverResult
		runInCluster(t, 1, mutation, members, func(c *cluster) { result = replaceWhileDown(c, members, 1) })
		convey.Convey("Data or the quorum is lost without the rule: "+mutation.name, t, func() {
			convey.So(result.isIntactAndWritable(), convey.ShouldBeFalse)
		})
	}
}

// Another member fails immediately after the departing one has stopped. Snapshots arrive late, so a member that stopped without
// waiting would leave its successor incomplete.
func TestLossRightAfterPlannedReplacementIsTolerated(t *testing.T) {
	lossAfter := func(mutation ruleMutation, lost int) (value string, err error) {
		members := addresses(3)
		runInCluster(t, 1, mutation, members, func(c *cluster) {
			c.start("new", "elsewhere", storage.NewMemory(), false)
			<-time.After(catchUpTime)
			c.write(members[1], writtenValue)
			c.network.AddRule(networktest.Rule{Path: "/rebuild/dump", Delay: 300 * time.Millisecond})
			c.stopGracefully(c.coordinatorAt(members[0]))
			c.stop(c.coordinatorAt(members[lost]))
			value, err = c.read(members[3-lost]), c.write(members[3-lost], "after")
		})
		return value, err
	}
	convey.Convey("Either remaining member may fail immediately", t, func() {
		for _, lost := range []int{1, 2} {
			value, err := lossAfter(ruleMutation{}, lost)
			convey.So(value, convey.ShouldEqual, writtenValue)
			convey.So(err, convey.ShouldBeNil)
		}
	})
	convey.Convey("If the member stops without waiting for its successor, no majority remains", t, func() {
		_, err := lossAfter(ruleMutation{stopsWithoutHandover: true}, 1)
		convey.So(err, convey.ShouldNotBeNil)
	})
}

func TestDepartingMemberWithoutSuccessorStopsAtOnce(t *testing.T) {
	members := addresses(3)
	var elapsed time.Duration
	var view replicaset.View
	runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
		begin := time.Now()
		c.stopGracefully(c.coordinatorAt(members[0]))
		elapsed = time.Since(begin)
		<-time.After(catchUpTime)
		view = c.viewOf(members[1])
	})
	convey.Convey("Without a joining member it stops at once, and the view does not change", t, func() {
		convey.So(elapsed, convey.ShouldBeLessThan, 300*time.Millisecond)
		convey.So(view, convey.ShouldResemble, replicaset.View{Version: 1, Members: members})
	})
}

// A replaced process that is still running must not announce itself as a joining member. Otherwise it would replace another
// member that fails meanwhile, although it is about to stop.
func TestReplacedDepartingMemberDoesNotAnnounceItself(t *testing.T) {
	members := addresses(3)
	var view replicaset.View
	runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
		c.start("new", "elsewhere", storage.NewMemory(), false)
		<-time.After(catchUpTime)
		departing := c.coordinatorAt(members[0])
		departing.leaveUntilReplaced()
		c.stop(c.coordinatorAt(members[1]))
		<-time.After(catchUpTime)
		view = c.viewOf(members[2])
	})
	convey.Convey("A member that fails before the replaced one has stopped is not replaced", t, func() {
		convey.So(view.Version, convey.ShouldEqual, 2)
	})
}

// A member that lost its disk has just restarted when another member is told to stop, whose snapshot the rebuild needs.
func TestDepartingMemberWaitsForRebuild(t *testing.T) {
	stopDuring := func(mutation ruleMutation) (elapsed time.Duration, value string, err error) {
		members := addresses(3)
		runInCluster(t, 1, mutation, members, func(c *cluster) {
			c.write(members[1], writtenValue)
			c.stop(c.coordinatorAt(members[2]))
			c.start(members[2], "zone of "+members[2], storage.NewMemory(), false)
			<-time.After(500 * time.Millisecond)
			begin := time.Now()
			c.stopGracefully(c.coordinatorAt(members[0]))
			elapsed = time.Since(begin)
			<-time.After(catchUpTime)
			value, err = c.read(members[2]), c.write(members[2], "after")
		})
		return elapsed, value, err
	}
	elapsed, value, err := stopDuring(ruleMutation{})
	_, _, atOnce := stopDuring(ruleMutation{stopsWithoutHandover: true})
	convey.Convey("It stops once the other member has been rebuilt, within its grace period", t, func() {
		convey.So(elapsed, convey.ShouldBeBetween, time.Second, handoverTimeout)
		convey.So(value, convey.ShouldEqual, writtenValue)
		convey.So(err, convey.ShouldBeNil)
	})
	convey.Convey("If it stops at once, the other member cannot be rebuilt", t, func() {
		convey.So(atOnce, convey.ShouldNotBeNil)
	})
}

// All leave requests are lost, so the joining member replaces a third member, which has just failed.
func TestDepartingMemberWaitsForJoiningMemberThatReplacesAnother(t *testing.T) {
	members := addresses(3)
	var value string
	var err error
	var view replicaset.View
	runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
		c.write(members[1], writtenValue)
		c.network.AddRule(networktest.Rule{Path: "/replicaset/leave", Drop: true})
		c.stop(c.coordinatorAt(members[2]))
		c.start("new", "elsewhere", storage.NewMemory(), false)
		<-time.After(time.Second)
		c.stopGracefully(c.coordinatorAt(members[0]))
		<-time.After(catchUpTime)
		view = c.viewOf(members[1])
		value, err = c.read(members[1]), c.write(members[1], "after")
	})
	convey.Convey("The departing member stays until that joining member has been rebuilt", t, func() {
		convey.So(view, convey.ShouldResemble, replicaset.View{Version: 2, Members: []string{members[0], members[1], "new"}})
		convey.So(value, convey.ShouldEqual, writtenValue)
		convey.So(err, convey.ShouldBeNil)
	})
}

// A departing member must still know its successor when announcements are late.
func TestJoiningMemberIsKnownLongerThanItIsProposed(t *testing.T) {
	members := addresses(3)
	var proposable, known, forgotten bool
	runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
		c.start("new", "elsewhere", storage.NewMemory(), false)
		<-time.After(catchUpTime)
		c.network.Partition("new", true)
		<-time.After(2 * time.Second)
		manager := c.coordinatorAt(members[0]).manager
		proposable, known = manager.HasProposableMembers(), manager.HasJoiningMember()
		<-time.After(2 * time.Second)
		forgotten = !manager.HasJoiningMember()
	})
	convey.Convey("2 s after its last announcement a joining member is no longer proposed, but still known", t, func() {
		convey.So(proposable, convey.ShouldBeFalse)
		convey.So(known, convey.ShouldBeTrue)
	})
	convey.Convey("4 s after its last announcement a joining member is no longer known", t, func() { convey.So(forgotten, convey.ShouldBeTrue) })
}

func TestAllOthersDepartingAfterAllLeaveRequests(t *testing.T) {
	members := addresses(3)
	var byOne, byBoth, afterwards bool
	runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
		staying, first, second := c.coordinatorAt(members[0]).manager, c.coordinatorAt(members[1]), c.coordinatorAt(members[2])
		first.manager.Leave(first.ctx)
		byOne = staying.AllOthersDeparting()
		second.manager.Leave(second.ctx)
		byBoth = staying.AllOthersDeparting()
		c.stop(first)
		<-time.After(2 * time.Second)
		afterwards = staying.AllOthersDeparting()
	})
	convey.Convey("All others depart once each has sent a leave request, until one of them continues to send messages", t, func() {
		convey.So(byOne, convey.ShouldBeFalse)
		convey.So(byBoth, convey.ShouldBeTrue)
		convey.So(afterwards, convey.ShouldBeFalse)
	})
}
