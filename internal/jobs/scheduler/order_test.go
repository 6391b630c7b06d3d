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

// modelCandidate is a repetition that waits, as modelOrder sees it.
type modelCandidate struct {
	level  int
	job    *jobState
	stages []*stageRun
	parts  map[*worker]int
	size   int
}

// modelOrder works out the order of the stages that wait from nothing but the state of the scheduler.
func modelOrder(s *Scheduler, now Now) []*stageRun {
	var all []*modelCandidate
	of := map[*repetition]*modelCandidate{}
	for _, stage := range s.stages {
		if len(stage.waiting) == 0 {
			continue
		}
		c := of[stage.repetition]
		if c == nil {
			c = &modelCandidate{level: stage.repetition.level(now, stage.job), job: stage.job, parts: map[*worker]int{}}
			of[stage.repetition] = c
			all = append(all, c)
		}
		c.stages = append(c.stages, stage)
		c.size += len(stage.waiting)
		for _, t := range stage.waiting {
			if t.bound != nil {
				c.parts[t.bound]++
			}
		}
	}
	slices.SortFunc(all, func(a, b *modelCandidate) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.job.Arrival, b.job.Arrival))
	})
	queues := map[*worker]float64{}
	for _, sr := range s.list {
		queues[sr] = float64(len(sr.runs))
	}
	var order []*stageRun
	for len(all) > 0 {
		level := all
		if end := slices.IndexFunc(all, func(c *modelCandidate) bool { return c.level != all[0].level }); end > 0 {
			level = all[:end]
		}
		all = all[len(level):]
		order = append(order, modelRank(s, queues, level)...)
	}
	return order
}

func modelRank(s *Scheduler, queues map[*worker]float64, level []*modelCandidate) []*stageRun {
	var order []*stageRun
	left, rest := slices.Clone(level[:min(len(level), mostOrdered)]), level[min(len(level), mostOrdered):]
	for len(left) > 0 {
		best, bestSpan := 0, math.Inf(1)
		for i, c := range left {
			span := 0.0
			for at, size := range c.parts {
				span = max(span, (queues[at]+float64(size))*s.latency(c.job, at))
			}
			if span < bestSpan || span == bestSpan && c.size < left[best].size {
				best, bestSpan = i, span
			}
		}
		for at, size := range left[best].parts {
			queues[at] += float64(size)
		}
		order = append(order, left[best].stages...)
		left = slices.Delete(left, best, best+1)
	}
	for _, c := range rest {
		order = append(order, c.stages...)
	}
	return order
}

// endSome ends some runs at workers, so that room, queues and latencies change.
func endSome(s *Scheduler, now Now, round int) {
	for i, sr := range s.list {
		if (i+round)%3 != 0 {
			continue
		}
		report := workerclient.Listing{Worker: sr.ID, SentAt: now.Steady}
		for at, r := range sr.sortedRuns() {
			if at == 0 {
				report.Finished = []workerclient.FinishedTask{{Number: sr.noted + 1, Task: r.task.id, Execution: r.execution, How: job.Done}}
			} else {
				report.Running = append(report.Running, workerclient.RunningTask{Task: r.task.id, Execution: r.execution})
			}
		}
		s.Listing(now, &report)
	}
}

func TestOrderOfABacklog(t *testing.T) {
	Convey("Under a backlog the stages that wait are ordered as by an ordering from scratch", t, func() {
		s, now, _ := loaded(30, 600)
		for round := range 20 {
			endSome(s, now, round)
			now.WallMS += 400 // jobs become late, and worthless
			now.Steady = now.Steady.Add(400e6)
			s.unsorted = true
			want := modelOrder(s, now)
			s.reorder(now)
			So(len(s.stages), ShouldBeGreaterThan, mostOrdered)
			So(slices.Equal(s.stages, want), ShouldBeTrue)
			s.Dispatch(now)
			s.Take()
		}
	})
	Convey("An ordering takes no memory for each job that waits", t, func() {
		const jobs = 1000
		s, now, _ := loaded(30, jobs)
		So(len(s.stages), ShouldBeGreaterThan, jobs/2)
		allocated := testing.AllocsPerRun(5, func() {
			s.unsorted = true
			s.Dispatch(now)
		})
		So(allocated, ShouldBeLessThan, jobs/10)
	})
}

func TestDispatchLooksAtNoOtherWorker(t *testing.T) {
	s, now, _ := loaded(30, 0)
	submit := func(number, count int) {
		s.Submit(now, &jobapi.Submit{ID: job.ID(fmt.Sprintf("%016x", number)), Queue: jobapi.Queue{Route: "r", MaxAttempts: 3},
			Specification: job.Specification{Text: "t", Stages: []job.Stage{{Count: count, EstimatedDurationMS: 1000,
				Resources: job.Resources{Processors: 16000, MemoryMB: 1000}}}}})
		s.Dispatch(now)
	}
	Convey("Where each task has room at the searcher that it is bound to, the others are not looked at", t, func() {
		submit(1, 60)
		So(s.opened, ShouldBeFalse)
		So(s.stages[0].waiting, ShouldBeEmpty)
		Convey("and otherwise any that takes starts is found, or none", func() {
			submit(2, 1)
			So(s.opened, ShouldBeTrue)
			So(s.open, ShouldHaveLength, 30)
			freed := s.list[7]
			s.clear(now, freed) // its two tasks wait again, bound anywhere
			s.Dispatch(now)
			So(freed.runs, ShouldHaveLength, 2)
		})
	})
}
