package scheduler

import (
	"slices"
	"time"
)

const (
	paceWeight    = 0.25                   // weight of a new observation in a worker's drag
	paceLeast     = 500 * time.Millisecond // a run is watched for so long before its pace counts
	dragNormal    = 2.5                    // times the usual drag: above, a worker counts as slow
	crawlFactor   = 2.0                    // a run moves if it would end so many times later than elsewhere
	moveCost      = 300.0                  // milliseconds that a move takes besides its stop
	mostMoves     = 2                      // of one task
	dragForgotten = 0.05                   // share of a worker's drag that fades with each inspection
)

// observe takes the pace of a worker's runs into its drag: how many times longer than expected they take.
func (s *Scheduler) observe(now Now, r *run) {
	pace, known := r.pace(now)
	if !known {
		return
	}
	drag := pace / s.expectedMS(r.task.stage, r.at)
	if r.at.drag == 0 {
		r.at.drag = drag
	}
	r.at.drag += paceWeight * (drag - r.at.drag)
}

// pace is how long a whole run takes at the speed seen so far, in milliseconds.
func (r *run) pace(now Now) (float64, bool) {
	if !r.seen || r.inherited || r.stopping || r.task.stage.LongRunning {
		return 0, false
	}
	watched := r.listedAt.Sub(r.paceFrom)
	if watched < paceLeast || r.percent <= r.pacePercent || r.percentAt.Before(r.listedAt) {
		return 0, false
	}
	return float64(watched.Milliseconds()) * 100 / float64(r.percent-r.pacePercent), true
}

// slowdown is how much slower than usual a worker is; 1 for the usual.
func (s *Scheduler) slowdown(sr *worker) float64 {
	if sr.drag == 0 || s.usualDrag == 0 {
		return 1
	}
	return max(1, sr.drag/s.usualDrag)
}

// settleDrag works out the usual drag of workers, which is their median.
func (s *Scheduler) settleDrag() {
	s.drags = s.drags[:0]
	for _, sr := range s.list {
		if sr.drag > 0 && sr.reachable {
			s.drags = append(s.drags, sr.drag)
		}
	}
	s.usualDrag = median(s.drags)
	for _, sr := range s.list {
		if sr.drag > 0 {
			sr.drag += dragForgotten * (s.usualDrag - sr.drag)
		}
	}
}

// median sorts values and returns the middle one; 0 if there is none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// crawls tells whether a run is so slow that it ends sooner if it is stopped and started elsewhere.
func (s *Scheduler) crawls(now Now, r *run) bool {
	stage := r.task.stage
	if stage.GangScheduled || r.task.done || len(r.task.runs) > 1 || r.task.moves >= mostMoves {
		return false
	}
	pace, known := r.pace(now)
	if !known || s.slowdown(r.at) < dragNormal {
		return false
	}
	rest := pace * float64(100-r.percent) / 100
	anew := s.expectedMS(stage, r.at)*max(1, s.usualDrag) + moveCost + float64(s.settings.StopTime.Milliseconds())
	if stage.Checkpoints && r.checkpoint != "" {
		anew = anew*float64(100-r.percent)/100 + float64(s.settings.RestoreTime.Milliseconds())
	}
	if rest < crawlFactor*anew {
		return false
	}
	r.task.moves++
	return true
}
