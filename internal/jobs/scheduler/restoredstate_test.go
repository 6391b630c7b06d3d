package scheduler

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// differences compares the state that a new leader restores from the durable records with that of the leader which goes on. All of
// the latter's effects must be durable. It returns one line for each difference in what the records must preserve.
func differences(continued, restored *Scheduler) []string {
	var found []string
	compare := func(what string, have, want any) {
		if !reflect.DeepEqual(have, want) {
			found = append(found, fmt.Sprintf("%s: restored %v, continued %v", what, have, want))
		}
	}
	compare("active jobs", slices.Sorted(maps.Keys(restored.jobs)), slices.Sorted(maps.Keys(continued.jobs)))
	compare("pending jobs", restored.pendingByRoute, continued.pendingByRoute)
	compare("jobs by queue", restored.jobCounts, continued.jobCounts)
	compare("early cancellations", earlyCancellationTimes(restored), earlyCancellationTimes(continued))
	compare("released version", restored.minConfigurationVersion, continued.minConfigurationVersion)
	compare("ended jobs", endedStates(restored), endedStates(continued))
	compare("operators' drains", drainRecords(restored), drainRecords(continued))
	for _, id := range slices.Sorted(maps.Keys(continued.jobs)) {
		if other := restored.jobs[id]; other != nil {
			compareJobs(compare, other, continued.jobs[id])
		}
	}
	return found
}

func endedStates(s *Scheduler) map[job.ID]endedRecord {
	states := map[job.ID]endedRecord{}
	for id, record := range s.endedJobs {
		states[id] = endedRecord{State: record.State, EndedMS: record.EndedMS, Queue: record.Queue}
	}
	return states
}

func earlyCancellationTimes(s *Scheduler) map[string]int64 {
	times := map[string]int64{}
	for cancellation, record := range s.earlyCancellations {
		times[cancellation.key()] = record.CancelledMS
	}
	return times
}

func drainRecords(s *Scheduler) map[string]operatorDrainRecord {
	records := map[string]operatorDrainRecord{}
	for id, drain := range s.operatorDrains {
		records[string(id)] = drain.operatorDrainRecord
	}
	return records
}

// compareJobs compares two states of a job. The restored one may have started a repetition that has become due since the last tick.
func compareJobs(compare func(what string, have, want any), restored, continued *jobState) {
	name := "job " + string(continued.id)
	compare(name, restored.jobRecord, continued.jobRecord)
	compare(name+" started", restored.started, continued.started)
	compare(name+" incomplete repetitions", restored.incompleteRepetitions, continued.incompleteRepetitions)
	if len(restored.repetitions) < len(continued.repetitions) {
		compare(name+" repetitions", len(restored.repetitions), len(continued.repetitions))
		return
	}
	for number, repetition := range continued.repetitions {
		other := restored.repetitions[number]
		compare(fmt.Sprintf("%s repetition %d complete", name, number), other == nil, repetition == nil)
		if other == nil || repetition == nil {
			continue
		}
		compare(fmt.Sprintf("%s repetition %d incomplete stages", name, number), other.incompleteStages, repetition.incompleteStages)
		compare(fmt.Sprintf("%s repetition %d remaining time", name, number), other.remainingMS, repetition.remainingMS)
		compare(fmt.Sprintf("%s repetition %d deadlines", name, number), []float64{other.targetMS, other.worthlessAfterMS},
			[]float64{repetition.targetMS, repetition.worthlessAfterMS})
		for i, stage := range repetition.stages {
			compareStages(compare, fmt.Sprintf("%s repetition %d stage %d", name, number, i), other.stages[i], stage)
		}
	}
}

func compareStages(compare func(what string, have, want any), name string, restored, continued *stageState) {
	compare(name+" incomplete tasks", restored.incompleteTasks, continued.incompleteTasks)
	compare(name+" gang checkpoint", restored.gangCheckpoint, continued.gangCheckpoint)
	compare(name+" has tasks", restored.tasks != nil, continued.tasks != nil)
	if restored.tasks == nil || continued.tasks == nil {
		return
	}
	for i, task := range continued.tasks {
		other := restored.tasks[i]
		compare(fmt.Sprint(task.id, " attempt number"), other.attemptNumber, task.attemptNumber)
		compare(fmt.Sprint(task.id, " failed attempts"), len(other.failedAttempts), len(task.failedAttempts))
		compare(fmt.Sprint(task.id, " checkpoint"), other.ownCheckpoint, task.ownCheckpoint)
		compare(fmt.Sprint(task.id, " done"), other.done, task.done)
		compare(fmt.Sprint(task.id, " has a record"), other.hasRecord, task.hasRecord)
		compare(fmt.Sprint(task.id, " newest attempt"), newestAttempt(other), newestAttempt(task))
		if len(task.attempts) == 0 {
			compare(fmt.Sprint(task.id, " waits"), slices.Contains(restored.waiting, other), slices.Contains(continued.waiting, task))
		}
	}
}

// newestAttempt returns the worker of the attempt under way that has the task's highest attempt number. A done task has none, as its
// attempts under way are only waited for.
func newestAttempt(task *taskState) string {
	for _, attempt := range task.attempts {
		if attempt.number == task.attemptNumber && !task.done {
			return string(attempt.worker.ID)
		}
	}
	return ""
}

// compareRestoredState is a fault that injects none: it restores the state at each step in which everything is durable, and records
// each difference from the state of the leader that goes on as a violation.
func compareRestoredState(sim *simulation, _ int) {
	if len(sim.inFlight) > 0 || !sim.scheduler.effects.Empty() {
		return
	}
	restored, err := New(sim.settings, sim.clock(), sim.durable)
	if err != nil {
		sim.recordViolation("the state cannot be restored: %v", err)
		return
	}
	sim.comparisons++
	for _, difference := range differences(sim.scheduler, restored) {
		sim.recordViolation("%s", difference)
	}
}

// The state that a new leader restores equals that of the leader which goes on, in all that the records must preserve.
func TestRestoredStateEqualsContinuedState(t *testing.T) {
	for name, faults := range map[string][]fault{
		"no faults":       nil,
		"worker crashes":  {workerCrashes, workerPartitions, failingWorker},
		"combined faults": {leaderTakeovers, lateCommands, workerCrashes, workerPartitions, jobCancellations, stalledAttempts, platformDrain, longRunningJobs, lateInventories},
		"wide gangs":      {wideGangs, workerCrashes, stalledAttempts, jobCancellations},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range *simulationSeeds / 4 {
				sim := simulate(seed, 40, append(slices.Clone(faults), compareRestoredState)...)
				if len(sim.violations) > 0 || sim.comparisons == 0 {
					t.Fatalf("seed %d: %d differences in %d comparisons, the first ones: %q", seed, len(sim.violations), sim.comparisons,
						sim.violations[:min(len(sim.violations), 5)])
				}
			}
		})
	}
}
