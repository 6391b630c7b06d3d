package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

const (
	windowStart   = 4.0   // runs that one worker may have at first
	windowMost    = 256.0 // its capacity is what bounds it then
	windowLeast   = 1.0
	latencyWeight = 0.2  // weight of a new duration in a worker's smoothed latency
	faultWeight   = 0.25 // weight of a new end in a worker's share of faults
	usualUpTo     = 3.0  // times the expected duration: an end within widens the window

	stallLeast   = 800 * time.Millisecond // a run that makes no progress for so long may have stalled
	stallOfGang  = 2 * time.Second        // more where the run may not have begun
	stallShare   = 0.24                   // and for this share of its expected duration
	restOfStalls = 4 * time.Second        // no starts at a worker on which a run has stalled
)

// learn takes a run's end into its worker's window, latency and share of faults.
func (s *Scheduler) learn(now Now, r *run, how job.How) {
	sr := r.at
	switch how {
	case job.Done:
		took := float64(now.Steady.Sub(r.orderedAt).Milliseconds())
		if r.inherited {
			return
		}
		s.hear(sr, took)
		sr.faults -= faultWeight * sr.faults
		if took <= usualUpTo*s.expectedMS(r.task.stage, sr) {
			sr.window = min(windowMost, sr.window+1)
		}
	case job.Failure:
		if len(r.task.failed) > 0 || r.stopping {
			return // the task itself may be at fault
		}
		sr.faults += faultWeight * (1 - sr.faults)
		sr.window = max(windowLeast, sr.window/2)
	}
}

// hear takes a duration in milliseconds into a worker's smoothed latency.
func (s *Scheduler) hear(sr *worker, took float64) {
	if sr.latency == 0 {
		sr.latency = max(1, took)
		s.heard++
		s.heardSum += sr.latency
		return
	}
	change := latencyWeight * (took - sr.latency)
	sr.latency += change
	s.heardSum += change
}

// unhear forgets a worker's latency.
func (s *Scheduler) unhear(sr *worker) {
	if sr.latency > 0 {
		s.heard--
		s.heardSum -= sr.latency
		sr.latency = 0
	}
}

// expectedMS is how long a run of a stage takes at a worker, by the client's estimate.
func (s *Scheduler) expectedMS(stage *stageRun, sr *worker) float64 {
	return max(1, float64(stage.EstimatedDurationMS)) * s.distance(stage, sr)
}

// distance is the factor by which a task takes longer away from its data.
func (s *Scheduler) distance(stage *stageRun, sr *worker) float64 {
	if stage.Affinity == "" || stage.Affinity == sr.rack || sr.hasLabel(stage.Affinity) {
		return 1
	}
	return max(1, s.settings.FarFactor)
}

// remainingMS estimates how long a run still takes.
func (s *Scheduler) remainingMS(now Now, r *run) float64 {
	expected := s.expectedMS(r.task.stage, r.at)
	elapsed := float64(now.Steady.Sub(r.orderedAt).Milliseconds())
	if r.percent > 0 && r.percent < 100 {
		return elapsed * float64(100-r.percent) / float64(r.percent)
	}
	return max(0, expected-elapsed)
}

// inspectRuns stops runs that stand still, and members of gangs that were given up.
func (s *Scheduler) inspectRuns(now Now) {
	s.settleDrag()
	for _, sr := range s.list {
		if len(sr.runs) > 0 {
			for _, r := range sr.sortedRuns() {
				s.inspect(now, r)
			}
		}
		if !sr.reachable && sr.fencedAt.IsZero() {
			s.Lapsed(now, sr.ID)
		}
	}
}

func (s *Scheduler) inspect(now Now, r *run) {
	stage := r.task.stage
	if r.stopping {
		return
	}
	if r.task.stage.job.over && !stage.GangScheduled {
		s.stop(r)
		return
	}
	if stage.GangScheduled && r.execution <= stage.broken && now.Steady.Sub(stage.brokenAt) > brokenPatience {
		s.stop(r)
		return
	}
	if s.crawls(now, r) {
		r.task.shun(r.at)
		s.stop(r)
		return
	}
	if s.stalled(r) {
		r.at.restUntil = now.Steady.Add(restOfStalls)
		r.at.window = max(windowLeast, r.at.window/2)
		s.stop(r)
	}
}

// stalled tells whether a run makes no progress.
func (s *Scheduler) stalled(r *run) bool {
	stage := r.task.stage
	if !r.seen || r.percentAt.IsZero() || stage.LongRunning || r.task.done {
		return false
	}
	patience := max(stallLeast, time.Duration(stallShare*s.expectedMS(stage, r.at))*time.Millisecond)
	if stage.GangScheduled && r.percent == 0 {
		patience += stallOfGang // it begins once all members are there
	}
	return r.listedAt.Sub(r.percentAt) > patience
}
