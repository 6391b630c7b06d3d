package policy

import (
	"math"
	"slices"
)

// Sending: the order of pending subqueries, whether one may be sent yet, hedges and retries.

// sendsCanary tells whether a query sends a single subquery first: every subquery of a query that crashes backends would
// crash another one.
func (a *Aggregator) sendsCanary(q *query) bool {
	return !q.anyAnswered && (q.brokenCalls > 0 || a.crashesSuspected())
}

// awaitsProbe probes the two likeliest replicas of a pending subquery, and tells whether to wait for the first answer.
func (a *Aggregator) awaitsProbe(sub *subquery) (pending bool) {
	alive := func(b *backend) bool { return usable(b) && a.recentlyAlive(b) && a.mayServe(sub, b) }
	if slices.ContainsFunc(a.holdersOf(sub), alive) {
		return false
	}
	likeliest := a.choose(sub, nil, false)
	for _, b := range []*backend{likeliest, a.choose(sub, likeliest, false)} {
		if b != nil && usable(b) {
			a.probe(b, false)
			pending = pending || b.probing
		}
	}
	return pending
}

// hedge replaces a call that a sibling would long have answered, by a second call or, where hedged requests are not allowed,
// by a cancellation and a retry. It guards against backends that are slow or lose calls.
func (a *Aggregator) hedge(sub *subquery) {
	if len(sub.calls) != 1 || sub.calls[0].canceled || !a.mayRetry(sub) {
		return
	}
	c, b := sub.calls[0], a.choose(sub, sub.calls[0].backend, true)
	age, patience := a.now-c.sent, hedgeFrom*max(a.averageLatency, a.expectedLatency(b, sub.query.index))*sub.size
	if !a.probesQueue && (sub.query.answeredWeight < nearlyComplete*sub.query.required || a.recentLatency() > overloadFrom*a.usualLatency) { // hedges of the last few subqueries cost little
		patience *= hedgeSlack
	}
	switch {
	case b == nil || age < patience && usable(c.backend):
		return
	case a.settings.Limits.Probe && !a.recentlyAlive(b): // where the sibling's queue is as long, a hedge only adds to both
		a.probe(b, false)
		return
	case a.probesQueue && c.backend.aliveAt > c.sent && c.backend.answeredAt < c.sent: // a call waits no longer than a probe, so this one is lost
		a.connectionLost(c)
	}
	if a.settings.Limits.Hedge {
		sub.assigned = b
		a.applyToSubquery(sub, onSend)
	} else if a.settings.Limits.Cancel {
		a.reserveRetry(sub, true)
		a.cancel(c)
	}
}

// hasCapacity tells whether a backend may get another call now. An unreachable one gets a call at a time, after each
// backoff; one with a window below one call gets them paced.
func (a *Aggregator) hasCapacity(sub *subquery, b *backend) bool {
	if !usable(b) && (b.probing || a.now < b.unreachableUntil || b.callsInFlight > 0) {
		return false
	}
	paced := b.callsInFlight == 0 && a.now-b.lastUsedAt >= b.latency*(1/b.window-1) // below one call
	return (a.canShareCall(b) || float64(b.callsInFlight) < math.Floor(b.window) || paced) && a.slowStartAllows(sub, b)
}

// reorder makes SWAG's order: the pending query of least makespan first, its calls then added to the queues.
func (a *Aggregator) reorder() {
	a.orderStale, a.sendOrder = false, a.sendOrder[:0]
	for _, b := range a.fleet {
		b.queue = float64(b.callsInFlight)
	}
	remaining := a.openQueriesBySize()
	for len(remaining) > 0 {
		best, least := 0, math.Inf(1)
		for i, q := range remaining {
			makespan := 0.0
			for _, assigned := range q.assignments {
				if assigned.subqueries > 0 {
					makespan = max(makespan, (assigned.backend.queue+float64(a.callsFor(q, assigned.backend)))*a.expectedLatency(assigned.backend, q.index))
				}
			}
			if makespan < least || makespan == least && q.size < remaining[best].size {
				best, least = i, makespan
			}
		}
		q := remaining[best]
		for _, assigned := range q.assignments {
			assigned.backend.queue += float64(a.callsFor(q, assigned.backend))
		}
		a.sendOrder = append(a.sendOrder, q)
		remaining = slices.Delete(remaining, best, best+1)
	}
}

// sendPending sends, in order, all pending subqueries that may be sent now.
func (a *Aggregator) sendPending() {
	a.averageLatency = a.meanLatency(func(b *backend) bool { return usable(b) && !b.excluded })
	if a.orderStale {
		a.reorder()
	}
	for _, q := range a.sendOrder {
		canary, subqueries := a.sendsCanary(q), q.subqueries
		if len(subqueries) < q.expected || canary && q.hasCallsInFlight() {
			continue
		}
		// While required subqueries have no reachable replica, work on the others is likely wasted.
		mayFail := q.abandonedWeight+q.sumWeights(a.unreachable) > 1-a.indexes[q.index].minimum+sumSlack
		for i, sub := range subqueries {
			if canary {
				sub = subqueries[len(subqueries)-1-i] // the smallest one
			}
			if sub.state == statePending && (!mayFail || a.unreachable(sub)) {
				a.attemptSend(sub)
			}
			if canary && sub.state == stateInFlight {
				break
			}
		}
	}
}

// unreachable tells whether a pending subquery has no reachable replica that may serve it.
func (a *Aggregator) unreachable(sub *subquery) bool {
	inReach := func(b *backend) bool { return usable(b) && a.mayServe(sub, b) }
	return sub.state == statePending && !slices.ContainsFunc(a.holdersOf(sub), inReach)
}

// wouldBeLate tells whether a call sent now is expected to miss the query's deadline.
func (a *Aggregator) wouldBeLate(sub *subquery, b *backend) bool {
	return sub.query.deadline-a.now < a.expectedLatency(b, sub.query.index)
}

// attemptSend sends a pending subquery to its backend or a better sibling, abandons it, or leaves it pending.
func (a *Aggregator) attemptSend(sub *subquery) {
	if sub.assigned != nil && !a.mayServe(sub, sub.assigned) { // the pinned backend serves again, or no longer
		a.bind(sub)
	}
	if sub.state != statePending {
		return
	}
	b, probesFirst := sub.assigned, a.probesFirst()
	if probesFirst && a.awaitsProbe(sub) {
		return
	}
	inTime := b != nil && usable(b) && !a.wouldBeLate(sub, b)
	if !inTime || !a.hasCapacity(sub, b) || probesFirst && !a.recentlyAlive(b) {
		sibling := a.choose(sub, b, inTime)
		if sibling != nil && !a.wouldBeLate(sub, sibling) && (!inTime && usable(sibling) || inTime && (!a.slowStartAllows(sub, b) ||
			a.cost(sub, sibling) < a.cost(sub, b)*sibling.override(sub.query.index).weight || probesFirst && a.recentlyAlive(sibling) && !a.recentlyAlive(b))) {
			a.assign(sub, sibling)
			b = sibling
		}
	}
	switch {
	case b == nil || !a.wouldBeLate(sub, b) && !a.hasCapacity(sub, b):
	case a.wouldBeLate(sub, b) || sub.attempts > 0 && !a.mayRetry(sub):
		a.applyToSubquery(sub, onTooLate)
	default:
		a.applyToSubquery(sub, onSend)
	}
}

// send emits a call of a subquery to the backend that it is assigned to.
func (a *Aggregator) send(sub *subquery) {
	b := sub.assigned
	if len(sub.calls) == 0 {
		a.addAssigned(sub.query, b, -1)
	}
	sub.assigned = nil
	idle := a.now - b.lastUsedAt
	if len(b.calls) == 0 && idle > a.idleLimit && a.idleLosses.valueAt(a.now, faultMemory*a.longestSoft) > idleLossesFrom {
		a.emit(Action{Kind: CloseIdle, Backend: b.id})
		idle = 0
	}
	action := Action{Kind: Send, Subquery: sub.id, Backend: b.id, StopAt: a.callDeadline(sub.query)}
	if a.indexes[sub.query.index].effect == Fingerprinted && sub.mayHaveExecuted() {
		action.BeginBy = sub.firstSent + a.indexes[sub.query.index].dedupWindow // also if it waits for a connection until then
	}
	a.startCall(sub, b).idleBefore = idle
	if a.slowStartFactor(b) < 1 {
		b.slowStartWork = append(b.slowStartWork, sentWork{a.now, a.workOf(sub.query.index)})
	}
	a.emit(action)
}

// callDeadline is the time from which an answer to a call of a query has no value: a call that still waits then need not
// be executed.
func (a *Aggregator) callDeadline(q *query) float64 {
	if row := &a.indexes[q.index]; row.minimum < row.required && row.partialValue > row.lateValue || row.lateValue == 0 {
		return min(q.deadline, q.soft)
	}
	return q.deadline
}

// mayRetry tells whether a further call of sub is allowed by its index's effect, its attempts and the retry budget.
func (a *Aggregator) mayRetry(sub *subquery) bool {
	row, rules := &a.indexes[sub.query.index], &a.settings.Rules
	switch {
	case a.settings.Limits.MaxAttempts > 0 && sub.attempts >= a.settings.Limits.MaxAttempts,
		row.effect == OnceOnly && sub.mayHaveExecuted(),
		row.effect == Fingerprinted && sub.mayHaveExecuted() && a.now > sub.firstSent+row.dedupWindow-a.settings.Step:
		return false
	}
	further, taken := a.retrySpending(sub, a.now-rules.RetryBudgetS)
	return !rules.RetryBudget || float64(further) <= rules.RetryBudgetFree+rules.RetryBudgetPer*float64(taken)
}
