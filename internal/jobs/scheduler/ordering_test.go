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

// referenceCandidate is a repetition that waits, as referenceOrder sees it.
type referenceCandidate struct {
	level   int
	job     *jobState
	stages  []*stageState
	subjobs map[*workerState]int
	size    int
}

// referenceOrder computes the order of the stages that wait from scratch.
func referenceOrder(s *Scheduler, now Now) []*stageState {
	var all []*referenceCandidate
	of := map[*repetitionState]*referenceCandidate{}
	for _, stage := range s.waitingStages {
		if len(stage.waiting) == 0 {
			continue
		}
		candidate := of[stage.repetition]
		if candidate == nil {
			candidate = &referenceCandidate{level: stage.repetition.orderingLevel(now, stage.job), job: stage.job, subjobs: map[*workerState]int{}}
			of[stage.repetition] = candidate
			all = append(all, candidate)
		}
		candidate.stages = append(candidate.stages, stage)
		candidate.size += len(stage.waiting)
		for _, task := range stage.waiting {
			if task.boundTo != nil {
				candidate.subjobs[task.boundTo]++
			}
		}
	}
	slices.SortFunc(all, func(a, b *referenceCandidate) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.job.Arrival, b.job.Arrival))
	})
	queues := map[*workerState]float64{}
	for _, worker := range s.sortedWorkers {
		queues[worker] = float64(len(worker.attempts))
	}
	var order []*stageState
	for len(all) > 0 {
		level := all
		if end := slices.IndexFunc(all, func(candidate *referenceCandidate) bool { return candidate.level != all[0].level }); end > 0 {
			level = all[:end]
		}
		all = all[len(level):]
		order = append(order, referenceRank(s, queues, level)...)
	}
	return order
}

func referenceRank(s *Scheduler, queues map[*workerState]float64, level []*referenceCandidate) []*stageState {
	var order []*stageState
	left, rest := slices.Clone(level[:min(len(level), maxRanked)]), level[min(len(level), maxRanked):]
	for len(left) > 0 {
		best, bestSpan := 0, math.Inf(1)
		for i, candidate := range left {
			span := 0.0
			for at, size := range candidate.subjobs {
				span = max(span, (queues[at]+float64(size))*s.latencyMS(candidate.job, at))
			}
			if span < bestSpan || span == bestSpan && candidate.size < left[best].size {
				best, bestSpan = i, span
			}
		}
		for at, size := range left[best].subjobs {
			queues[at] += float64(size)
		}
		order = append(order, left[best].stages...)
		left = slices.Delete(left, best, best+1)
	}
	for _, candidate := range rest {
		order = append(order, candidate.stages...)
	}
	return order
}

// completeSome completes some attempts, so that capacity, queues and latencies change.
func completeSome(s *Scheduler, now Now, round int) {
	for i, worker := range s.sortedWorkers {
		if (i+round)%3 != 0 {
			continue
		}
		report := workerclient.Listing{Worker: worker.ID, SentAt: now.Monotonic}
		for at, attempt := range worker.sortedAttempts() {
			if at == 0 {
				report.Finished = []workerclient.FinishedTask{{CompletionNumber: worker.lastCompletion + 1, Task: attempt.task.id, AttemptNumber: attempt.number, Outcome: job.OutcomeDone}}
			} else {
				report.Running = append(report.Running, workerclient.RunningTask{Task: attempt.task.id, AttemptNumber: attempt.number})
			}
		}
		s.HandleReport(now, &report)
	}
}

func TestQueueOrderMatchesReference(t *testing.T) {
	Convey("Under a backlog the queue has the order of a computation from scratch", t, func() {
		s, now, _ := newLoadedScheduler(30, 600)
		for round := range 20 {
			completeSome(s, now, round)
			now.WallMS += 400 // jobs become late, and worthless
			now.Monotonic = now.Monotonic.Add(400e6)
			s.orderStale = true
			expected := referenceOrder(s, now)
			s.orderQueue(now)
			So(len(s.waitingStages), ShouldBeGreaterThan, maxRanked)
			So(slices.Equal(s.waitingStages, expected), ShouldBeTrue)
			s.Dispatch(now)
			s.TakeEffects()
		}
	})
	Convey("An ordering does not allocate for each job that waits", t, func() {
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

func TestDispatchChecksBoundWorkerFirst(t *testing.T) {
	s, now, _ := newLoadedScheduler(30, 0)
	submit := func(number, count int) {
		s.Submit(now, &jobapi.Submit{ID: job.ID(fmt.Sprintf("%016x", number)), Queue: jobapi.Queue{Route: "r", MaxAttempts: 3},
			Specification: job.Specification{Text: "t", Stages: []job.Stage{{Count: count, EstimatedDurationMS: 1000,
				Resources: job.Resources{Processors: 16000, MemoryMB: 1000}}}}})
		s.Dispatch(now)
	}
	Convey("Where each task fits at the worker that it is bound to, the others are not listed", t, func() {
		submit(1, 60)
		So(s.openWorkersCached, ShouldBeFalse)
		So(s.waitingStages[0].waiting, ShouldBeEmpty)
		Convey("and otherwise any that takes starts is found, or none", func() {
			submit(2, 1)
			So(s.openWorkersCached, ShouldBeTrue)
			So(s.openWorkersCache, ShouldHaveLength, 30)
			freed := s.sortedWorkers[7]
			s.endAllAttempts(now, freed) // its two tasks wait again, bound to any worker
			s.Dispatch(now)
			So(freed.attempts, ShouldHaveLength, 2)
		})
	})
}
