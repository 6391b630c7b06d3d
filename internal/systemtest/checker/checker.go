package checker

import (
	"cmp"
	"slices"
	"time"
)

// checker holds what was read from a history, and gathers the violations.
type checker struct {
	History
	core       map[string]bool
	jobs       map[string]*jobRecord
	changes    []*configuration // by version
	workers    map[string]*Worker
	byTask     map[task][]*attemptRecord
	byWorker   map[string][]*attemptRecord
	attempts   []*attemptRecord
	violations []Violation
}

// attemptRecord is an attempt with what its name says.
type attemptRecord struct {
	*Attempt
	task  task
	known bool   // the task belongs to a job that a client sent
	stage *stage // nil where it is not known
	job   *jobRecord
}

// endOrForever is when an attempt was over; a moment after everything while it runs.
func (r *attemptRecord) endOrForever() time.Time {
	if r.EndedAt.IsZero() {
		return forever
	}
	return r.EndedAt
}

var forever = time.Unix(1<<40, 0)

// Check returns the broken rules of a history, by time.
func Check(history History) []Violation {
	c := &checker{
		History: history, core: map[string]bool{}, jobs: map[string]*jobRecord{}, workers: map[string]*Worker{},
		byTask: map[task][]*attemptRecord{}, byWorker: map[string][]*attemptRecord{},
	}
	for _, machine := range history.Core {
		c.core[machine] = true
	}
	for i := range history.Workers {
		c.workers[history.Workers[i].ID] = &history.Workers[i]
	}
	slices.SortStableFunc(c.Requests, func(a, b Request) int { return a.SentAt.Compare(b.SentAt) })
	c.indexRequests()
	c.indexChanges()
	c.indexAttempts()
	c.checkOperatorRequests()
	c.checkActiveConfiguration()
	for _, r := range c.attempts {
		c.checkAttempt(r)
	}
	c.checkJobs()
	c.checkAbortedRequests()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Rule, b.Rule)) })
	return c.violations
}

func (c *checker) report(rule, subject string, at time.Time, detail string) {
	c.violations = append(c.violations, Violation{Rule: rule, Subject: subject, Detail: detail, At: at})
}

// indexAttempts names the runs, by the time of their start.
func (c *checker) indexAttempts() {
	for i := range c.Attempts {
		r := &attemptRecord{Attempt: &c.Attempts[i]}
		r.task, r.known = parseTask(r.Task)
		r.job = c.jobs[r.task.job]
		r.known = r.known && r.job != nil && r.job.submitted && r.task.stage < len(r.job.spec.Stages) && r.task.repetition < r.job.spec.repetitions()
		if r.known {
			r.stage = &r.job.spec.Stages[r.task.stage]
			r.known = r.task.index < r.stage.Count
		}
		c.attempts = append(c.attempts, r)
	}
	slices.SortStableFunc(c.attempts, func(a, b *attemptRecord) int { return a.StartedAt.Compare(b.StartedAt) })
	for _, r := range c.attempts {
		c.byTask[r.task] = append(c.byTask[r.task], r)
		c.byWorker[r.Worker] = append(c.byWorker[r.Worker], r)
	}
}

// checkAttempt checks all rules on a start.
func (c *checker) checkAttempt(r *attemptRecord) {
	if !c.checkRequested(r) {
		return
	}
	c.checkCapacity(r)
	c.checkConcurrentAttempts(r)
	c.checkAfterCompletion(r)
	c.checkStageOrder(r)
	c.checkPlacement(r)
	c.checkAttemptBudget(r)
	c.checkGang(r)
	c.checkCancelled(r)
	c.checkRejectedJob(r)
	c.checkDrainingWorker(r)
}
