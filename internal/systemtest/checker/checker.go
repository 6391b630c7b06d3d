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
	byTask     map[task][]*placedRun
	byWorker   map[string][]*placedRun
	runs       []*placedRun
	violations []Violation
}

// placedRun is a run with what its name says.
type placedRun struct {
	*Run
	task  task
	known bool   // the task belongs to a job that a client sent
	stage *stage // nil where it is not known
	job   *jobRecord
}

// ends is when a run was over; a moment after everything while it runs.
func (r *placedRun) ends() time.Time {
	if r.EndedAt.IsZero() {
		return endless
	}
	return r.EndedAt
}

var endless = time.Unix(1<<40, 0)

// Check returns the broken rules of a history, by time.
func Check(history History) []Violation {
	c := &checker{
		History: history, core: map[string]bool{}, jobs: map[string]*jobRecord{}, workers: map[string]*Worker{},
		byTask: map[task][]*placedRun{}, byWorker: map[string][]*placedRun{},
	}
	for _, machine := range history.Core {
		c.core[machine] = true
	}
	for i := range history.Workers {
		c.workers[history.Workers[i].ID] = &history.Workers[i]
	}
	slices.SortStableFunc(c.Requests, func(a, b Request) int { return a.SentAt.Compare(b.SentAt) })
	c.takeRequests()
	c.takeOrders()
	c.takeRuns()
	c.checkOrders()
	c.checkInForce()
	for _, r := range c.runs {
		c.checkRun(r)
	}
	c.checkJobs()
	c.checkCuts()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Rule, b.Rule)) })
	return c.violations
}

func (c *checker) report(rule, subject string, at time.Time, detail string) {
	c.violations = append(c.violations, Violation{Rule: rule, Subject: subject, Detail: detail, At: at})
}

// takeRuns names the runs, by the time of their start.
func (c *checker) takeRuns() {
	for i := range c.Runs {
		r := &placedRun{Run: &c.Runs[i]}
		r.task, r.known = parseTask(r.Task)
		r.job = c.jobs[r.task.job]
		r.known = r.known && r.job != nil && r.job.submitted && r.task.stage < len(r.job.spec.Stages) && r.task.time < r.job.spec.times()
		if r.known {
			r.stage = &r.job.spec.Stages[r.task.stage]
			r.known = r.task.index < r.stage.Count
		}
		c.runs = append(c.runs, r)
	}
	slices.SortStableFunc(c.runs, func(a, b *placedRun) int { return a.StartedAt.Compare(b.StartedAt) })
	for _, r := range c.runs {
		c.byTask[r.task] = append(c.byTask[r.task], r)
		c.byWorker[r.Worker] = append(c.byWorker[r.Worker], r)
	}
}

// checkRun checks all rules on a start.
func (c *checker) checkRun(r *placedRun) {
	if !c.checkAsked(r) {
		return
	}
	c.checkLimit(r)
	c.checkTwice(r)
	c.checkDone(r)
	c.checkOrder(r)
	c.checkRoute(r)
	c.checkBudget(r)
	c.checkGang(r)
	c.checkCancelled(r)
	c.checkRefused(r)
	c.checkDrained(r)
}
