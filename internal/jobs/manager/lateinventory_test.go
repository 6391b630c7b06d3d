package manager

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	workerCount      = 3
	tasksOfJob       = 2 * workerCount
	takeoverTime     = 2 * time.Second // longer than an election and the lease of the former leader
	cancellationTime = 3 * time.Second // limit from the end of trouble until no task of a cancelled job runs
)

// workerFleet is a set of fake workers with their entries in the platform's list.
type workerFleet struct {
	cluster   *cluster.Cluster
	instances []workerclient.Instance
}

// newWorkerFleet creates workers without sockets and makes all managers call them.
func newWorkerFleet(nodes *testCluster, leader *testNode) *workerFleet {
	fleet := &workerFleet{cluster: cluster.New(cluster.RealClock{}, cluster.Settings{InMemory: true, MaxLease: 6 * time.Second})}
	capacity := job.Resources{Processors: 8000}
	for number := range workerCount {
		id := fmt.Sprintf("i-%d", number)
		worker := fleet.cluster.AddWorker(cluster.WorkerConfig{ID: id, Capacity: capacity})
		fleet.instances = append(fleet.instances, workerclient.Instance{ID: workerclient.WorkerID(id), Address: worker.Address(), Service: "x", Capacity: capacity})
	}
	client := fleet.cluster.MemoryClient(time.Millisecond)
	for _, n := range nodes.nodes {
		n.manager.config.HTTP = client
	}
	leadership, err := leader.manager.leadershipOf(testGroup)
	So(err, ShouldBeNil)
	leadership.config.HTTP = client
	return fleet
}

// running returns the number of attempts that have not ended.
func (f *workerFleet) running() int {
	count := 0
	for _, record := range f.cluster.Attempts() {
		if record.EndedAt.IsZero() {
			count++
		}
	}
	return count
}

// submitLongRunningJob submits a job whose tasks run until they are stopped, and waits until they run.
func (f *workerFleet) submitLongRunningJob(leader *testNode) {
	leader.manager.SetInventory(f.instances)
	request := submission(knownJob)
	request.Specification.Stages[0].Count, request.Specification.Stages[0].LongRunning = tasksOfJob, true
	_, err := leader.manager.submit(context.Background(), request)
	So(err, ShouldBeNil)
	time.Sleep(time.Second)
	So(f.running(), ShouldEqual, tasksOfJob)
}

// Commands that a new leader issues before it has a link to the worker must reach the worker once there is one: guards against
// tasks of a cancelled job that run on (review case 2).
func TestCancellationBeforeTheInventoryIsReadStopsAllTasks(t *testing.T) {
	moments := []struct {
		name       string
		pagesFirst int // number of workers that the new leader knows when the cancellation arrives
	}{
		{"before the first page of the platform's list", 0},
		{"between two pages of the platform's list", 1},
		{"before the last page of the platform's list", workerCount - 1},
		{"after the platform's list", workerCount},
	}
	for _, moment := range moments {
		withCluster(t, func(t *testing.T, nodes *testCluster, leader *testNode) {
			Convey("A job that is cancelled "+moment.name+" at a new leader is stopped on all workers", t, func() {
				fleet := newWorkerFleet(nodes, leader)
				defer fleet.cluster.Close()
				fleet.submitLongRunningJob(leader)
				nodes.network.Partition(leader.address, true)
				time.Sleep(takeoverTime)
				next := nodes.awaitLeader()
				So(next == leader, ShouldBeFalse)
				for i := range moment.pagesFirst {
					next.manager.AddInventoryPage(fleet.instances[i : i+1])
				}
				reply, err := next.manager.cancel(context.Background(), jobapi.CancelRequest{Group: testGroup, ID: knownJob})
				So(err, ShouldBeNil)
				So(reply, ShouldResemble, jobapi.CancelReply{Known: true, State: job.Cancelled})
				for i := moment.pagesFirst; i < workerCount; i++ {
					next.manager.AddInventoryPage(fleet.instances[i : i+1])
				}
				time.Sleep(cancellationTime)
				So(fleet.running(), ShouldEqual, 0)
				report, err := next.manager.leadershipOf(testGroup)
				So(err, ShouldBeNil)
				So(report.scheduler.CurrentLoad(currentTime()).RunningAttempts, ShouldEqual, 0)
			})
		})
	}
}

// A list from an earlier leadership of this node is outdated: guards against operators who are told that a worker does not exist
// because it is newer than that list.
func TestListOfAnEarlierLeadershipIsNotTakenForComplete(t *testing.T) {
	withCluster(t, func(t *testing.T, nodes *testCluster, leader *testNode) {
		Convey("Given a node that led, was replaced, and leads again", t, func() {
			fleet := newWorkerFleet(nodes, leader)
			defer fleet.cluster.Close()
			old, added := fleet.instances[:workerCount-1], fleet.instances[workerCount-1]
			leader.manager.SetInventory(old)
			nodes.network.Partition(leader.address, true)
			time.Sleep(takeoverTime)
			next := nodes.awaitLeader()
			nodes.network.Partition(leader.address, false)
			for next != leader {
				nodes.network.Partition(next.address, true)
				time.Sleep(takeoverTime)
				nodes.network.Partition(next.address, false)
				next = nodes.awaitLeader()
			}
			drain := func() (jobreport.DrainReply, error) {
				return leader.manager.drain(context.Background(), jobreport.DrainRequest{Group: testGroup, Worker: string(added.ID), Draining: true})
			}
			Convey("it calls the workers of the old list at once", func() {
				leadership, err := leader.manager.leadershipOf(testGroup)
				So(err, ShouldBeNil)
				So(len(leadership.links), ShouldEqual, len(old))
			})
			Convey("a worker that is missing from the old list is unknown only once a new list has been read", func() {
				_, err := drain()
				So(rpcerror.RetryAfter(err), ShouldEqual, inventoryRetryDelay)
				leader.manager.SetInventory(old)
				reply, err := drain()
				So(err, ShouldBeNil)
				So(reply.Known, ShouldBeFalse)
				leader.manager.SetInventory(fleet.instances)
				reply, err = drain()
				So(err, ShouldBeNil)
				So(reply.Known, ShouldBeTrue)
			})
		})
	})
}
