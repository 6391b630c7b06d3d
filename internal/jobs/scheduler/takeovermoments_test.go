package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// takeoverMoment is how far a new leader has come.
type takeoverMoment int

const (
	beforeFirstPage takeoverMoment = iota
	betweenPages
	beforeLastReport
	takenOver
	takeoverMomentCount
)

var takeoverMomentNames = [takeoverMomentCount]string{"before the first page", "between two pages", "before the last report", "after all reports"}

// clientCall is a call of a client in the simulation.
type clientCall int

const (
	submitCall clientCall = iota
	repeatedSubmitCall
	cancelCall
	clientCallCount
)

var clientCallNames = [clientCallCount]string{"submit", "submit again", "cancel"}

// callMoment is a client's call at a moment of a takeover.
type callMoment struct {
	moment takeoverMoment
	call   clientCall
}

// jobFeatures are the kinds of jobs that are counted. A job may be of several kinds.
var jobFeatures = map[string]func(submitted *simulatedJob) bool{
	"dependent stages": hasStage(func(stage *job.Stage) bool { return len(stage.DependsOn) > 0 }),
	"gang":             hasStage(func(stage *job.Stage) bool { return stage.GangScheduled }),
	"gang on one rack": hasStage(func(stage *job.Stage) bool { return stage.GangScheduled && stage.SameRack }),
	"wide gang":        hasStage(func(stage *job.Stage) bool { return stage.GangScheduled && stage.Count > 9*initialWindow }),
	"gang that saves":  hasStage(func(stage *job.Stage) bool { return stage.GangScheduled && stage.Checkpoints }),
	"checkpoints":      hasStage(func(stage *job.Stage) bool { return stage.Checkpoints }),
	"at least once":    hasStage(func(stage *job.Stage) bool { return stage.AtLeastOnce }),
	"anti-affinity":    hasStage(func(stage *job.Stage) bool { return stage.AntiAffinity > 0 }),
	"required label":   hasStage(func(stage *job.Stage) bool { return len(stage.Requirements) > 0 }),
	"near its data":    hasStage(func(stage *job.Stage) bool { return stage.Affinity != "" }),
	"long-running":     (*simulatedJob).isLongRunning,
	"repeated":         func(submitted *simulatedJob) bool { return submitted.request.Specification.Repetitions > 0 },
	"always fails":     func(submitted *simulatedJob) bool { return submitted.alwaysFails },
}

// hasStage returns a function that reports whether some stage of a job has a property.
func hasStage(property func(stage *job.Stage) bool) func(submitted *simulatedJob) bool {
	return func(submitted *simulatedJob) bool {
		return slices.ContainsFunc(submitted.request.Specification.Stages, func(stage job.Stage) bool { return property(&stage) })
	}
}

// moment returns how far the current leader has come.
func (sim *simulation) moment() takeoverMoment {
	switch {
	case sim.elapsed < sim.inventoryReadAt && len(sim.linked) == 0:
		return beforeFirstPage
	case sim.elapsed < sim.inventoryReadAt:
		return betweenPages
	}
	for _, worker := range sim.workers {
		if worker.up && !worker.partitioned && worker.reportedEpoch != sim.epoch {
			return beforeLastReport
		}
	}
	return takenOver
}

// countCall counts a client's call for each kind of the job.
func (sim *simulation) countCall(counts map[string]map[callMoment]int, submitted *simulatedJob, call clientCall) {
	at := callMoment{sim.moment(), call}
	for feature, has := range jobFeatures {
		if has(submitted) {
			if counts[feature] == nil {
				counts[feature] = map[callMoment]int{}
			}
			counts[feature][at]++
		}
	}
}

// callsDuringTakeovers returns a fault that lets clients submit, submit again and cancel jobs of all kinds at each moment of a takeover,
// and counts these calls.
func callsDuringTakeovers(counts map[string]map[callMoment]int) fault {
	return func(sim *simulation, step int) {
		if sim.moment() == takenOver && sim.random.IntN(10) > 0 {
			return
		}
		sim.countCall(counts, sim.submitAnyKind(30_000+step), submitCall)
		ids := slices.Sorted(maps.Keys(sim.jobs))
		again, cancelled := sim.jobs[ids[sim.random.IntN(len(ids))]], sim.jobs[ids[sim.random.IntN(len(ids))]]
		sim.scheduler.Submit(sim.clock(), &again.request)
		sim.countCall(counts, again, repeatedSubmitCall)
		sim.cancel(cancelled)
		sim.countCall(counts, cancelled, cancelCall)
		sim.propose()
	}
}

// submitAnyKind submits a job of any kind.
func (sim *simulation) submitAnyKind(number int) *simulatedJob {
	switch sim.random.IntN(6) {
	case 0:
		stage := job.Stage{Count: 3, EstimatedDurationMS: 1000, LongRunning: true, Resources: job.Resources{Processors: 20, MemoryMB: 10}}
		return sim.jobs[sim.submitStages(number, stage)]
	case 1:
		gang := job.Stage{Count: 37, EstimatedDurationMS: 500, GangScheduled: true, Resources: job.Resources{Processors: 50, MemoryMB: 10}}
		return sim.jobs[sim.submitStages(number, gang)]
	}
	submitted := sim.randomJob(number)
	sim.submit(submitted)
	return submitted
}

// Each kind of job meets each call of a client at each moment of a takeover, and every guarantee holds. The table of the counts is in
// docs/control-safety.md.
func TestClientsCallAtEachMomentOfATakeover(t *testing.T) {
	counts := map[string]map[callMoment]int{}
	for seed := range max(8, exhaustiveSeeds()) {
		sim := simulate(seed, 20, leaderTakeovers, lateInventories, callsDuringTakeovers(counts))
		if violations := sim.verify(); len(violations) > 0 {
			t.Fatalf("seed %d: %d violations, the first ones: %q", seed, len(violations), violations[:min(len(violations), 5)])
		}
	}
	for _, feature := range slices.Sorted(maps.Keys(jobFeatures)) {
		row := []string{feature}
		for call := range clientCallCount {
			for moment := range takeoverMomentCount {
				count := counts[feature][callMoment{moment, call}]
				if count == 0 {
					t.Errorf("%s of a job of the kind %q does not occur %s", clientCallNames[call], feature, takeoverMomentNames[moment])
				}
				row = append(row, fmt.Sprint(count))
			}
		}
		t.Log("| " + strings.Join(row, " | ") + " |")
	}
}
