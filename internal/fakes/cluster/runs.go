package cluster

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// run is one run of a task at a worker. It is guarded by the cluster's lock.
type run struct {
	worker      *Worker
	incarnation *incarnation
	record      RunRecord
	profile     Profile
	number      uint64 // of its end

	working  bool
	workFrom time.Time     // when it began to make progress
	base     time.Duration // the progress that its checkpoint brought
	saved    string        // the last checkpoint
	cancel   func()        // the timer of its next change
}

// begin adds a run to its worker.
func (r *run) begin() {
	r.incarnation.running = append(r.incarnation.running, r)
	r.worker.cluster.runs = append(r.worker.cluster.runs, r)
	r.base, r.saved = progressOf(r.record.Checkpoint), r.record.Checkpoint
	if r.profile.Gang == 0 {
		r.work()
		return
	}
	members := r.gang()
	if len(members) < r.profile.Gang {
		r.after(r.worker.cluster.settings.GangWait, func() { r.end(job.OutcomeGangIncomplete) })
		return
	}
	for _, member := range members {
		member.work()
	}
}

// work starts to make progress.
func (r *run) work() {
	restore := time.Duration(0)
	if r.record.Checkpoint != "" {
		restore = r.worker.cluster.settings.Restore
	}
	r.working = true
	r.workFrom = r.worker.cluster.clock.Now().Add(restore)
	r.setTimer(nil)
	if r.profile.Duration > 0 {
		r.after(restore+max(0, r.profile.Duration-r.base), func() { r.finish(r.ownOutcome()) })
	}
}

func (r *run) ownOutcome() job.Outcome {
	if r.profile.Ends == "" {
		return job.OutcomeDone
	}
	return r.profile.Ends
}

// after replaces the run's timer.
func (r *run) after(delay time.Duration, f func()) {
	c := r.worker.cluster
	cancel := c.clock.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if r.record.EndedAt.IsZero() && r.cancel != nil {
			f()
		}
	})
	r.setTimer(cancel)
}

func (r *run) setTimer(cancel func()) {
	if r.cancel != nil {
		r.cancel()
	}
	r.cancel = cancel
}

// finish ends a run by itself; the members of a gang end done together.
func (r *run) finish(how job.Outcome) {
	members := []*run{r}
	if how == job.OutcomeDone && r.profile.Gang > 0 {
		members = r.gang()
	}
	for _, member := range members {
		member.end(how)
	}
}

// end takes a run off its worker and lists its end.
func (r *run) end(how job.Outcome) {
	if !r.record.EndedAt.IsZero() {
		return
	}
	r.saved = r.checkpoint(how == job.OutcomeStopped)
	r.remove()
	r.record.EndedAt, r.record.Outcome = r.worker.cluster.clock.Now(), how
	r.incarnation.lastCompletion++
	r.number = r.incarnation.lastCompletion
	r.incarnation.completions = append(r.incarnation.completions, r)
	r.incarnation.barred[r.record.Task] = max(r.incarnation.barred[r.record.Task], r.record.Execution)
	for waiter := range r.incarnation.waiters {
		close(waiter)
		delete(r.incarnation.waiters, waiter)
	}
	if how != job.OutcomeDone {
		r.breakGang()
	}
}

// breakGang ends the other members of a gang that was at work.
func (r *run) breakGang() {
	if r.profile.Gang == 0 || !r.working {
		return
	}
	for _, member := range r.gang() {
		member.end(job.OutcomeGangBroken)
	}
}

func (r *run) remove() {
	r.setTimer(nil)
	r.incarnation.running = slices.DeleteFunc(r.incarnation.running, func(other *run) bool { return other == r })
}

// gang is the members of its gang that are there now.
func (r *run) gang() []*run {
	var members []*run
	for _, worker := range r.worker.cluster.workers {
		for _, other := range worker.incarnation.running {
			a, b := other.record, r.record
			a.Task.Index, b.Task.Index = 0, 0
			if a.Task == b.Task && a.Execution == b.Execution {
				members = append(members, other)
			}
		}
	}
	return members
}

// stop ends a run after the time that a stop takes.
func (r *run) stop() {
	if r.worker.cluster.settings.StopTime == 0 {
		r.end(job.OutcomeStopped)
		return
	}
	r.after(r.worker.cluster.settings.StopTime, func() { r.end(job.OutcomeStopped) })
}

// progress is the work done so far, that of earlier runs included.
func (r *run) progress() time.Duration {
	if !r.working {
		return r.base
	}
	return r.base + max(0, r.worker.cluster.clock.Now().Sub(r.workFrom))
}

func (r *run) percent() int {
	if r.profile.Duration == 0 {
		return 0
	}
	return int(min(99, 100*r.progress()/r.profile.Duration))
}

// checkpoint is the newest one: of the last time to save, or of this moment.
func (r *run) checkpoint(now bool) string {
	every := r.worker.cluster.settings.SaveEvery
	if !r.profile.Checkpoints || !r.working || every == 0 && !now {
		return r.saved
	}
	progress := r.progress()
	if !now {
		progress = r.base + (progress - r.base).Truncate(every)
	}
	if progress == r.base {
		return r.saved
	}
	return checkpointText(r.record.Task, progress)
}

// checkpointText writes the work done, in milliseconds, and a digest of the task.
func checkpointText(task job.TaskID, progress time.Duration) string {
	digest := fnv.New32a()
	digest.Write([]byte(task.String()))
	return fmt.Sprintf("%08x%08x", progress.Milliseconds(), digest.Sum32())
}

func progressOf(checkpoint string) time.Duration {
	if len(checkpoint) < 8 {
		return 0
	}
	milliseconds, err := strconv.ParseUint(checkpoint[:8], 16, 32)
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}
