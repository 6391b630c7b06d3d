package policy

import (
	"cmp"
	"math"
	"slices"
)

// Queries: what is taken, what is dropped or turned away, when a query ends and how.

// deadlineMargin is how long before a deadline an answer must be on its way: a sweep may come a step late.
func (m *Aggregator) deadlineMargin() float64 {
	return max(sweepEvery, m.settings.Step) + 2*m.settings.Step
}

func (m *Aggregator) sweep() {
	m.emit(Action{Kind: SetTimer, Timer: sweepTimer, Wait: max(sweepEvery, m.settings.Step)})
	if m.now >= m.listPollAt {
		m.listPollAt = math.Inf(1)
		m.emit(Action{Kind: Subscribe, On: true})
	}
	for _, s := range m.fleet {
		m.detectSilence(s)
	}
	for _, lk := range slices.Clone(m.openQueries) {
		m.checkDeadlines(lk)
	}
}

func (m *Aggregator) receiveQuery(e *Event) {
	lk, x := m.addQuery(e), &m.indexes[e.Index]
	lk.overQuota = m.exceedsQuota(e.Customer, burstS)
	// Against counting the soft deadline from a retry: a client's last try gives all that is left, be it more or
	// less than its first ones gave, which are most.
	if x.recordTimeout(e.Remaining, timeoutTolerance*x.hard, timeoutVotesMax); math.Abs(e.Remaining-x.clientTimeout) > timeoutTolerance*x.hard {
		lk.soft -= max(0, x.hard-e.Remaining)
	}
}

func (m *Aggregator) receiveSubquery(e *Event) {
	lk := m.queries[e.No]
	if lk == nil {
		return
	}
	p := m.addSubquery(lk, e)
	if e.Hint > 0 {
		smooth(&m.meanHint, e.Hint, usualStep)
		smooth(&m.indexes[lk.index].meanWork, e.Hint, usualStep)
		p.size = (1 + e.Hint/m.meanHint) / 2 // half of a latency is the wait for others' parts
	}
	m.bind(p)
	if len(lk.subqueries) == lk.expected {
		slices.SortStableFunc(lk.subqueries, func(a, b *subquery) int { return cmp.Compare(b.size, a.size) })
		m.shedSubqueries(lk)
		if m.mustReject(lk) {
			m.applyToQuery(lk, onGiveUp)
		}
	}
}

// mustReject tells whether a query just taken could not be answered in time, by the slowest part that its
// least answer needs. What is worth less, by its index or past its customer's share, must come out earlier.
func (m *Aggregator) mustReject(lk *query) bool {
	x, est, crowded := &m.indexes[lk.index], 0.0, m.recentLatency() > usualUpTo*m.usualLatency
	ends := make([]float64, 0, len(lk.subqueries))
	for _, p := range lk.subqueries {
		if s := p.assigned; s != nil {
			ahead := float64(s.callsPending - m.callsFor(lk, s))
			crowded = crowded || ahead > 0 || s.window < 1
			ends = append(ends, m.expectedLatency(s, lk.index)*(1+ahead/s.window)+max(0, s.unreachableUntil-m.now))
		}
	}
	if len(ends) > 0 {
		slices.Sort(ends)
		est = ends[min(len(ends)-1, int(x.minimum*float64(len(ends))))]
	}
	est += lowValue * (1 - x.value/m.topValue) * x.soft
	est += overShare * indicator(lk.overQuota) * x.soft
	return m.averageLatency > 0 && (m.now+est > lk.deadline || crowded && m.now+est > m.stepDeadline(lk))
}

// shedSubqueries drops, where it is crowded, parts that a query may do without and that give least for their work.
func (m *Aggregator) shedSubqueries(lk *query) {
	most := (lk.required - m.indexes[lk.index].minimum) * overloadDrop
	if m.recentLatency() <= overloadFrom*m.usualLatency {
		return
	}
	subqueries := slices.Clone(lk.subqueries)
	slices.SortStableFunc(subqueries, func(a, b *subquery) int { return cmp.Compare(a.weight/a.size, b.weight/b.size) })
	for _, p := range subqueries {
		if most -= p.weight; most < 0 {
			return
		}
		m.applyToSubquery(p, onTooLate)
	}
}

// recentLatency is the latency heard of late from any backend.
func (m *Aggregator) recentLatency() float64 {
	return m.recentLatencies.mean(m.usualLatency, priorSamples, m.now, m.shortestSoft)
}

// due is the soft deadline of the step in hand: a second one that is to come needs time too.
func (m *Aggregator) stepDeadline(lk *query) float64 {
	if lk.state != stateFirstStep {
		return lk.soft
	}
	return lk.soft - secondStepLatencies*max(m.averageLatency, m.recentLatency())
}

// checkDeadlines looks after what time alone does to a query.
func (m *Aggregator) checkDeadlines(lk *query) {
	x, due := &m.indexes[lk.index], m.stepDeadline(lk)
	enough := lk.answeredWeight >= x.minimum-sumSlack
	switch {
	case m.now >= lk.deadline-m.deadlineMargin() && !enough:
		m.applyToQuery(lk, onGiveUp)
	case m.now >= lk.deadline-m.deadlineMargin(), enough && m.now >= due-m.deadlineMargin() && x.partialValue*lk.answeredWeight > x.lateValue:
		m.applyToQuery(lk, onPartial)
	}
	inTime := func(s *backend) bool { return usable(s) && m.now+m.expectedLatency(s, lk.index) <= due }
	waiting := lk.sumWeights(func(p *subquery) bool { return p.state == statePending })
	// A part that misses the soft deadline takes more from others than the little gain that is left.
	hopeless := waiting > x.lateValue && m.averageLatency > 0
	for _, p := range lk.subqueries {
		if p.state == stateInFlight {
			m.hedge(p)
		} else if hopeless && p.state == statePending && p.assigned != nil && !slices.ContainsFunc(m.holdersOf(p), inTime) {
			m.applyToSubquery(p, onTooLate)
		}
	}
}

func (m *Aggregator) countAnswer(p *subquery) {
	p.query.answeredWeight += p.weight
	m.cancelAll(p)
	m.endIfDecided(p.query)
}

func (m *Aggregator) abandon(p *subquery) {
	m.reserveRetry(p, false)
	m.unassign(p)
	p.query.abandonedWeight += p.weight
	m.endIfDecided(p.query)
}

// endIfDecided ends a query as soon as what is in, or lost, decides it.
func (m *Aggregator) endIfDecided(lk *query) {
	lk.unfinished--
	switch {
	case len(lk.subqueries) < lk.expected:
	case lk.answeredWeight >= lk.required-sumSlack:
		m.applyToQuery(lk, onComplete)
	case 1-lk.abandonedWeight < m.indexes[lk.index].minimum-sumSlack:
		m.applyToQuery(lk, onGiveUp)
	case lk.unfinished == 0:
		m.applyToQuery(lk, onPartial)
	}
}

// answer ends a step, and with the last one its query.
func (m *Aggregator) answer(lk *query) {
	m.emit(Action{Kind: Answer, Query: lk.id, Complete: !lk.partial})
	if lk.state == stateEnded {
		m.removeQuery(lk)
	} else {
		m.nextStep(lk, m.indexes[lk.index].secondStep)
	}
}

// reject ends a query without an answer: by a nack wherever trying again is surely harmless.
func (m *Aggregator) reject(lk *query) {
	a := Action{Kind: Nack, Query: lk.id}
	if m.indexes[lk.index].effect != Idempotent && (lk.firstStepDone || slices.ContainsFunc(lk.subqueries, (*subquery).mayHaveExecuted)) {
		a.Kind = Abort
	} else if m.settings.Limits.RetryAfter {
		a.Wait = min(m.settings.Limits.MaxRetryAfter, 2*m.expectedLatency(nil, lk.index)) // also while nobody was heard
	}
	m.emit(a)
	m.removeQuery(lk)
}
