package checker

import (
	"fmt"
	"net/http"
	"time"
)

// checkJobs checks the answers to clients about jobs, and that jobs end.
func (c *checker) checkJobs() {
	for i := range c.Requests {
		request := &c.Requests[i]
		if j := c.jobs[jobID(request.Path)]; j != nil && j.submitted && request.Method == http.MethodGet {
			c.checkStatus(j, request)
		}
	}
	if c.EndedAt.IsZero() {
		return
	}
	for _, j := range c.jobs {
		c.checkFinalState(j)
	}
}

// checkStatus checks one answer about a job's state.
func (c *checker) checkStatus(j *jobRecord, request *Request) {
	switch {
	case request.Status == statusGone:
		c.checkNotFound(j, request)
	case request.Status != statusOK:
	default:
		c.checkState(j, request, stateOf(request))
	}
}

func (c *checker) checkNotFound(j *jobRecord, request *Request) {
	uncancelled := j.cancelSent.IsZero() || j.cancelSent.After(request.AnsweredAt)
	if j.accepted.IsZero() || !uncancelled || !j.accepted.Add(c.Bounds.Visible).Before(request.SentAt) {
		return
	}
	if c.inContact(request.Machine, request.SentAt) {
		c.report(Lost, j.id, request.AnsweredAt, "an accepted job is not known at "+request.Machine)
	}
}

func (c *checker) checkState(j *jobRecord, request *Request, state string) {
	switch state {
	case "queued", "running":
	case "completed":
		if missing := c.firstUnfinishedStage(j, request.AnsweredAt); missing != "" {
			c.report(InconsistentState, j.id, request.AnsweredAt, "shown as completed, but no attempt of "+missing+" has ended done")
		}
	case "failed":
		if !c.attemptsExhausted(j, request.AnsweredAt) {
			c.report(Lost, j.id, request.AnsweredAt, "shown as failed although no task has used up its attempts")
		}
	case "cancelled":
		if j.cancelSent.IsZero() || j.cancelSent.After(request.AnsweredAt) {
			c.report(Lost, j.id, request.AnsweredAt, "shown as cancelled although nobody has cancelled it")
		}
	default:
		c.report(InconsistentState, j.id, request.AnsweredAt, fmt.Sprintf("its state cannot be read: %q", request.Answer))
	}
}

// firstUnfinishedStage names a stage that is not done; empty when all are.
func (c *checker) firstUnfinishedStage(j *jobRecord, by time.Time) string {
	for repetition := range j.spec.repetitions() {
		for number := range j.spec.Stages {
			if !c.stageDone(j, repetition, number, by) {
				return fmt.Sprintf("step %d of time %d", number, repetition)
			}
		}
	}
	return ""
}

// attemptsExhausted reports whether a task, or all members of a gang together, have failed as often as they may.
func (c *checker) attemptsExhausted(j *jobRecord, by time.Time) bool {
	least, _ := c.attemptLimits(j)
	for repetition := range j.spec.repetitions() {
		for number, stage := range j.spec.Stages {
			gang := map[uint64]bool{}
			for index := range stage.Count {
				failed := c.failedAttempts(task{j.id, repetition, number, index}, by)
				if !stage.GangScheduled {
					gang = map[uint64]bool{}
				}
				for _, execution := range failed {
					gang[execution] = true
				}
				if len(gang) >= max(1, least) {
					return true
				}
			}
		}
	}
	return false
}

// failedAttempts lists the executions of a task that had ended failed.
func (c *checker) failedAttempts(of task, by time.Time) []uint64 {
	var executions []uint64
	for _, r := range c.byTask[of] {
		if r.Outcome == "failed" && !r.EndedAt.After(by) {
			executions = append(executions, r.Number)
		}
	}
	return executions
}

// checkAbortedRequests looks for requests that a machine gave up during a graceful shutdown.
func (c *checker) checkAbortedRequests() {
	const forceSlack = time.Second
	for _, aborted := range c.AbortedRequests {
		if aborted.At.Sub(aborted.SentAt) <= c.Bounds.LossSlack {
			continue
		}
		stopped, unplanned := false, false
		for _, fault := range c.Faults {
			unplanned = unplanned || !fault.Planned && fault.overlaps(aborted.SentAt.Add(-c.Bounds.Contact), aborted.At)
			stopped = stopped || fault.Planned && fault.Machine == aborted.Machine && within(aborted.At, fault.From, fault.From.Add(c.Bounds.Grace+forceSlack))
		}
		if stopped && !unplanned {
			c.report(Lost, aborted.Path, aborted.At, aborted.Machine+" closed the connection of a request that it had read")
		}
	}
}

// checkFinalState looks for accepted jobs whose last answer, long after the load, is not a final state.
func (c *checker) checkFinalState(j *jobRecord) {
	if j.accepted.IsZero() || j.runsUntilCancelled() {
		return
	}
	seenUntil := c.SeenUntil
	last, answered := "", false
	for i := range c.Requests {
		request := &c.Requests[i]
		if request.Method != http.MethodGet || jobID(request.Path) != j.id || !success(request.Status) && request.Status != statusGone {
			continue
		}
		answered = answered || !request.SentAt.Before(c.EndedAt)
		last = stateOf(request)
		if request.Status == statusGone {
			last = "gone"
		}
	}
	switch {
	case !answered:
		c.report(Lost, j.id, seenUntil, "no answer about an accepted job at the end")
	case last == "gone" && j.cancelSent.IsZero():
		c.report(Lost, j.id, seenUntil, "an accepted job is not known at the end")
	case last == "queued", last == "running":
		c.report(Lost, j.id, seenUntil, "an accepted job has not ended: "+last)
	}
}

// runsUntilCancelled reports whether a job runs until it is cancelled, and nobody has.
func (j *jobRecord) runsUntilCancelled() bool {
	if !j.cancelSent.IsZero() {
		return false
	}
	for _, stage := range j.spec.Stages {
		if stage.LongRunning {
			return true
		}
	}
	return false
}
