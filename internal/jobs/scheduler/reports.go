package scheduler

import (
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// LateOrders is how long after it was sent an unanswered order may still be carried out.
const LateOrders = 12500 * time.Millisecond

const (
	restAfterUnhealthy = time.Second            // no starts at a worker that turned one away as unhealthy
	restAfterFull      = 300 * time.Millisecond // nor at one that had less room than we thought
	restAfterMisstart  = 100 * time.Millisecond // of a task whose start went wrong
	mostAvoided        = 4                      // workers that a task avoids
	brokenPatience     = 700 * time.Millisecond // until the members of a broken gang are stopped by order
)

// Listing takes a worker's report of what runs there and what has ended.
func (s *Scheduler) Listing(now Now, report *workerclient.Listing) {
	sr := s.workers[report.Worker]
	if sr == nil {
		return
	}
	if sr.fencedAt.IsZero() || !sr.reachable {
		sr.reachable = true
		s.bindAll(now)
	}
	if sr.fencedAt.IsZero() {
		sr.fencedAt = now.Steady
	}
	sr.fullUntil = time.Time{}
	for i := range report.Finished {
		s.noteEnd(now, sr, &report.Finished[i])
	}
	if !report.Stale { // a newer report has said what runs there
		listed := s.listRunning(now, sr, report)
		if !report.Partial {
			s.missing(now, sr, report, listed)
		}
	}
	s.unplaced = true
}

// listRunning matches the running list with our runs and stops what nobody wants.
func (s *Scheduler) listRunning(now Now, sr *worker, report *workerclient.Listing) map[job.TaskID]bool {
	if len(report.Running) == 0 {
		sr.orphans = nil
		return nil
	}
	listed := make(map[job.TaskID]bool, len(report.Running))
	var orphans map[orphan]bool
	for i := range report.Running {
		entry := &report.Running[i]
		r := sr.runs[entry.Task]
		if r != nil && r.execution == entry.Execution {
			listed[entry.Task] = true
			s.progressed(now, r, entry)
			continue
		}
		key := orphan{entry.Task, entry.Execution}
		if orphans == nil {
			orphans = map[orphan]bool{}
		}
		orphans[key] = true
		if !sr.orphans[key] {
			order := &workerclient.StopOrder{Task: entry.Task, Execution: entry.Execution}
			s.effects.Orders = append(s.effects.Orders, Order{Worker: sr.ID, Stop: order})
		}
	}
	sr.orphans = orphans
	return listed
}

func (s *Scheduler) progressed(now Now, r *run, entry *workerclient.RunningTask) {
	if !r.seen {
		r.seen = true
		r.paceFrom, r.pacePercent = now.Steady, entry.Percent
	}
	r.listedAt = now.Steady
	if entry.Percent > r.percent || r.percentAt.IsZero() {
		r.percent = entry.Percent
		r.percentAt = now.Steady
	}
	if entry.Checkpoint != "" {
		r.checkpoint = entry.Checkpoint
	}
	s.observe(now, r)
}

// missing settles the runs that a report should have listed and did not.
func (s *Scheduler) missing(now Now, sr *worker, report *workerclient.Listing, listed map[job.TaskID]bool) {
	if len(sr.runs) == len(listed) {
		return // each one of listed is one of ours
	}
	for _, r := range sr.sortedRuns() {
		if listed[r.task.id] {
			continue
		}
		answered := !r.answeredAt.IsZero() && r.answeredAt.Before(report.SentAt)
		stopped := !r.stoppedAt.IsZero() && r.stoppedAt.Before(report.SentAt)
		switch {
		case r.inherited, answered, stopped:
			s.over(now, r)
		case !r.unclearAt.IsZero() && r.unclearAt.Before(report.SentAt):
			s.stop(r) // from then on a start that comes late is rejected
		}
	}
}

// noteEnd takes one entry of a worker's list of ends.
func (s *Scheduler) noteEnd(now Now, sr *worker, end *workerclient.FinishedTask) {
	if end.Number <= sr.noted {
		return
	}
	sr.noted = end.Number
	s.noteLast(sr)
	r := sr.runs[end.Task]
	if r != nil && r.execution != end.Execution {
		r = nil
	}
	if r != nil {
		s.learn(now, r, end.How)
		s.remove(r)
	}
	t := s.find(end.Task)
	if t == nil || t.done {
		return
	}
	if end.Checkpoint != "" {
		t.keepCheckpoint(end.Checkpoint)
	}
	switch {
	case t.stage.LongRunning:
		s.again(now, t, end.Execution) // started again however it ends
	case end.How == job.Done && (r != nil || len(t.runs) == 0 || t.stage.AtLeastOnce):
		s.succeed(now, t)
	case end.How == job.Failure:
		s.fail(now, t, sr, end.Execution)
	case r != nil:
		s.again(now, t, end.Execution)
	}
}

func (s *Scheduler) noteLast(sr *worker) {
	for i := range s.effects.Noted {
		if s.effects.Noted[i].Worker == sr.ID {
			s.effects.Noted[i].Number = sr.noted
			return
		}
	}
	s.effects.Noted = append(s.effects.Noted, Noted{Worker: sr.ID, Number: sr.noted})
}

// keepCheckpoint notes the newest checkpoint, for the whole gang if the task is a member of one.
func (t *task) keepCheckpoint(checkpoint string) {
	if !t.stage.Checkpoints {
		return
	}
	if !t.stage.GangScheduled {
		t.checkpoint = checkpoint
		return
	}
	for _, member := range t.stage.tasks {
		member.checkpoint = checkpoint
	}
}

func (s *Scheduler) succeed(now Now, t *task) {
	if !t.stage.GangScheduled {
		s.finish(now, t)
		return
	}
	for _, member := range t.stage.tasks { // one such end counts for all members
		s.finish(now, member)
	}
}

// fail counts a run that ended failed; the job fails with the last attempt.
func (s *Scheduler) fail(now Now, t *task, sr *worker, execution uint64) {
	counter := t
	if t.stage.GangScheduled {
		counter = t.stage.tasks[0]
	}
	if !slices.Contains(counter.failed, execution) {
		counter.failed = append(counter.failed, execution)
	}
	if !t.stage.LongRunning && len(counter.failed) >= max(1, t.stage.job.Queue.MaxAttempts) {
		s.endJob(now, t.stage.job, job.Failed)
		return
	}
	if counter != t {
		s.writeTask(counter)
	}
	t.shun(sr)
	s.again(now, t, execution)
}

// shun lets a task start elsewhere rather than where it has just failed.
func (t *task) shun(sr *worker) {
	t.avoid = append(t.avoid, sr.ID)
	if len(t.avoid) > mostAvoided {
		t.avoid = t.avoid[1:]
	}
}

// again lets a task wait for another run once no run of it is under way.
func (s *Scheduler) again(now Now, t *task, execution uint64) {
	if t.done || t.stage.job.over {
		return
	}
	s.writeTask(t)
	if t.stage.GangScheduled {
		s.breakGang(now, t.stage, execution)
	}
	for _, r := range t.runs {
		if !r.released {
			return
		}
	}
	s.wait(now, t)
}

// breakGang notes that one run of a gang is given up. Its members end by themselves; inspectRuns stops those that do not.
func (s *Scheduler) breakGang(now Now, stage *stageRun, execution uint64) {
	if execution <= stage.broken {
		return
	}
	stage.broken = execution
	stage.brokenAt = now.Steady
}

// over ends a run that is certainly not under way any more, without an end listed.
func (s *Scheduler) over(now Now, r *run) {
	t := r.task
	s.remove(r)
	if t.done || t.stage.job.over {
		return
	}
	if r.checkpoint != "" {
		t.keepCheckpoint(r.checkpoint)
	}
	s.again(now, t, r.execution)
}

// remove forgets a run.
func (s *Scheduler) remove(r *run) {
	sr := r.at
	if sr.runs[r.task.id] != r {
		return
	}
	delete(sr.runs, r.task.id)
	sr.used = sr.used.Subtract(r.task.stage.Resources)
	r.task.runs = slices.DeleteFunc(r.task.runs, func(other *run) bool { return other == r })
	s.unsorted = true
}

// StartResult takes what became of a start.
func (s *Scheduler) StartResult(now Now, result *workerclient.StartResult) {
	sr := s.workers[result.Worker]
	if sr == nil {
		return
	}
	r := sr.runs[result.Order.Task]
	if r == nil || r.execution != result.Order.Execution {
		return
	}
	switch result.Outcome {
	case workerclient.Started:
		r.answeredAt = result.At
		sr.window = min(windowMost, sr.window+1)
		return
	case workerclient.Unclear:
		r.unclearAt = result.At
		return
	case workerclient.RejectedFence:
		return // this leadership is over
	case workerclient.RejectedRoom:
		sr.fullUntil = now.Steady.Add(restAfterFull)
	case workerclient.Unhealthy:
		sr.restUntil = now.Steady.Add(restAfterUnhealthy)
		sr.faults += faultWeight * (1 - sr.faults)
	case workerclient.RejectedInvalid:
		r.task.shun(sr)
	}
	r.task.notBefore = now.Steady.Add(restAfterMisstart)
	s.over(now, r)
	s.unplaced = true
}

// StopResult takes that a stop was answered: the run has ended or is ending, or will never begin.
func (s *Scheduler) StopResult(now Now, result *workerclient.StopResult) {
	sr := s.workers[result.Worker]
	if sr == nil || !result.Answered {
		return
	}
	if r := sr.runs[result.Order.Task]; r != nil && r.execution == result.Order.Execution {
		r.stoppedAt = result.At
	}
}

// Reachable takes whether a worker answers.
func (s *Scheduler) Reachable(now Now, id workerclient.WorkerID, reachable bool) {
	sr := s.workers[id]
	if sr == nil {
		return
	}
	sr.reachable = reachable
	if !reachable {
		for _, r := range sr.sortedRuns() {
			s.release(now, r)
		}
		s.rebind(now, sr)
	}
	s.unplaced = true
}

// release lets the task of an unreachable run start elsewhere at once, where copies may run side by side.
func (s *Scheduler) release(now Now, r *run) {
	if !r.task.stage.AtLeastOnce || r.released || r.stopping || r.task.done || r.task.stage.GangScheduled {
		return
	}
	r.released = true
	s.again(now, r.task, r.execution)
}

// Gone takes that a worker's life is over: nothing runs there any more.
func (s *Scheduler) Gone(now Now, id workerclient.WorkerID) {
	sr := s.workers[id]
	if sr == nil {
		return
	}
	s.clear(now, sr)
	s.gone[id] = true
	s.unhear(sr)
	delete(s.workers, id)
	s.list = slices.DeleteFunc(s.list, func(other *worker) bool { return other == sr })
	sr.reachable = false
	s.rebind(now, sr)
	s.unplaced = true
}

// Lapsed takes that everything granted to an unreachable worker under this leadership has run out.
func (s *Scheduler) Lapsed(now Now, id workerclient.WorkerID) {
	sr := s.workers[id]
	if sr == nil || sr.reachable || now.Steady.Before(s.inheritedUntil(sr)) {
		return
	}
	if len(sr.runs) > 0 {
		s.clear(now, sr)
		s.unplaced = true
	}
}

// inheritedUntil is when everything that earlier leaderships granted to a worker has run out.
func (s *Scheduler) inheritedUntil(sr *worker) time.Time {
	hold := s.settings.HoldMax + s.settings.HoldMax/20 // its clock may run 2% slow
	if !sr.fencedAt.IsZero() {
		return sr.fencedAt.Add(hold)
	}
	return s.startedAt.Add(LateOrders + hold)
}

// clear ends all runs at a worker.
func (s *Scheduler) clear(now Now, sr *worker) {
	for _, r := range sr.sortedRuns() {
		s.over(now, r)
	}
	sr.orphans = nil
}

// sortedRuns lists the runs in a stable order, so that the same events give the same effects.
func (sr *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(sr.runs))
	for _, r := range sr.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareTasks(a.task.id, b.task.id) })
	return runs
}
