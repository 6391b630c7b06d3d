package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// maxRankedPerLevel is the maximum number of repetitions per level that are ranked by makespan. The rest follow in order of
// arrival.
const maxRankedPerLevel = 64

// subjob is a sub-job as defined by SWAG: the waiting tasks of one job that are bound to one worker.
type subjob struct {
	worker    *workerState
	taskCount int
}

// candidate is one repetition of a job that has waiting tasks. It is reused by later orderings to avoid allocations.
type candidate struct {
	level        int // lower levels go first
	job          *jobState
	lastOrdering uint64 // number of the newest ordering that includes this candidate
	stages       []*stageState
	subjobs      []subjob // set by countSubjobs
	taskCount    int      // set by countSubjobs; all waiting tasks, bound or not
}

// orderQueue sorts the waiting stages by level, and within a level by SWAG's greedy order. The queue length of each worker is
// initially the number of its attempts. Each step selects the job with the least makespan, and among equals the one with
// fewer tasks, and adds its tasks to the workers' queue lengths. orderQueue does nothing if the order is up to date.
func (s *Scheduler) orderQueue(now Now) {
	if !s.orderStale {
		return
	}
	s.orderStale = false
	levels := groupByLevel(s.waitingCandidates(now))
	for _, level := range levels {
		for _, c := range level[:min(len(level), maxRankedPerLevel)] {
			c.countSubjobs()
		}
	}
	s.waitingStages = s.waitingStages[:0]
	for _, level := range levels {
		s.rankLevel(level)
	}
}

// groupByLevel splits candidates, which must be sorted by level, into one slice per level.
func groupByLevel(candidates []*candidate) [][]*candidate {
	var levels [][]*candidate
	for start := 0; start < len(candidates); {
		end := start
		for end < len(candidates) && candidates[end].level == candidates[start].level {
			end++
		}
		levels = append(levels, candidates[start:end])
		start = end
	}
	return levels
}

// waitingCandidates returns the repetitions with waiting tasks, sorted by level and arrival. It marks stages without a waiting
// task as no longer queued.
func (s *Scheduler) waitingCandidates(now Now) []*candidate {
	s.orderingNumber++
	candidates := s.candidateScratch[:0]
	for _, stage := range s.waitingStages {
		if len(stage.waiting) == 0 {
			stage.queued = false
			continue
		}
		c := stage.repetition.candidate
		if c == nil {
			c = &candidate{job: stage.job}
			stage.repetition.candidate = c
		}
		if c.lastOrdering != s.orderingNumber {
			c.lastOrdering, c.level, c.stages = s.orderingNumber, stage.repetition.orderingLevel(now, stage.job), c.stages[:0]
			candidates = append(candidates, c)
		}
		c.stages = append(c.stages, stage)
	}
	clear(candidates[len(candidates):cap(candidates)]) // drop references to candidates of earlier orderings, whose jobs may have ended
	s.candidateScratch = candidates
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.job.Arrival, b.job.Arrival))
	})
	return candidates
}

// countSubjobs counts the candidate's waiting tasks, in total and per worker, and resets the queue lengths of these workers to
// their numbers of attempts. It is called only for candidates that are ranked by makespan, as there may be thousands of
// others.
func (c *candidate) countSubjobs() {
	c.taskCount, c.subjobs = 0, c.subjobs[:0]
	for _, stage := range c.stages {
		c.taskCount += len(stage.waiting)
		for _, task := range stage.waiting {
			c.addSubjob(task.boundTo)
		}
	}
	for _, part := range c.subjobs {
		part.worker.queueLength = float64(len(part.worker.attempts))
	}
}

// addSubjob counts one task that is bound to a worker. It ignores a nil worker.
func (c *candidate) addSubjob(worker *workerState) {
	if worker == nil {
		return
	}
	index := slices.IndexFunc(c.subjobs, func(p subjob) bool { return p.worker == worker })
	if index < 0 {
		c.subjobs = append(c.subjobs, subjob{worker: worker})
		index = len(c.subjobs) - 1
	}
	c.subjobs[index].taskCount++
}

// rankLevel ranks the candidates of one level and appends their stages to the queue in that order.
func (s *Scheduler) rankLevel(remaining []*candidate) {
	unranked := remaining[min(len(remaining), maxRankedPerLevel):]
	remaining = slices.Clone(remaining[:min(len(remaining), maxRankedPerLevel)])
	for len(remaining) > 0 {
		best, bestMakespan := 0, math.Inf(1)
		for i, c := range remaining {
			makespan := s.makespan(c, bestMakespan)
			if makespan < bestMakespan || makespan == bestMakespan && c.taskCount < remaining[best].taskCount {
				best, bestMakespan = i, makespan
			}
		}
		chosen := remaining[best]
		for _, part := range chosen.subjobs {
			part.worker.queueLength += float64(part.taskCount)
		}
		s.waitingStages = append(s.waitingStages, chosen.stages...)
		remaining = slices.Delete(remaining, best, best+1)
	}
	for _, c := range unranked {
		s.waitingStages = append(s.waitingStages, c.stages...)
	}
}

// makespan returns the makespan of a candidate in milliseconds, which is that of its slowest sub-job: (queue length + the
// sub-job's tasks) x the worker's latency. The computation ends early once the result exceeds the limit.
func (s *Scheduler) makespan(c *candidate, limit float64) float64 {
	longestMS := 0.0
	for _, part := range c.subjobs {
		if longestMS > limit {
			break
		}
		longestMS = max(longestMS, (part.worker.queueLength+float64(part.taskCount))*s.latencyMS(c.job, part.worker))
	}
	return longestMS
}
