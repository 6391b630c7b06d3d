package scheduler

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

var simulationSeeds = flag.Uint64("simulationseeds", 20, "number of seeds that each combination of faults is simulated with")

// fault injects a fault into the simulation in one step.
type fault func(sim *simulation, step int)

// Offsets of the numbers of jobs that faults submit.
const (
	longRunningJobNumber = 10_000
	wideGangNumber       = 20_000
)

const (
	arrivalStepCount  = 500             // number of 20 ms steps in which jobs arrive and faults are injected
	maxStepCount      = 4000            // number of steps after which all jobs must have ended
	stopAfterEndLimit = 4 * time.Second // longest time after the end of all jobs until nothing runs
)

// simulate submits jobs while it injects faults, and then runs until all jobs have ended or maxStepCount steps have passed.
// Long-running jobs are cancelled once all other jobs have ended. The simulation ends stopAfterEndLimit later.
func simulate(seed uint64, jobs int, faults ...fault) *simulation {
	sim := newSimulation(seed, 9)
	submittedCount := 0
	for step := range maxStepCount {
		if step < arrivalStepCount {
			for submittedCount < jobs*step/arrivalStepCount {
				submittedCount++
				sim.submit(sim.randomJob(submittedCount))
			}
			for _, inject := range faults {
				inject(sim, step)
			}
		}
		sim.step()
		if step > arrivalStepCount && sim.cancelLongRunningJobsAtEnd() && len(sim.scheduler.jobs) == 0 && len(sim.inFlight) == 0 {
			break
		}
	}
	sim.runFor(stopAfterEndLimit)
	return sim
}

// cancelLongRunningJobsAtEnd cancels the long-running jobs once no other job is active, and reports whether that is the case.
func (sim *simulation) cancelLongRunningJobsAtEnd() bool {
	var longRunning []*simulatedJob
	for id := range sim.scheduler.jobs {
		if !sim.jobs[id].isLongRunning() {
			return false
		}
		longRunning = append(longRunning, sim.jobs[id])
	}
	slices.SortFunc(longRunning, func(a, b *simulatedJob) int { return cmp.Compare(a.request.ID, b.request.ID) })
	for _, submitted := range longRunning {
		if !submitted.cancelRequested {
			sim.cancel(submitted)
		}
	}
	return true
}

// verify returns the violations of single starts, one for each job that did not end in the expected state, and one for each
// attempt that runs on after the end of its job.
func (sim *simulation) verify() []string {
	violations := sim.violations
	for id, submitted := range sim.jobs {
		state, known := sim.scheduler.Status(id)
		expected := job.Completed
		if submitted.alwaysFails {
			expected = job.Failed
		}
		if known && (state == expected || state == job.Cancelled && submitted.cancelledAt > 0) {
			continue
		}
		if state == job.Failed && sim.hasFailingWorker() {
			continue
		}
		violations = append(violations, fmt.Sprintf("job %s is in state %q, expected %q", id, state, expected))
	}
	for _, worker := range sim.workers {
		for task, attempt := range worker.running {
			if state, _ := sim.scheduler.Status(task.Job); worker.up && state.Final() {
				violations = append(violations, fmt.Sprintf("attempt %d of %v runs on %s though its job has ended", attempt.number, task, worker.ID))
			}
		}
	}
	return violations
}

func (sim *simulation) hasFailingWorker() bool {
	for _, worker := range sim.workers {
		if worker.failsAllAttempts {
			return true
		}
	}
	return false
}

func leaderTakeovers(sim *simulation, _ int) {
	if sim.random.IntN(100) == 0 {
		sim.startLeadership()
	}
}

func lateCommands(sim *simulation, _ int) { sim.lateStartProbability = 0.08 }

func workerCrashes(sim *simulation, _ int) {
	if worker := sim.workers[sim.random.IntN(len(sim.workers))]; sim.random.IntN(80) == 0 && worker.up {
		sim.crash(worker, fmt.Sprintf("%s+", worker.ID))
	}
}

func workerPartitions(sim *simulation, _ int) {
	if worker := sim.workers[sim.random.IntN(len(sim.workers))]; sim.random.IntN(60) == 0 && worker.up && !worker.partitioned {
		worker.partitioned = true
		sim.schedule(time.Duration(1+sim.random.IntN(9))*time.Second, func() { worker.partitioned = false })
	}
}

func jobCancellations(sim *simulation, _ int) {
	if sim.random.IntN(20) != 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(sim.jobs))
	if len(ids) > 0 {
		sim.cancel(sim.jobs[ids[sim.random.IntN(len(ids))]])
	}
}

// longRunningJobs submits jobs whose tasks run until they are cancelled, a few on each worker. They are small enough to leave room
// for all members of each gang of randomJob.
func longRunningJobs(sim *simulation, step int) {
	if step%100 != 20 {
		return
	}
	stage := job.Stage{Count: 9 + sim.random.IntN(18), EstimatedDurationMS: 1000, LongRunning: true,
		Resources: job.Resources{Processors: int64(20 + sim.random.IntN(40)), MemoryMB: 20}}
	sim.submitStages(longRunningJobNumber+step, stage)
}

// wideGangs submits gangs with more members than the windows of new workers admit.
func wideGangs(sim *simulation, step int) {
	if step%200 != 30 {
		return
	}
	gang := job.Stage{Count: 37 + sim.random.IntN(20), EstimatedDurationMS: 500, GangScheduled: true, SameRack: sim.random.IntN(4) == 0,
		Resources: job.Resources{Processors: 300, MemoryMB: 50}}
	sim.submitStages(wideGangNumber+step, gang)
}

// lateInventories makes each new leader read the list of workers page by page, while clients' requests arrive.
func lateInventories(sim *simulation, _ int) { sim.maxInventoryDelay = 2 * time.Second }

func failingWorker(sim *simulation, step int) {
	if step == 100 {
		sim.workers[2].failsAllAttempts = true
	}
}

func stalledAttempts(sim *simulation, _ int) {
	if sim.random.IntN(50) != 0 {
		return
	}
	for _, attempt := range sim.workers[sim.random.IntN(len(sim.workers))].running {
		attempt.stalled = true
	}
}

func platformDrain(sim *simulation, step int) {
	if step == 150 {
		sim.workers[1].Draining = true
		sim.sendInventory()
		sim.schedule(4*time.Second, func() {
			sim.workers[1].up = false
			sim.sendInventory()
			sim.scheduler.RemoveWorker(sim.clock(), sim.workers[1].ID)
			sim.propose()
		})
	}
}

func TestGuaranteesHoldUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults []fault
	}{
		{"no faults", nil},
		{"leader takeovers", []fault{leaderTakeovers}},
		{"late commands", []fault{lateCommands}},
		{"worker crashes", []fault{workerCrashes}},
		{"worker partitions", []fault{workerPartitions}},
		{"job cancellations", []fault{jobCancellations}},
		{"failing worker", []fault{failingWorker}},
		{"stalled attempts", []fault{stalledAttempts}},
		{"platform drain", []fault{platformDrain}},
		{"late commands and leader takeovers", []fault{lateCommands, leaderTakeovers}},
		{"worker partitions and leader takeovers", []fault{workerPartitions, leaderTakeovers}},
		{"long-running jobs and wide gangs", []fault{longRunningJobs, wideGangs}},
		{"long-running jobs, wide gangs and leader takeovers", []fault{longRunningJobs, wideGangs, leaderTakeovers}},
		{"late inventories, cancellations and leader takeovers", []fault{longRunningJobs, lateInventories, leaderTakeovers, jobCancellations}},
		{"late inventories and worker crashes", []fault{longRunningJobs, lateInventories, leaderTakeovers, workerCrashes, workerPartitions}},
		{"stalls, failures and long-running jobs", []fault{longRunningJobs, wideGangs, failingWorker, stalledAttempts}},
		{"combined faults", []fault{leaderTakeovers, lateCommands, workerCrashes, workerPartitions, jobCancellations, stalledAttempts, platformDrain,
			longRunningJobs, lateInventories}},
		{"combined faults with wide gangs", []fault{leaderTakeovers, workerCrashes, workerPartitions, jobCancellations, stalledAttempts, platformDrain,
			longRunningJobs, wideGangs, lateInventories}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *simulationSeeds {
				sim := simulate(seed, 60, c.faults...)
				if violations := sim.verify(); len(violations) > 0 {
					t.Fatalf("seed %d: %d violations, the first ones: %q", seed, len(violations), violations[:min(len(violations), 5)])
				}
			}
		})
	}
}

func TestSameSeedGivesSameDurableState(t *testing.T) {
	Convey("Two simulations with the same seed end in the same durable state", t, func() {
		first := simulate(7, 40, leaderTakeovers, workerPartitions)
		second := simulate(7, 40, leaderTakeovers, workerPartitions)
		So(second.durable, ShouldResemble, first.durable)
	})
}

func TestLostRecordsAreReportedAsViolations(t *testing.T) {
	Convey("If a leader lacks its predecessor's records, the simulation reports violations", t, func() {
		sim := newSimulation(1, 9)
		sim.dropRecords = true
		for number := range 20 {
			sim.submit(sim.randomJob(number + 1))
		}
		for step := range 600 {
			if step%100 == 99 {
				sim.startLeadership()
				for _, submitted := range sim.jobs {
					sim.scheduler.Submit(sim.clock(), &submitted.request)
				}
				sim.propose()
			}
			sim.step()
		}
		So(len(sim.violations), ShouldBeGreaterThan, 0)
	})
}
