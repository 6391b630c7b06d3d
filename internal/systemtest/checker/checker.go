package checker

import (
	"cmp"
	"slices"
	"time"
)

// checker holds a history, indexes of it, and the violations found so far.
type checker struct {
	History
	core           map[string]bool
	jobs           map[string]*jobRecord
	configurations []*configuration // sent by operators, sorted by version
	workers        map[string]*Worker
	byTask         map[task][]*attemptRecord
	byWorker       map[string][]*attemptRecord
	attempts       []*attemptRecord
	violations     []Violation
}

// attemptRecord is an attempt with the task, stage and job that its task name refers to.
type attemptRecord struct {
	*Attempt
	task      task
	requested bool   // the task belongs to a job that a client submitted
	stage     *stage // nil if the name refers to no stage of a submitted job
	job       *jobRecord
}

// endOrFarFuture returns the end of an attempt, or farFuture if it had not ended.
func (r *attemptRecord) endOrFarFuture() time.Time {
	if r.EndedAt.IsZero() {
		return farFuture
	}
	return r.EndedAt
}

// farFuture is later than any time in a history.
var farFuture = time.Unix(1<<40, 0)

// Check returns the violations of the rules in a history, sorted by time.
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
	c.indexConfigurations()
	c.indexAttempts()
	c.checkOperatorRequests()
	c.checkActiveConfiguration()
	for _, attempt := range c.attempts {
		c.checkAttempt(attempt)
	}
	c.checkJobs()
	c.checkAbortedRequests()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Rule, b.Rule)) })
	return c.violations
}

func (c *checker) report(rule, subject string, at time.Time, detail string) {
	c.violations = append(c.violations, Violation{Rule: rule, Subject: subject, Detail: detail, At: at})
}

// indexAttempts sorts the attempts by their start and finds the task, stage and job of each.
func (c *checker) indexAttempts() {
	for i := range c.Attempts {
		attempt := &attemptRecord{Attempt: &c.Attempts[i]}
		attempt.task, attempt.requested = parseTask(attempt.Task)
		attempt.job = c.jobs[attempt.task.job]
		attempt.requested = attempt.requested && attempt.job != nil && attempt.job.submitted && attempt.task.stage < len(attempt.job.spec.Stages) && attempt.task.repetition < attempt.job.spec.repetitions()
		if attempt.requested {
			attempt.stage = &attempt.job.spec.Stages[attempt.task.stage]
			attempt.requested = attempt.task.index < attempt.stage.Count
		}
		c.attempts = append(c.attempts, attempt)
	}
	slices.SortStableFunc(c.attempts, func(a, b *attemptRecord) int { return a.StartedAt.Compare(b.StartedAt) })
	for _, attempt := range c.attempts {
		c.byTask[attempt.task] = append(c.byTask[attempt.task], attempt)
		c.byWorker[attempt.Worker] = append(c.byWorker[attempt.Worker], attempt)
	}
}

// checkAttempt checks one attempt against all rules about attempts.
func (c *checker) checkAttempt(attempt *attemptRecord) {
	if !c.checkRequested(attempt) {
		return
	}
	c.checkCapacity(attempt)
	c.checkConcurrentAttempts(attempt)
	c.checkOneService(attempt)
	c.checkAfterCompletion(attempt)
	c.checkStageOrder(attempt)
	c.checkPlacement(attempt)
	c.checkAttemptBudget(attempt)
	c.checkGang(attempt)
	c.checkCancelled(attempt)
	c.checkRejectedJob(attempt)
	c.checkDrainingWorker(attempt)
}
