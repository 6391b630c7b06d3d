package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

const (
	// startLimit is the longest time that a job whose turn has come may wait for its first start while there is capacity.
	startLimit = 3 * time.Second
	// settlingTime is long enough for all attempts of the prepared jobs to start, fail or stall, and for their retries to end.
	settlingTime = 40 * time.Second
	// tasksPerWorker is the number of prepared attempts on each worker. It exceeds the initial window.
	tasksPerWorker = 6
)

// tinyStage returns a stage of tasks that request 0.4 cores each, so that a worker has capacity for 20 of them.
func tinyStage(count int) job.Stage {
	stage := smallStage(count)
	stage.Processors = 400
	return stage
}

// newBusySimulation returns a simulation of three workers, each of which runs tasksPerWorker attempts that do not end.
func newBusySimulation(longRunning bool) *simulation {
	sim := newSimulation(1, 3)
	sim.runSteps(20)
	stage := tinyStage(3 * tasksPerWorker)
	stage.LongRunning, stage.EstimatedDurationMS = longRunning, 3_600_000
	id := sim.submitStages(1, stage)
	for index := range stage.Count {
		sim.jobs[id].taskDurations[job.TaskID{Job: id, Index: index}] = time.Hour
	}
	sim.runFor(2 * time.Second)
	_, running := countRunningAttempts(sim, "")
	So(running, ShouldEqual, 3*tasksPerWorker)
	return sim
}

func (sim *simulation) runFor(duration time.Duration) {
	for end := sim.elapsed + duration; sim.elapsed < end; {
		sim.step()
	}
}

// timeUntilStarted advances the simulation until all tasks of a job's only stage run or have ended, at most for twice the
// start limit. It returns the time taken.
func (sim *simulation) timeUntilStarted(id job.ID) time.Duration {
	submittedAt := sim.elapsed
	for sim.elapsed < submittedAt+2*startLimit {
		sim.step()
		started := 0
		for index := range sim.jobs[id].request.Specification.Stages[0].Count {
			if sim.taskHistory(job.TaskID{Job: id, Index: index}).lastAttempt > 0 {
				started++
			}
		}
		if started == sim.jobs[id].request.Specification.Stages[0].Count {
			break
		}
	}
	return sim.elapsed - submittedAt
}

// stallFirstAttempts stalls the first attempt of each task of a job, at each step for the given time.
func (sim *simulation) stallFirstAttempts(id job.ID, duration time.Duration) {
	for end := sim.elapsed + duration; sim.elapsed < end; {
		sim.step()
		for _, worker := range sim.workers {
			for task, attempt := range worker.running {
				attempt.stalled = attempt.stalled || task.Job >= id && attempt.number == 1
			}
		}
	}
}

// A worker whose attempts do not end must not be barred from further starts: guards against jobs that are never started
// although there is capacity (review case 1, and the same cause without a change of leader).
func TestAttemptsThatDoNotEndDoNotBarTheirWorker(t *testing.T) {
	for _, longRunning := range []bool{true, false} {
		Convey(fmt.Sprintf("Given three workers with six attempts each that do not end, long-running: %t", longRunning), t, func() {
			sim := newBusySimulation(longRunning)
			Convey("a new leader starts a job in time", func() {
				sim.startLeadership()
				So(sim.timeUntilStarted(sim.submitStages(100, tinyStage(2))), ShouldBeLessThan, startLimit)
			})
			Convey("a job starts in time after changes of leader in series, each before the first report of a worker", func() {
				for range 5 {
					sim.startLeadership()
					sim.runFor(100 * time.Millisecond)
				}
				So(sim.timeUntilStarted(sim.submitStages(100, tinyStage(2))), ShouldBeLessThan, startLimit)
			})
			Convey("a job starts in time after jobs that fail on every worker have narrowed the windows", func() {
				for number := range 12 {
					failing := sim.submitStages(2+number, tinyStage(1))
					sim.jobs[failing].alwaysFails = true
				}
				sim.runFor(settlingTime)
				So(sim.timeUntilStarted(sim.submitStages(100, tinyStage(2))), ShouldBeLessThan, startLimit)
			})
			Convey("a job starts in time after stalled attempts have narrowed the windows", func() {
				for number := range 8 {
					sim.submitStages(2+number, tinyStage(3))
				}
				sim.stallFirstAttempts(job.ID(fmt.Sprintf("%016x", 2)), settlingTime)
				So(sim.timeUntilStarted(sim.submitStages(100, tinyStage(2))), ShouldBeLessThan, startLimit)
			})
			So(sim.violations, ShouldBeEmpty)
		})
	}
}

// A gang must start on idle workers with capacity, however many members it has: guards against gangs that are never started
// because they have more members than the windows of all workers together (found beside review case 1).
func TestGangLargerThanAllWindowsStarts(t *testing.T) {
	for _, members := range []int{13, 24, 60} {
		for _, sameRack := range []bool{false, true} {
			Convey(fmt.Sprintf("A gang of %d members starts in time on three idle workers with capacity for 60, on a single rack: %t", members, sameRack), t, func() {
				gang := tinyStage(members)
				gang.GangScheduled, gang.SameRack = true, sameRack
				Convey("as the first job of a group", func() {
					sim := newSimulation(1, 3)
					sim.runSteps(20)
					So(sim.timeUntilStarted(sim.submitStages(1, gang)), ShouldBeLessThan, startLimit)
					So(sim.violations, ShouldBeEmpty)
				})
				Convey("under a new leader", func() {
					sim := newSimulation(1, 3)
					sim.runSteps(20)
					sim.submitStages(1, tinyStage(12))
					sim.runFor(5 * time.Second)
					sim.startLeadership()
					So(sim.timeUntilStarted(sim.submitStages(2, gang)), ShouldBeLessThan, startLimit)
					So(sim.violations, ShouldBeEmpty)
				})
			})
		}
	}
}

// The window still limits what an untried worker and a failing worker get.
func TestWindowLimitsUnprovenAttempts(t *testing.T) {
	Convey("Given one worker that nobody has tried, which has capacity for 20 tasks", t, func() {
		sim := newSimulation(1, 1)
		worker := sim.worker("s00")
		sim.runSteps(20)
		attempts := func() int {
			report, known := sim.scheduler.Worker(sim.clock(), "s00")
			So(known, ShouldBeTrue)
			return report.Attempts
		}
		Convey("it gets as many starts as the initial window until the first is confirmed", func() {
			sim.lateStartProbability = 1
			sim.submitStages(1, tinyStage(20))
			sim.runSteps(3)
			So(attempts(), ShouldEqual, int(initialWindow))
		})
		Convey("it gets a single start at a time after the attempts of four jobs have failed there", func() {
			worker.failsAllAttempts = true
			for number := range 4 {
				failing := &simulatedJob{request: jobapi.SubmitRequest{Group: "jobs/x", ID: job.ID(fmt.Sprintf("%016x", 1+number)),
					Queue: jobapi.Queue{Route: "r", Service: "x", MaxAttempts: 1}, Specification: job.Specification{Stages: []job.Stage{tinyStage(1)}}}}
				sim.submit(failing)
			}
			sim.runFor(2 * time.Second)
			So(attempts(), ShouldEqual, 0)
			sim.lateStartProbability = 1
			sim.submitStages(100, tinyStage(20))
			sim.runSteps(3)
			So(attempts(), ShouldEqual, 1)
		})
	})
	Convey("A gang exceeds the windows of all workers by the same factor, not that of one worker alone", t, func() {
		sim := newSimulation(1, 3)
		sim.runSteps(20)
		gang := tinyStage(18)
		gang.GangScheduled = true
		sim.timeUntilStarted(sim.submitStages(1, gang))
		_, running := countRunningAttempts(sim, "")
		So(running, ShouldEqual, 18)
		for _, worker := range sim.workers {
			onWorker, _ := countRunningAttempts(sim, worker.ID)
			So(onWorker, ShouldBeLessThanOrEqualTo, int(2*initialWindow))
		}
	})
}
