package policy

import (
	"cmp"
	"math"
)

// Backend health: estimates of a backend from the outcomes of calls and probes, its window, and its reachability.

// resetEstimates resets the estimates of a backend that was restarted.
func (a *Aggregator) resetEstimates(b *backend) {
	b.latency, b.window, b.unreachableUntil, b.unreachableBackoff, b.connectFailed = 0, initialWindow, 0, 0, false
	clear(b.faults)
}

// detectUnresponsive marks a backend unreachable that has not answered for some time, because it is dead, partitioned or
// stuck. It remains unreachable until it answers a probe. The probe is sent immediately and on a separate connection, as the
// fault may be in the connection only. Under overload, the average latency extends the timeout.
func (a *Aggregator) detectUnresponsive(b *backend) {
	if !b.ready || b.excluded || a.now < b.unreachableUntil {
		return
	}
	timeout := max(unresponsiveTimeout*max(a.medianLatency, a.averageLatency), minUnresponsiveTimeout*a.longestSoftDeadline)
	unresponsive := b.unansweredSince > 0 && a.now-b.unansweredSince > timeout
	if unresponsive && b.unreachableBackoff == 0 && (len(b.calls) > 1 || b.probeFailed) {
		a.markUnreachable(b)
	}
	if unresponsive || b.unreachableBackoff > 0 {
		a.probe(b, true)
	}
}

// probe sends a probe unless one is in flight or was sent recently, as too many probes would load the backend.
func (a *Aggregator) probe(b *backend, separateConnection bool) {
	if a.settings.Limits.Probe && !b.probing && a.now-b.probedAt >= aliveTimeout {
		b.probing, b.probedAt = true, a.now
		b.expectAnswer(a.now)
		a.emit(Action{Kind: Probe, Backend: b.id, SeparateConnection: separateConnection})
	}
}

// probesBeforeSending reports whether this aggregator sends only to backends that answered recently. An aggregator that calls
// each backend only every few seconds learns too late from its calls that backends fail in turn or have a long queue.
func (a *Aggregator) probesBeforeSending() bool {
	return a.settings.Limits.Probe && a.unhealthyShare.mean(0, priorSamples, a.now, unhealthyDecay*a.longestSoftDeadline) > probeFirstThreshold
}

// crashesSuspected reports whether backends crash so often that a query may be the cause.
func (a *Aggregator) crashesSuspected() bool {
	return a.crashShare.mean(0, priorSamples, a.now, faultDecay*a.longestSoftDeadline) > canaryThreshold
}

// recentlyAlive reports whether a backend's last answer is recent enough to send to it.
func (a *Aggregator) recentlyAlive(b *backend) bool { return a.now-b.aliveAt < aliveTimeout }

// recordConnectionLoss records a call that was lost with its connection. Connections may die while idle; calls on them never
// end or break immediately. Such calls show which idle time is too long, and connections that were idle for longer are closed
// before use. Calls lost on connections that were not idle are evidence against dead idle connections.
func (a *Aggregator) recordConnectionLoss(c *call) {
	if c.idleBefore < minSuspectIdleTime {
		a.idleConnectionLosses.add(-1, a.now, faultDecay*a.longestSoftDeadline)
		return
	}
	if a.idleConnectionLosses.add(1, a.now, faultDecay*a.longestSoftDeadline) <= idleLossThreshold {
		a.maxConnectionIdleTime = math.Inf(1)
	}
	a.maxConnectionIdleTime = min(a.maxConnectionIdleTime, idleLimitShare*c.idleBefore)
}

// recordFault adds a sample, 1 for a fault and 0 for an answer, to the fault shares of a backend and of its location.
func (a *Aggregator) recordFault(b *backend, index IndexID, fault float64) {
	b.locationFaults[index].add(fault, a.now, estimateDecay*a.longestSoftDeadline)
	b.faults[index].limitWeight(maxFaultSamples)
	b.faults[index].add(fault, a.now, faultDecay*a.longestSoftDeadline)
}

// callEnded records the outcome of a call. It then completes, retries or abandons the subquery.
func (a *Aggregator) callEnded(e *Event) {
	c := a.removeCall(e.Subquery, e.Call)
	if c == nil {
		return
	}
	sub := c.subquery
	a.leaveSharedCall(c.backend, c.shared)
	sub.maybeExecuted = sub.maybeExecuted || !outcomeTable[e.Outcome].notExecuted
	a.recordOutcome(c, e)
	q := sub.query
	q.anyAnswered = q.anyAnswered || e.Outcome == Answered
	if e.Outcome == Broken && (a.crashesSuspected() || !a.brokeAfterIdling(c, e)) {
		q.brokenCalls++
	}
	switch {
	case e.Outcome == Answered:
		a.applyToSubquery(sub, onAnswer)
	case (q.brokenCalls > 1 || q.brokenCalls > 0 && a.crashesSuspected()) && !q.anyAnswered && !q.hasCallsInFlight():
		a.applyToQuery(q, onReject)
	case sub.state != stateInFlight || len(sub.calls) > 0:
	case a.mayRetry(sub):
		sub.lastFailedBackend = c.backend
		a.applyToSubquery(sub, onRetry)
	default:
		a.applyToSubquery(sub, onAbandon)
	}
}

// recordOutcome updates a backend's estimates with the outcome of a call. Failures are not latency samples, because fast
// failures would make a failing backend look fast and attract subqueries.
func (a *Aggregator) recordOutcome(c *call, e *Event) {
	b, index, outcome := c.backend, c.subquery.query.index, outcomeTable[e.Outcome]
	sample := e.Elapsed / c.subquery.size
	if a.brokeAfterIdling(c, e) {
		a.recordConnectionLoss(c) // not evidence about the backend
		return
	}
	stuck := outcome.slow && b.answeredAt < c.sentAt // regardless of answered probes, as a probe may bypass the queue
	failed := outcome.fault || outcome.unreachable || stuck && c.subquery.state == stateInFlight
	if failed {
		a.recordFault(b, index, 1)
	}
	a.crashShare.add(indicator(e.Outcome == Broken || outcome.unreachable), a.now, faultDecay*a.longestSoftDeadline)
	a.unhealthyShare.add(indicator(failed || a.medianLatency > 0 && sample > slowLatencyThreshold*a.medianLatency), a.now, unhealthyDecay*a.longestSoftDeadline)
	switch {
	case e.Outcome == Answered:
		b.answeredAt, b.lastUsedAt = a.now, a.now
		b.recordAlive(a.now)
		a.recordFault(b, index, 0)
		if c.idleBefore >= minSuspectIdleTime {
			a.idleConnectionLosses.add(-idleAnswerCredit, a.now, faultDecay*a.longestSoftDeadline)
		}
		a.recordLatency(b, sample)
		a.recentLatencies.add(sample, a.now, a.shortestSoftDeadline)
	case stuck && sample > a.expectedLatency(b, index):
		a.recordLatency(b, sample)
	case outcome.full: // it must not be called again immediately
		b.latency, b.latencyUpdatedAt = max(a.expectedLatency(b, index), rejectionLatency*a.medianLatency), a.now
		a.shrinkWindow(b, min(maxWindowShrinkFactor, maxWindowShrinkFactor/b.window))
	case outcome.unreachable:
		b.connectFailed = true
		a.markUnreachable(b)
	}
}

// brokeAfterIdling reports whether a call broke because its connection had died while idle, and not because of its backend.
func (a *Aggregator) brokeAfterIdling(c *call, e *Event) bool {
	return e.Outcome == Broken && c.idleBefore >= minSuspectIdleTime && e.Elapsed < queuedProbeThreshold*a.medianLatency
}

// recordLatency updates a backend's smoothed latency and its window. The window changes by comparison with the median latency,
// a running median over all backends that no single backend can move. The median latency is limited to a small share of the
// soft deadlines. Otherwise it would rise under overload until the backends' queues used up the whole deadline.
func (a *Aggregator) recordLatency(b *backend, sample float64) {
	a.medianLatency = cmp.Or(a.medianLatency, min(sample, maxMedianLatency*a.shortestSoftDeadline))
	updateEWMA(&b.latency, sample, latencySmoothing)
	b.latencyUpdatedAt = a.now
	switch {
	case sample <= fastLatencyLimit*a.medianLatency && float64(b.callsInFlight)+1 >= math.Floor(b.window):
		b.window += min(1/b.window, maxWindowShrinkFactor*b.window)
	case sample > slowLatencyThreshold*a.medianLatency && a.now-b.windowShrunkAt > sample:
		a.shrinkWindow(b, min(windowShrinkFactor, max(maxWindowShrinkFactor, slowLatencyThreshold*a.medianLatency/sample)))
		b.windowShrunkAt = a.now
	}
	if sample > a.medianLatency {
		a.medianLatency = min(a.medianLatency*(1+movingMedianStep), maxMedianLatency*a.shortestSoftDeadline)
	} else {
		a.medianLatency *= 1 - movingMedianStep
	}
}

// shrinkWindow multiplies a backend's window by a factor. The window may become smaller than one call, as many aggregators
// with a window of one call each still cause a long queue.
func (a *Aggregator) shrinkWindow(b *backend, factor float64) {
	b.window = max(minWindow, b.window*factor)
}

// markUnreachable marks a backend as unreachable for a backoff time, which doubles with each failure.
func (a *Aggregator) markUnreachable(b *backend) {
	if a.now >= b.unreachableUntil {
		b.unreachableBackoff = min(maxBackoff, max(initialBackoff, 2*b.unreachableBackoff))
		b.unreachableUntil = a.now + b.unreachableBackoff
	}
}

// probeEnded records the outcome of a probe. A backend that answers after a failed connection attempt may be a new process
// that the list does not contain yet. A backend that rejects a probe is alive, but the length of its queue is unknown.
func (a *Aggregator) probeEnded(e *Event) {
	b := a.backends[e.Backend]
	if b == nil {
		return
	}
	b.probing = false
	switch {
	case e.Outcome == Answered:
		a.probesQueue = a.probesQueue || e.Elapsed > queuedProbeThreshold*a.medianLatency
		if b.unreachableBackoff > restartBackoff && b.connectFailed {
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
