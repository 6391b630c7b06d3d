package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// maxRanked bounds the jobs of one level that an ordering ranks by makespan; the rest follow in order of arrival.
const maxRanked = 64

// subjob is SWAG's sub-job: the tasks of one job that are bound to one worker.
type subjob struct {
	worker *workerState
	size   int
}

// candidate is one repetition of a job with tasks that wait. It is kept from one ordering to the next, so that orderings
// do not allocate.
type candidate struct {
	level          int // the lower goes first
	job            *jobState
	orderingNumber uint64 // the newest that it is part of
	stages         []*stageState
	subjobs        []subjob // by splitSubjobs
	size           int      // by splitSubjobs
}

// orderQueue sorts the stages that wait: by level, and within a level by SWAG's greedy order. Each worker's queue begins
// at our attempts there. Each step picks the job of least makespan (ties: the smaller job), and adds its tasks to the
// queues. It does nothing if the order is up to date.
func (s *Scheduler) orderQueue(now Now) {
	if !s.orderStale {
		return
	}
	s.orderStale = false
	levels := byLevel(s.waitingCandidates(now))
	for _, level := range levels {
		for _, c := range level[:min(len(level), maxRanked)] {
			c.splitSubjobs()
		}
	}
	s.waitingStages = s.waitingStages[:0]
	for _, level := range levels {
		s.rankLevel(level)
	}
}

// byLevel groups candidates that are sorted by level into those of each level.
func byLevel(candidates []*candidate) [][]*candidate {
	var levels [][]*candidate
	for begin := 0; begin < len(candidates); {
		end := begin
		for end < len(candidates) && candidates[end].level == candidates[begin].level {
			end++
		}
		levels = append(levels, candidates[begin:end])
		begin = end
	}
	return levels
}

// waitingCandidates lists the repetitions that wait by level and arrival, and drops stages without a waiting task.
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
		if c.orderingNumber != s.orderingNumber {
			c.orderingNumber, c.level, c.stages = s.orderingNumber, stage.repetition.orderingLevel(now, stage.job), c.stages[:0]
			candidates = append(candidates, c)
		}
		c.stages = append(c.stages, stage)
	}
	clear(candidates[len(candidates):cap(candidates)]) // those of earlier orderings may have ended
	s.candidateScratch = candidates
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.job.Arrival, b.job.Arrival))
	})
	return candidates
}

// splitSubjobs counts the tasks that wait, all of them and by worker, and resets the queues of those workers to our
// attempts there. It is done only for the candidates that are ranked by makespan: the others may be thousands.
func (c *candidate) splitSubjobs() {
	c.size, c.subjobs = 0, c.subjobs[:0]
	for _, stage := range c.stages {
		c.size += len(stage.waiting)
		for _, task := range stage.waiting {
			c.addSubjob(task.boundTo)
		}
	}
	for _, part := range c.subjobs {
		part.worker.queueLength = float64(len(part.worker.attempts))
	}
}

// addSubjob counts one task at the worker that it is bound to; nil for none.
func (c *candidate) addSubjob(bound *workerState) {
	if bound == nil {
		return
	}
	at := slices.IndexFunc(c.subjobs, func(p subjob) bool { return p.worker == bound })
	if at < 0 {
		c.subjobs = append(c.subjobs, subjob{worker: bound})
		at = len(c.subjobs) - 1
	}
	c.subjobs[at].size++
}

// rankLevel appends the stages of the jobs of one level to the queue, in their order.
func (s *Scheduler) rankLevel(remaining []*candidate) {
	rest := remaining[min(len(remaining), maxRanked):]
	remaining = slices.Clone(remaining[:min(len(remaining), maxRanked)])
	for len(remaining) > 0 {
		best, bestSpan := 0, math.Inf(1)
		for i, c := range remaining {
			span := s.makespan(c, bestSpan)
			if span < bestSpan || span == bestSpan && c.size < remaining[best].size {
				best, bestSpan = i, span
			}
		}
		chosen := remaining[best]
		for _, part := range chosen.subjobs {
			part.worker.queueLength += float64(part.size)
		}
		s.waitingStages = append(s.waitingStages, chosen.stages...)
		remaining = slices.Delete(remaining, best, best+1)
	}
	for _, c := range rest {
		s.waitingStages = append(s.waitingStages, c.stages...)
	}
}

// makespan is that of a job's slowest sub-job, in milliseconds: (queue + own tasks) x the worker's latency. One that
// exceeds the bound is not computed further.
func (s *Scheduler) makespan(c *candidate, bound float64) float64 {
	longest := 0.0
	for _, part := range c.subjobs {
		if longest > bound {
			break
		}
		longest = max(longest, (part.worker.queueLength+float64(part.size))*s.latencyMS(c.job, part.worker))
	}
	return longest
}
