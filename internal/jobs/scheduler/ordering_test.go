package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// referenceCandidate is a repetition with waiting tasks in referenceOrder.
type referenceCandidate struct {
	level     int
	job       *jobState
	stages    []*stageState
	subjobs   map[*workerState]int
	taskCount int
}

// referenceOrder computes the order of the waiting stages from scratch, without the buffers that orderQueue reuses.
func referenceOrder(s *Scheduler, now Now) []*stageState {
	var all []*referenceCandidate
	byRepetition := map[*repetitionState]*referenceCandidate{}
	for _, stage := range s.waitingStages {
		if len(stage.waiting) == 0 {
			continue
		}
		candidate := byRepetition[stage.repetition]
		if candidate == nil {
			candidate = &referenceCandidate{level: stage.repetition.orderingLevel(now, stage.job), job: stage.job, subjobs: map[*workerState]int{}}
			byRepetition[stage.repetition] = candidate
			all = append(all, candidate)
		}
		candidate.stages = append(candidate.stages, stage)
		candidate.taskCount += len(stage.waiting)
		for _, task := range stage.waiting {
			if task.boundTo != nil {
				candidate.subjobs[task.boundTo]++
			}
		}
	}
	slices.SortFunc(all, func(a, b *referenceCandidate) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.job.Arrival, b.job.Arrival))
	})
	queueLengths := map[*workerState]float64{}
	for _, worker := range s.sortedWorkers {
		queueLengths[worker] = float64(len(worker.attempts))
	}
	var order []*stageState
	for len(all) > 0 {
		level := all
		if end := slices.IndexFunc(all, func(candidate *referenceCandidate) bool { return candidate.level != all[0].level }); end > 0 {
			level = all[:end]
		}
		all = all[len(level):]
		order = append(order, rankReferenceLevel(s, queueLengths, level)...)
	}
	return order
}

// rankReferenceLevel ranks the candidates of one level and returns their stages in that order.
func rankReferenceLevel(s *Scheduler, queueLengths map[*workerState]float64, level []*referenceCandidate) []*stageState {
	var order []*stageState
	remaining, unranked := slices.Clone(level[:min(len(level), maxRankedPerLevel)]), level[min(len(level), maxRankedPerLevel):]
	for len(remaining) > 0 {
		best, bestMakespan := 0, math.Inf(1)
		for i, candidate := range remaining {
			makespan := 0.0
			for worker, size := range candidate.subjobs {
				makespan = max(makespan, (queueLengths[worker]+float64(size))*s.latencyMS(candidate.job, worker))
			}
			if makespan < bestMakespan || makespan == bestMakespan && candidate.taskCount < remaining[best].taskCount {
				best, bestMakespan = i, makespan
			}
		}
		for worker, size := range remaining[best].subjobs {
			queueLengths[worker] += float64(size)
		}
		order = append(order, remaining[best].stages...)
		remaining = slices.Delete(remaining, best, best+1)
	}
	for _, candidate := range unranked {
		order = append(order, candidate.stages...)
	}
	return order
}

// completeSomeAttempts completes the first attempt on every third worker, so that free capacity, queue lengths and
// latencies change.
func completeSomeAttempts(s *Scheduler, now Now, round int) {
	for position, worker := range s.sortedWorkers {
		if (position+round)%3 != 0 {
			continue
		}
		report := workerclient.Listing{Worker: worker.ID, SentAt: now.Monotonic}
		for i, attempt := range worker.sortedAttempts() {
			if i == 0 {
				report.Finished = []workerclient.FinishedTask{{CompletionNumber: worker.lastCompletion + 1, Task: attempt.task.id, AttemptNumber: attempt.number, Outcome: job.OutcomeDone}}
			} else {
				report.Running = append(report.Running, workerclient.RunningTask{Task: attempt.task.id, AttemptNumber: attempt.number})
			}
		}
		s.HandleReport(now, &report)
	}
}

func TestQueueOrderMatchesReference(t *testing.T) {
	Convey("Under a backlog the queue order equals the order computed from scratch", t, func() {
		s, now, _ := newLoadedScheduler(30, 600)
		for round := range 20 {
			completeSomeAttempts(s, now, round)
			now.WallMS += 400 // jobs become late and then worthless
			now.Monotonic = now.Monotonic.Add(400e6)
			s.orderStale = true
			expected := referenceOrder(s, now)
			s.orderQueue(now)
			So(len(s.waitingStages), ShouldBeGreaterThan, maxRankedPerLevel)
			So(slices.Equal(s.waitingStages, expected), ShouldBeTrue)
			s.Dispatch(now)
			s.TakeEffects()
		}
	})
	Convey("Ordering the queue does not allocate memory per waiting job", t, func() {
		const jobs = 1000
		s, now, _ := newLoadedScheduler(30, jobs)
		So(len(s.waitingStages), ShouldBeGreaterThan, jobs/2)
		allocated := testing.AllocsPerRun(5, func() {
			s.orderStale = true
			s.Dispatch(now)
		})
		So(allocated, ShouldBeLessThan, jobs/10)
	})
}

func TestDispatchListsOtherWorkersOnlyIfBoundWorkerIsFull(t *testing.T) {
	s, now, _ := newLoadedScheduler(30, 0)
	submit := func(number, count int) {
		s.Submit(now, &jobapi.SubmitRequest{ID: job.ID(fmt.Sprintf("%016x", number)), Queue: jobapi.Queue{Route: "r", MaxAttempts: 3},
			Specification: job.Specification{Text: "t", Stages: []job.Stage{{Count: count, EstimatedDurationMS: 1000,
				Resources: job.Resources{Processors: 16000, MemoryMB: 1000}}}}})
		s.Dispatch(now)
	}
	Convey("If each task fits on the worker that it is bound to, Dispatch does not list the other workers", t, func() {
		submit(1, 60)
		So(s.acceptingWorkersListed, ShouldBeFalse)
		So(s.waitingStages[0].waiting, ShouldBeEmpty)
		Convey("and otherwise it starts the task on any worker with free capacity, or leaves it waiting", func() {
			submit(2, 1)
			So(s.acceptingWorkersListed, ShouldBeTrue)
			So(s.acceptingWorkers, ShouldHaveLength, 30)
			freed := s.sortedWorkers[7]
			s.endAllAttempts(now, freed) // its two tasks wait again, bound to arbitrary workers
			s.Dispatch(now)
			So(freed.attempts, ShouldHaveLength, 2)
		})
	})
}
