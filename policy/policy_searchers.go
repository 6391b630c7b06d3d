package policy

import (
	"cmp"
	"math"
)

// Backends: what calls and probes tell of them, and which are out of reach.

// resetEstimates forgets what was learned of a process that is no more.
func (a *Aggregator) resetEstimates(b *backend) {
	b.latency, b.window, b.unreachableUntil, b.unreachableBackoff, b.connectFailed = 0, windowStart, 0, 0, false
	clear(b.faults)
}

// detectSilence guards against a backend that answers nothing, dead, cut off, stuck: out of reach until it answers
// a probe, asked at once, and apart: a connection may have died. The average says how long in overload.
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

// probe: probes at a backend are few, one by each aggregator in a while, or they crowd each other out.
func (a *Aggregator) probe(b *backend, apart bool) {
	if a.settings.Limits.Probe && !b.probing && a.now-b.probedAt >= aliveFor {
		b.probing, b.probedAt = true, a.now
		b.expectAnswer(a.now)
		a.emit(Action{Kind: Probe, Backend: b.id, SeparateConnection: apart})
	}
}

// probesFirst tells whether an aggregator must see a sign of life before it sends: where it calls a backend every few
// seconds, its own evidence comes too late against backends that fail by turns or hide a long queue.
func (a *Aggregator) probesFirst() bool {
	return a.settings.Limits.Probe && a.unhealthyShare.mean(0, priorSamples, a.now, unhealthyMemory*a.longestSoft) > probeFirstFrom
}

// crashesSuspected tells whether backends fall so often that a query may be what brings them down.
func (a *Aggregator) crashesSuspected() bool {
	return a.crashShare.mean(0, priorSamples, a.now, faultMemory*a.longestSoft) > canaryFrom
}

func (a *Aggregator) recentlyAlive(b *backend) bool { return a.now-b.aliveAt < aliveFor }

// connectionLost guards against connections that die idle: calls on them never end or break at once. They
// tell which pause is too long; from there one is closed before use. Calls lost on others clear it.
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

func (a *Aggregator) recordFault(b *backend, index IndexID, fault float64) {
	b.locationFaults[index].add(fault, a.now, estimateMemory*a.longestSoft)
	b.faults[index].limitWeight(faultMost)
	b.faults[index].add(fault, a.now, faultMemory*a.longestSoft)
}

func (a *Aggregator) callEnded(e *Event) {
	c := a.removeCall(e.Subquery, e.Call)
	if c == nil {
		return
	}
	sub := c.subquery
	a.leaveSharedCall(c.backend, c.shared)
	sub.executed = sub.executed || !outcomeTable[e.Outcome].never
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

// recordOutcome takes an outcome into the backend's figures. Failures say nothing of latency: fast ones would make
// a backend that fails look quick and draw parts.
func (a *Aggregator) recordOutcome(c *call, e *Event) {
	b, index, outcome := c.backend, c.subquery.query.index, outcomeTable[e.Outcome]
	sample := e.Elapsed / c.subquery.size
	if a.brokeIdle(c, e) {
		a.connectionLost(c) // it tells nothing of the backend
		return
	}
	stuck := outcome.slow && b.answeredAt < c.sent // whatever a probe was told: it may not have waited
	failed := outcome.fault || outcome.away || stuck && c.subquery.state == stateInFlight
	if failed {
		a.recordFault(b, index, 1)
	}
	a.crashShare.add(indicator(e.Outcome == Broken || outcome.away), a.now, faultMemory*a.longestSoft)
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
	case outcome.full: // and not to be asked again at once
		b.latency, b.latencyAt = max(a.expectedLatency(b, index), rejectedLatencies*a.usualLatency), a.now
		a.shrinkWindow(b, min(windowShrinkMax, windowShrinkMax/b.window))
	case outcome.away:
		b.connectFailed = true
		a.markUnreachable(b)
	}
}

// brokeIdle tells whether a call broke with a connection that had died idle, and not with its backend.
func (a *Aggregator) brokeIdle(c *call, e *Event) bool {
	return e.Outcome == Broken && c.idleBefore >= idleMin && e.Elapsed < probeQueuedFrom*a.usualLatency
}

// recordLatency smooths the latency and moves the window against the median seen anywhere, which one backend cannot
// move. It stays well under the soft deadlines: else overload becomes usual, and backends' queues take all.
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

// shrinkWindow goes below one call, as many aggregators with a window of one each still make a long queue.
func (a *Aggregator) shrinkWindow(b *backend, by float64) { b.window = max(windowMin, b.window*by) }

func (a *Aggregator) markUnreachable(b *backend) {
	if a.now >= b.unreachableUntil {
		b.unreachableBackoff = min(backoffMax, max(backoffFirst, 2*b.unreachableBackoff))
		b.unreachableUntil = a.now + b.unreachableBackoff
	}
}

// probeEnded: heard again after a failed connect or probe, it may be a new process that no list told of yet. One
// that turns probes away lives, but how long a call would wait is not told.
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
