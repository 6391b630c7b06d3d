package policy

import (
	"math"
	"slices"
)

// Release: in which order held parts leave, whether one may leave yet, and when a call is made again.

// sendsCanary tells whether a query sends one part ahead. Of one that brings backends down every part does.
func (m *Aggregator) sendsCanary(lk *query) bool {
	return !lk.anyAnswered && (lk.brokenCalls > 0 || m.crashesSuspected())
}

// awaitsProbe asks the two likeliest holders of a held part, and tells whether to wait for the first that answers.
func (m *Aggregator) awaitsProbe(p *subquery) (wait bool) {
	heard := func(s *backend) bool { return usable(s) && m.recentlyAlive(s) && m.mayServe(p, s) }
	if slices.ContainsFunc(m.holdersOf(p), heard) {
		return false
	}
	one := m.choose(p, nil, false)
	for _, s := range []*backend{one, m.choose(p, one, false)} {
		if s != nil && usable(s) {
			m.probe(s, false)
			wait = wait || s.probing
		}
	}
	return wait
}

// hedge takes back a call that a sibling would long have answered, against backends that crawl or lose it.
func (m *Aggregator) hedge(p *subquery) {
	if len(p.calls) != 1 || p.calls[0].canceled || !m.mayRetry(p) {
		return
	}
	c, s := p.calls[0], m.choose(p, p.calls[0].backend, true)
	age, patience := m.now-c.sent, hedgeFrom*max(m.averageLatency, m.expectedLatency(s, p.query.index))*p.size
	if !m.probesQueue && (p.query.answeredWeight < nearlyComplete*p.query.required || m.recentLatency() > overloadFrom*m.usualLatency) { // the last few cost little
		patience *= hedgeSlack
	}
	switch {
	case s == nil || age < patience && usable(c.backend):
		return
	case m.settings.Limits.Probe && !m.recentlyAlive(s): // where the sibling's queue is as long, one more only adds to both
		m.probe(s, false)
		return
	case m.probesQueue && c.backend.aliveAt > c.sent && c.backend.answeredAt < c.sent: // it waits no longer than a probe
		m.connectionLost(c)
	}
	if m.settings.Limits.Hedge {
		p.assigned = s
		m.applyToSubquery(p, onSend)
	} else if m.settings.Limits.Cancel {
		m.reserveRetry(p, true)
		m.cancel(c)
	}
}

// hasCapacity: a backend out of reach gets one call at a time, after each pause.
func (m *Aggregator) hasCapacity(p *subquery, s *backend) bool {
	if !usable(s) && (s.probing || m.now < s.unreachableUntil || s.callsInFlight > 0) {
		return false
	}
	paced := s.callsInFlight == 0 && m.now-s.lastUsedAt >= s.latency*(1/s.window-1) // below one call
	return (m.canShareCall(s) || float64(s.callsInFlight) < math.Floor(s.window) || paced) && m.slowStartAllows(p, s)
}

// reorder is SWAG's order: the held query of least makespan first, its calls then added to the queues.
func (m *Aggregator) reorder() {
	m.orderStale, m.sendOrder = false, m.sendOrder[:0]
	for _, s := range m.fleet {
		s.queue = float64(s.callsInFlight)
	}
	rest := m.openQueriesBySize()
	for len(rest) > 0 {
		best, least := 0, math.Inf(1)
		for i, lk := range rest {
			span := 0.0
			for _, t := range lk.assignments {
				if t.subqueries > 0 {
					span = max(span, (t.backend.queue+float64(m.callsFor(lk, t.backend)))*m.expectedLatency(t.backend, lk.index))
				}
			}
			if span < least || span == least && lk.size < rest[best].size {
				best, least = i, span
			}
		}
		lk := rest[best]
		for _, t := range lk.assignments {
			t.backend.queue += float64(m.callsFor(lk, t.backend))
		}
		m.sendOrder = append(m.sendOrder, lk)
		rest = slices.Delete(rest, best, best+1)
	}
}

func (m *Aggregator) sendPending() {
	m.averageLatency = m.meanLatency(func(s *backend) bool { return usable(s) && !s.excluded })
	if m.orderStale {
		m.reorder()
	}
	for _, lk := range m.sendOrder {
		scouts, subqueries := m.sendsCanary(lk), lk.subqueries
		if len(subqueries) < lk.expected || scouts && lk.hasCallsInFlight() {
			continue
		}
		// While parts that it needs have no holder in reach, work on the others is likely for nothing.
		blocked := lk.abandonedWeight+lk.sumWeights(m.unreachable) > 1-m.indexes[lk.index].minimum+sumSlack
		for i, p := range subqueries {
			if scouts {
				p = subqueries[len(subqueries)-1-i] // the least first
			}
			if p.state == statePending && (!blocked || m.unreachable(p)) {
				m.trySend(p)
			}
			if scouts && p.state == stateInFlight {
				break
			}
		}
	}
}

func (m *Aggregator) unreachable(p *subquery) bool {
	reach := func(s *backend) bool { return usable(s) && m.mayServe(p, s) }
	return p.state == statePending && !slices.ContainsFunc(m.holdersOf(p), reach)
}

func (m *Aggregator) wouldBeLate(p *subquery, s *backend) bool {
	return p.query.deadline-m.now < m.expectedLatency(s, p.query.index)
}

func (m *Aggregator) trySend(p *subquery) {
	if p.assigned != nil && !m.mayServe(p, p.assigned) { // the pinned one serves again, or no longer
		m.bind(p)
	}
	if p.state != statePending {
		return
	}
	s, looks := p.assigned, m.probesFirst()
	if looks && m.awaitsProbe(p) {
		return
	}
	sound := s != nil && usable(s) && !m.wouldBeLate(p, s)
	if !sound || !m.hasCapacity(p, s) || looks && !m.recentlyAlive(s) {
		alt := m.choose(p, s, sound)
		if alt != nil && !m.wouldBeLate(p, alt) && (!sound && usable(alt) || sound && (!m.slowStartAllows(p, s) ||
			m.cost(p, alt) < m.cost(p, s)*alt.override(p.query.index).weight || looks && m.recentlyAlive(alt) && !m.recentlyAlive(s))) {
			m.assign(p, alt)
			s = alt
		}
	}
	switch {
	case s == nil || !m.wouldBeLate(p, s) && !m.hasCapacity(p, s):
	case m.wouldBeLate(p, s) || p.attempts > 0 && !m.mayRetry(p):
		m.applyToSubquery(p, onTooLate)
	default:
		m.applyToSubquery(p, onSend)
	}
}

func (m *Aggregator) send(p *subquery) {
	s := p.assigned
	if len(p.calls) == 0 {
		m.addAssigned(p.query, s, -1)
	}
	p.assigned = nil
	idle := m.now - s.lastUsedAt
	if len(s.calls) == 0 && idle > m.idleLimit && m.idleLosses.valueAt(m.now, faultMemory*m.longestSoft) > idleLossesFrom {
		m.emit(Action{Kind: CloseIdle, Backend: s.id})
		idle = 0
	}
	a := Action{Kind: Send, Subquery: p.id, Backend: s.id, StopAt: m.callDeadline(p.query)}
	if m.indexes[p.query.index].effect == Fingerprinted && p.mayHaveExecuted() {
		a.BeginBy = p.firstSent + m.indexes[p.query.index].dedupWindow // also where it waits for a connection until then
	}
	m.startCall(p, s).idleBefore = idle
	if m.slowStartFactor(s) < 1 {
		s.slowStartWork = append(s.slowStartWork, sentWork{m.now, m.workOf(p.query.index)})
	}
	m.emit(a)
}

// callDeadline is when a call of a query is no longer worth its work: what waits beyond that need not be begun.
func (m *Aggregator) callDeadline(lk *query) float64 {
	if x := &m.indexes[lk.index]; x.minimum < x.required && x.partialValue > x.lateValue || x.lateValue == 0 {
		return min(lk.deadline, lk.soft)
	}
	return lk.deadline
}

// mayRetry tells whether a further call of p is allowed by its index, its tries and the budget.
func (m *Aggregator) mayRetry(p *subquery) bool {
	x, r := &m.indexes[p.query.index], &m.settings.Rules
	switch {
	case m.settings.Limits.MaxAttempts > 0 && p.attempts >= m.settings.Limits.MaxAttempts,
		x.effect == OnceOnly && p.mayHaveExecuted(),
		x.effect == Fingerprinted && p.mayHaveExecuted() && m.now > p.firstSent+x.dedupWindow-m.settings.Step:
		return false
	}
	further, taken := m.retrySpending(p, m.now-r.RetryBudgetS)
	return !r.RetryBudget || float64(further) <= r.RetryBudgetFree+r.RetryBudgetPer*float64(taken)
}
