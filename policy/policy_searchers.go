package policy

import (
	"cmp"
	"math"
)

// Backends: what calls and probes tell of them, and which are out of reach.

// resetEstimates forgets what was learned of a process that is no more.
func (m *Aggregator) resetEstimates(s *backend) {
	s.latency, s.window, s.unreachableUntil, s.unreachableBackoff, s.connectFailed = 0, windowStart, 0, 0, false
	clear(s.faults)
}

// detectSilence guards against a backend that answers nothing, dead, cut off, stuck: out of reach until it answers
// a probe, asked at once, and apart: a connection may have died. The average says how long in overload.
func (m *Aggregator) detectSilence(s *backend) {
	if !s.ready || s.excluded || m.now < s.unreachableUntil {
		return
	}
	patience := max(silenceLatencies*max(m.usualLatency, m.averageLatency), silenceMin*m.longestSoft)
	silent := s.unansweredSince > 0 && m.now-s.unansweredSince > patience
	if silent && s.unreachableBackoff == 0 && (len(s.calls) > 1 || s.probeFailed) {
		m.markUnreachable(s)
	}
	if silent || s.unreachableBackoff > 0 {
		m.probe(s, true)
	}
}

// probe: probes at a backend are few, one by each aggregator in a while, or they crowd each other out.
func (m *Aggregator) probe(s *backend, apart bool) {
	if m.settings.Limits.Probe && !s.probing && m.now-s.probedAt >= aliveFor {
		s.probing, s.probedAt = true, m.now
		s.expectAnswer(m.now)
		m.emit(Action{Kind: Probe, Backend: s.id, SeparateConnection: apart})
	}
}

// probesFirst tells whether an aggregator must see a sign of life before it sends: where it calls a backend every few
// seconds, its own evidence comes too late against backends that fail by turns or hide a long queue.
func (m *Aggregator) probesFirst() bool {
	return m.settings.Limits.Probe && m.unhealthyShare.mean(0, priorSamples, m.now, unhealthyMemory*m.longestSoft) > probeFirstFrom
}

// crashesSuspected tells whether backends fall so often that a query may be what brings them down.
func (m *Aggregator) crashesSuspected() bool {
	return m.crashShare.mean(0, priorSamples, m.now, faultMemory*m.longestSoft) > canaryFrom
}

func (m *Aggregator) recentlyAlive(s *backend) bool { return m.now-s.aliveAt < aliveFor }

// connectionLost guards against connections that die idle: calls on them never end or break at once. They
// tell which pause is too long; from there one is closed before use. Calls lost on others clear it.
func (m *Aggregator) connectionLost(c *call) {
	if c.idleBefore < idleMin {
		m.idleLosses.add(-1, m.now, faultMemory*m.longestSoft)
		return
	}
	if m.idleLosses.add(1, m.now, faultMemory*m.longestSoft) <= idleLossesFrom {
		m.idleLimit = math.Inf(1)
	}
	m.idleLimit = min(m.idleLimit, idleShare*c.idleBefore)
}

func (m *Aggregator) recordFault(s *backend, k IndexID, fault float64) {
	s.locationFaults[k].add(fault, m.now, estimateMemory*m.longestSoft)
	s.faults[k].limitWeight(faultMost)
	s.faults[k].add(fault, m.now, faultMemory*m.longestSoft)
}

func (m *Aggregator) callEnded(e *Event) {
	c := m.removeCall(e.Subquery, e.Call)
	if c == nil {
		return
	}
	p := c.subquery
	m.leaveSharedCall(c.backend, c.shared)
	p.executed = p.executed || !outcomeTable[e.Outcome].never
	m.recordOutcome(c, e)
	lk := p.query
	lk.anyAnswered = lk.anyAnswered || e.Outcome == Answered
	if e.Outcome == Broken && (m.crashesSuspected() || !m.brokeIdle(c, e)) {
		lk.brokenCalls++
	}
	switch {
	case e.Outcome == Answered:
		m.applyToSubquery(p, onAnswer)
	case (lk.brokenCalls > 1 || lk.brokenCalls > 0 && m.crashesSuspected()) && !lk.anyAnswered && !lk.hasCallsInFlight():
		m.applyToQuery(lk, onGiveUp)
	case p.state != stateInFlight || len(p.calls) > 0:
	case m.mayRetry(p):
		p.avoid = c.backend
		m.applyToSubquery(p, onRetry)
	default:
		m.applyToSubquery(p, onTooLate)
	}
}

// recordOutcome takes an outcome into the backend's figures. Failures say nothing of latency: fast ones would make
// a backend that fails look quick and draw parts.
func (m *Aggregator) recordOutcome(c *call, e *Event) {
	s, k, what := c.backend, c.subquery.query.index, outcomeTable[e.Outcome]
	sample := e.Elapsed / c.subquery.size
	if m.brokeIdle(c, e) {
		m.connectionLost(c) // it tells nothing of the backend
		return
	}
	stuck := what.slow && s.answeredAt < c.sent // whatever a probe was told: it may not have waited
	failed := what.fault || what.away || stuck && c.subquery.state == stateInFlight
	if failed {
		m.recordFault(s, k, 1)
	}
	m.crashShare.add(indicator(e.Outcome == Broken || what.away), m.now, faultMemory*m.longestSoft)
	m.unhealthyShare.add(indicator(failed || m.usualLatency > 0 && sample > slowFrom*m.usualLatency), m.now, unhealthyMemory*m.longestSoft)
	switch {
	case e.Outcome == Answered:
		s.answeredAt, s.lastUsedAt = m.now, m.now
		s.recordAlive(m.now)
		m.recordFault(s, k, 0)
		if c.idleBefore >= idleMin {
			m.idleLosses.add(-idleAnswerCredit, m.now, faultMemory*m.longestSoft)
		}
		m.recordLatency(s, sample)
		m.recentLatencies.add(sample, m.now, m.shortestSoft)
	case stuck && sample > m.expectedLatency(s, k):
		m.recordLatency(s, sample)
	case what.full: // and not to be asked again at once
		s.latency, s.latencyAt = max(m.expectedLatency(s, k), rejectedLatencies*m.usualLatency), m.now
		m.shrinkWindow(s, min(windowShrinkMax, windowShrinkMax/s.window))
	case what.away:
		s.connectFailed = true
		m.markUnreachable(s)
	}
}

// brokeIdle tells whether a call broke with a connection that had died idle, and not with its backend.
func (m *Aggregator) brokeIdle(c *call, e *Event) bool {
	return e.Outcome == Broken && c.idleBefore >= idleMin && e.Elapsed < probeQueuedFrom*m.usualLatency
}

// recordLatency smooths the latency and moves the window against the median seen anywhere, which one backend cannot
// move. It stays well under the soft deadlines: else overload becomes usual, and backends' queues take all.
func (m *Aggregator) recordLatency(s *backend, sample float64) {
	m.usualLatency = cmp.Or(m.usualLatency, min(sample, usualMax*m.shortestSoft))
	smooth(&s.latency, sample, smoothing)
	s.latencyAt = m.now
	switch {
	case sample <= usualUpTo*m.usualLatency && float64(s.callsInFlight)+1 >= math.Floor(s.window):
		s.window += min(1/s.window, windowShrinkMax*s.window)
	case sample > slowFrom*m.usualLatency && m.now-s.narrowedAt > sample:
		m.shrinkWindow(s, min(windowShrink, max(windowShrinkMax, slowFrom*m.usualLatency/sample)))
		s.narrowedAt = m.now
	}
	if sample > m.usualLatency {
		m.usualLatency = min(m.usualLatency*(1+usualStep), usualMax*m.shortestSoft)
	} else {
		m.usualLatency *= 1 - usualStep
	}
}

// shrinkWindow goes below one call, as many aggregators with a window of one each still make a long queue.
func (m *Aggregator) shrinkWindow(s *backend, by float64) { s.window = max(windowMin, s.window*by) }

func (m *Aggregator) markUnreachable(s *backend) {
	if m.now >= s.unreachableUntil {
		s.unreachableBackoff = min(backoffMax, max(backoffFirst, 2*s.unreachableBackoff))
		s.unreachableUntil = m.now + s.unreachableBackoff
	}
}

// probeEnded: heard again after a failed connect or probe, it may be a new process that no list told of yet. One
// that turns probes away lives, but how long a call would wait is not told.
func (m *Aggregator) probeEnded(e *Event) {
	s := m.backends[e.Backend]
	if s == nil {
		return
	}
	s.probing = false
	switch {
	case e.Outcome == Answered:
		m.probesQueue = m.probesQueue || e.Elapsed > probeQueuedFrom*m.usualLatency
		if s.unreachableBackoff > restartFrom && s.connectFailed {
			m.resetEstimates(s)
			m.recordStart(s, m.now)
		}
		s.recordAlive(m.now)
	case e.Outcome != Rejected:
		s.probeFailed, s.connectFailed = true, s.connectFailed || e.Outcome == NotConnected
		if s.connectFailed || s.unreachableBackoff > 0 {
			m.markUnreachable(s)
		}
	}
}
