package policy

import (
	"slices"
)

// Records of queries and of parts that are held.

// addQuery enters a query that was taken; added enters a part of it.
func (m *Aggregator) addQuery(e *Event) *query {
	x := &m.indexes[e.Index]
	m.recordTime(&m.receivedTimes)
	lk := &query{id: e.Query, no: e.No, index: e.Index, expected: e.Subqueries, deadline: m.now + e.Remaining,
		soft: m.now + x.soft, required: x.required, state: stateLastStep, zones: e.Zones}
	if x.secondStep > 0 {
		lk.state = stateFirstStep
	}
	m.queries[e.No], m.numbers[e.Query] = lk, e.No
	m.openQueries = append(m.openQueries, lk)
	return lk
}

func (m *Aggregator) addSubquery(lk *query, e *Event) *subquery {
	m.recordTime(&m.receivedTimes)
	p := &subquery{id: e.Subquery, query: lk, shard: e.Shard, weight: e.Weight, size: 1, draw: m.random.unit(), state: statePending}
	lk.subqueries = append(lk.subqueries, p)
	lk.unfinished++
	m.subqueries[p.id] = p
	return p
}

func (m *Aggregator) pendingSubqueries() (list []*subquery) {
	for _, lk := range m.openQueries {
		for _, p := range lk.subqueries {
			if p.state == statePending {
				list = append(list, p)
			}
		}
	}
	return list
}

// sumWeights sums the weights of lk's parts that are so.
func (lk *query) sumWeights(so func(*subquery) bool) (weight float64) {
	for _, p := range lk.subqueries {
		if so(p) {
			weight += p.weight
		}
	}
	return weight
}

// openQueriesBySize lists the open queries with the sizes of what they hold.
func (m *Aggregator) openQueriesBySize() []*query {
	for _, lk := range m.openQueries {
		lk.size = 0
		for _, t := range lk.assignments {
			lk.size += float64(m.callsFor(lk, t.backend))
		}
	}
	return slices.Clone(m.openQueries)
}

// hasCallsInFlight tells whether a call of a part is out.
func (lk *query) hasCallsInFlight() bool {
	return slices.ContainsFunc(lk.subqueries, func(p *subquery) bool { return len(p.calls) > 0 })
}

func (lk *query) assignedTo(s *backend) int {
	for _, t := range lk.assignments {
		if t.backend == s {
			return t.subqueries
		}
	}
	return 0
}

// units counts lk's held parts at s as the calls they will share.
func (m *Aggregator) callsFor(lk *query, s *backend) int {
	per := m.settings.Layout.CallSubqueries
	return (lk.assignedTo(s) + per - 1) / per
}

func (m *Aggregator) addAssigned(lk *query, s *backend, n int) {
	s.callsPending -= m.callsFor(lk, s)
	i := slices.IndexFunc(lk.assignments, func(t assignment) bool { return t.backend == s })
	if i < 0 {
		i = len(lk.assignments)
		lk.assignments = append(lk.assignments, assignment{backend: s})
	}
	lk.assignments[i].subqueries += n
	s.callsPending += m.callsFor(lk, s)
}

func (m *Aggregator) assign(p *subquery, s *backend) {
	m.unassign(p)
	if p.assigned = s; s != nil {
		m.addAssigned(p.query, s, 1)
	}
}

func (m *Aggregator) unassign(p *subquery) {
	if p.assigned != nil {
		m.addAssigned(p.query, p.assigned, -1)
	}
	p.assigned = nil
}

// removeIfClosed lets go of a part that nothing can refer to any more.
func (m *Aggregator) removeIfClosed(p *subquery) {
	if p.state == stateClosed && len(p.calls) == 0 {
		delete(m.subqueries, p.id)
	}
}

// closeSubqueries closes all parts of a step.
func (m *Aggregator) closeSubqueries(lk *query) {
	for _, p := range lk.subqueries {
		m.applyToSubquery(p, onClose)
		m.reserveRetry(p, false)
		p.state = stateClosed
		m.removeIfClosed(p)
	}
	lk.subqueries, lk.assignments, m.orderStale = nil, nil, true
}

// nextStep begins the second step, of which all makes it whole; parts of the first have run.
func (m *Aggregator) nextStep(lk *query, most int) {
	n := 0
	for _, p := range lk.subqueries {
		if p.state == stateAnswered {
			n++
		}
	}
	m.closeSubqueries(lk)
	lk.firstStepDone = true
	lk.required, lk.expected, lk.answeredWeight, lk.abandonedWeight, lk.unfinished = 1, min(n, most), 0, 0, 0
}

func (m *Aggregator) removeQuery(lk *query) {
	m.closeSubqueries(lk)
	delete(m.queries, lk.no)
	delete(m.numbers, lk.id)
	m.openQueries = slices.DeleteFunc(m.openQueries, func(o *query) bool { return o == lk })
}

func (m *Aggregator) clientDisconnected(e *Event) {
	if lk := m.queries[m.numbers[e.Query]]; lk != nil && lk.id == e.Query {
		m.applyToQuery(lk, onDisconnect)
	}
}
