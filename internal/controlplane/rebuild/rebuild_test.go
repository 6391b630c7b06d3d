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

func TestALostDiskIsRebuilt(t *testing.T) {
	var took time.Duration
	var content storage.Tables
	var readyBefore, readyAfter, readyAfterRestart bool
	inCluster(t, 3, func(c *cluster) {
		c.startComplete()
		store := storage.NewMemory()
		store.Write(set(replicaset.TableName, "view", "own"), set("data/old", "k", "left by an earlier attempt"))
		start := time.Now()
		rebuilder := c.start("member-2", store, false)
		readyBefore = rebuilder.Ready()
		ended := c.run(rebuilder)
		<-rebuilder.Complete()
		took = time.Since(start)
		if err := <-ended; err != nil {
			t.Error(err)
		}
		readyAfter = rebuilder.Ready()
		content = store.Snapshot()
		readyAfterRestart = c.start("member-2", store, false).Ready()
	})
	convey.Convey("A member without its disk has the merged tables of the others 2.2 s after its start", t, func() {
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
	convey.Convey("After a restart with its disk it is ready at once", t, func() {
		convey.So(readyAfterRestart, convey.ShouldBeTrue)
	})
}

func TestARebuildWaitsForAMajorityOfTheOthers(t *testing.T) {
	for _, sizes := range []struct{ members, partitioned int }{{3, 1}, {4, 2}, {5, 2}} {
		var early, late bool
		inCluster(t, sizes.members, func(c *cluster) {
			c.startComplete()
			for _, self := range c.views.view.Members[:sizes.partitioned] {
				c.network.Partition(self, true)
			}
			rebuilder := c.start(c.views.view.Members[sizes.members-1], storage.NewMemory(), false)
			c.run(rebuilder)
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

func TestAFailedMemberDelaysNoRebuild(t *testing.T) {
	var took time.Duration
	inCluster(t, 5, func(c *cluster) {
		c.startComplete()
		c.network.Partition("member-0", true)
		start := time.Now()
		rebuilder := c.start("member-4", storage.NewMemory(), false)
		c.run(rebuilder)
		<-rebuilder.Complete()
		took = time.Since(start)
	})
	convey.Convey("A majority of the others is enough", t, func() {
		convey.So(took, convey.ShouldEqual, 2200*time.Millisecond)
	})
}

// A request or a reply is lost without a sign, as in a partition.
// rebuildTimeWithLosses is how long a rebuild of three members takes from the start where the first requests to one donor are lost.
func rebuildTimeWithLosses(t *testing.T, lost int) (took time.Duration) {
	t.Helper()
	inCluster(t, 3, func(c *cluster) {
		c.startComplete()
		c.network.AddRule(networktest.Rule{To: "member-0", Path: "/rebuild/dump", Drop: true, MaxMatches: lost})
		start := time.Now()
		rebuilder := c.start("member-2", storage.NewMemory(), false)
		c.run(rebuilder)
		<-rebuilder.Complete()
		took = time.Since(start)
	})
	return took
}

func TestALostChunkIsRequestedAgain(t *testing.T) {
	convey.Convey("The member is rebuilt within the time to catch up, 4 s", t, func() {
		convey.So(rebuildTimeWithLosses(t, 1), convey.ShouldBeLessThan, 4*time.Second)
	})
}

// The first calls for a chunk are lost while other calls get through, so that nothing else shows it.
func TestCallsForAChunkAreMadeAnewAfterATimeOut(t *testing.T) {
	convey.Convey("Three lost calls cost 3.5 s", t, func() {
		convey.So(rebuildTimeWithLosses(t, 3), convey.ShouldBeBetween, 5*time.Second, 6*time.Second)
	})
}

func TestMembersThatAreBeingRebuiltGiveNoSnapshots(t *testing.T) {
	var ready bool
	inCluster(t, 3, func(c *cluster) {
		c.start("member-0", storage.NewMemory(), true)
		first := c.start("member-1", storage.NewMemory(), false)
		second := c.start("member-2", storage.NewMemory(), false)
		c.run(first)
		c.run(second)
		<-time.After(time.Minute)
		ready = first.Ready() || second.Ready()
	})
	convey.Convey("Two of three members without their disks are not rebuilt from each other", t, func() {
		convey.So(ready, convey.ShouldBeFalse)
	})
}

func TestAFailedRebuildStartsOver(t *testing.T) {
	broken := errors.New("broken")
	var err error
	var ready, readyLater bool
	inCluster(t, 3, func(c *cluster) {
		c.startComplete()
		store := storage.NewMemory()
		store.Fail(broken)
		rebuilder := c.start("member-2", store, false)
		err = <-c.run(rebuilder)
		ready = rebuilder.Ready()
		store.Fail(nil)
		rebuilder = c.start("member-2", store, false)
		if rebuilder.Ready() {
			t.Error("ready without a rebuild")
		}
		c.run(rebuilder)
		<-rebuilder.Complete()
		readyLater = rebuilder.Ready()
	})
	convey.Convey("A disk that fails leaves the member incomplete, and the next start rebuilds it", t, func() {
		convey.So(err, convey.ShouldWrap, broken)
		convey.So(ready, convey.ShouldBeFalse)
		convey.So(readyLater, convey.ShouldBeTrue)
	})
}

func TestATableWithoutAMergerIsAnError(t *testing.T) {
	var err error
	var ready bool
	inCluster(t, 3, func(c *cluster) {
		c.startComplete()[0].Write(set("unknown", "k", "1"))
		rebuilder := c.start("member-2", storage.NewMemory(), false)
		err = <-c.run(rebuilder)
		ready = rebuilder.Ready()
	})
	convey.Convey("A table that nobody can merge fails the rebuild", t, func() {
		convey.So(err, convey.ShouldWrap, rebuild.ErrNoMerger)
		convey.So(ready, convey.ShouldBeFalse)
	})
}

// Power is lost at each operation of a rebuild on a disk in turn. After a restart the member is either incomplete or has all tables.
func TestAPowerLossDuringARebuild(t *testing.T) {
	complete, incomplete := 0, 0
	inCluster(t, 3, func(c *cluster) {
		c.startComplete()
		for operation := 1; operation <= 4; operation++ {
			disk := storagetest.NewDisk()
			store, _, err := storage.Open(disk, "/data", storage.Options{})
			if err != nil {
				t.Fatal(err)
			}
			disk.LosePowerAt(operation, operation%2 == 0)
			<-c.run(c.start("member-2", store, false))
			store.Close()
			store, _, err = storage.Open(disk.Restore(rand.New(rand.NewPCG(uint64(operation), 0))), "/data", storage.Options{})
			if err != nil {
				t.Fatal(err)
			}
			if c.start("member-2", store, false).Ready() {
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
	convey.Convey("Some restarts find the member complete, and some incomplete", t, func() {
		convey.So(complete, convey.ShouldBeGreaterThan, 0)
		convey.So(incomplete, convey.ShouldBeGreaterThan, 0)
	})
}
