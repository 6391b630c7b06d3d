package policy

import (
	"cmp"
	"math"
	"slices"
)

// Queries: admission, load shedding, deadlines, and the end of a query.

// deadlineMargin returns the number of seconds before a deadline at which an answer must be sent. It allows for a sweep that
// runs one step late.
func (a *Aggregator) deadlineMargin() float64 {
	return max(sweepInterval, a.settings.StepInterval) + 2*a.settings.StepInterval
}

// sweep handles everything that depends on time alone: the backoff of list requests, unresponsive backends and deadlines.
func (a *Aggregator) sweep() {
	a.emit(Action{Kind: SetTimer, Timer: sweepTimer, Wait: max(sweepInterval, a.settings.StepInterval)})
	if a.now >= a.listPollAt {
		a.listPollAt = math.Inf(1)
		a.emit(Action{Kind: Subscribe, On: true})
	}
	for _, b := range a.orderedBackends {
		a.detectUnresponsive(b)
	}
	for _, q := range slices.Clone(a.openQueries) {
		a.checkDeadlines(q)
	}
}

// receiveQuery records a query. Its subqueries follow as separate events.
func (a *Aggregator) receiveQuery(e *Event) {
	q, index := a.addQuery(e), &a.indexes[e.Index]
	q.overQuota = a.exceedsQuota(e.Customer, quotaBurstS)
	// The soft deadline counts from the client's first attempt. First attempts are the majority, and all state the same
	// timeout. A client's last attempt states the remaining time instead, which may be longer or shorter than that timeout.
	// The difference between the hard deadline and that time is the time since the first attempt.
	if index.recordTimeout(e.Remaining, timeoutTolerance*index.hardDeadline, maxTimeoutVotes); math.Abs(e.Remaining-index.clientTimeout) > timeoutTolerance*index.hardDeadline {
		q.softDeadline -= max(0, index.hardDeadline-e.Remaining)
	}
}

// receiveSubquery binds a subquery. With the last subquery of a query, it sheds load and decides on admission.
func (a *Aggregator) receiveSubquery(e *Event) {
	q := a.queries[e.QueryNumber]
	if q == nil {
		return
	}
	sub := a.addSubquery(q, e)
	if e.Hint > 0 {
		updateEWMA(&a.meanWorkHint, e.Hint, movingMedianStep)
		updateEWMA(&a.indexes[q.index].meanWork, e.Hint, movingMedianStep)
		sub.size = (1 + e.Hint/a.meanWorkHint) / 2 // half of a latency is time spent waiting behind other subqueries
	}
	a.bind(sub)
	if len(q.subqueries) == q.expectedSubqueries {
		slices.SortStableFunc(q.subqueries, func(a, b *subquery) int { return cmp.Compare(b.size, a.size) })
		a.shedSubqueries(q)
		if a.mustReject(q) {
			a.applyToQuery(q, onReject)
		}
	}
}

// mustReject reports whether a query just received cannot be answered in time. The estimate is the latency of the slowest
// subquery that the minimum answer needs. A query must finish earlier if its index has a lower value or its customer exceeds
// the quota.
func (a *Aggregator) mustReject(q *query) bool {
	index, estimate, loaded := &a.indexes[q.index], 0.0, a.recentLatency() > fastLatencyLimit*a.medianLatency
	latencies := make([]float64, 0, len(q.subqueries))
	for _, sub := range q.subqueries {
		if b := sub.backend; b != nil {
			ahead := float64(b.callsPending - a.pendingCallsFor(q, b))
			loaded = loaded || ahead > 0 || b.window < 1
			latencies = append(latencies, a.expectedLatency(b, q.index)*(1+ahead/b.window)+max(0, b.unreachableUntil-a.now))
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		estimate = latencies[min(len(latencies)-1, int(index.minimumWeight*float64(len(latencies))))]
	}
	estimate += lowValueMargin * (1 - index.value/a.maxQueryValue) * index.softDeadline
	estimate += overQuotaMargin * indicator(q.overQuota) * index.softDeadline
	return a.averageLatency > 0 && (a.now+estimate > q.deadline || loaded && a.now+estimate > a.stepDeadline(q))
}

// shedSubqueries abandons dispensable subqueries of a query under overload, beginning with those of the least weight for
// their work.
func (a *Aggregator) shedSubqueries(q *query) {
	allowance := (q.requiredWeight - a.indexes[q.index].minimumWeight) * overloadShedShare
	if a.recentLatency() <= overloadThreshold*a.medianLatency {
		return
	}
	subqueries := slices.Clone(q.subqueries)
	slices.SortStableFunc(subqueries, func(a, b *subquery) int { return cmp.Compare(a.weight/a.size, b.weight/b.size) })
	for _, sub := range subqueries {
		if allowance -= sub.weight; allowance < 0 {
			return
		}
		a.applyToSubquery(sub, onAbandon)
	}
}

// recentLatency returns the mean latency of recent answers of all backends.
func (a *Aggregator) recentLatency() float64 {
	return a.recentLatencies.mean(a.medianLatency, priorSamples, a.now, a.shortestSoftDeadline)
}

// stepDeadline returns the soft deadline of the current step. A first step must leave time for the second.
func (a *Aggregator) stepDeadline(q *query) float64 {
	if q.state != stateFirstStep {
		return q.softDeadline
	}
	return q.softDeadline - secondStepTime*max(a.averageLatency, a.recentLatency())
}

// checkDeadlines ends a query at its deadline, hedges its slow calls, and abandons subqueries that cannot finish in time.
func (a *Aggregator) checkDeadlines(q *query) {
	index, softDeadline := &a.indexes[q.index], a.stepDeadline(q)
	minimumReached := q.answeredWeight >= index.minimumWeight-weightTolerance
	switch {
	case a.now >= q.deadline-a.deadlineMargin() && !minimumReached:
		a.applyToQuery(q, onReject)
	case a.now >= q.deadline-a.deadlineMargin(), minimumReached && a.now >= softDeadline-a.deadlineMargin() && index.partialValue*q.answeredWeight > index.lateValue:
		a.applyToQuery(q, onPartial)
	}
	inTime := func(b *backend) bool { return usable(b) && a.now+a.expectedLatency(b, q.index) <= softDeadline }
	pendingWeight := q.sumWeights(func(sub *subquery) bool { return sub.state == statePending })
	// After the soft deadline, the remaining value of a subquery is lower than the cost of its work to other queries.
	abandonLate := pendingWeight > index.lateValue && a.averageLatency > 0
	for _, sub := range q.subqueries {
		if sub.state == stateInFlight {
			a.hedge(sub)
		} else if abandonLate && sub.state == statePending && sub.backend != nil && !slices.ContainsFunc(a.replicasOf(sub), inTime) {
			a.applyToSubquery(sub, onAbandon)
		}
	}
}

// countAnswer adds an answered subquery to the answered weight of its query and cancels the subquery's other calls.
func (a *Aggregator) countAnswer(sub *subquery) {
	sub.query.answeredWeight += sub.weight
	a.cancelAll(sub)
	a.endIfDecided(sub.query)
}

// abandon adds a subquery to the abandoned weight of its query.
func (a *Aggregator) abandon(sub *subquery) {
	a.reserveRetry(sub, false)
	a.unassign(sub)
	sub.query.abandonedWeight += sub.weight
	a.endIfDecided(sub.query)
}

// endIfDecided ends a query as soon as its answered or abandoned weight decides the result.
func (a *Aggregator) endIfDecided(q *query) {
	q.openSubqueries--
	switch {
	case len(q.subqueries) < q.expectedSubqueries:
	case q.answeredWeight >= q.requiredWeight-weightTolerance:
		a.applyToQuery(q, onComplete)
	case 1-q.abandonedWeight < a.indexes[q.index].minimumWeight-weightTolerance:
		a.applyToQuery(q, onReject)
	case q.openSubqueries == 0:
		a.applyToQuery(q, onPartial)
	}
}

// answer emits the answer to a step of a query. After the last step, it ends the query.
func (a *Aggregator) answer(q *query) {
	a.emit(Action{Kind: Answer, Query: q.id, Complete: !q.partial})
	if q.state == stateEnded {
		a.removeQuery(q)
	} else {
		a.nextStep(q, a.indexes[q.index].secondStep)
	}
}

// reject ends a query without an answer. It emits a nack if a retry by the client is certainly harmless, else an abort.
func (a *Aggregator) reject(q *query) {
	action := Action{Kind: Nack, Query: q.id}
	if a.indexes[q.index].effect != Idempotent && (q.firstStepDone || slices.ContainsFunc(q.subqueries, (*subquery).mayHaveExecuted)) {
		action.Kind = Abort
	} else if a.settings.Limits.RetryAfter {
		action.Wait = min(a.settings.Limits.MaxRetryAfter, 2*a.expectedLatency(nil, q.index)) // expectedLatency also has a value before the first answer
	}
	a.emit(action)
	a.removeQuery(q)
}
