package policy

import (
	"cmp"
	"math"
	"slices"
)

// Queries: what is taken, what is dropped or turned away, when a query ends and how.

// deadlineMargin is how long before a deadline an answer must be on its way: a sweep may come a step late.
func (a *Aggregator) deadlineMargin() float64 {
	return max(sweepEvery, a.settings.Step) + 2*a.settings.Step
}

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

func (a *Aggregator) receiveQuery(e *Event) {
	q, row := a.addQuery(e), &a.indexes[e.Index]
	q.overQuota = a.exceedsQuota(e.Customer, burstS)
	// Against counting the soft deadline from a retry: a client's last try gives all that is left, be it more or
	// less than its first ones gave, which are most.
	if row.recordTimeout(e.Remaining, timeoutTolerance*row.hard, timeoutVotesMax); math.Abs(e.Remaining-row.clientTimeout) > timeoutTolerance*row.hard {
		q.soft -= max(0, row.hard-e.Remaining)
	}
}

func (a *Aggregator) receiveSubquery(e *Event) {
	q := a.queries[e.No]
	if q == nil {
		return
	}
	sub := a.addSubquery(q, e)
	if e.Hint > 0 {
		smooth(&a.meanHint, e.Hint, usualStep)
		smooth(&a.indexes[q.index].meanWork, e.Hint, usualStep)
		sub.size = (1 + e.Hint/a.meanHint) / 2 // half of a latency is the wait for others' parts
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

// mustReject tells whether a query just taken could not be answered in time, by the slowest part that its
// least answer needs. What is worth less, by its index or past its customer's share, must come out earlier.
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

// shedSubqueries drops, where it is crowded, parts that a query may do without and that give least for their work.
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

// recentLatency is the latency heard of late from any backend.
func (a *Aggregator) recentLatency() float64 {
	return a.recentLatencies.mean(a.usualLatency, priorSamples, a.now, a.shortestSoft)
}

// due is the soft deadline of the step in hand: a second one that is to come needs time too.
func (a *Aggregator) stepDeadline(q *query) float64 {
	if q.state != stateFirstStep {
		return q.soft
	}
	return q.soft - secondStepLatencies*max(a.averageLatency, a.recentLatency())
}

// checkDeadlines looks after what time alone does to a query.
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
	// A part that misses the soft deadline takes more from others than the little gain that is left.
	hopeless := pendingWeight > row.lateValue && a.averageLatency > 0
	for _, sub := range q.subqueries {
		if sub.state == stateInFlight {
			a.hedge(sub)
		} else if hopeless && sub.state == statePending && sub.assigned != nil && !slices.ContainsFunc(a.holdersOf(sub), inTime) {
			a.applyToSubquery(sub, onTooLate)
		}
	}
}

func (a *Aggregator) countAnswer(sub *subquery) {
	sub.query.answeredWeight += sub.weight
	a.cancelAll(sub)
	a.endIfDecided(sub.query)
}

func (a *Aggregator) abandon(sub *subquery) {
	a.reserveRetry(sub, false)
	a.unassign(sub)
	sub.query.abandonedWeight += sub.weight
	a.endIfDecided(sub.query)
}

// endIfDecided ends a query as soon as what is in, or lost, decides it.
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

// answer ends a step, and with the last one its query.
func (a *Aggregator) answer(q *query) {
	a.emit(Action{Kind: Answer, Query: q.id, Complete: !q.partial})
	if q.state == stateEnded {
		a.removeQuery(q)
	} else {
		a.nextStep(q, a.indexes[q.index].secondStep)
	}
}

// reject ends a query without an answer: by a nack wherever trying again is surely harmless.
func (a *Aggregator) reject(q *query) {
	action := Action{Kind: Nack, Query: q.id}
	if a.indexes[q.index].effect != Idempotent && (q.firstStepDone || slices.ContainsFunc(q.subqueries, (*subquery).mayHaveExecuted)) {
		action.Kind = Abort
	} else if a.settings.Limits.RetryAfter {
		action.Wait = min(a.settings.Limits.MaxRetryAfter, 2*a.expectedLatency(nil, q.index)) // also while nobody was heard
	}
	a.emit(action)
	a.removeQuery(q)
}
