package policy

import (
	"math"
	"slices"
)

// Release: in which order held parts leave, whether one may leave yet, and when a call is made again.

// scouts tells whether a query sends one part ahead. Of one that brings backends down every part does.
func (m *Aggregator) scouts(lk *query) bool { return !lk.proven && (lk.broken > 0 || m.falling()) }

// look asks the two likeliest holders of a held part, and tells whether to wait for the first that answers.
func (m *Aggregator) look(p *subquery) (wait bool) {
	heard := func(s *backend) bool { return usable(s) && m.fresh(s) && m.may(p, s) }
	if slices.ContainsFunc(m.holdersOf(p), heard) {
		return false
	}
	one := m.choose(p, nil, false)
	for _, s := range []*backend{one, m.choose(p, one, false)} {
		if s != nil && usable(s) {
			m.ask(s, false)
			wait = wait || s.probing
		}
	}
	return wait
}

// overdue takes back a call that a sibling would long have answered, against backends that crawl or lose it.
func (m *Aggregator) overdue(p *subquery) {
	if len(p.live) != 1 || p.live[0].back || !m.mayAgain(p) {
		return
	}
	c, s := p.live[0], m.choose(p, p.live[0].at, true)
	age, patience := m.now-c.sent, overdueFrom*max(m.average, m.latency(s, p.lk.k))*p.size
	if !m.deep && (p.lk.in < nearIn*p.lk.need || m.recently() > crowdFrom*m.usual) { // the last few cost little
		patience *= shallowMore
	}
	switch {
	case s == nil || age < patience && usable(c.at):
		return
	case m.set.Limits.Probe && !m.fresh(s): // where the sibling's queue is as long, one more only adds to both
		m.ask(s, false)
		return
	case m.deep && c.at.alive > c.sent && c.at.answeredAt < c.sent: // it waits no longer than a probe
		m.connectionLost(c)
	}
	if m.set.Limits.SecondCopy {
		p.at = s
		m.subquery(p, releases)
	} else if m.set.Limits.Cancel {
		m.owe(p, true)
		m.withdraw(c)
	}
}

// room: a backend out of reach gets one call at a time, after each pause.
func (m *Aggregator) room(p *subquery, s *backend) bool {
	if !usable(s) && (s.probing || m.now < s.downUntil || s.units > 0) {
		return false
	}
	paced := s.units == 0 && m.now-s.usedAt >= s.latency*(1/s.window-1) // below one call
	return (m.riding(s) || float64(s.units) < math.Floor(s.window) || paced) && m.coldAllows(p, s)
}

// reorder is SWAG's order: the held query of least makespan first, its calls then added to the queues.
func (m *Aggregator) reorder() {
	m.dirty, m.order = false, m.order[:0]
	for _, s := range m.fleet {
		s.queue = float64(s.units)
	}
	rest := m.sized()
	for len(rest) > 0 {
		best, least := 0, math.Inf(1)
		for i, lk := range rest {
			span := 0.0
			for _, t := range lk.held {
				if t.n > 0 {
					span = max(span, (t.at.queue+float64(m.units(lk, t.at)))*m.latency(t.at, lk.k))
				}
			}
			if span < least || span == least && lk.size < rest[best].size {
				best, least = i, span
			}
		}
		lk := rest[best]
		for _, t := range lk.held {
			t.at.queue += float64(m.units(lk, t.at))
		}
		m.order = append(m.order, lk)
		rest = slices.Delete(rest, best, best+1)
	}
}

func (m *Aggregator) releaseAll() {
	m.average = m.meanLatency(func(s *backend) bool { return usable(s) && !s.shut })
	if m.dirty {
		m.reorder()
	}
	for _, lk := range m.order {
		scouts, subqueries := m.scouts(lk), lk.subqueries
		if len(subqueries) < lk.expect || scouts && lk.calling() {
			continue
		}
		// While parts that it needs have no holder in reach, work on the others is likely for nothing.
		blocked := lk.lost+lk.weigh(m.blocked) > 1-m.index[lk.k].floor+sumSlack
		for i, p := range subqueries {
			if scouts {
				p = subqueries[len(subqueries)-1-i] // the least first
			}
			if p.state == held && (!blocked || m.blocked(p)) {
				m.tryRelease(p)
			}
			if scouts && p.state == out {
				break
			}
		}
	}
}

func (m *Aggregator) blocked(p *subquery) bool {
	reach := func(s *backend) bool { return usable(s) && m.may(p, s) }
	return p.state == held && !slices.ContainsFunc(m.holdersOf(p), reach)
}

func (m *Aggregator) late(p *subquery, s *backend) bool {
	return p.lk.deadline-m.now < m.latency(s, p.lk.k)
}

func (m *Aggregator) tryRelease(p *subquery) {
	if p.at != nil && !m.may(p, p.at) { // the pinned one serves again, or no longer
		m.bind(p)
	}
	if p.state != held {
		return
	}
	s, looks := p.at, m.looks()
	if looks && m.look(p) {
		return
	}
	sound := s != nil && usable(s) && !m.late(p, s)
	if !sound || !m.room(p, s) || looks && !m.fresh(s) {
		alt := m.choose(p, s, sound)
		if alt != nil && !m.late(p, alt) && (!sound && usable(alt) || sound && (!m.coldAllows(p, s) ||
			m.cost(p, alt) < m.cost(p, s)*alt.scope(p.lk.k).weight || looks && m.fresh(alt) && !m.fresh(s))) {
			m.hold(p, alt)
			s = alt
		}
	}
	switch {
	case s == nil || !m.late(p, s) && !m.room(p, s):
	case m.late(p, s) || p.made > 0 && !m.mayAgain(p):
		m.subquery(p, tooLate)
	default:
		m.subquery(p, releases)
	}
}

func (m *Aggregator) send(p *subquery) {
	s := p.at
	if len(p.live) == 0 {
		m.tally(p.lk, s, -1)
	}
	p.at = nil
	idle := m.now - s.usedAt
	if len(s.out) == 0 && idle > m.idle && m.doubt.now(m.now, longMemory*m.longSoft) > idleDoubt {
		m.do(Action{Kind: CloseIdle, Backend: s.id})
		idle = 0
	}
	a := Action{Kind: Send, Subquery: p.id, Backend: s.id, StopAt: m.stop(p.lk)}
	if m.index[p.lk.k].effect == Fingerprinted && p.maybe() {
		a.BeginBy = p.first + m.index[p.lk.k].repeat // also where it waits for a connection until then
	}
	m.begin(p, s).idle = idle
	if m.warmth(s) < 1 {
		s.sent = append(s.sent, sending{m.now, m.workOf(p.lk.k)})
	}
	m.do(a)
}

// stop is when a call of a query is no longer worth its work: what waits beyond that need not be begun.
func (m *Aggregator) stop(lk *query) float64 {
	if x := &m.index[lk.k]; x.floor < x.need && x.short > x.late || x.late == 0 {
		return min(lk.deadline, lk.soft)
	}
	return lk.deadline
}

// mayAgain tells whether a further call of p is allowed by its index, its tries and the budget.
func (m *Aggregator) mayAgain(p *subquery) bool {
	x, r := &m.index[p.lk.k], &m.set.Rules
	switch {
	case m.set.Limits.MaxTries > 0 && p.made >= m.set.Limits.MaxTries,
		x.effect == OnceOnly && p.maybe(),
		x.effect == Fingerprinted && p.maybe() && m.now > p.first+x.repeat-m.set.Step:
		return false
	}
	further, taken := m.spent(p, m.now-r.BudgetS)
	return !r.Budget || float64(further) <= r.BudgetFree+r.BudgetPer*float64(taken)
}
