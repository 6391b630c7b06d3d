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

// runSteps advances the simulation by a number of steps.
func (w *simulation) runSteps(count int) {
	for range count {
		w.step()
	}
}

// submitStages submits a job with the given stages and returns its ID.
func (w *simulation) submitStages(number int, stages ...job.Stage) job.ID {
	id := job.ID(fmt.Sprintf("%016x", number))
	w.submit(&simulatedJob{request: jobapi.SubmitRequest{Group: "jobs/x", ID: id,
		Queue:         jobapi.Queue{Route: "r", Service: "x", MaxAttempts: 3, TargetLatencyMS: 500},
		Specification: job.Specification{Stages: stages},
	}})
	return id
}

// smallStage returns a stage of tasks that request one core and 100 MB each.
func smallStage(count int) job.Stage {
	return job.Stage{Count: count, EstimatedDurationMS: 500, Resources: job.Resources{Processors: 1000, MemoryMB: 100}}
}

// explainOnlyWaitingStage returns the explanation of a job's waiting stage. It requires that exactly one stage waits.
func explainOnlyWaitingStage(w *simulation, id job.ID) jobreport.WaitingStage {
	explanation, known := w.scheduler.Explain(w.clock(), id)
	So(known, ShouldBeTrue)
	So(len(explanation.WaitingStages), ShouldEqual, 1)
	return explanation.WaitingStages[0]
}

// excludedWorkers returns the number of workers that a cause excludes.
func excludedWorkers(waiting jobreport.WaitingStage, cause jobreport.Cause) int {
	for _, exclusion := range waiting.Exclusions {
		if exclusion.Cause == cause {
			return exclusion.Count
		}
	}
	return 0
}

func TestExplanationNamesReasonsAndCauses(t *testing.T) {
	Convey("Given nine workers that have sent reports", t, func() {
		w := newSimulation(1, 9)
		w.runSteps(20)

		Convey("a required label that no worker has excludes all workers", func() {
			stage := smallStage(2)
			stage.Requirements = job.Labels{"none"}
			waiting := explainOnlyWaitingStage(w, w.submitStages(1, stage))
			So(waiting.Reason, ShouldEqual, jobreport.ReasonNoWorker)
			So(waiting.Tasks, ShouldEqual, 2)
			So(excludedWorkers(waiting, jobreport.CauseMissingLabel), ShouldEqual, 9)
		})
		Convey("a request that exceeds the total capacity of each worker excludes all workers", func() {
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
			stage.Requirements = job.Labels{"a"} // only workers with even numbers have this label
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
		Convey("a task that exceeds the free capacity of each worker waits for capacity", func() {
			fullWorkers := smallStage(9)
			fullWorkers.Processors = 8000
			w.submitStages(1, fullWorkers)
			waiting := explainOnlyWaitingStage(w, w.submitStages(2, smallStage(1)))
			So(waiting.Reason, ShouldEqual, jobreport.ReasonNoWorker)
			So(excludedWorkers(waiting, jobreport.CauseFreeCapacity), ShouldEqual, 9)
			So(len(waiting.Exclusions[0].Workers), ShouldEqual, maxNamedWorkers)
		})
		Convey("anti-affinity excludes workers that already have a task of the stage", func() {
			stage := smallStage(12)
			stage.AntiAffinity = 1
			waiting := explainOnlyWaitingStage(w, w.submitStages(1, stage))
			So(waiting.Tasks, ShouldEqual, 3)
			So(excludedWorkers(waiting, jobreport.CauseAntiAffinity), ShouldEqual, 9)
		})
		Convey("a stage waits for an earlier stage that it depends on", func() {
			second := smallStage(2)
			second.DependsOn = []int{0}
			waiting := explainOnlyWaitingStage(w, w.submitStages(1, smallStage(1), second))
			So(waiting.Reason, ShouldEqual, jobreport.ReasonDependsOn)
			So(waiting.Stage, ShouldEqual, 1)
			So(waiting.DependsOn, ShouldResemble, []int{0})
		})
		Convey("a gang waits until there is capacity for all of its members", func() {
			gang := smallStage(10)
			gang.GangScheduled, gang.Processors = true, 8000
			waiting := explainOnlyWaitingStage(w, w.submitStages(1, gang))
			So(waiting.Reason, ShouldEqual, jobreport.ReasonGangCapacity)
			So(len(waiting.AcceptingWorkers), ShouldEqual, maxNamedWorkers)
		})
		Convey("a repetition waits until it is due", func() {
			facts := &simulatedJob{request: jobapi.SubmitRequest{Group: "jobs/x", ID: "000000000000000a", Queue: jobapi.Queue{Route: "r", Service: "x"},
				Specification: job.Specification{Stages: []job.Stage{smallStage(1)}, Repetitions: 2, FirstRunMS: w.clock().WallMS + 60_000, IntervalMS: 1000}}}
			w.submit(facts)
			waiting := explainOnlyWaitingStage(w, facts.request.ID)
			So(waiting.Reason, ShouldEqual, jobreport.ReasonNotDue)
			So(waiting.DueMS, ShouldEqual, facts.request.Specification.FirstRunMS)
		})
		Convey("a worker that rejected a start as unhealthy backs off, and workers with orphans get no starts", func() {
			id := w.submitStages(1, smallStage(1))
			report, _ := w.scheduler.Job(w.clock(), id)
			unhealthy := workerclient.WorkerID(report.Attempts[0].Worker)
			orphans := []workerclient.RunningTask{{Task: job.TaskID{Job: "ffffffffffffffff"}, AttemptNumber: 1}}
			for _, worker := range w.workers {
				if worker.ID != unhealthy {
					w.scheduler.HandleReport(w.clock(), &workerclient.Listing{Worker: worker.ID, SentAt: w.clock().Monotonic, Running: orphans})
				}
			}
			command := workerclient.StartCommand{Task: job.TaskID{Job: id}, AttemptNumber: 1}
			w.scheduler.HandleStartResult(w.clock(), &workerclient.StartResult{Worker: unhealthy, Command: command, Outcome: workerclient.RejectedUnhealthy, At: w.clock().Monotonic})
			waiting := explainOnlyWaitingStage(w, id)
			So(waiting.Reason, ShouldEqual, jobreport.ReasonBackoff)
			So(excludedWorkers(waiting, jobreport.CauseOrphans), ShouldEqual, 8)
			So(excludedWorkers(waiting, jobreport.CauseBackoff), ShouldEqual, 1)
			workerReport, _ := w.scheduler.Worker(w.clock(), unhealthy)
			So(workerReport.State, ShouldEqual, jobreport.WorkerBackoff)
		})
		Convey("an unknown job has no explanation, and an ended job has no waiting stages", func() {
			_, known := w.scheduler.Explain(w.clock(), "ffffffffffffffff")
			So(known, ShouldBeFalse)
			id := w.submitStages(1, smallStage(1))
			w.scheduler.Cancel(w.clock(), id)
			explanation, known := w.scheduler.Explain(w.clock(), id)
			So(known, ShouldBeTrue)
			So(explanation.State, ShouldEqual, job.Cancelled)
			So(explanation.WaitingStages, ShouldBeEmpty)
		})
	})
	Convey("A worker that has not confirmed the fencing token gets no starts", t, func() {
		w := newSimulation(1, 2)
		for _, worker := range w.workers {
			w.scheduler.SetReachable(w.clock(), worker.ID, true)
		}
		waiting := explainOnlyWaitingStage(w, w.submitStages(1, smallStage(1)))
		So(excludedWorkers(waiting, jobreport.CauseNotFenced), ShouldEqual, 2)
	})
}

// TestExplanationAgreesWithDispatch runs a simulation with faults. It compares the explained causes with the decisions of a
// dispatch, for each waiting stage and each worker.
func TestExplanationAgreesWithDispatch(t *testing.T) {
	compared, withoutNamedCause := 0, 0
	compare := func(w *simulation, step int) {
		if step%25 != 0 {
			return
		}
		for _, stage := range w.scheduler.waitingStages {
			for _, worker := range w.scheduler.sortedWorkers {
				cause := w.scheduler.exclusionCause(w.clock(), stage, worker)
				accepts := w.scheduler.acceptsStarts(w.clock(), worker) && w.scheduler.hasRoom(stage, worker, 0)
				accepts = accepts && (stage.GangScheduled || worker.windowAdmits(0, 1))
				if accepts != (cause == "") {
					t.Fatalf("step %d: worker %s accepts a task: %t, but the exclusion cause is %q", step, worker.ID, accepts, cause)
				}
				if cause == jobreport.CauseOther {
					withoutNamedCause++
				}
				compared++
			}
		}
	}
	simulate(3, 200, compare, workerPartitions, workerCrashes, platformDrain, lateCommands)
	if compared == 0 || withoutNamedCause > 0 {
		t.Fatalf("%d decisions compared (want more than 0), %d of them without a named cause (want 0)", compared, withoutNamedCause)
	}
}
