package policy

import (
	"math"
	"slices"
)

// Sending: the order of pending subqueries, the conditions for sending one, hedged requests and retries.

// sendsCanary reports whether a query sends a single subquery first. If a query crashes backends, each of its subqueries would
// crash another backend.
func (a *Aggregator) sendsCanary(q *query) bool {
	return !q.anyAnswered && (q.brokenCalls > 0 || a.crashesSuspected())
}

// awaitProbe probes the two best replicas of a pending subquery. It reports whether to wait for the first answer to a probe.
func (a *Aggregator) awaitProbe(sub *subquery) (pending bool) {
	alive := func(b *backend) bool { return usable(b) && a.recentlyAlive(b) && a.mayServe(sub, b) }
	if slices.ContainsFunc(a.replicasOf(sub), alive) {
		return false
	}
	cheapest := a.chooseReplica(sub, nil, false)
	for _, b := range []*backend{cheapest, a.chooseReplica(sub, cheapest, false)} {
		if b != nil && usable(b) {
			a.probe(b, false)
			pending = pending || b.probing
		}
	}
	return pending
}

// hedge sends a hedged request for a call that takes much longer than a sibling's expected latency. If the deployment does not
// permit hedged requests, it cancels the call and retries it. This protects against backends that are slow or lose calls.
func (a *Aggregator) hedge(sub *subquery) {
	if len(sub.calls) != 1 || sub.calls[0].canceled || !a.mayRetry(sub) {
		return
	}
	c, b := sub.calls[0], a.chooseReplica(sub, sub.calls[0].backend, true)
	age, minAge := a.now-c.sentAt, hedgeDelay*max(a.averageLatency, a.expectedLatency(b, sub.query.index))*sub.size
	if !a.probesQueue && (sub.query.answeredWeight < nearlyCompleteShare*sub.query.requiredWeight || a.recentLatency() > overloadThreshold*a.medianLatency) { // hedges of a query's last few subqueries cost little
		minAge *= hedgeDelayFactor
	}
	switch {
	case b == nil || age < minAge && usable(c.backend):
		return
	case a.settings.Limits.Probe && !a.recentlyAlive(b): // if the sibling's queue is equally long, a hedge only adds to both queues
		a.probe(b, false)
		return
	case a.probesQueue && c.backend.aliveAt > c.sentAt && c.backend.answeredAt < c.sentAt: // a call waits no longer than a probe, so this call is lost
		a.recordConnectionLoss(c)
	}
	if a.settings.Limits.Hedge {
		sub.backend = b
		a.applyToSubquery(sub, onSend)
	} else if a.settings.Limits.Cancel {
		a.reserveRetry(sub, true)
		a.cancel(c)
	}
}

// hasCapacity reports whether a backend may get another call now. An unreachable backend gets a single call after each
// backoff. A backend with a window below one call gets calls at intervals.
func (a *Aggregator) hasCapacity(sub *subquery, b *backend) bool {
	if !usable(b) && (b.probing || a.now < b.unreachableUntil || b.callsInFlight > 0) {
		return false
	}
	paced := b.callsInFlight == 0 && a.now-b.lastUsedAt >= b.latency*(1/b.window-1) // the interval for a window below one call
	return (a.canShareCall(b) || float64(b.callsInFlight) < math.Floor(b.window) || paced) && a.slowStartAllows(sub, b)
}

// reorder calculates the SWAG order. It repeatedly selects the pending query of least makespan and adds its calls to the
// projected queues.
func (a *Aggregator) reorder() {
	a.sendOrderStale, a.sendOrder = false, a.sendOrder[:0]
	for _, b := range a.orderedBackends {
		b.projectedQueue = float64(b.callsInFlight)
	}
	remaining := a.openQueriesWithPendingCalls()
	for len(remaining) > 0 {
		best, least := 0, math.Inf(1)
		for i, q := range remaining {
			makespan := 0.0
			for _, assigned := range q.assignments {
				if assigned.subqueries > 0 {
					makespan = max(makespan, (assigned.backend.projectedQueue+float64(a.pendingCallsFor(q, assigned.backend)))*a.expectedLatency(assigned.backend, q.index))
				}
			}
			if makespan < least || makespan == least && q.pendingCalls < remaining[best].pendingCalls {
				best, least = i, makespan
			}
		}
		q := remaining[best]
		for _, assigned := range q.assignments {
			assigned.backend.projectedQueue += float64(a.pendingCallsFor(q, assigned.backend))
		}
		a.sendOrder = append(a.sendOrder, q)
		remaining = slices.Delete(remaining, best, best+1)
	}
}

// sendPending sends, in order, all pending subqueries that may be sent now.
func (a *Aggregator) sendPending() {
	a.averageLatency = a.meanLatency(func(b *backend) bool { return usable(b) && !b.excluded })
	if a.sendOrderStale {
		a.reorder()
	}
	for _, q := range a.sendOrder {
		canary, subqueries := a.sendsCanary(q), q.subqueries
		if len(subqueries) < q.expectedSubqueries || canary && q.hasCallsInFlight() {
			continue
		}
		// If a query needs subqueries without a reachable replica, work on its other subqueries is probably wasted.
		mayFail := q.abandonedWeight+q.sumWeights(a.unreachable) > 1-a.indexes[q.index].minimumWeight+weightTolerance
		for i, sub := range subqueries {
			if canary {
				sub = subqueries[len(subqueries)-1-i] // the canary is the smallest subquery
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

// unreachable reports whether a subquery is pending and has no reachable replica that may serve it.
func (a *Aggregator) unreachable(sub *subquery) bool {
	reachable := func(b *backend) bool { return usable(b) && a.mayServe(sub, b) }
	return sub.state == statePending && !slices.ContainsFunc(a.replicasOf(sub), reachable)
}

// wouldBeLate reports whether a call sent now is expected to miss the query's deadline.
func (a *Aggregator) wouldBeLate(sub *subquery, b *backend) bool {
	return sub.query.deadline-a.now < a.expectedLatency(b, sub.query.index)
}

// attemptSend sends a pending subquery to its backend or to a better sibling, abandons it, or leaves it pending.
func (a *Aggregator) attemptSend(sub *subquery) {
	if sub.backend != nil && !a.mayServe(sub, sub.backend) { // the state of the pinned backend has changed
		a.bind(sub)
	}
	if sub.state != statePending {
		return
	}
	b, probesFirst := sub.backend, a.probesBeforeSending()
	if probesFirst && a.awaitProbe(sub) {
		return
	}
	inTime := b != nil && usable(b) && !a.wouldBeLate(sub, b)
	if !inTime || !a.hasCapacity(sub, b) || probesFirst && !a.recentlyAlive(b) {
		sibling := a.chooseReplica(sub, b, inTime)
		if sibling != nil && !a.wouldBeLate(sub, sibling) && (!inTime && usable(sibling) || inTime && (!a.slowStartAllows(sub, b) ||
			a.cost(sub, sibling) < a.cost(sub, b)*sibling.overrideFor(sub.query.index).weight || probesFirst && a.recentlyAlive(sibling) && !a.recentlyAlive(b))) {
			a.assign(sub, sibling)
			b = sibling
		}
	}
	switch {
	case b == nil || !a.wouldBeLate(sub, b) && !a.hasCapacity(sub, b):
	case a.wouldBeLate(sub, b) || sub.attempts > 0 && !a.mayRetry(sub):
		a.applyToSubquery(sub, onAbandon)
	default:
		a.applyToSubquery(sub, onSend)
	}
}

// send emits a call of a subquery to the backend that it is assigned to. It first closes the backend's idle connection if that
// may be dead.
func (a *Aggregator) send(sub *subquery) {
	b := sub.backend
	if len(sub.calls) == 0 {
		a.addPending(sub.query, b, -1)
	}
	sub.backend = nil
	idle := a.now - b.lastUsedAt
	if len(b.calls) == 0 && idle > a.maxConnectionIdleTime && a.idleConnectionLosses.valueAt(a.now, faultDecay*a.longestSoftDeadline) > idleLossThreshold {
		a.emit(Action{Kind: CloseIdle, Backend: b.id})
		idle = 0
	}
	action := Action{Kind: Send, Subquery: sub.id, Backend: b.id, StopAt: a.callDeadline(sub.query)}
	if a.indexes[sub.query.index].effect == Deduplicated && sub.mayHaveExecuted() {
		action.StartBy = sub.firstSentAt + a.indexes[sub.query.index].dedupWindow // the limit also holds for a call that waits for a connection
	}
	a.startCall(sub, b).idleBefore = idle
	if a.slowStartFactor(b) < 1 {
		b.slowStartWork = append(b.slowStartWork, sentWork{a.now, a.workOf(sub.query.index)})
	}
	a.emit(action)
}

// callDeadline returns the time from which an answer to a call of a query has no value. A call that is still waiting at that
// time need not be executed.
func (a *Aggregator) callDeadline(q *query) float64 {
	if index := &a.indexes[q.index]; index.minimumWeight < index.requiredWeight && index.partialValue > index.lateValue || index.lateValue == 0 {
		return min(q.deadline, q.softDeadline)
	}
	return q.deadline
}

// mayRetry reports whether another call of sub is allowed by the effect of its index, the maximum number of attempts and the
// retry budget.
func (a *Aggregator) mayRetry(sub *subquery) bool {
	index, rules := &a.indexes[sub.query.index], &a.settings.Rules
	switch {
	case a.settings.Limits.MaxAttempts > 0 && sub.attempts >= a.settings.Limits.MaxAttempts,
		index.effect == AtMostOnce && sub.mayHaveExecuted(),
		index.effect == Deduplicated && sub.mayHaveExecuted() && a.now > sub.firstSentAt+index.dedupWindow-a.settings.StepInterval:
		return false
	}
	retries, received := a.countRetries(sub, a.now-rules.RetryBudgetS)
	return !rules.RetryBudget || float64(retries) <= rules.RetryBudgetMin+rules.RetryBudgetRatio*float64(received)
}
