package replicaset_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

// errDiskFull is the error of a write to a full disk. The store is unchanged, and later writes may succeed.
var errDiskFull = rpcerror.WrapNotExecuted(fmt.Errorf("%w: %w", storage.ErrWriteRejected, syscall.ENOSPC), storage.RejectionBackoff)

// A member's disk is full while another member is replaced. The member must neither stop nor lose its vote permanently.
func TestMemberWithFullDiskMissesViewAndKeepsRunning(t *testing.T) {
	members := addresses(5)
	var during, after replicaset.View
	var ended bool
	var value string
	var err error
	runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
		full := c.coordinatorAt(members[1])
		full.disk.Fail(errDiskFull)
		c.stop(c.coordinatorAt(members[0]))
		c.join("new")
		c.write(members[2], writtenValue)
		<-time.After(catchUpTime)
		during, ended = full.manager.View(), full.componentFailed()
		full.disk.Fail(nil)
		<-time.After(catchUpTime)
		after = full.manager.View()
		c.stop(c.coordinatorAt(members[2]))
		c.stop(c.coordinatorAt(members[3]))
		value, err = c.read(members[1]), c.write(members[1], "after")
	})
	convey.Convey("While the disk is full", t, func() {
		convey.Convey("the member keeps the view that is on the disk", func() { convey.So(during.Version, convey.ShouldEqual, 1) })
		convey.Convey("the process does not end", func() { convey.So(ended, convey.ShouldBeFalse) })
	})
	convey.Convey("Once writes succeed, the member learns the view and votes again", t, func() {
		convey.So(after.Version, convey.ShouldEqual, 2)
		convey.So(value, convey.ShouldEqual, writtenValue)
		convey.So(err, convey.ShouldBeNil)
	})
}

func TestJoiningMemberWithFullDiskIsRebuiltOnceWritesSucceed(t *testing.T) {
	cases := []struct {
		name   string
		before time.Duration // time from the joining member's start to the loss of a member
		full   time.Duration // time from the loss until the joining member's disk is full
	}{
		{"the joining member learns the view that contains it", time.Second, 500 * time.Millisecond},
		{"the joining member is rebuilt", 0, 1800 * time.Millisecond},
	}
	for _, testCase := range cases {
		members := addresses(3)
		var early, ended bool
		var elapsed time.Duration
		var value string
		runInCluster(t, 1, ruleMutation{}, members, func(c *cluster) {
			c.write(members[1], writtenValue)
			joining := c.start("new", "elsewhere", storage.NewMemory(), false)
			<-time.After(testCase.before)
			c.stop(c.coordinatorAt(members[0]))
			<-time.After(testCase.full)
			joining.disk.Fail(errDiskFull)
			<-time.After(2 * catchUpTime)
			early, ended = joining.rebuilder.Ready(), joining.componentFailed()
			joining.disk.Fail(nil)
			writableSince := time.Now()
			joining.awaitMembership()
			elapsed = time.Since(writableSince)
			c.stop(c.coordinatorAt(members[1]))
			value = c.read("new")
		})
		convey.Convey("The joining member's disk is full before "+testCase.name, t, func() {
			convey.So(early, convey.ShouldBeFalse)
			convey.So(ended, convey.ShouldBeFalse)
			convey.So(elapsed, convey.ShouldBeLessThan, catchUpTime)
			convey.So(value, convey.ShouldEqual, writtenValue)
		})
	}
}
