package policy

import (
	"slices"
)

// Records of queries and of parts that are held.

// opened enters a query that was taken; added enters a part of it.
func (m *Aggregator) opened(e *Event) *query {
	x := &m.index[e.Index]
	m.record(&m.taken)
	lk := &query{id: e.Query, no: e.No, k: e.Index, expect: e.Subqueries, deadline: m.now + e.Left,
		soft: m.now + x.soft, need: x.need, state: last, zones: e.Zones}
	if x.second > 0 {
		lk.state = first
	}
	m.queries[e.No], m.numbers[e.Query] = lk, e.No
	m.open = append(m.open, lk)
	return lk
}

func (m *Aggregator) added(lk *query, e *Event) *subquery {
	m.record(&m.taken)
	p := &subquery{id: e.Subquery, lk: lk, shard: e.Shard, weight: e.Weight, size: 1, lot: m.chance.unit(), state: held}
	lk.subqueries = append(lk.subqueries, p)
	lk.pending++
	m.subqueries[p.id] = p
	return p
}

func (m *Aggregator) heldSubqueries() (list []*subquery) {
	for _, lk := range m.open {
		for _, p := range lk.subqueries {
			if p.state == held {
				list = append(list, p)
			}
		}
	}
	return list
}

// weigh sums the weights of lk's parts that are so.
func (lk *query) weigh(so func(*subquery) bool) (weight float64) {
	for _, p := range lk.subqueries {
		if so(p) {
			weight += p.weight
		}
	}
	return weight
}

// sized lists the open queries with the sizes of what they hold.
func (m *Aggregator) sized() []*query {
	for _, lk := range m.open {
		lk.size = 0
		for _, t := range lk.held {
			lk.size += float64(m.units(lk, t.at))
		}
	}
	return slices.Clone(m.open)
}

// calling tells whether a call of a part is out.
func (lk *query) calling() bool {
	return slices.ContainsFunc(lk.subqueries, func(p *subquery) bool { return len(p.live) > 0 })
}

func (lk *query) heldAt(s *backend) int {
	for _, t := range lk.held {
		if t.at == s {
			return t.n
		}
	}
	return 0
}

// units counts lk's held parts at s as the calls they will share.
func (m *Aggregator) units(lk *query, s *backend) int {
	per := m.set.Layout.CallSubqueries
	return (lk.heldAt(s) + per - 1) / per
}

func (m *Aggregator) tally(lk *query, s *backend, n int) {
	s.heldUnits -= m.units(lk, s)
	i := slices.IndexFunc(lk.held, func(t tally) bool { return t.at == s })
	if i < 0 {
		i = len(lk.held)
		lk.held = append(lk.held, tally{at: s})
	}
	lk.held[i].n += n
	s.heldUnits += m.units(lk, s)
}

func (m *Aggregator) hold(p *subquery, s *backend) {
	m.unhold(p)
	if p.at = s; s != nil {
		m.tally(p.lk, s, 1)
	}
}

func (m *Aggregator) unhold(p *subquery) {
	if p.at != nil {
		m.tally(p.lk, p.at, -1)
	}
	p.at = nil
}

// release lets go of a part that nothing can refer to any more.
func (m *Aggregator) release(p *subquery) {
	if p.state == over && len(p.live) == 0 {
		delete(m.subqueries, p.id)
	}
}

// dropSubqueries closes all parts of a step.
func (m *Aggregator) dropSubqueries(lk *query) {
	for _, p := range lk.subqueries {
		m.subquery(p, closed)
		m.owe(p, false)
		p.state = over
		m.release(p)
	}
	lk.subqueries, lk.held, m.dirty = nil, nil, true
}

// nextStep begins the second step, of which all makes it whole; parts of the first have run.
func (m *Aggregator) nextStep(lk *query, most int) {
	n := 0
	for _, p := range lk.subqueries {
		if p.state == in {
			n++
		}
	}
	m.dropSubqueries(lk)
	lk.stepped = true
	lk.need, lk.expect, lk.in, lk.lost, lk.pending = 1, min(n, most), 0, 0, 0
}

func (m *Aggregator) forget(lk *query) {
	m.dropSubqueries(lk)
	delete(m.queries, lk.no)
	delete(m.numbers, lk.id)
	m.open = slices.DeleteFunc(m.open, func(o *query) bool { return o == lk })
}

func (m *Aggregator) clientGone(e *Event) {
	if lk := m.queries[m.numbers[e.Query]]; lk != nil && lk.id == e.Query {
		m.query(lk, left)
	}
}
