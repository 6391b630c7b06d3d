package scheduler

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// steps advances the simulation by a number of steps.
func (w *simulation) runSteps(count int) {
	for range count {
		w.step()
	}
}

// submitStages submits a job with these stages; its tasks take up to a second.
func (w *simulation) submitStages(number int, stages ...job.Stage) job.ID {
	id := job.ID(fmt.Sprintf("%016x", number))
	w.submit(&jobFacts{request: jobapi.Submit{Group: "jobs/x", ID: id,
		Queue:         jobapi.Queue{Route: "r", Service: "x", MaxAttempts: 3, TargetLatencyMS: 500},
		Specification: job.Specification{Stages: stages},
	}})
	return id
}

func smallStage(count int) job.Stage {
	return job.Stage{Count: count, EstimatedDurationMS: 500, Resources: job.Resources{Processors: 1000, MemoryMB: 100}}
}

// explain explains the only waiting stage of a job.
func explainOnlyWaitingStage(w *simulation, id job.ID) jobreport.WaitingStage {
	why, known := w.scheduler.Explain(w.clock(), id)
	So(known, ShouldBeTrue)
	So(len(why.WaitingStages), ShouldEqual, 1)
	return why.WaitingStages[0]
}

// excludedBy is how many workers a cause excludes.
func excludedWorkers(waiting jobreport.WaitingStage, cause jobreport.Cause) int {
	for _, excluded := range waiting.Exclusions {
		if excluded.Cause == cause {
			return excluded.Count
		}
	}
	return 0
}

func TestWhy(t *testing.T) {
	Convey("Given nine workers that have reported", t, func() {
		w := newSimulation(1, 9)
		w.runSteps(20)

		Convey("a label that no worker has excludes all", func() {
			stage := smallStage(2)
			stage.Requirements = job.Labels{"none"}
			waiting := explainOnlyWaitingStage(w, w.submitStages(1, stage))
			So(waiting.Reason, ShouldEqual, jobreport.ReasonNoWorker)
			So(waiting.Tasks, ShouldEqual, 2)
			So(excludedWorkers(waiting, jobreport.CauseMissingLabel), ShouldEqual, 9)
		})
		Convey("so does a request larger than any worker", func() {
			stage := smallStage(1)
			stage.Processors = 9000
			waiting := explainOnlyWaitingStage(w, w.submitStages(1, stage))
			So(waiting.Reason, ShouldEqual, jobreport.ReasonNoWorker)
			So(excludedWorkers(waiting, jobreport.CauseTotalCapacity), ShouldEqual, 9)
		})
		Convey("causes that do not depend on load are reported first", func() {
			w.workers[0].Draining = true
			w.sendInventory()
			So(w.scheduler.SetOperatorDrain(w.clock(), "s01", true), ShouldBeTrue)
			w.scheduler.SetReachable(w.clock(), "s02", false)
			stage := smallStage(1)
			stage.Requirements = job.Labels{"none"}
			w.submitStages(1, stage)
			stage.Requirements, stage.Processors = nil, 8001
			waiting := explainOnlyWaitingStage(w, w.submitStages(2, stage))
			So(excludedWorkers(waiting, jobreport.CauseTotalCapacity), ShouldEqual, 9)
			stage.Processors = 1000
			stage.Requirements = job.Labels{"a"} // of even numbers
			stage.Count = 200
			waiting = explainOnlyWaitingStage(w, w.submitStages(3, stage))
			So(excludedWorkers(waiting, jobreport.CauseMissingLabel), ShouldEqual, 4)
			So(excludedWorkers(waiting, jobreport.CauseDraining), ShouldEqual, 1)
			So(excludedWorkers(waiting, jobreport.CauseUnreachable), ShouldEqual, 1)
			So(excludedWorkers(waiting, jobreport.CauseWindow), ShouldEqual, 3)
			stage.Requirements = job.Labels{"b"}
			waiting = explainOnlyWaitingStage(w, w.submitStages(4, stage))
			So(excludedWorkers(waiting, jobreport.CauseOperatorDraining), ShouldEqual, 1)
		})
		Convey("a task that fits nowhere at present waits for capacity", func() {
			whole := smallStage(9)
			whole.Processors = 8000
			w.submitStages(1, whole)
			waiting := explainOnlyWaitingStage(w, w.submitStages(2, smallStage(1)))
			So(waiting.Reason, ShouldEqual, jobreport.ReasonNoWorker)
			So(excludedWorkers(waiting, jobreport.CauseFreeCapacity), ShouldEqual, 9)
			So(len(waiting.Exclusions[0].Workers), ShouldEqual, maxNamedWorkers)
		})
		Convey("antiAffinity excludes workers that have a task of the stage", func() {
			stage := smallStage(12)
			stage.AntiAffinity = 1
			waiting := explainOnlyWaitingStage(w, w.submitStages(1, stage))
			So(waiting.Tasks, ShouldEqual, 3)
			So(excludedWorkers(waiting, jobreport.CauseAntiAffinity), ShouldEqual, 9)
		})
		Convey("a later stage waits for the earlier one", func() {
			second := smallStage(2)
			second.DependsOn = []int{0}
			waiting := explainOnlyWaitingStage(w, w.submitStages(1, smallStage(1), second))
			So(waiting.Reason, ShouldEqual, jobreport.ReasonDependsOn)
			So(waiting.Stage, ShouldEqual, 1)
			So(waiting.DependsOn, ShouldResemble, []int{0})
		})
		Convey("a gang waits until there is capacity for all of it", func() {
			gang := smallStage(10)
			gang.GangScheduled, gang.Processors = true, 8000
			waiting := explainOnlyWaitingStage(w, w.submitStages(1, gang))
			So(waiting.Reason, ShouldEqual, jobreport.ReasonGangCapacity)
			So(len(waiting.OpenWorkers), ShouldEqual, maxNamedWorkers)
		})
		Convey("a repetition waits until it is due", func() {
			facts := &jobFacts{request: jobapi.Submit{Group: "jobs/x", ID: "000000000000000a", Queue: jobapi.Queue{Route: "r", Service: "x"},
				Specification: job.Specification{Stages: []job.Stage{smallStage(1)}, Repetitions: 2, FirstRunMS: w.clock().WallMS + 60_000, IntervalMS: 1000}}}
			w.submit(facts)
			waiting := explainOnlyWaitingStage(w, facts.request.ID)
			So(waiting.Reason, ShouldEqual, jobreport.ReasonNotDue)
			So(waiting.DueMS, ShouldEqual, facts.request.Specification.FirstRunMS)
		})
		Convey("a worker backs off after it rejected a start as unhealthy, and takes no start beside orphans", func() {
			id := w.submitStages(1, smallStage(1))
			report, _ := w.scheduler.Job(w.clock(), id)
			unhealthy := workerclient.WorkerID(report.Attempts[0].Worker)
			unwanted := []workerclient.RunningTask{{Task: job.TaskID{Job: "ffffffffffffffff"}, AttemptNumber: 1}}
			for _, worker := range w.workers {
				if worker.ID != unhealthy {
					w.scheduler.HandleReport(w.clock(), &workerclient.Listing{Worker: worker.ID, SentAt: w.clock().Monotonic, Running: unwanted})
				}
			}
			command := workerclient.StartCommand{Task: job.TaskID{Job: id}, AttemptNumber: 1}
			w.scheduler.HandleStartResult(w.clock(), &workerclient.StartResult{Worker: unhealthy, Command: command, Outcome: workerclient.RejectedUnhealthy, At: w.clock().Monotonic})
			waiting := explainOnlyWaitingStage(w, id)
			So(waiting.Reason, ShouldEqual, jobreport.ReasonBackoff)
			So(excludedWorkers(waiting, jobreport.CauseOrphans), ShouldEqual, 8)
			So(excludedWorkers(waiting, jobreport.CauseBackoff), ShouldEqual, 1)
			resting, _ := w.scheduler.Worker(w.clock(), unhealthy)
			So(resting.State, ShouldEqual, jobreport.WorkerBackoff)
		})
		Convey("an unknown job has no explanation, and one that has ended waits for nothing", func() {
			_, known := w.scheduler.Explain(w.clock(), "ffffffffffffffff")
			So(known, ShouldBeFalse)
			id := w.submitStages(1, smallStage(1))
			w.scheduler.Cancel(w.clock(), id)
			why, known := w.scheduler.Explain(w.clock(), id)
			So(known, ShouldBeTrue)
			So(why.State, ShouldEqual, job.Cancelled)
			So(why.WaitingStages, ShouldBeEmpty)
		})
	})
	Convey("Before a worker has confirmed the fencing token it takes no start", t, func() {
		w := newSimulation(1, 2)
		for _, worker := range w.workers {
			w.scheduler.SetReachable(w.clock(), worker.ID, true)
		}
		waiting := explainOnlyWaitingStage(w, w.submitStages(1, smallStage(1)))
		So(excludedWorkers(waiting, jobreport.CauseNotFenced), ShouldEqual, 2)
	})
}

// TestWhyAgreesWithDispatch compares, throughout a simulation under faults, explanations with what a dispatch decides.
func TestWhyAgreesWithDispatch(t *testing.T) {
	compared, other := 0, 0
	compare := func(w *simulation, step int) {
		if step%25 != 0 {
			return
		}
		for _, stage := range w.scheduler.waitingStages {
			for _, worker := range w.scheduler.sortedWorkers {
				cause := w.scheduler.exclusionCause(w.clock(), stage, worker)
				takes := w.scheduler.isOpen(w.clock(), worker) && w.scheduler.admits(stage, worker, 0)
				if takes != (cause == "") {
					t.Fatalf("worker %s takes a task: %t, cause %q", worker.ID, takes, cause)
				}
				if cause == jobreport.CauseOther {
					other++
				}
				compared++
			}
		}
	}
	simulate(3, 200, compare, partitions, crashes, drains, lateCommands)
	if compared == 0 || other > 0 {
		t.Fatalf("%d compared, %d of them without a named cause", compared, other)
	}
}
