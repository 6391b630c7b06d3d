package checker

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// checkRequested checks that a start is of a task that a client sent, with the client's text and a checkpoint of the task's.
func (c *checker) checkRequested(r *attemptRecord) bool {
	if !r.known {
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

// ownCheckpoint reports whether a worker has listed the checkpoint for the task, or for any member of its gang.
func (c *checker) ownCheckpoint(r *attemptRecord) bool {
	for _, checkpoint := range c.Checkpoints {
		of, ok := parseTask(checkpoint.Task)
		if !ok || checkpoint.Text != r.Checkpoint {
			continue
		}
		if of == r.task || r.stage.GangScheduled && of.first() == r.task.first() {
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

// checkCapacity adds up what a worker that does not guard itself had running.
func (c *checker) checkCapacity(r *attemptRecord) {
	worker := c.workers[r.Worker]
	if worker == nil || worker.Guards {
		return
	}
	used := r.stage.Resources
	for _, other := range c.byWorker[r.Worker] {
		if other != r && other.known && !other.StartedAt.After(r.StartedAt) && other.endOrForever().After(r.StartedAt) {
			used.Processors += other.stage.Processors
			used.MemoryMB += other.stage.MemoryMB
			used.Accelerators += other.stage.Accelerators
		}
	}
	capacity := worker.Capacity
	if used.Processors > capacity.Processors || used.MemoryMB > capacity.MemoryMB || used.Accelerators > capacity.Accelerators {
		c.report(OverCapacity, r.Task, r.StartedAt, fmt.Sprintf("brings %s to %+v of %+v", r.Worker, used, capacity))
	}
}

// checkConcurrentAttempts looks for another attempt of the task at the same time.
func (c *checker) checkConcurrentAttempts(r *attemptRecord) {
	if r.stage.AtLeastOnce {
		return
	}
	for _, other := range c.byTask[r.task] {
		if other == r || other.StartedAt.After(r.StartedAt) || !other.endOrForever().After(r.StartedAt) {
			continue
		}
		if other.StartedAt.Equal(r.StartedAt) && other.Number > r.Number {
			continue // counted from the other side
		}
		c.report(DuplicateAttempt, r.Task, r.StartedAt, fmt.Sprintf("attempt %d starts at %s while attempt %d is there at %s", r.Number, r.Worker, other.Number, other.Worker))
	}
}

// acknowledged reports whether a completion was acknowledged before the worker's lease expired.
func (c *checker) acknowledged(r *attemptRecord) bool {
	if r.AcknowledgedAt.IsZero() {
		return false
	}
	for _, lapse := range c.LeaseExpiries {
		if lapse.Worker == r.Worker && within(lapse.At, r.EndedAt, r.AcknowledgedAt) {
			return false
		}
	}
	return true
}

// checkAfterCompletion looks for an end of the task that was done before, and for the end of its job.
func (c *checker) checkAfterCompletion(r *attemptRecord) {
	late := r.StartedAt.Add(-c.Bounds.AcknowledgeLag)
	bound := !r.Late && c.inContact(r.Sender, r.StartedAt)
	for _, other := range c.byTask[r.task] {
		if other.Outcome != "done" || r.stage.LongRunning || other.EndedAt.After(r.StartedAt) || !c.acknowledged(other) {
			continue
		}
		if !r.stage.AtLeastOnce || bound && other.AcknowledgedAt.Before(late) {
			c.report(DuplicateAttempt, r.Task, r.StartedAt, fmt.Sprintf("attempt %d starts after attempt %d has ended done", r.Number, other.Number))
		}
	}
	if !r.job.completed.IsZero() && r.job.completed.Before(late) && bound {
		c.report(DuplicateAttempt, r.Task, r.StartedAt, "starts after its job was shown as completed")
	}
}

// checkStageOrder checks that earlier stages were done and the time has come.
func (c *checker) checkStageOrder(r *attemptRecord) {
	for _, earlierStage := range r.stage.DependsOn {
		if earlierStage >= 0 && earlierStage < len(r.job.spec.Stages) && !c.stageDone(r.job, r.task.repetition, earlierStage, r.StartedAt) {
			c.report(StageOrder, r.Task, r.StartedAt, fmt.Sprintf("starts before stage %d is done", earlierStage))
		}
	}
	due := r.job.spec.due(r.task.repetition)
	if !due.IsZero() && r.StartedAt.Before(due.Add(-c.Bounds.Early)) {
		c.report(StageOrder, r.Task, r.StartedAt, fmt.Sprintf("starts %v before its time", due.Sub(r.StartedAt).Round(time.Millisecond)))
	}
}

// stageDone reports whether every task of a stage had ended done by a moment.
func (c *checker) stageDone(j *jobRecord, repetition, number int, by time.Time) bool {
	for index := range j.spec.Stages[number].Count {
		done := c.taskDone(task{j.id, repetition, number, index}, by)
		if done && j.spec.Stages[number].GangScheduled {
			return true // one member's end counts for all
		}
		if !done && !j.spec.Stages[number].GangScheduled {
			return false
		}
	}
	return !j.spec.Stages[number].GangScheduled
}

func (c *checker) taskDone(of task, by time.Time) bool {
	return slices.ContainsFunc(c.byTask[of], func(r *attemptRecord) bool { return r.Outcome == "done" && !r.EndedAt.After(by) })
}

// checkPlacement checks service, label and antiAffinity.
func (c *checker) checkPlacement(r *attemptRecord) {
	worker := c.workers[r.Worker]
	if worker == nil {
		return
	}
	if !c.serviceOf(r.job, worker.Service) {
		c.report(Placement, r.Task, r.StartedAt, "no configuration sends its queue to service "+worker.Service)
	}
	for _, label := range r.stage.labels() {
		if !slices.Contains(worker.Labels, label) {
			c.report(Placement, r.Task, r.StartedAt, "worker "+worker.ID+" lacks label "+label)
		}
	}
	if r.stage.AntiAffinity > 0 && c.otherTasksOfStage(r)+1 > r.stage.AntiAffinity {
		c.report(Placement, r.Task, r.StartedAt, fmt.Sprintf("more than %d tasks of the stage at %s", r.stage.AntiAffinity, worker.ID))
	}
}

// otherTasksOfStage counts the stage's other tasks at the worker when an attempt started.
func (c *checker) otherTasksOfStage(r *attemptRecord) int {
	count := 0
	for _, other := range c.byWorker[r.Worker] {
		if other.task != r.task && other.task.first() == r.task.first() && !other.StartedAt.After(r.StartedAt) && other.endOrForever().After(r.StartedAt) {
			count++
		}
	}
	return count
}

func (c *checker) serviceOf(j *jobRecord, service string) bool {
	for _, change := range c.changes {
		if found, ok := change.match(j.host, j.path); ok && change.valid && found.Service == service {
			return true
		}
	}
	return false
}

// attemptLimits returns the least and the most attempts that a configuration gives a job's tasks.
func (c *checker) attemptLimits(j *jobRecord) (least, most int) {
	for _, change := range c.changes {
		found, ok := change.match(j.host, j.path)
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

// checkAttemptBudget counts the acknowledged completions that failed before a start.
func (c *checker) checkAttemptBudget(r *attemptRecord) {
	if r.stage.LongRunning {
		return
	}
	failed, last := 0, time.Time{}
	for _, other := range c.byTask[r.task] {
		if other.Outcome == "failed" && !other.EndedAt.After(r.StartedAt) && c.acknowledged(other) {
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
	if r.stage.AtLeastOnce && (r.Late || !c.inContact(r.Sender, r.StartedAt) || r.StartedAt.Before(last.Add(c.Bounds.AcknowledgeLag))) {
		return
	}
	c.report(AttemptBudget, r.Task, r.StartedAt, fmt.Sprintf("attempt %d starts after %d attempts have failed", r.Number, failed))
}

// checkGang looks for members that waited for the others in vain.
func (c *checker) checkGang(r *attemptRecord) {
	if r.Outcome != "alone" || r.Late || !r.job.cancelSent.IsZero() && r.job.cancelSent.Before(r.EndedAt) {
		return
	}
	if c.inContact(r.Sender, r.StartedAt) && !c.anyFault(r.StartedAt.Add(-c.Bounds.Contact), r.EndedAt) {
		c.report(Gang, r.Task, r.EndedAt, fmt.Sprintf("attempt %d ended alone", r.Number))
	}
}

// checkCancelled looks for attempts that start or run after the job's cancellation.
func (c *checker) checkCancelled(r *attemptRecord) {
	if r.job.cancelled.IsZero() || r.Late {
		return
	}
	latest := r.job.cancelled.Add(c.Bounds.Cancel)
	if r.StartedAt.After(latest) {
		if c.inContact(r.Sender, r.StartedAt) {
			c.report(Unrequested, r.Task, r.StartedAt, "starts after its job was cancelled")
		}
		return
	}
	latest = latest.Add(c.Bounds.Stop)
	if r.endOrForever().After(latest) && latest.Before(c.SeenUntil) && !c.anyFault(r.job.cancelled.Add(-c.Bounds.Contact), latest) {
		c.report(Unrequested, r.Task, latest, "still runs after its job was cancelled")
	}
}

// checkRejectedJob looks for starts of jobs that were never taken.
func (c *checker) checkRejectedJob(r *attemptRecord) {
	if r.job.rejectedOnly {
		c.report(RejectedJob, r.Task, r.StartedAt, "starts although every attempt to submit the job was rejected")
	}
}

// checkDrainingWorker looks for starts at a worker long after a machine in contact had learned that it drains.
func (c *checker) checkDrainingWorker(r *attemptRecord) {
	if r.Late || !c.inContact(r.Sender, r.StartedAt) {
		return
	}
	for _, list := range c.Inventories {
		if slices.Contains(list.Draining, r.Worker) && list.At.Add(c.Bounds.Drain).Before(r.StartedAt) && c.inContact(list.Machine, list.At) {
			c.report(DrainingWorker, r.Task, r.StartedAt, "starts at "+r.Worker+", which drains since "+strings.TrimSpace(list.At.Format("15:04:05.000")))
			return
		}
	}
}
