package checker

import (
	"fmt"
	"net/http"
	"time"
)

// checkJobs checks the answers to clients about jobs, and that accepted jobs end.
func (c *checker) checkJobs() {
	for i := range c.Requests {
		request := &c.Requests[i]
		if job := c.jobs[jobID(request.Path)]; job != nil && job.submitted && request.Method == http.MethodGet {
			c.checkStatus(job, request)
		}
	}
	if c.LoadEndedAt.IsZero() {
		return
	}
	for _, job := range c.jobs {
		c.checkFinalState(job)
	}
}

// checkStatus checks one answer about a job's state.
func (c *checker) checkStatus(job *jobRecord, request *Request) {
	switch {
	case request.Status == statusGone:
		c.checkNotFound(job, request)
	case request.Status != statusOK:
	default:
		c.checkState(job, request, stateOf(request))
	}
}

func (c *checker) checkNotFound(job *jobRecord, request *Request) {
	uncancelled := job.cancelSentAt.IsZero() || job.cancelSentAt.After(request.AnsweredAt)
	if job.acceptedAt.IsZero() || !uncancelled || !job.acceptedAt.Add(c.Bounds.JobVisibility).Before(request.SentAt) {
		return
	}
	if c.inContact(request.Machine, request.SentAt) {
		c.report(Lost, job.id, request.AnsweredAt, "an accepted job is not known at "+request.Machine)
	}
}

func (c *checker) checkState(job *jobRecord, request *Request, state string) {
	switch state {
	case "queued", "running":
	case "completed":
		if missing := c.firstUnfinishedStage(job, request.AnsweredAt); missing != "" {
			c.report(InconsistentState, job.id, request.AnsweredAt, "shown as completed, but no attempt of "+missing+" has ended done")
		}
	case "failed":
		if !c.attemptsExhausted(job, request.AnsweredAt) {
			c.report(Lost, job.id, request.AnsweredAt, "shown as failed although no task has used up its attempts")
		}
	case "cancelled":
		if job.cancelSentAt.IsZero() || job.cancelSentAt.After(request.AnsweredAt) {
			c.report(Lost, job.id, request.AnsweredAt, "shown as cancelled although nobody has cancelled it")
		}
	default:
		c.report(InconsistentState, job.id, request.AnsweredAt, fmt.Sprintf("its state cannot be read: %q", request.Answer))
	}
}

// firstUnfinishedStage names the first stage that was not done by an instant, or returns an empty string if all were done.
func (c *checker) firstUnfinishedStage(job *jobRecord, by time.Time) string {
	for repetition := range job.spec.repetitions() {
		for number := range job.spec.Stages {
			if !c.stageDone(job, repetition, number, by) {
				return fmt.Sprintf("stage %d of repetition %d", number, repetition)
			}
		}
	}
	return ""
}

// attemptsExhausted reports whether a task, or the members of a gang together, had used all permitted attempts by an instant.
func (c *checker) attemptsExhausted(job *jobRecord, by time.Time) bool {
	least, _ := c.attemptLimits(job)
	for repetition := range job.spec.repetitions() {
		for number, stage := range job.spec.Stages {
			gang := map[uint64]bool{}
			for index := range stage.Count {
				failed := c.failedAttempts(task{job.id, repetition, number, index}, by)
				if !stage.GangScheduled {
					gang = map[uint64]bool{}
				}
				for _, attemptNumber := range failed {
					gang[attemptNumber] = true
				}
				if len(gang) >= max(1, least) {
					return true
				}
			}
		}
	}
	return false
}

// failedAttempts returns the numbers of a task's attempts that had failed by an instant.
func (c *checker) failedAttempts(t task, by time.Time) []uint64 {
	var attemptNumbers []uint64
	for _, attempt := range c.byTask[t] {
		if attempt.Outcome == "failed" && !attempt.EndedAt.After(by) {
			attemptNumbers = append(attemptNumbers, attempt.Number)
		}
	}
	return attemptNumbers
}

// checkAbortedRequests checks that no machine aborts a request during a graceful shutdown without other faults.
func (c *checker) checkAbortedRequests() {
	const killSlack = time.Second // after ShutdownGrace, for the kill of the process
	for _, aborted := range c.AbortedRequests {
		if aborted.At.Sub(aborted.SentAt) <= c.Bounds.ShutdownReadSlack {
			continue
		}
		stopped, unplanned := false, false
		for _, fault := range c.Faults {
			unplanned = unplanned || !fault.Planned && fault.overlaps(aborted.SentAt.Add(-c.Bounds.Contact), aborted.At)
			stopped = stopped || fault.Planned && fault.Machine == aborted.Machine && between(aborted.At, fault.From, fault.From.Add(c.Bounds.ShutdownGrace+killSlack))
		}
		if stopped && !unplanned {
			c.report(Lost, aborted.Path, aborted.At, aborted.Machine+" closed the connection of a request that it had read")
		}
	}
}

// checkFinalState checks that the last answer about an accepted job has a final state and was requested after the load.
func (c *checker) checkFinalState(job *jobRecord) {
	if job.acceptedAt.IsZero() || job.runsUntilCancelled() {
		return
	}
	seenUntil := c.SeenUntil
	last, answered := "", false
	for i := range c.Requests {
		request := &c.Requests[i]
		if request.Method != http.MethodGet || jobID(request.Path) != job.id || !succeeded(request.Status) && request.Status != statusGone {
			continue
		}
		answered = answered || !request.SentAt.Before(c.LoadEndedAt)
		last = stateOf(request)
		if request.Status == statusGone {
			last = "gone"
		}
	}
	switch {
	case !answered:
		c.report(Lost, job.id, seenUntil, "no answer about an accepted job at the end")
	case last == "gone" && job.cancelSentAt.IsZero():
		c.report(Lost, job.id, seenUntil, "an accepted job is not known at the end")
	case last == "queued", last == "running":
		c.report(Lost, job.id, seenUntil, "an accepted job has not ended: "+last)
	}
}

// runsUntilCancelled reports whether a job runs until it is cancelled and no client has tried to cancel it.
func (j *jobRecord) runsUntilCancelled() bool {
	if !j.cancelSentAt.IsZero() {
		return false
	}
	for _, stage := range j.spec.Stages {
		if stage.LongRunning {
			return true
		}
	}
	return false
}
