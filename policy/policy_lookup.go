package policy

import (
	"cmp"
	"math"
	"slices"
)

// Queries: what is taken, what is dropped or turned away, when a query ends and how.

// margin is how long before a deadline an answer must be on its way: a sweep may come a step late.
func (m *Aggregator) margin() float64 { return max(sweepEvery, m.set.Step) + 2*m.set.Step }

func (m *Aggregator) sweep() {
	m.do(Action{Kind: SetTimer, Timer: sweepTimer, Wait: max(sweepEvery, m.set.Step)})
	if m.now >= m.listAt {
		m.listAt = math.Inf(1)
		m.do(Action{Kind: Subscribe, On: true})
	}
	for _, s := range m.fleet {
		m.listen(s)
	}
	for _, lk := range slices.Clone(m.open) {
		m.watch(lk)
	}
}

func (m *Aggregator) take(e *Event) {
	lk, x := m.opened(e), &m.index[e.Index]
	lk.over = m.overspends(e.Customer, burstS)
	// Against counting the soft deadline from a retry: a client's last try gives all that is left, be it more or
	// less than its first ones gave, which are most.
	if x.tried(e.Left, tryApart*x.hard, tryMost); math.Abs(e.Left-x.first) > tryApart*x.hard {
		lk.soft -= max(0, x.hard-e.Left)
	}
}

func (m *Aggregator) takeSubquery(e *Event) {
	lk := m.queries[e.No]
	if lk == nil {
		return
	}
	p := m.added(lk, e)
	if e.Hint > 0 {
		smooth(&m.meanHint, e.Hint, usualStep)
		smooth(&m.index[lk.k].work, e.Hint, usualStep)
		p.size = (1 + e.Hint/m.meanHint) / 2 // half of a latency is the wait for others' parts
	}
	m.bind(p)
	if len(lk.subqueries) == lk.expect {
		slices.SortStableFunc(lk.subqueries, func(a, b *subquery) int { return cmp.Compare(b.size, a.size) })
		m.thinOut(lk)
		if m.turnAway(lk) {
			m.query(lk, giveUp)
		}
	}
}

// turnAway tells whether a query just taken could not be answered in time, by the slowest part that its
// least answer needs. What is worth less, by its index or past its customer's share, must come out earlier.
func (m *Aggregator) turnAway(lk *query) bool {
	x, est, crowded := &m.index[lk.k], 0.0, m.recently() > usualUpTo*m.usual
	ends := make([]float64, 0, len(lk.subqueries))
	for _, p := range lk.subqueries {
		if s := p.at; s != nil {
			ahead := float64(s.heldUnits - m.units(lk, s))
			crowded = crowded || ahead > 0 || s.window < 1
			ends = append(ends, m.latency(s, lk.k)*(1+ahead/s.window)+max(0, s.downUntil-m.now))
		}
	}
	if len(ends) > 0 {
		slices.Sort(ends)
		est = ends[min(len(ends)-1, int(x.floor*float64(len(ends))))]
	}
	est += lowGain * (1 - x.gain/m.topGain) * x.soft
	est += overShare * share(lk.over) * x.soft
	return m.average > 0 && (m.now+est > lk.deadline || crowded && m.now+est > m.due(lk))
}

// thinOut drops, where it is crowded, parts that a query may do without and that give least for their work.
func (m *Aggregator) thinOut(lk *query) {
	most := (lk.need - m.index[lk.k].floor) * crowdDrop
	if m.recently() <= crowdFrom*m.usual {
		return
	}
	subqueries := slices.Clone(lk.subqueries)
	slices.SortStableFunc(subqueries, func(a, b *subquery) int { return cmp.Compare(a.weight/a.size, b.weight/b.size) })
	for _, p := range subqueries {
		if most -= p.weight; most < 0 {
			return
		}
		m.subquery(p, tooLate)
	}
}

// recently is the latency heard of late from any backend.
func (m *Aggregator) recently() float64 { return m.recent.mean(m.usual, lookLeast, m.now, m.shortSoft) }

// due is the soft deadline of the step in hand: a second one that is to come needs time too.
func (m *Aggregator) due(lk *query) float64 {
	if lk.state != first {
		return lk.soft
	}
	return lk.soft - secondFor*max(m.average, m.recently())
}

// watch looks after what time alone does to a query.
func (m *Aggregator) watch(lk *query) {
	x, due := &m.index[lk.k], m.due(lk)
	enough := lk.in >= x.floor-sumSlack
	switch {
	case m.now >= lk.deadline-m.margin() && !enough:
		m.query(lk, giveUp)
	case m.now >= lk.deadline-m.margin(), enough && m.now >= due-m.margin() && x.short*lk.in > x.late:
		m.query(lk, short)
	}
	inTime := func(s *backend) bool { return usable(s) && m.now+m.latency(s, lk.k) <= due }
	waiting := lk.weigh(func(p *subquery) bool { return p.state == held })
	// A part that misses the soft deadline takes more from others than the little gain that is left.
	hopeless := waiting > x.late && m.average > 0
	for _, p := range lk.subqueries {
		if p.state == out {
			m.overdue(p)
		} else if hopeless && p.state == held && p.at != nil && !slices.ContainsFunc(m.holdersOf(p), inTime) {
			m.subquery(p, tooLate)
		}
	}
}

func (m *Aggregator) count(p *subquery) {
	p.lk.in += p.weight
	m.takeBack(p)
	m.settle(p.lk)
}

func (m *Aggregator) lose(p *subquery) {
	m.owe(p, false)
	m.unhold(p)
	p.lk.lost += p.weight
	m.settle(p.lk)
}

// settle ends a query as soon as what is in, or lost, decides it.
func (m *Aggregator) settle(lk *query) {
	lk.pending--
	switch {
	case len(lk.subqueries) < lk.expect:
	case lk.in >= lk.need-sumSlack:
		m.query(lk, whole)
	case 1-lk.lost < m.index[lk.k].floor-sumSlack:
		m.query(lk, giveUp)
	case lk.pending == 0:
		m.query(lk, short)
	}
}

// answer ends a step, and with the last one its query.
func (m *Aggregator) answer(lk *query) {
	m.do(Action{Kind: Answer, Query: lk.id, Whole: !lk.short})
	if lk.state == done {
		m.forget(lk)
	} else {
		m.nextStep(lk, m.index[lk.k].second)
	}
}

// decline ends a query without an answer: by a nack wherever trying again is surely harmless.
func (m *Aggregator) decline(lk *query) {
	a := Action{Kind: Nack, Query: lk.id}
	if m.index[lk.k].effect != Idempotent && (lk.stepped || slices.ContainsFunc(lk.subqueries, (*subquery).maybe)) {
		a.Kind = Abort
	} else if m.set.Limits.RetryAfter {
		a.Wait = min(m.set.Limits.MaxRetryAfter, 2*m.latency(nil, lk.k)) // also while nobody was heard
	}
	m.do(a)
	m.forget(lk)
}
