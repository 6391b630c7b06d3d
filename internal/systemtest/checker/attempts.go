package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// checkRequested checks that an attempt belongs to a submitted task and has the job's specification and a checkpoint of the
// task. It reports whether the task was submitted.
func (c *checker) checkRequested(attempt *attemptRecord) bool {
	if !attempt.requested {
		c.report(Unrequested, attempt.Task, attempt.StartedAt, "no client sent such a task")
		return false
	}
	if attempt.Specification != attempt.job.spec.Text {
		c.report(Unrequested, attempt.Task, attempt.StartedAt, "started with another specification")
	}
	if attempt.Checkpoint != "" && !c.ownCheckpoint(attempt) {
		c.report(Unrequested, attempt.Task, attempt.StartedAt, "started with checkpoint "+attempt.Checkpoint+", which is not the task's")
	}
	if attempt.stage.GangScheduled {
		c.checkSameCheckpoint(attempt)
	}
	return true
}

// ownCheckpoint reports whether a worker reported the checkpoint for the task, or for any member of its gang.
func (c *checker) ownCheckpoint(attempt *attemptRecord) bool {
	for _, checkpoint := range c.Checkpoints {
		owner, ok := parseTask(checkpoint.Task)
		if !ok || checkpoint.Text != attempt.Checkpoint {
			continue
		}
		if owner == attempt.task || attempt.stage.GangScheduled && owner.firstOfStage() == attempt.task.firstOfStage() {
			return true
		}
	}
	return false
}

func (c *checker) checkSameCheckpoint(attempt *attemptRecord) {
	for index := range attempt.task.index {
		member := attempt.task
		member.index = index
		for _, other := range c.byTask[member] {
			if other.Number == attempt.Number && other.Checkpoint != attempt.Checkpoint {
				c.report(Unrequested, attempt.Task, attempt.StartedAt, "members of one gang were started with different checkpoints")
				return
			}
		}
	}
}

// checkCapacity checks that the attempts at a worker fit its capacity, if the worker does not enforce its capacity itself.
func (c *checker) checkCapacity(attempt *attemptRecord) {
	worker := c.workers[attempt.Worker]
	if worker == nil || worker.EnforcesCapacity {
		return
	}
	used := attempt.stage.Resources
	for _, other := range c.byWorker[attempt.Worker] {
		if other != attempt && other.requested && !other.StartedAt.After(attempt.StartedAt) && other.endOrFarFuture().After(attempt.StartedAt) {
			used.Processors += other.stage.Processors
			used.MemoryMB += other.stage.MemoryMB
			used.Accelerators += other.stage.Accelerators
		}
	}
	capacity := worker.Capacity
	if used.Processors > capacity.Processors || used.MemoryMB > capacity.MemoryMB || used.Accelerators > capacity.Accelerators {
		c.report(OverCapacity, attempt.Task, attempt.StartedAt, fmt.Sprintf("the attempts at %s use %+v of its capacity %+v", attempt.Worker, used, capacity))
	}
}

// checkConcurrentAttempts checks that no other attempt of the task runs when an attempt starts.
func (c *checker) checkConcurrentAttempts(attempt *attemptRecord) {
	if attempt.stage.AtLeastOnce {
		return
	}
	for _, other := range c.byTask[attempt.task] {
		if other == attempt || other.StartedAt.After(attempt.StartedAt) || !other.endOrFarFuture().After(attempt.StartedAt) {
			continue
		}
		if other.StartedAt.Equal(attempt.StartedAt) && other.Number > attempt.Number {
			continue // reported for the other attempt
		}
		c.report(DuplicateAttempt, attempt.Task, attempt.StartedAt, fmt.Sprintf("attempt %d starts at %s while attempt %d runs at %s", attempt.Number, attempt.Worker, other.Number, other.Worker))
	}
}

// checkOneService checks that no other attempt of the job runs or ran at a worker of another service: an ID is one job, wherever its queue
// goes.
func (c *checker) checkOneService(attempt *attemptRecord) {
	worker := c.workers[attempt.Worker]
	if worker == nil || !c.mayRouteTo(attempt.job, worker.Service) {
		return
	}
	if attempt.job.service == "" {
		attempt.job.service = worker.Service
	}
	if attempt.job.service != worker.Service {
		c.report(DuplicateAttempt, attempt.Task, attempt.StartedAt, "runs in service "+worker.Service+" after its job has run in service "+attempt.job.service)
	}
}

// completionAcknowledged reports whether the completion of an attempt was acknowledged before the worker's lease expired.
func (c *checker) completionAcknowledged(attempt *attemptRecord) bool {
	if attempt.AcknowledgedAt.IsZero() {
		return false
	}
	for _, expiry := range c.LeaseExpiries {
		if expiry.Worker == attempt.Worker && between(expiry.At, attempt.EndedAt, attempt.AcknowledgedAt) {
			return false
		}
	}
	return true
}

// checkAfterCompletion checks that neither the task nor its job was completed before an attempt starts.
func (c *checker) checkAfterCompletion(attempt *attemptRecord) {
	ackDeadline := attempt.StartedAt.Add(-c.Bounds.AcknowledgementLag)
	timeBound := !attempt.Late && c.inContact(attempt.Sender, attempt.StartedAt)
	for _, other := range c.byTask[attempt.task] {
		if other.Outcome != "done" || attempt.stage.LongRunning || other.EndedAt.After(attempt.StartedAt) || !c.completionAcknowledged(other) {
			continue
		}
		if !attempt.stage.AtLeastOnce || timeBound && other.AcknowledgedAt.Before(ackDeadline) {
			c.report(DuplicateAttempt, attempt.Task, attempt.StartedAt, fmt.Sprintf("attempt %d starts after attempt %d has ended done", attempt.Number, other.Number))
		}
	}
	if !attempt.job.completedAt.IsZero() && attempt.job.completedAt.Before(ackDeadline) && timeBound {
		c.report(DuplicateAttempt, attempt.Task, attempt.StartedAt, "starts after its job was shown as completed")
	}
}

// checkStageOrder checks that an attempt starts after the stages that it depends on, and not before its due time.
func (c *checker) checkStageOrder(attempt *attemptRecord) {
	for _, earlierStage := range attempt.stage.DependsOn {
		if earlierStage >= 0 && earlierStage < len(attempt.job.spec.Stages) && !c.stageDone(attempt.job, attempt.task.repetition, earlierStage, attempt.StartedAt) {
			c.report(StageOrder, attempt.Task, attempt.StartedAt, fmt.Sprintf("starts before stage %d is done", earlierStage))
		}
	}
	due := attempt.job.spec.dueTime(attempt.task.repetition)
	if !due.IsZero() && attempt.StartedAt.Before(due.Add(-c.Bounds.EarlyStart)) {
		c.report(StageOrder, attempt.Task, attempt.StartedAt, fmt.Sprintf("starts %v before its due time", due.Sub(attempt.StartedAt).Round(time.Millisecond)))
	}
}

// stageDone reports whether a stage was done by an instant: every task, or any member of a gang, had ended done.
func (c *checker) stageDone(job *jobRecord, repetition, number int, by time.Time) bool {
	for index := range job.spec.Stages[number].Count {
		done := c.taskDone(task{job.id, repetition, number, index}, by)
		if done && job.spec.Stages[number].GangScheduled {
			return true // the completion of one member counts for the gang
		}
		if !done && !job.spec.Stages[number].GangScheduled {
			return false
		}
	}
	return !job.spec.Stages[number].GangScheduled
}

func (c *checker) taskDone(t task, by time.Time) bool {
	return slices.ContainsFunc(c.byTask[t], func(r *attemptRecord) bool { return r.Outcome == "done" && !r.EndedAt.After(by) })
}

// checkPlacement checks the service, the required labels and the anti-affinity limit of an attempt.
func (c *checker) checkPlacement(attempt *attemptRecord) {
	worker := c.workers[attempt.Worker]
	if worker == nil {
		return
	}
	if !c.mayRouteTo(attempt.job, worker.Service) {
		c.report(Placement, attempt.Task, attempt.StartedAt, "no configuration routes its queue to service "+worker.Service)
	}
	for _, label := range attempt.stage.labels() {
		if !slices.Contains(worker.Labels, label) {
			c.report(Placement, attempt.Task, attempt.StartedAt, "worker "+worker.ID+" lacks label "+label)
		}
	}
	if attempt.stage.AntiAffinity > 0 && c.otherRunningTasksOfStage(attempt)+1 > attempt.stage.AntiAffinity {
		c.report(Placement, attempt.Task, attempt.StartedAt, fmt.Sprintf("more than %d tasks of the stage at %s", attempt.stage.AntiAffinity, worker.ID))
	}
}

// otherRunningTasksOfStage counts the stage's other tasks that ran at the worker when an attempt started.
func (c *checker) otherRunningTasksOfStage(attempt *attemptRecord) int {
	count := 0
	for _, other := range c.byWorker[attempt.Worker] {
		if other.task != attempt.task && other.task.firstOfStage() == attempt.task.firstOfStage() && !other.StartedAt.After(attempt.StartedAt) && other.endOrFarFuture().After(attempt.StartedAt) {
			count++
		}
	}
	return count
}

func (c *checker) mayRouteTo(job *jobRecord, service string) bool {
	for _, change := range c.configurations {
		if found, ok := change.matchRoute(job.host, job.path); ok && change.valid && found.Service == service {
			return true
		}
	}
	return false
}

// attemptLimits returns the smallest and the largest maxAttempts of a job's tasks in the configurations that may be active.
func (c *checker) attemptLimits(job *jobRecord) (least, most int) {
	for _, change := range c.configurations {
		found, ok := change.matchRoute(job.host, job.path)
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
func (c *checker) checkAttemptBudget(attempt *attemptRecord) {
	if attempt.stage.LongRunning {
		return
	}
	failed, last := 0, time.Time{}
	for _, other := range c.byTask[attempt.task] {
		if other.Outcome == "failed" && !other.EndedAt.After(attempt.StartedAt) && c.completionAcknowledged(other) {
			failed++
			if other.AcknowledgedAt.After(last) {
				last = other.AcknowledgedAt
			}
		}
	}
	_, most := c.attemptLimits(attempt.job)
	if failed < max(1, most) {
		return
	}
	if attempt.stage.AtLeastOnce && (attempt.Late || !c.inContact(attempt.Sender, attempt.StartedAt) || attempt.StartedAt.Before(last.Add(c.Bounds.AcknowledgementLag))) {
		return
	}
	c.report(AttemptBudget, attempt.Task, attempt.StartedAt, fmt.Sprintf("attempt %d starts after %d attempts have failed", attempt.Number, failed))
}

// checkGang checks that no member ends because the rest of its gang is missing, unless a fault or a cancellation explains it.
func (c *checker) checkGang(attempt *attemptRecord) {
	if attempt.Outcome != "alone" || attempt.Late || !attempt.job.cancelSentAt.IsZero() && attempt.job.cancelSentAt.Before(attempt.EndedAt) {
		return
	}
	if c.inContact(attempt.Sender, attempt.StartedAt) && !c.anyFault(attempt.StartedAt.Add(-c.Bounds.Contact), attempt.EndedAt) {
		c.report(Gang, attempt.Task, attempt.EndedAt, fmt.Sprintf("attempt %d ended alone", attempt.Number))
	}
}

// checkCancelled checks that no attempt starts or still runs too long after its job's cancellation.
func (c *checker) checkCancelled(attempt *attemptRecord) {
	if attempt.job.cancelledAt.IsZero() || attempt.Late {
		return
	}
	latest := attempt.job.cancelledAt.Add(c.Bounds.Cancel)
	if attempt.StartedAt.After(latest) {
		if c.inContact(attempt.Sender, attempt.StartedAt) {
			c.report(Unrequested, attempt.Task, attempt.StartedAt, "starts after its job was cancelled")
		}
		return
	}
	for _, calmFrom := range c.calmTimes(attempt.job.cancelledAt) {
		latest := calmFrom.Add(c.Bounds.Cancel + c.Bounds.Stop)
		if attempt.endOrFarFuture().After(latest) && latest.Before(c.SeenUntil) && !c.anyFault(calmFrom.Add(-c.Bounds.Contact), latest) {
			c.report(Unrequested, attempt.Task, latest, "still runs after its job was cancelled")
			return
		}
	}
}

// calmTimes returns an instant, and all later ones at which the time with a fault nearby may be over.
func (c *checker) calmTimes(from time.Time) []time.Time {
	times := []time.Time{from}
	for _, fault := range c.Faults {
		if calmFrom := fault.To.Add(c.Bounds.Contact + time.Nanosecond); !fault.To.IsZero() && calmFrom.After(from) {
			times = append(times, calmFrom)
		}
	}
	return times
}

// checkRejectedJob checks that the attempt's job was not rejected by every answer to a submission.
func (c *checker) checkRejectedJob(attempt *attemptRecord) {
	if attempt.job.rejectedOnly {
		c.report(RejectedJob, attempt.Task, attempt.StartedAt, "starts although every submission of its job was rejected")
	}
}

// checkDrainingWorker checks that no attempt starts at a worker more than Bounds.Drain after a machine in contact had received
// an inventory in which the worker was draining.
func (c *checker) checkDrainingWorker(attempt *attemptRecord) {
	if attempt.Late || !c.inContact(attempt.Sender, attempt.StartedAt) {
		return
	}
	for _, inventory := range c.Inventories {
		if slices.Contains(inventory.Draining, attempt.Worker) && inventory.At.Add(c.Bounds.Drain).Before(attempt.StartedAt) && c.inContact(inventory.Machine, inventory.At) {
			c.report(DrainingWorker, attempt.Task, attempt.StartedAt, "starts at "+attempt.Worker+", which has been draining since "+strings.TrimSpace(inventory.At.Format("15:04:05.000")))
			return
		}
	}
}
