package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// longRunningRestartLimit is the maximum time from the end of a long-running task's attempt until the task runs again.
const longRunningRestartLimit = 6 * time.Second

// newLongRunningSimulation returns a simulation of three workers that run six long-running tasks of one job.
func newLongRunningSimulation() (*simulation, job.ID) {
	sim := newSimulation(1, 3)
	sim.runSteps(20)
	stage := smallStage(6)
	stage.LongRunning = true
	id := sim.submitStages(1, stage)
	sim.runSteps(50)
	return sim, id
}

// timeUntilAllRunning advances the simulation until six tasks run, at most for twice the limit, and returns the time taken.
func timeUntilAllRunning(sim *simulation) time.Duration {
	startedAt := sim.elapsed
	for sim.elapsed < startedAt+2*longRunningRestartLimit {
		sim.step()
		if _, all := countRunningAttempts(sim, ""); all == 6 {
			break
		}
	}
	return sim.elapsed - startedAt
}

func TestLongRunningTasksRestartAfterTheirAttemptEnds(t *testing.T) {
	Convey("Given six long-running tasks", t, func() {
		sim, id := newLongRunningSimulation()
		_, all := countRunningAttempts(sim, "")
		So(all, ShouldEqual, 6)

		Convey("if all of them fail three times, each is restarted in time, because long-running tasks have no limit of failed attempts", func() {
			for range 3 {
				for _, worker := range sim.workers {
					for _, task := range sortedTasks(worker.running) {
						sim.complete(worker, task, job.OutcomeFailed)
					}
				}
				So(timeUntilAllRunning(sim), ShouldBeLessThan, longRunningRestartLimit)
			}
			state, known := sim.scheduler.Status(id)
			So(known, ShouldBeTrue)
			So(state, ShouldEqual, job.Running)
		})
		Convey("if a worker crashes, its tasks are restarted on other workers in time", func() {
			sim.crash(sim.worker("s00"), "s90")
			sim.worker("s00").running = map[job.TaskID]*simulatedAttempt{}
			So(timeUntilAllRunning(sim), ShouldBeLessThan, longRunningRestartLimit)
		})
		Convey("if the platform drains a worker, its tasks are restarted on other workers in time", func() {
			sim.worker("s00").Draining, sim.worker("s00").RemainingMS = true, 5000
			sim.sendInventory()
			sim.runSteps(int(longRunningRestartLimit / (20 * time.Millisecond)))
			onDrained, all := countRunningAttempts(sim, "s00")
			So(onDrained, ShouldEqual, 0)
			So(all, ShouldEqual, 6)
		})
		Convey("no guarantee is violated", func() { So(sim.violations, ShouldBeEmpty) })
	})
}

// A worker that restarts at the same address may have other labels and less capacity. This test guards against scheduling by
// the labels or the capacity of the previous incarnation.
func TestNewIncarnationGetsOnlyTasksOfItsOwnLabelsAndCapacity(t *testing.T) {
	Convey("Given a crashed worker whose new incarnation has another label and less capacity", t, func() {
		sim := newSimulation(1, 1)
		sim.runSteps(20)
		sim.crash(sim.worker("s00"), "s90")
		successor := sim.worker("s90")
		successor.Address, successor.Labels = sim.worker("s00").Address, []string{"b", "rack0"}
		successor.Capacity = job.Resources{Processors: 2000, MemoryMB: 500}
		sim.runSteps(100)
		requiring := func(label string, processors int64) job.Stage {
			stage := smallStage(1)
			stage.Requirements, stage.Processors = job.Labels{label}, processors
			return stage
		}
		oldLabel, newLabel, tooLarge := sim.submitStages(1, requiring("a", 1000)), sim.submitStages(2, requiring("b", 1000)), sim.submitStages(3, requiring("b", 4000))
		sim.runSteps(100)
		state := func(id job.ID) job.State {
			state, _ := sim.scheduler.Status(id)
			return state
		}
		Convey("only the job that fits its new label and capacity runs", func() {
			So(state(oldLabel), ShouldEqual, job.Queued)
			So(state(newLabel), ShouldEqual, job.Completed)
			So(state(tooLarge), ShouldEqual, job.Queued)
			So(sim.violations, ShouldBeEmpty)
		})
	})
}

// A new leader does not know when an inherited attempt started. It must not take the progress since then for the progress since its own
// election: guards against attempts that are left on a draining worker and die with it.
func TestDrainingWorkerStopsInheritedAttemptBeyondItsRemainingTime(t *testing.T) {
	for _, c := range []struct {
		percent int
		stopped int
	}{{50, 1}, {98, 0}} {
		Convey(fmt.Sprintf("An inherited attempt of 60 s at %d%% on a worker that is drained for 5 s", c.percent), t, func() {
			stage := smallStage(2)
			stage.EstimatedDurationMS = 60_000
			cluster := newManualCluster(stage)
			cluster.restore()
			cluster.scheduler.SetInventory(cluster.now, cluster.instances)
			running := workerclient.RunningTask{Task: job.TaskID{Job: manualJob}, AttemptNumber: 1, Percent: c.percent}
			cluster.report("s0", running)
			cluster.advance(time.Second)
			cluster.report("s0", running)
			cluster.instances[0].Draining, cluster.instances[0].RemainingMS = true, 5000
			cluster.scheduler.SetInventory(cluster.now, cluster.instances)
			So(cluster.stops(), ShouldHaveLength, c.stopped)
		})
	}
}

// The platform reports the minimum time that a draining worker will still run. Attempts that are not expected to end within this time are
// stopped, and the others continue.
func TestDrainingWorkerStopsOnlyAttemptsBeyondItsRemainingTime(t *testing.T) {
	for _, c := range []struct {
		remainingMS int64
		stopped     int
	}{{60_000, 0}, {2_000, 1}} {
		Convey("On a draining worker, only the attempt that exceeds the remaining time is stopped", t, func() {
			sim := newSimulation(1, 1)
			sim.runSteps(20)
			short, long := smallStage(1), smallStage(1)
			long.EstimatedDurationMS = 30_000
			sim.submitStages(1, short)
			sim.submitStages(2, long)
			sim.runSteps(3)
			sim.scheduler.TakeEffects()
			sim.worker("s00").Draining, sim.worker("s00").RemainingMS = true, c.remainingMS
			sim.scheduler.SetInventory(sim.clock(), []workerclient.Instance{sim.worker("s00").Instance})
			stops := 0
			for _, command := range sim.scheduler.TakeEffects().Commands {
				if command.Stop != nil {
					stops++
					So(command.Stop.Task.Job, ShouldEqual, job.ID("0000000000000002"))
				}
			}
			So(stops, ShouldEqual, c.stopped)
		})
	}
}
