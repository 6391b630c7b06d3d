package cluster

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// attempt is one attempt of a task at a worker. The cluster's lock guards it.
type attempt struct {
	worker           *Worker
	incarnation      *incarnation
	record           AttemptRecord
	profile          Profile
	completionNumber uint64 // number of its completion

	working          bool
	progressStart    time.Time     // when it started to make progress
	restoredProgress time.Duration // progress in the checkpoint that it started with
	lastCheckpoint   string        // the last completed checkpoint
	cancelTimer      func()        // cancels its timer; nil without a timer
}

// begin adds the attempt to its worker. A member of a gang starts to work when all members are there.
func (r *attempt) begin() {
	r.incarnation.running = append(r.incarnation.running, r)
	r.worker.cluster.attempts = append(r.worker.cluster.attempts, r)
	r.restoredProgress, r.lastCheckpoint = progressOf(r.record.Checkpoint), r.record.Checkpoint
	if r.profile.GangSize == 0 {
		r.startWork()
		return
	}
	members := r.gang()
	if len(members) < r.profile.GangSize {
		r.schedule(r.worker.cluster.settings.GangTimeout, func() { r.end(job.OutcomeGangIncomplete) })
		return
	}
	for _, member := range members {
		member.startWork()
	}
}

// startWork starts the attempt's progress, after the time to restore a checkpoint if it has one.
func (r *attempt) startWork() {
	restore := time.Duration(0)
	if r.record.Checkpoint != "" {
		restore = r.worker.cluster.settings.RestoreDuration
	}
	r.working = true
	r.progressStart = r.worker.cluster.clock.Now().Add(restore)
	r.setTimer(nil)
	if r.profile.Duration > 0 {
		r.schedule(restore+max(0, r.profile.Duration-r.restoredProgress), func() { r.finish(r.configuredOutcome()) })
	}
}

func (r *attempt) configuredOutcome() job.Outcome {
	if r.profile.Outcome == "" {
		return job.OutcomeDone
	}
	return r.profile.Outcome
}

// schedule replaces the attempt's timer. When it fires, f is called with the cluster's lock held.
func (r *attempt) schedule(delay time.Duration, f func()) {
	c := r.worker.cluster
	cancel := c.clock.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if r.record.EndedAt.IsZero() && r.cancelTimer != nil {
			f()
		}
	})
	r.setTimer(cancel)
}

func (r *attempt) setTimer(cancel func()) {
	if r.cancelTimer != nil {
		r.cancelTimer()
	}
	r.cancelTimer = cancel
}

// finish ends the attempt with an outcome of its task. If the outcome is done, all members of its gang end with it.
func (r *attempt) finish(outcome job.Outcome) {
	members := []*attempt{r}
	if outcome == job.OutcomeDone && r.profile.GangSize > 0 {
		members = r.gang()
	}
	for _, member := range members {
		member.end(outcome)
	}
}

// end removes the attempt from its worker and adds a completion. Unless the outcome is done, it breaks the attempt's gang.
func (r *attempt) end(outcome job.Outcome) {
	if !r.record.EndedAt.IsZero() {
		return
	}
	r.lastCheckpoint = r.checkpoint(outcome == job.OutcomeStopped)
	r.remove()
	r.record.EndedAt, r.record.Outcome = r.worker.cluster.clock.Now(), outcome
	r.incarnation.lastCompletion++
	r.completionNumber = r.incarnation.lastCompletion
	r.incarnation.completions = append(r.incarnation.completions, r)
	r.incarnation.highestFinished[r.record.Task] = max(r.incarnation.highestFinished[r.record.Task], r.record.Number)
	for waiter := range r.incarnation.waiters {
		close(waiter)
		delete(r.incarnation.waiters, waiter)
	}
	if outcome != job.OutcomeDone {
		r.breakGang()
	}
}

// breakGang ends the other members of the attempt's gang if the gang had started to work.
func (r *attempt) breakGang() {
	if r.profile.GangSize == 0 || !r.working {
		return
	}
	for _, member := range r.gang() {
		member.end(job.OutcomeGangBroken)
	}
}

func (r *attempt) remove() {
	r.setTimer(nil)
	r.incarnation.running = slices.DeleteFunc(r.incarnation.running, func(other *attempt) bool { return other == r })
}

// gang returns the members of the attempt's gang that are running now, at any worker.
func (r *attempt) gang() []*attempt {
	var members []*attempt
	for _, worker := range r.worker.cluster.workers {
		for _, other := range worker.incarnation.running {
			a, b := other.record, r.record
			a.Task.Index, b.Task.Index = 0, 0
			if a.Task == b.Task && a.Number == b.Number {
				members = append(members, other)
			}
		}
	}
	return members
}

// stop ends the attempt after StopDuration.
func (r *attempt) stop() {
	if r.worker.cluster.settings.StopDuration == 0 {
		r.end(job.OutcomeStopped)
		return
	}
	r.schedule(r.worker.cluster.settings.StopDuration, func() { r.end(job.OutcomeStopped) })
}

// progress returns the work done so far, including the work restored from a checkpoint.
func (r *attempt) progress() time.Duration {
	if !r.working {
		return r.restoredProgress
	}
	return r.restoredProgress + max(0, r.worker.cluster.clock.Now().Sub(r.progressStart))
}

func (r *attempt) percent() int {
	if r.profile.Duration == 0 {
		return 0
	}
	return int(min(99, 100*r.progress()/r.profile.Duration))
}

// checkpoint returns the newest checkpoint: one of the current progress with now, else the last periodic one.
func (r *attempt) checkpoint(now bool) string {
	every := r.worker.cluster.settings.CheckpointInterval
	if !r.profile.WritesCheckpoints || !r.working || every == 0 && !now {
		return r.lastCheckpoint
	}
	progress := r.progress()
	if !now {
		progress = r.restoredProgress + (progress - r.restoredProgress).Truncate(every)
	}
	if progress == r.restoredProgress {
		return r.lastCheckpoint
	}
	return checkpointText(r.record.Task, progress)
}

// checkpointText encodes the progress in milliseconds, followed by a digest of the task's ID.
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
