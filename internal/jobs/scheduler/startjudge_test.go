package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

const (
	calmBeforeJudging   = 4 * time.Second        // time without trouble after which a wait counts
	longRunningGrace    = 6 * time.Second        // time from the end of a long-running task's attempt until its wait counts
	stopLimit           = 400 * time.Millisecond // longest time that a worker takes to stop an attempt, with the way to it
	troubleStepCount    = 200                    // number of steps in which trouble is injected into a calm day
	calmDayArrivalSteps = 900                    // number of steps in which jobs arrive
	calmDaySteps        = 1200
)

// startJudge checks in each step that no accepted job waits although its turn has come and there is capacity, and that nothing runs
// on after a cancellation. It reads the workers and the records, and nothing of the scheduler.
type startJudge struct {
	troubleAt   time.Duration                // when there was trouble last
	waitingFrom map[job.ID]time.Duration     // since when a job has had nothing running although a task could start
	lastingFrom map[job.TaskID]time.Duration // the same for each long-running task
	endedAt     map[job.TaskID]time.Duration // when a long-running task was last seen running
	judged      int                          // waits that were looked at in calm
}

func newStartJudge() *startJudge {
	return &startJudge{waitingFrom: map[job.ID]time.Duration{}, lastingFrom: map[job.TaskID]time.Duration{}, endedAt: map[job.TaskID]time.Duration{}}
}

// inspect judges the present step.
func (judge *startJudge) inspect(sim *simulation) {
	underHalf := sim.usesLessThanHalf()
	for id, submitted := range sim.jobs {
		if sim.durable[jobKey(id)] == nil || submitted.cancelRequested {
			delete(judge.waitingFrom, id)
			judge.inspectCancelled(sim, submitted)
			continue
		}
		if submitted.isLongRunning() {
			judge.inspectLongRunning(sim, submitted)
			continue
		}
		couldStart := underHalf && sim.runningAttemptsOf(id) == 0 && sim.hasStartableTask(submitted)
		judge.inspectWait(sim, id, couldStart)
	}
}

// inspectWait judges the wait of a job of which nothing runs.
func (judge *startJudge) inspectWait(sim *simulation, id job.ID, couldStart bool) {
	since, waits := judge.waitingFrom[id]
	switch {
	case !couldStart:
		delete(judge.waitingFrom, id)
	case !waits:
		judge.waitingFrom[id] = sim.elapsed
	case judge.isCalmSince(since):
		judge.judged++
		if sim.elapsed-since > startLimit {
			sim.recordViolation("job %s has waited since %v though there is capacity", id, since)
			delete(judge.waitingFrom, id)
		}
	}
}

// inspectLongRunning judges each task of a long-running job by itself.
func (judge *startJudge) inspectLongRunning(sim *simulation, submitted *simulatedJob) {
	stage := &submitted.request.Specification.Stages[0]
	hasRoom := sim.roomFor(stage) >= 2
	for index := range stage.Count {
		task := job.TaskID{Job: submitted.request.ID, Index: index}
		if sim.isRunning(task) {
			judge.endedAt[task] = sim.elapsed
		}
		since, waits := judge.lastingFrom[task]
		switch {
		case !hasRoom || sim.isRunning(task) || sim.elapsed < judge.endedAt[task]+longRunningGrace:
			delete(judge.lastingFrom, task)
		case !waits:
			judge.lastingFrom[task] = sim.elapsed
		case judge.isCalmSince(since) && sim.elapsed-since > startLimit:
			sim.recordViolation("long-running task %v has waited since %v though there is capacity", task, since)
			delete(judge.lastingFrom, task)
		}
	}
}

// inspectCancelled judges that nothing of a cancelled job runs once its stops had time to arrive in calm.
func (judge *startJudge) inspectCancelled(sim *simulation, submitted *simulatedJob) {
	id := submitted.request.ID
	limit := max(submitted.cancelledAt, judge.troubleAt) + startLimit + stopLimit
	if submitted.cancelledAt > 0 && sim.elapsed > limit && sim.runningAttemptsOf(id) > 0 {
		sim.recordViolation("%d attempts of the cancelled job %s run", sim.runningAttemptsOf(id), id)
	}
}

// isCalmSince reports whether there was no trouble for calmBeforeJudging before a wait began, and none since.
func (judge *startJudge) isCalmSince(since time.Duration) bool {
	return since >= judge.troubleAt+calmBeforeJudging
}

func (sim *simulation) isRunning(task job.TaskID) bool {
	return slices.ContainsFunc(sim.workers, func(worker *simulatedWorker) bool { return worker.up && worker.running[task] != nil })
}

func (sim *simulation) runningAttemptsOf(id job.ID) int {
	count := 0
	for _, worker := range sim.workers {
		for task := range worker.running {
			if worker.up && task.Job == id {
				count++
			}
		}
	}
	return count
}

// usesLessThanHalf reports whether all running attempts use less than half of the capacity.
func (sim *simulation) usesLessThanHalf() bool {
	var used, capacity job.Resources
	for _, worker := range sim.workers {
		if worker.up {
			capacity = capacity.Add(worker.Capacity)
			used = used.Add(worker.Capacity.Subtract(worker.freeCapacity(sim)))
		}
	}
	return 2*used.Processors < capacity.Processors && 2*used.MemoryMB < capacity.MemoryMB && 2*used.Accelerators < capacity.Accelerators
}

// roomFor returns the number of tasks of a stage that fit on the workers in addition to what runs there.
func (sim *simulation) roomFor(stage *job.Stage) int64 {
	room := int64(0)
	for _, worker := range sim.workers {
		labelled := !slices.ContainsFunc(stage.Requirements, func(label string) bool { return !slices.Contains(worker.Labels, label) })
		if worker.up && !worker.partitioned && !worker.Draining && labelled {
			free := worker.freeCapacity(sim)
			room += free.FitCount(stage.Resources)
		}
	}
	return room
}

// hasStartableTask reports whether the turn of some task has come, and the workers have capacity for it twice over. It leaves out stages
// with an anti-affinity limit and repeated jobs.
func (sim *simulation) hasStartableTask(submitted *simulatedJob) bool {
	specification := &submitted.request.Specification
	if specification.Repetitions > 0 {
		return false
	}
	for number := range specification.Stages {
		stage := &specification.Stages[number]
		needed := int64(2)
		if stage.GangScheduled {
			needed = 2 * int64(stage.Count)
		}
		ready := !slices.ContainsFunc(stage.DependsOn, func(dependency int) bool { return !sim.isStageComplete(submitted, dependency) })
		if ready && stage.AntiAffinity == 0 && !sim.isStageComplete(submitted, number) && sim.roomFor(stage) >= needed {
			return true
		}
	}
	return false
}

func (sim *simulation) isStageComplete(submitted *simulatedJob, number int) bool {
	for index := range submitted.request.Specification.Stages[number].Count {
		if !sim.taskHistory(job.TaskID{Job: submitted.request.ID, Stage: number, Index: index}).completed {
			return false
		}
	}
	return true
}

// simulateCalmDay simulates a day with trouble at its beginning and jobs that arrive long after it, each of them judged.
func simulateCalmDay(seed uint64, faults ...fault) (*simulation, *startJudge) {
	sim, judge := newSimulation(seed, 9), newStartJudge()
	for step := range calmDaySteps {
		if step < calmDayArrivalSteps && step%15 == 0 {
			sim.submit(sim.randomJob(1 + step))
		}
		if step < troubleStepCount {
			for _, inject := range faults {
				inject(sim, step)
			}
			judge.troubleAt = sim.elapsed
		}
		for _, worker := range sim.workers {
			if worker.partitioned || sim.elapsed < sim.inventoryReadAt {
				judge.troubleAt = sim.elapsed
			}
		}
		sim.step()
		judge.inspect(sim)
	}
	return sim, judge
}

// After any trouble, each accepted job starts in time where there is capacity, also beside tasks that never end, and nothing runs on
// after a cancellation. Guards against jobs that wait for good, which only a judge of each wait notices.
func TestJobsStartInTimeAfterTrouble(t *testing.T) {
	for name, faults := range map[string][]fault{
		"takeovers":                       {longRunningJobs, leaderTakeovers},
		"takeovers with late inventories": {longRunningJobs, leaderTakeovers, lateInventories, jobCancellations},
		"failures and stalls":             {longRunningJobs, wideGangs, stalledAttempts, leaderTakeovers},
		"crashes and partitions":          {longRunningJobs, workerCrashes, workerPartitions, leaderTakeovers, jobCancellations},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			judged := 0
			for seed := range exhaustiveSeeds() {
				sim, judge := simulateCalmDay(seed, faults...)
				judged += judge.judged
				if len(sim.violations) > 0 {
					t.Fatal(fmt.Sprintf("seed %d: %d violations, the first ones:", seed, len(sim.violations)), sim.violations[:min(len(sim.violations), 5)])
				}
			}
			if judged == 0 {
				t.Fatal("no wait was judged")
			}
		})
	}
}
