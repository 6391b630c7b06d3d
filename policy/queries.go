package policy

import (
	"cmp"
	"math"
	"slices"
)

// Queries: admission, load shedding, deadlines, and how a query ends.

// deadlineMargin is how many seconds before a deadline an answer must be sent: a sweep may come a step late.
func (a *Aggregator) deadlineMargin() float64 {
	return max(sweepEvery, a.settings.Step) + 2*a.settings.Step
}

// sweep handles what time alone brings about: the list's backoff, silent backends and deadlines.
func (a *Aggregator) sweep() {
	a.emit(Action{Kind: SetTimer, Timer: sweepTimer, Wait: max(sweepEvery, a.settings.Step)})
	if a.now >= a.listPollAt {
		a.listPollAt = math.Inf(1)
		a.emit(Action{Kind: Subscribe, On: true})
	}
	for _, b := range a.fleet {
		a.detectSilence(b)
	}
	for _, q := range slices.Clone(a.openQueries) {
		a.checkDeadlines(q)
	}
}

// receiveQuery admits a query; its subqueries follow as events of their own.
func (a *Aggregator) receiveQuery(e *Event) {
	q, row := a.addQuery(e), &a.indexes[e.Index]
	q.overQuota = a.exceedsQuota(e.Customer, burstS)
	// The soft deadline counts from a client's first attempt. Its last attempt gives all the time that remains, be it more
	// or less than the timeout of first attempts, which are most; the difference shows how long ago the first one was.
	if row.recordTimeout(e.Remaining, timeoutTolerance*row.hard, timeoutVotesMax); math.Abs(e.Remaining-row.clientTimeout) > timeoutTolerance*row.hard {
		q.soft -= max(0, row.hard-e.Remaining)
	}
}

// receiveSubquery binds a subquery; with the last one of its query it sheds load and decides on admission.
func (a *Aggregator) receiveSubquery(e *Event) {
	q := a.queries[e.No]
	if q == nil {
		return
	}
	sub := a.addSubquery(q, e)
	if e.Hint > 0 {
		smooth(&a.meanHint, e.Hint, usualStep)
		smooth(&a.indexes[q.index].meanWork, e.Hint, usualStep)
		sub.size = (1 + e.Hint/a.meanHint) / 2 // half of a latency is the wait behind other subqueries
	}
	a.bind(sub)
	if len(q.subqueries) == q.expected {
		slices.SortStableFunc(q.subqueries, func(a, b *subquery) int { return cmp.Compare(b.size, a.size) })
		a.shedSubqueries(q)
		if a.mustReject(q) {
			a.applyToQuery(q, onGiveUp)
		}
	}
}

// mustReject tells whether a query just received could not be answered in time, by the slowest subquery that its least
// answer needs. A query of less value, by its index or as its customer is over its quota, must finish earlier.
func (a *Aggregator) mustReject(q *query) bool {
	row, estimate, crowded := &a.indexes[q.index], 0.0, a.recentLatency() > usualUpTo*a.usualLatency
	latencies := make([]float64, 0, len(q.subqueries))
	for _, sub := range q.subqueries {
		if b := sub.assigned; b != nil {
			ahead := float64(b.callsPending - a.callsFor(q, b))
			crowded = crowded || ahead > 0 || b.window < 1
			latencies = append(latencies, a.expectedLatency(b, q.index)*(1+ahead/b.window)+max(0, b.unreachableUntil-a.now))
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		estimate = latencies[min(len(latencies)-1, int(row.minimum*float64(len(latencies))))]
	}
	estimate += lowValue * (1 - row.value/a.topValue) * row.soft
	estimate += overShare * indicator(q.overQuota) * row.soft
	return a.averageLatency > 0 && (a.now+estimate > q.deadline || crowded && a.now+estimate > a.stepDeadline(q))
}

// shedSubqueries drops, under overload, those subqueries that a query may do without and that give least weight for their
// work.
func (a *Aggregator) shedSubqueries(q *query) {
	allowance := (q.required - a.indexes[q.index].minimum) * overloadDrop
	if a.recentLatency() <= overloadFrom*a.usualLatency {
		return
	}
	subqueries := slices.Clone(q.subqueries)
	slices.SortStableFunc(subqueries, func(a, b *subquery) int { return cmp.Compare(a.weight/a.size, b.weight/b.size) })
	for _, sub := range subqueries {
		if allowance -= sub.weight; allowance < 0 {
			return
		}
		a.applyToSubquery(sub, onTooLate)
	}
}

// recentLatency is the mean latency of recent answers of all backends.
func (a *Aggregator) recentLatency() float64 {
	return a.recentLatencies.mean(a.usualLatency, priorSamples, a.now, a.shortestSoft)
}

// stepDeadline is the soft deadline of the current step: a first step leaves time for the second.
func (a *Aggregator) stepDeadline(q *query) float64 {
	if q.state != stateFirstStep {
		return q.soft
	}
	return q.soft - secondStepLatencies*max(a.averageLatency, a.recentLatency())
}

// checkDeadlines ends a query at its deadline, hedges its slow calls, and abandons subqueries that can't be in time.
func (a *Aggregator) checkDeadlines(q *query) {
	row, due := &a.indexes[q.index], a.stepDeadline(q)
	enough := q.answeredWeight >= row.minimum-sumSlack
	switch {
	case a.now >= q.deadline-a.deadlineMargin() && !enough:
		a.applyToQuery(q, onGiveUp)
	case a.now >= q.deadline-a.deadlineMargin(), enough && a.now >= due-a.deadlineMargin() && row.partialValue*q.answeredWeight > row.lateValue:
		a.applyToQuery(q, onPartial)
	}
	inTime := func(b *backend) bool { return usable(b) && a.now+a.expectedLatency(b, q.index) <= due }
	pendingWeight := q.sumWeights(func(sub *subquery) bool { return sub.state == statePending })
	// A subquery that misses the soft deadline costs other queries more than the little value that remains.
	hopeless := pendingWeight > row.lateValue && a.averageLatency > 0
	for _, sub := range q.subqueries {
		if sub.state == stateInFlight {
			a.hedge(sub)
		} else if hopeless && sub.state == statePending && sub.assigned != nil && !slices.ContainsFunc(a.holdersOf(sub), inTime) {
			a.applyToSubquery(sub, onTooLate)
		}
	}
}

// countAnswer counts an answered subquery towards its query, and cancels its other calls.
func (a *Aggregator) countAnswer(sub *subquery) {
	sub.query.answeredWeight += sub.weight
	a.cancelAll(sub)
	a.endIfDecided(sub.query)
}

// abandon counts a subquery as lost for its query.
func (a *Aggregator) abandon(sub *subquery) {
	a.reserveRetry(sub, false)
	a.unassign(sub)
	sub.query.abandonedWeight += sub.weight
	a.endIfDecided(sub.query)
}

// endIfDecided ends a query as soon as the answered or the abandoned weight decides it.
func (a *Aggregator) endIfDecided(q *query) {
	q.unfinished--
	switch {
	case len(q.subqueries) < q.expected:
	case q.answeredWeight >= q.required-sumSlack:
		a.applyToQuery(q, onComplete)
	case 1-q.abandonedWeight < a.indexes[q.index].minimum-sumSlack:
		a.applyToQuery(q, onGiveUp)
	case q.unfinished == 0:
		a.applyToQuery(q, onPartial)
	}
}

// answer answers a step of a query, and ends the query with its last step.
func (a *Aggregator) answer(q *query) {
	a.emit(Action{Kind: Answer, Query: q.id, Complete: !q.partial})
	if q.state == stateEnded {
		a.removeQuery(q)
	} else {
		a.nextStep(q, a.indexes[q.index].secondStep)
	}
}

// reject ends a query without an answer: by a nack where a retry by the client is surely harmless, else by an abort.
func (a *Aggregator) reject(q *query) {
	action := Action{Kind: Nack, Query: q.id}
	if a.indexes[q.index].effect != Idempotent && (q.firstStepDone || slices.ContainsFunc(q.subqueries, (*subquery).mayHaveExecuted)) {
		action.Kind = Abort
	} else if a.settings.Limits.RetryAfter {
		action.Wait = min(a.settings.Limits.MaxRetryAfter, 2*a.expectedLatency(nil, q.index)) // also before any answer
	}
	a.emit(action)
	a.removeQuery(q)
}
