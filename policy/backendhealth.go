package policy

import (
	"cmp"
	"math"
)

// Backend health: what the ends of calls and probes say of a backend, its window, and whether it is unreachable.

// resetEstimates forgets the estimates of a backend that was restarted.
func (a *Aggregator) resetEstimates(b *backend) {
	b.latency, b.window, b.unreachableUntil, b.unreachableBackoff, b.connectFailed = 0, windowStart, 0, 0, false
	clear(b.faults)
}

// detectSilence marks a backend unreachable that answers nothing, as it is dead, partitioned or stuck, until it answers a
// probe. The probe is sent at once and on a connection of its own, as only the connection may be dead. Under overload the
// average latency extends the time-out.
func (a *Aggregator) detectSilence(b *backend) {
	if !b.ready || b.excluded || a.now < b.unreachableUntil {
		return
	}
	patience := max(silenceLatencies*max(a.usualLatency, a.averageLatency), silenceMin*a.longestSoft)
	silent := b.unansweredSince > 0 && a.now-b.unansweredSince > patience
	if silent && b.unreachableBackoff == 0 && (len(b.calls) > 1 || b.probeFailed) {
		a.markUnreachable(b)
	}
	if silent || b.unreachableBackoff > 0 {
		a.probe(b, true)
	}
}

// probe sends a health check, unless one is under way or was sent lately: too many would load the backend.
func (a *Aggregator) probe(b *backend, apart bool) {
	if a.settings.Limits.Probe && !b.probing && a.now-b.probedAt >= aliveFor {
		b.probing, b.probedAt = true, a.now
		b.expectAnswer(a.now)
		a.emit(Action{Kind: Probe, Backend: b.id, SeparateConnection: apart})
	}
}

// probesFirst tells whether an aggregator needs a recent answer before it sends: where it calls a backend only every few
// seconds, its own evidence comes too late against backends that fail by turns or hide a long queue.
func (a *Aggregator) probesFirst() bool {
	return a.settings.Limits.Probe && a.unhealthyShare.mean(0, priorSamples, a.now, unhealthyMemory*a.longestSoft) > probeFirstFrom
}

// crashesSuspected tells whether backends crash so often that a query may be the cause.
func (a *Aggregator) crashesSuspected() bool {
	return a.crashShare.mean(0, priorSamples, a.now, faultMemory*a.longestSoft) > canaryFrom
}

// recentlyAlive tells whether an answer of a backend is recent enough to send to it.
func (a *Aggregator) recentlyAlive(b *backend) bool { return a.now-b.aliveAt < aliveFor }

// connectionLost guards against connections that die while idle, as calls on them never end or break at once. Such calls
// show which idle time is too long; from there a connection is closed before use. Calls lost on connections in use count
// against it.
func (a *Aggregator) connectionLost(c *call) {
	if c.idleBefore < idleMin {
		a.idleLosses.add(-1, a.now, faultMemory*a.longestSoft)
		return
	}
	if a.idleLosses.add(1, a.now, faultMemory*a.longestSoft) <= idleLossesFrom {
		a.idleLimit = math.Inf(1)
	}
	a.idleLimit = min(a.idleLimit, idleShare*c.idleBefore)
}

// recordFault adds a sample, 1 for a fault and 0 for an answer, to the fault shares of a backend and of its location.
func (a *Aggregator) recordFault(b *backend, index IndexID, fault float64) {
	b.locationFaults[index].add(fault, a.now, estimateMemory*a.longestSoft)
	b.faults[index].limitWeight(faultMost)
	b.faults[index].add(fault, a.now, faultMemory*a.longestSoft)
}

// callEnded records the outcome of a call, and ends, retries or abandons its subquery.
func (a *Aggregator) callEnded(e *Event) {
	c := a.removeCall(e.Subquery, e.Call)
	if c == nil {
		return
	}
	sub := c.subquery
	a.leaveSharedCall(c.backend, c.shared)
	sub.executed = sub.executed || !outcomeTable[e.Outcome].notExecuted
	a.recordOutcome(c, e)
	q := sub.query
	q.anyAnswered = q.anyAnswered || e.Outcome == Answered
	if e.Outcome == Broken && (a.crashesSuspected() || !a.brokeIdle(c, e)) {
		q.brokenCalls++
	}
	switch {
	case e.Outcome == Answered:
		a.applyToSubquery(sub, onAnswer)
	case (q.brokenCalls > 1 || q.brokenCalls > 0 && a.crashesSuspected()) && !q.anyAnswered && !q.hasCallsInFlight():
		a.applyToQuery(q, onGiveUp)
	case sub.state != stateInFlight || len(sub.calls) > 0:
	case a.mayRetry(sub):
		sub.avoid = c.backend
		a.applyToSubquery(sub, onRetry)
	default:
		a.applyToSubquery(sub, onTooLate)
	}
}

// recordOutcome updates a backend's estimates with the outcome of a call. Failures are no latency samples: fast ones would
// make a failing backend look quick and attract subqueries.
func (a *Aggregator) recordOutcome(c *call, e *Event) {
	b, index, outcome := c.backend, c.subquery.query.index, outcomeTable[e.Outcome]
	sample := e.Elapsed / c.subquery.size
	if a.brokeIdle(c, e) {
		a.connectionLost(c) // it says nothing of the backend
		return
	}
	stuck := outcome.slow && b.answeredAt < c.sent // whatever a probe's answer was: the probe may not have waited in the queue
	failed := outcome.fault || outcome.unreachable || stuck && c.subquery.state == stateInFlight
	if failed {
		a.recordFault(b, index, 1)
	}
	a.crashShare.add(indicator(e.Outcome == Broken || outcome.unreachable), a.now, faultMemory*a.longestSoft)
	a.unhealthyShare.add(indicator(failed || a.usualLatency > 0 && sample > slowFrom*a.usualLatency), a.now, unhealthyMemory*a.longestSoft)
	switch {
	case e.Outcome == Answered:
		b.answeredAt, b.lastUsedAt = a.now, a.now
		b.recordAlive(a.now)
		a.recordFault(b, index, 0)
		if c.idleBefore >= idleMin {
			a.idleLosses.add(-idleAnswerCredit, a.now, faultMemory*a.longestSoft)
		}
		a.recordLatency(b, sample)
		a.recentLatencies.add(sample, a.now, a.shortestSoft)
	case stuck && sample > a.expectedLatency(b, index):
		a.recordLatency(b, sample)
	case outcome.full: // it must not be called again at once
		b.latency, b.latencyAt = max(a.expectedLatency(b, index), rejectedLatencies*a.usualLatency), a.now
		a.shrinkWindow(b, min(windowShrinkMax, windowShrinkMax/b.window))
	case outcome.unreachable:
		b.connectFailed = true
		a.markUnreachable(b)
	}
}

// brokeIdle tells whether a call broke with a connection that had died while idle, and not with its backend.
func (a *Aggregator) brokeIdle(c *call, e *Event) bool {
	return e.Outcome == Broken && c.idleBefore >= idleMin && e.Elapsed < probeQueuedFrom*a.usualLatency
}

// recordLatency smooths a backend's latency and adapts its window by comparison with the usual latency, a running median
// over all backends that no single one can move. The usual latency is kept well under the soft deadlines, or overload would
// become usual and the backends' queues would absorb all of the deadline.
func (a *Aggregator) recordLatency(b *backend, sample float64) {
	a.usualLatency = cmp.Or(a.usualLatency, min(sample, usualMax*a.shortestSoft))
	smooth(&b.latency, sample, smoothing)
	b.latencyAt = a.now
	switch {
	case sample <= usualUpTo*a.usualLatency && float64(b.callsInFlight)+1 >= math.Floor(b.window):
		b.window += min(1/b.window, windowShrinkMax*b.window)
	case sample > slowFrom*a.usualLatency && a.now-b.narrowedAt > sample:
		a.shrinkWindow(b, min(windowShrink, max(windowShrinkMax, slowFrom*a.usualLatency/sample)))
		b.narrowedAt = a.now
	}
	if sample > a.usualLatency {
		a.usualLatency = min(a.usualLatency*(1+usualStep), usualMax*a.shortestSoft)
	} else {
		a.usualLatency *= 1 - usualStep
	}
}

// shrinkWindow may go below one call, as many aggregators with a window of one each still make a long queue.
func (a *Aggregator) shrinkWindow(b *backend, by float64) { b.window = max(windowMin, b.window*by) }

// markUnreachable takes a backend out of use for a backoff that doubles.
func (a *Aggregator) markUnreachable(b *backend) {
	if a.now >= b.unreachableUntil {
		b.unreachableBackoff = min(backoffMax, max(backoffFirst, 2*b.unreachableBackoff))
		b.unreachableUntil = a.now + b.unreachableBackoff
	}
}

// probeEnded records the outcome of a probe. A backend that answers after a failed connect or probe may be a new process
// that the list does not show yet. One that rejects probes is alive, but its queue is unknown.
func (a *Aggregator) probeEnded(e *Event) {
	b := a.backends[e.Backend]
	if b == nil {
		return
	}
	b.probing = false
	switch {
	case e.Outcome == Answered:
		a.probesQueue = a.probesQueue || e.Elapsed > probeQueuedFrom*a.usualLatency
		if b.unreachableBackoff > restartFrom && b.connectFailed {
			a.resetEstimates(b)
			a.recordStart(b, a.now)
		}
		b.recordAlive(a.now)
	case e.Outcome != Rejected:
		b.probeFailed, b.connectFailed = true, b.connectFailed || e.Outcome == NotConnected
		if b.connectFailed || b.unreachableBackoff > 0 {
			a.markUnreachable(b)
		}
	}
}
