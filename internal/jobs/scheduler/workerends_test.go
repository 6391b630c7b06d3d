package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// longRunningRestartLimit is within which a task that is to keep running must run again after its last attempt.
const longRunningRestartLimit = 6 * time.Second

// longRunningTasks starts workers with six tasks that keep running.
func longRunningTasks() (*simulation, job.ID) {
	w := newSimulation(1, 3)
	w.runSteps(20)
	stage := smallStage(6)
	stage.LongRunning = true
	id := w.submitStages(1, stage)
	w.runSteps(50)
	return w, id
}

// runningAgainAfter plays until six tasks run, and returns how long that took.
func runningAgainAfter(w *simulation) time.Duration {
	began := w.elapsed
	for w.elapsed < began+2*longRunningRestartLimit {
		w.step()
		if _, all := countRunningAttempts(w, ""); all == 6 {
			break
		}
	}
	return w.elapsed - began
}

func TestLongRunningTasksComeBack(t *testing.T) {
	Convey("Given six tasks that keep running", t, func() {
		w, id := longRunningTasks()
		_, all := countRunningAttempts(w, "")
		So(all, ShouldEqual, 6)

		Convey("all of them fail, three times over: each runs again in time, as no number of attempts ends them", func() {
			for range 3 {
				for _, worker := range w.workers {
					for _, task := range sortedTasks(worker.running) {
						w.complete(worker, task, job.OutcomeFailed)
					}
				}
				So(runningAgainAfter(w), ShouldBeLessThan, longRunningRestartLimit)
			}
			state, known := w.scheduler.Status(id)
			So(known, ShouldBeTrue)
			So(state, ShouldEqual, job.Running)
		})
		Convey("a worker crashes: its tasks run elsewhere in time", func() {
			w.crash(w.worker("s00"), "s90")
			w.worker("s00").running = map[job.TaskID]*simulatedAttempt{}
			So(runningAgainAfter(w), ShouldBeLessThan, longRunningRestartLimit)
		})
		Convey("a worker is drained by the platform: its tasks run elsewhere in time", func() {
			w.worker("s00").Draining, w.worker("s00").RemainingMS = true, 5000
			w.sendInventory()
			w.runSteps(int(longRunningRestartLimit / (20 * time.Millisecond)))
			onDrained, all := countRunningAttempts(w, "s00")
			So(onDrained, ShouldEqual, 0)
			So(all, ShouldEqual, 6)
		})
		Convey("nothing of it broke a promise", func() { So(w.violations, ShouldBeEmpty) })
	})
}

// A worker that comes back at its old address may be of another kind. What was known of the incarnation before counts no more.
func TestIncarnationOfAnotherKind(t *testing.T) {
	Convey("Given a worker of the only kind that a job requires, which crashes and comes back as another kind", t, func() {
		w := newSimulation(1, 1)
		w.runSteps(20)
		w.crash(w.worker("s00"), "s90")
		successor := w.worker("s90")
		successor.Address, successor.Labels = w.worker("s00").Address, []string{"b", "rack0"}
		successor.Capacity = job.Resources{Processors: 2000, MemoryMB: 500}
		w.runSteps(100)
		of := func(kind string, processors int64) job.Stage {
			stage := smallStage(1)
			stage.Requirements, stage.Processors = job.Labels{kind}, processors
			return stage
		}
		first, second, large := w.submitStages(1, of("a", 1000)), w.submitStages(2, of("b", 1000)), w.submitStages(3, of("b", 4000))
		w.runSteps(100)
		state := func(id job.ID) job.State {
			state, _ := w.scheduler.Status(id)
			return state
		}
		Convey("it gets what its own kind and capacity allow, and nothing else", func() {
			So(state(first), ShouldEqual, job.Queued)
			So(state(second), ShouldEqual, job.Completed)
			So(state(large), ShouldEqual, job.Queued)
			So(w.violations, ShouldBeEmpty)
		})
	})
}

// A draining worker says how long it still runs at least. What cannot end by then is stopped and begins elsewhere; the rest stays.
func TestRemainingTimeOfADrainingWorker(t *testing.T) {
	for _, c := range []struct {
		remainingMS int64
		stopped     int
	}{{60_000, 0}, {2_000, 1}} {
		Convey("Given a short task and a long one on a worker that is drained", t, func() {
			w := newSimulation(1, 1)
			w.runSteps(20)
			short, long := smallStage(1), smallStage(1)
			long.EstimatedDurationMS = 30_000
			w.submitStages(1, short)
			w.submitStages(2, long)
			w.runSteps(3)
			w.scheduler.TakeEffects()
			w.worker("s00").Draining, w.worker("s00").RemainingMS = true, c.remainingMS
			w.scheduler.SetInventory(w.clock(), []workerclient.Instance{w.worker("s00").Instance})
			stops := 0
			for _, command := range w.scheduler.TakeEffects().Commands {
				if command.Stop != nil {
					stops++
					So(command.Stop.Task.Job, ShouldEqual, job.ID("0000000000000002"))
				}
			}
			So(stops, ShouldEqual, c.stopped)
		})
	}
}
