package rebuild_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/controlplane/storage/storagetest"
)

func TestLostDiskIsRebuilt(t *testing.T) {
	var took time.Duration
	var content storage.Tables
	var readyBefore, readyAfter, readyAfterRestart bool
	inCluster(t, 3, func(c *cluster) {
		c.startOthersComplete()
		store := storage.NewMemory()
		store.Write(setChange(replicaset.TableName, "view", "own"), setChange("data/old", "k", "left by an earlier attempt"))
		start := time.Now()
		rebuilder := c.startInFixedView("member-2", store, false)
		readyBefore = rebuilder.Ready()
		ended := c.runInBackground(rebuilder)
		<-rebuilder.Complete()
		took = time.Since(start)
		if err := <-ended; err != nil {
			t.Error(err)
		}
		readyAfter = rebuilder.Ready()
		content = store.Snapshot()
		readyAfterRestart = c.startInFixedView("member-2", store, false).Ready()
	})
	convey.Convey("A member that lost its disk has the merged tables of the others 2.2 s after its start", t, func() {
		convey.So(readyBefore, convey.ShouldBeFalse)
		convey.So(readyAfter, convey.ShouldBeTrue)
		convey.So(took, convey.ShouldEqual, 2200*time.Millisecond)
		delete(content, rebuild.TableName)
		convey.So(content, convey.ShouldResemble, storage.Tables{
			"data/a":             {"member-0": []byte("1"), "member-1": []byte("1")},
			"more/b":             {"k": []byte("2")},
			replicaset.TableName: {"view": []byte("own")},
		})
	})
	convey.Convey("After a restart with the rebuilt disk it is ready at once", t, func() {
		convey.So(readyAfterRestart, convey.ShouldBeTrue)
	})
}

func TestRebuildWaitsForMajorityOfOthers(t *testing.T) {
	for _, sizes := range []struct{ members, partitioned int }{{3, 1}, {4, 2}, {5, 2}} {
		var early, late bool
		inCluster(t, sizes.members, func(c *cluster) {
			c.startOthersComplete()
			for _, self := range c.views.view.Members[:sizes.partitioned] {
				c.network.Partition(self, true)
			}
			rebuilder := c.startInFixedView(c.views.view.Members[sizes.members-1], storage.NewMemory(), false)
			c.runInBackground(rebuilder)
			<-time.After(time.Minute)
			early = rebuilder.Ready()
			c.network.Partition("member-0", false)
			<-time.After(time.Minute)
			late = rebuilder.Ready()
		})
		convey.Convey(fmt.Sprintf("%d members of which %d are partitioned", sizes.members, sizes.partitioned), t, func() {
			convey.So(early, convey.ShouldBeFalse)
			convey.So(late, convey.ShouldBeTrue)
		})
	}
}

func TestUnreachableMemberDoesNotDelayRebuild(t *testing.T) {
	var took time.Duration
	inCluster(t, 5, func(c *cluster) {
		c.startOthersComplete()
		c.network.Partition("member-0", true)
		start := time.Now()
		rebuilder := c.startInFixedView("member-4", storage.NewMemory(), false)
		c.runInBackground(rebuilder)
		<-rebuilder.Complete()
		took = time.Since(start)
	})
	convey.Convey("The snapshots of a majority are enough", t, func() {
		convey.So(took, convey.ShouldEqual, 2200*time.Millisecond)
	})
}

// rebuildTimeWithLosses returns how long a rebuild in a cluster of three members takes if the first requests for a chunk to one
// donor are lost. The network drops a request or its reply without an error, as in a partition.
func rebuildTimeWithLosses(t *testing.T, lost int) (took time.Duration) {
	t.Helper()
	inCluster(t, 3, func(c *cluster) {
		c.startOthersComplete()
		c.network.AddRule(networktest.Rule{To: "member-0", Path: "/rebuild/dump", Drop: true, MaxMatches: lost})
		start := time.Now()
		rebuilder := c.startInFixedView("member-2", storage.NewMemory(), false)
		c.runInBackground(rebuilder)
		<-rebuilder.Complete()
		took = time.Since(start)
	})
	return took
}

func TestLostChunkRequestIsHedged(t *testing.T) {
	convey.Convey("The member is rebuilt within 4 s, the limit for catching up", t, func() {
		convey.So(rebuildTimeWithLosses(t, 1), convey.ShouldBeLessThan, 4*time.Second)
	})
}

// The first requests for a chunk are lost while probes of the donor still succeed. Only the timeout can detect the loss.
func TestLostChunkRequestsAreRetriedAfterTimeout(t *testing.T) {
	convey.Convey("Three lost requests delay the rebuild by the timeout of 3.5 s", t, func() {
		convey.So(rebuildTimeWithLosses(t, 3), convey.ShouldBeBetween, 5*time.Second, 6*time.Second)
	})
}

func TestIncompleteMembersAreNotDonors(t *testing.T) {
	var ready bool
	inCluster(t, 3, func(c *cluster) {
		c.startInFixedView("member-0", storage.NewMemory(), true)
		first := c.startInFixedView("member-1", storage.NewMemory(), false)
		second := c.startInFixedView("member-2", storage.NewMemory(), false)
		c.runInBackground(first)
		c.runInBackground(second)
		<-time.After(time.Minute)
		ready = first.Ready() || second.Ready()
	})
	convey.Convey("If two of three members lost their disks, they are not rebuilt from each other", t, func() {
		convey.So(ready, convey.ShouldBeFalse)
	})
}

func TestFailedRebuildIsRepeatedAfterRestart(t *testing.T) {
	broken := errors.New("broken")
	var err error
	var ready, readyLater bool
	inCluster(t, 3, func(c *cluster) {
		c.startOthersComplete()
		store := storage.NewMemory()
		store.Fail(broken)
		rebuilder := c.startInFixedView("member-2", store, false)
		err = <-c.runInBackground(rebuilder)
		ready = rebuilder.Ready()
		store.Fail(nil)
		rebuilder = c.startInFixedView("member-2", store, false)
		if rebuilder.Ready() {
			t.Error("ready without a rebuild")
		}
		c.runInBackground(rebuilder)
		<-rebuilder.Complete()
		readyLater = rebuilder.Ready()
	})
	convey.Convey("If a write fails, the member stays incomplete, and the rebuild after the next start succeeds", t, func() {
		convey.So(err, convey.ShouldWrap, broken)
		convey.So(ready, convey.ShouldBeFalse)
		convey.So(readyLater, convey.ShouldBeTrue)
	})
}

func TestTableWithoutMergerFailsRebuild(t *testing.T) {
	var err error
	var ready bool
	inCluster(t, 3, func(c *cluster) {
		c.startOthersComplete()[0].Write(setChange("unknown", "k", "1"))
		rebuilder := c.startInFixedView("member-2", storage.NewMemory(), false)
		err = <-c.runInBackground(rebuilder)
		ready = rebuilder.Ready()
	})
	convey.Convey("The rebuild fails with ErrNoMerger", t, func() {
		convey.So(err, convey.ShouldWrap, rebuild.ErrNoMerger)
		convey.So(ready, convey.ShouldBeFalse)
	})
}

// A power loss interrupts the rebuild at each disk operation in turn. After the restart, the member must either be incomplete or
// have all tables.
func TestPowerLossDuringRebuildLeavesNoPartialState(t *testing.T) {
	complete, incomplete := 0, 0
	inCluster(t, 3, func(c *cluster) {
		c.startOthersComplete()
		for operation := 1; operation <= 4; operation++ {
			disk := storagetest.NewDisk()
			store, _, err := storage.Open(disk, "/data", storage.Options{})
			if err != nil {
				t.Fatal(err)
			}
			disk.LosePowerAt(operation, operation%2 == 0)
			<-c.runInBackground(c.startInFixedView("member-2", store, false))
			store.Close()
			store, _, err = storage.Open(disk.RestorePower(rand.New(rand.NewPCG(uint64(operation), 0))), "/data", storage.Options{})
			if err != nil {
				t.Fatal(err)
			}
			if c.startInFixedView("member-2", store, false).Ready() {
				complete++
				if len(store.Table("data/a")) != 2 || len(store.Table("more/b")) != 1 {
					t.Errorf("operation %d: complete with %v", operation, store.Snapshot())
				}
			} else {
				incomplete++
			}
			store.Close()
		}
	})
	convey.Convey("Some restarts find the member complete, and others find it incomplete", t, func() {
		convey.So(complete, convey.ShouldBeGreaterThan, 0)
		convey.So(incomplete, convey.ShouldBeGreaterThan, 0)
	})
}
