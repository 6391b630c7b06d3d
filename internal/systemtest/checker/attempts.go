package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// checkRequested checks that an attempt belongs to a submitted task and has the job's specification and a checkpoint of the
// task. It reports whether the task was submitted.
func (c *checker) checkRequested(r *attemptRecord) bool {
	if !r.requested {
		c.report(Unrequested, r.Task, r.StartedAt, "no client sent such a task")
		return false
	}
	if r.Specification != r.job.spec.Text {
		c.report(Unrequested, r.Task, r.StartedAt, "started with another specification")
	}
	if r.Checkpoint != "" && !c.ownCheckpoint(r) {
		c.report(Unrequested, r.Task, r.StartedAt, "started with checkpoint "+r.Checkpoint+", which is not the task's")
	}
	if r.stage.GangScheduled {
		c.checkSameCheckpoint(r)
	}
	return true
}

// ownCheckpoint reports whether a worker reported the checkpoint for the task, or for any member of its gang.
func (c *checker) ownCheckpoint(r *attemptRecord) bool {
	for _, checkpoint := range c.Checkpoints {
		owner, ok := parseTask(checkpoint.Task)
		if !ok || checkpoint.Text != r.Checkpoint {
			continue
		}
		if owner == r.task || r.stage.GangScheduled && owner.firstOfStage() == r.task.firstOfStage() {
			return true
		}
	}
	return false
}

func (c *checker) checkSameCheckpoint(r *attemptRecord) {
	for index := range r.task.index {
		member := r.task
		member.index = index
		for _, other := range c.byTask[member] {
			if other.Number == r.Number && other.Checkpoint != r.Checkpoint {
				c.report(Unrequested, r.Task, r.StartedAt, "members of one gang were started with different checkpoints")
				return
			}
		}
	}
}

// checkCapacity checks that the attempts at a worker fit its capacity, if the worker does not enforce its capacity itself.
func (c *checker) checkCapacity(r *attemptRecord) {
	worker := c.workers[r.Worker]
	if worker == nil || worker.EnforcesCapacity {
		return
	}
	used := r.stage.Resources
	for _, other := range c.byWorker[r.Worker] {
		if other != r && other.requested && !other.StartedAt.After(r.StartedAt) && other.endOrFarFuture().After(r.StartedAt) {
			used.Processors += other.stage.Processors
			used.MemoryMB += other.stage.MemoryMB
			used.Accelerators += other.stage.Accelerators
		}
	}
	capacity := worker.Capacity
	if used.Processors > capacity.Processors || used.MemoryMB > capacity.MemoryMB || used.Accelerators > capacity.Accelerators {
		c.report(OverCapacity, r.Task, r.StartedAt, fmt.Sprintf("the attempts at %s use %+v of its capacity %+v", r.Worker, used, capacity))
	}
}

// checkConcurrentAttempts checks that no other attempt of the task runs when an attempt starts.
func (c *checker) checkConcurrentAttempts(r *attemptRecord) {
	if r.stage.AtLeastOnce {
		return
	}
	for _, other := range c.byTask[r.task] {
		if other == r || other.StartedAt.After(r.StartedAt) || !other.endOrFarFuture().After(r.StartedAt) {
			continue
		}
		if other.StartedAt.Equal(r.StartedAt) && other.Number > r.Number {
			continue // reported for the other attempt
		}
		c.report(DuplicateAttempt, r.Task, r.StartedAt, fmt.Sprintf("attempt %d starts at %s while attempt %d runs at %s", r.Number, r.Worker, other.Number, other.Worker))
	}
}

// acknowledged reports whether a completion was acknowledged before the worker's lease expired.
func (c *checker) completionAcknowledged(r *attemptRecord) bool {
	if r.AcknowledgedAt.IsZero() {
		return false
	}
	for _, expiry := range c.LeaseExpiries {
		if expiry.Worker == r.Worker && between(expiry.At, r.EndedAt, r.AcknowledgedAt) {
			return false
		}
	}
	return true
}

// checkAfterCompletion checks that neither the task nor its job was completed before an attempt starts.
func (c *checker) checkAfterCompletion(r *attemptRecord) {
	ackDeadline := r.StartedAt.Add(-c.Bounds.AcknowledgementLag)
	timeBound := !r.Late && c.inContact(r.Sender, r.StartedAt)
	for _, other := range c.byTask[r.task] {
		if other.Outcome != "done" || r.stage.LongRunning || other.EndedAt.After(r.StartedAt) || !c.completionAcknowledged(other) {
			continue
		}
		if !r.stage.AtLeastOnce || timeBound && other.AcknowledgedAt.Before(ackDeadline) {
			c.report(DuplicateAttempt, r.Task, r.StartedAt, fmt.Sprintf("attempt %d starts after attempt %d has ended done", r.Number, other.Number))
		}
	}
	if !r.job.completedAt.IsZero() && r.job.completedAt.Before(ackDeadline) && timeBound {
		c.report(DuplicateAttempt, r.Task, r.StartedAt, "starts after its job was shown as completed")
	}
}

// checkStageOrder checks that an attempt starts after the stages that it depends on, and not before its due time.
func (c *checker) checkStageOrder(r *attemptRecord) {
	for _, earlierStage := range r.stage.DependsOn {
		if earlierStage >= 0 && earlierStage < len(r.job.spec.Stages) && !c.stageDone(r.job, r.task.repetition, earlierStage, r.StartedAt) {
			c.report(StageOrder, r.Task, r.StartedAt, fmt.Sprintf("starts before stage %d is done", earlierStage))
		}
	}
	due := r.job.spec.dueTime(r.task.repetition)
	if !due.IsZero() && r.StartedAt.Before(due.Add(-c.Bounds.EarlyStart)) {
		c.report(StageOrder, r.Task, r.StartedAt, fmt.Sprintf("starts %v before its due time", due.Sub(r.StartedAt).Round(time.Millisecond)))
	}
}

// stageDone reports whether a stage was done by an instant: every task, or any member of a gang, had ended done.
func (c *checker) stageDone(j *jobRecord, repetition, number int, by time.Time) bool {
	for index := range j.spec.Stages[number].Count {
		done := c.taskDone(task{j.id, repetition, number, index}, by)
		if done && j.spec.Stages[number].GangScheduled {
			return true // the completion of one member counts for the gang
		}
		if !done && !j.spec.Stages[number].GangScheduled {
			return false
		}
	}
	return !j.spec.Stages[number].GangScheduled
}

func (c *checker) taskDone(t task, by time.Time) bool {
	return slices.ContainsFunc(c.byTask[t], func(r *attemptRecord) bool { return r.Outcome == "done" && !r.EndedAt.After(by) })
}

// checkPlacement checks the service, the required labels and the anti-affinity limit of an attempt.
func (c *checker) checkPlacement(r *attemptRecord) {
	worker := c.workers[r.Worker]
	if worker == nil {
		return
	}
	if !c.mayRouteTo(r.job, worker.Service) {
		c.report(Placement, r.Task, r.StartedAt, "no configuration routes its queue to service "+worker.Service)
	}
	for _, label := range r.stage.labels() {
		if !slices.Contains(worker.Labels, label) {
			c.report(Placement, r.Task, r.StartedAt, "worker "+worker.ID+" lacks label "+label)
		}
	}
	if r.stage.AntiAffinity > 0 && c.otherRunningTasksOfStage(r)+1 > r.stage.AntiAffinity {
		c.report(Placement, r.Task, r.StartedAt, fmt.Sprintf("more than %d tasks of the stage at %s", r.stage.AntiAffinity, worker.ID))
	}
}

// otherRunningTasksOfStage counts the stage's other tasks that ran at the worker when an attempt started.
func (c *checker) otherRunningTasksOfStage(r *attemptRecord) int {
	count := 0
	for _, other := range c.byWorker[r.Worker] {
		if other.task != r.task && other.task.firstOfStage() == r.task.firstOfStage() && !other.StartedAt.After(r.StartedAt) && other.endOrFarFuture().After(r.StartedAt) {
			count++
		}
	}
	return count
}

func (c *checker) mayRouteTo(j *jobRecord, service string) bool {
	for _, change := range c.configurations {
		if found, ok := change.matchRoute(j.host, j.path); ok && change.valid && found.Service == service {
			return true
		}
	}
	return false
}

// attemptLimits returns the smallest and the largest maxAttempts of a job's tasks in the configurations that may be active.
func (c *checker) attemptLimits(j *jobRecord) (least, most int) {
	for _, change := range c.configurations {
		found, ok := change.matchRoute(j.host, j.path)
		if !ok || !change.mayBeActive() {
			continue
		}
		if least == 0 || found.MaxAttempts < least {
			least = found.MaxAttempts
		}
		most = max(most, found.MaxAttempts)
	}
	return least, most
}

// checkAttemptBudget checks that fewer attempts than permitted had failed, with acknowledgement, when an attempt starts.
func (c *checker) checkAttemptBudget(r *attemptRecord) {
	if r.stage.LongRunning {
		return
	}
	failed, last := 0, time.Time{}
	for _, other := range c.byTask[r.task] {
		if other.Outcome == "failed" && !other.EndedAt.After(r.StartedAt) && c.completionAcknowledged(other) {
			failed++
			if other.AcknowledgedAt.After(last) {
				last = other.AcknowledgedAt
			}
		}
	}
	_, most := c.attemptLimits(r.job)
	if failed < max(1, most) {
		return
	}
	if r.stage.AtLeastOnce && (r.Late || !c.inContact(r.Sender, r.StartedAt) || r.StartedAt.Before(last.Add(c.Bounds.AcknowledgementLag))) {
		return
	}
	c.report(AttemptBudget, r.Task, r.StartedAt, fmt.Sprintf("attempt %d starts after %d attempts have failed", r.Number, failed))
}

// checkGang checks that no member ends because the rest of its gang is missing, unless a fault or a cancellation explains it.
func (c *checker) checkGang(r *attemptRecord) {
	if r.Outcome != "alone" || r.Late || !r.job.cancelSentAt.IsZero() && r.job.cancelSentAt.Before(r.EndedAt) {
		return
	}
	if c.inContact(r.Sender, r.StartedAt) && !c.anyFault(r.StartedAt.Add(-c.Bounds.Contact), r.EndedAt) {
		c.report(Gang, r.Task, r.EndedAt, fmt.Sprintf("attempt %d ended alone", r.Number))
	}
}

// checkCancelled checks that no attempt starts or still runs too long after its job's cancellation.
func (c *checker) checkCancelled(r *attemptRecord) {
	if r.job.cancelledAt.IsZero() || r.Late {
		return
	}
	latest := r.job.cancelledAt.Add(c.Bounds.Cancel)
	if r.StartedAt.After(latest) {
		if c.inContact(r.Sender, r.StartedAt) {
			c.report(Unrequested, r.Task, r.StartedAt, "starts after its job was cancelled")
		}
		return
	}
	latest = latest.Add(c.Bounds.Stop)
	if r.endOrFarFuture().After(latest) && latest.Before(c.SeenUntil) && !c.anyFault(r.job.cancelledAt.Add(-c.Bounds.Contact), latest) {
		c.report(Unrequested, r.Task, latest, "still runs after its job was cancelled")
	}
}

// checkRejectedJob checks that the attempt's job was not rejected by every answer to a submission.
func (c *checker) checkRejectedJob(r *attemptRecord) {
	if r.job.rejectedOnly {
		c.report(RejectedJob, r.Task, r.StartedAt, "starts although every submission of its job was rejected")
	}
}

// checkDrainingWorker checks that no attempt starts at a worker more than Bounds.Drain after a machine in contact had received
// an inventory in which the worker was draining.
func (c *checker) checkDrainingWorker(r *attemptRecord) {
	if r.Late || !c.inContact(r.Sender, r.StartedAt) {
		return
	}
	for _, inventory := range c.Inventories {
		if slices.Contains(inventory.Draining, r.Worker) && inventory.At.Add(c.Bounds.Drain).Before(r.StartedAt) && c.inContact(inventory.Machine, inventory.At) {
			c.report(DrainingWorker, r.Task, r.StartedAt, "starts at "+r.Worker+", which has been draining since "+strings.TrimSpace(inventory.At.Format("15:04:05.000")))
			return
		}
	}
}
