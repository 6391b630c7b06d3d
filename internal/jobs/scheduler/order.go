package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// mostOrdered bounds the jobs that one recomputation ranks by makespan; the rest follow in order of arrival.
const mostOrdered = 64

// subjob is the tasks of one job that wait at one worker.
type subjob struct {
	at   *worker
	size int
}

// candidate is one repetition of a job with tasks that wait. It is kept from one ordering to the next.
type candidate struct {
	level    int // the lower goes first
	job      *jobState
	ordering uint64 // the newest that it is part of
	stages   []*stageRun
	parts    []subjob // by divide
	size     int      // by divide
}

// reorder sorts the stages that wait: by level, and within a level by SWAG's greedy order. Each worker's queue
// begins at our runs there. Each step picks the job whose largest makespan over its workers is least (ties: the
// smaller job), and adds its tasks to the queues.
func (s *Scheduler) reorder(now Now) {
	if !s.unsorted {
		return
	}
	s.unsorted = false
	levels := byLevel(s.candidates(now))
	for _, level := range levels {
		for _, c := range level[:min(len(level), mostOrdered)] {
			c.divide()
		}
	}
	s.stages = s.stages[:0]
	for _, level := range levels {
		s.rank(level)
	}
}

// byLevel cuts candidates that are sorted by level into those of each level.
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

// candidates lists the repetitions that wait by level and arrival, and drops stages without a waiting task.
func (s *Scheduler) candidates(now Now) []*candidate {
	s.ordering++
	candidates := s.waiting[:0]
	for _, stage := range s.stages {
		if len(stage.waiting) == 0 {
			stage.listed = false
			continue
		}
		c := stage.repetition.ranked
		if c == nil {
			c = &candidate{job: stage.job}
			stage.repetition.ranked = c
		}
		if c.ordering != s.ordering {
			c.ordering, c.level, c.stages = s.ordering, stage.repetition.level(now, stage.job), c.stages[:0]
			candidates = append(candidates, c)
		}
		c.stages = append(c.stages, stage)
	}
	clear(candidates[len(candidates):cap(candidates)]) // those of earlier orderings may have ended
	s.waiting = candidates
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.job.Arrival, b.job.Arrival))
	})
	return candidates
}

// divide counts the tasks that wait, all and at each worker, and lets the queues of these workers begin at our runs there.
// It is done for those candidates alone that are ranked by makespan: the others may be thousands.
func (c *candidate) divide() {
	c.size, c.parts = 0, c.parts[:0]
	for _, stage := range c.stages {
		c.size += len(stage.waiting)
		for _, t := range stage.waiting {
			c.addPart(t.bound)
		}
	}
	for _, part := range c.parts {
		part.at.queue = float64(len(part.at.runs))
	}
}

// addPart counts one task at the worker that it is bound to; nil for none.
func (c *candidate) addPart(bound *worker) {
	if bound == nil {
		return
	}
	at := slices.IndexFunc(c.parts, func(p subjob) bool { return p.at == bound })
	if at < 0 {
		c.parts = append(c.parts, subjob{at: bound})
		at = len(c.parts) - 1
	}
	c.parts[at].size++
}

// rank appends the stages of jobs of one level in their order.
func (s *Scheduler) rank(left []*candidate) {
	rest := left[min(len(left), mostOrdered):]
	left = slices.Clone(left[:min(len(left), mostOrdered)])
	for len(left) > 0 {
		best, bestSpan := 0, math.Inf(1)
		for i, c := range left {
			span := s.makespan(c, bestSpan)
			if span < bestSpan || span == bestSpan && c.size < left[best].size {
				best, bestSpan = i, span
			}
		}
		chosen := left[best]
		for _, part := range chosen.parts {
			part.at.queue += float64(part.size)
		}
		s.stages = append(s.stages, chosen.stages...)
		left = slices.Delete(left, best, best+1)
	}
	for _, c := range rest {
		s.stages = append(s.stages, c.stages...)
	}
}

// makespan is a job's slowest sub-job: queue and own tasks times the worker's latency. One that exceeds the bound is
// not worked out further.
func (s *Scheduler) makespan(c *candidate, bound float64) float64 {
	longest := 0.0
	for _, part := range c.parts {
		if longest > bound {
			break
		}
		longest = max(longest, (part.at.queue+float64(part.size))*s.latency(c.job, part.at))
	}
	return longest
}

// latency is a worker's smoothed latency in milliseconds. An unheard one counts as average, and where all are
// unheard latency starts from the objective of the job's queue.
func (s *Scheduler) latency(j *jobState, sr *worker) float64 {
	if sr.latency > 0 {
		return sr.latency
	}
	if s.heard > 0 {
		return s.heardSum / float64(s.heard)
	}
	return max(1, float64(j.Queue.TargetLatencyMS))
}
