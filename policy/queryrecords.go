package policy

import (
	"slices"
)

// Records of queries and of their subqueries.

// addQuery records a query that was received.
func (a *Aggregator) addQuery(e *Event) *query {
	row := &a.indexes[e.Index]
	a.recordTime(&a.receivedTimes)
	q := &query{id: e.Query, no: e.No, index: e.Index, expected: e.Subqueries, deadline: a.now + e.Remaining,
		soft: a.now + row.soft, required: row.required, state: stateLastStep, zones: e.Zones}
	if row.secondStep > 0 {
		q.state = stateFirstStep
	}
	a.queries[e.No], a.numbers[e.Query] = q, e.No
	a.openQueries = append(a.openQueries, q)
	return q
}

// addSubquery records a subquery of a query.
func (a *Aggregator) addSubquery(q *query, e *Event) *subquery {
	a.recordTime(&a.receivedTimes)
	sub := &subquery{id: e.Subquery, query: q, shard: e.Shard, weight: e.Weight, size: 1, draw: a.random.unit(), state: statePending}
	q.subqueries = append(q.subqueries, sub)
	q.unfinished++
	a.subqueries[sub.id] = sub
	return sub
}

// pendingSubqueries lists the pending subqueries of all queries, in order of arrival.
func (a *Aggregator) pendingSubqueries() (list []*subquery) {
	for _, q := range a.openQueries {
		for _, sub := range q.subqueries {
			if sub.state == statePending {
				list = append(list, sub)
			}
		}
	}
	return list
}

// sumWeights sums the weights of q's subqueries that count.
func (q *query) sumWeights(counts func(*subquery) bool) (weight float64) {
	for _, sub := range q.subqueries {
		if counts(sub) {
			weight += sub.weight
		}
	}
	return weight
}

// openQueriesBySize lists the open queries in order of arrival, and sets their sizes: the calls that are pending for them.
func (a *Aggregator) openQueriesBySize() []*query {
	for _, q := range a.openQueries {
		q.size = 0
		for _, assigned := range q.assignments {
			q.size += float64(a.callsFor(q, assigned.backend))
		}
	}
	return slices.Clone(a.openQueries)
}

// hasCallsInFlight tells whether a call of some subquery is in flight.
func (q *query) hasCallsInFlight() bool {
	return slices.ContainsFunc(q.subqueries, func(sub *subquery) bool { return len(sub.calls) > 0 })
}

// assignedTo counts q's subqueries that are pending for b.
func (q *query) assignedTo(b *backend) int {
	for _, assigned := range q.assignments {
		if assigned.backend == b {
			return assigned.subqueries
		}
	}
	return 0
}

// callsFor counts the calls that q's subqueries pending for b will share.
func (a *Aggregator) callsFor(q *query, b *backend) int {
	per := a.settings.Layout.CallSubqueries
	return (q.assignedTo(b) + per - 1) / per
}

// addAssigned adds n to the subqueries of q that are pending for b.
func (a *Aggregator) addAssigned(q *query, b *backend, n int) {
	b.callsPending -= a.callsFor(q, b)
	i := slices.IndexFunc(q.assignments, func(t assignment) bool { return t.backend == b })
	if i < 0 {
		i = len(q.assignments)
		q.assignments = append(q.assignments, assignment{backend: b})
	}
	q.assignments[i].subqueries += n
	b.callsPending += a.callsFor(q, b)
}

// assign makes a subquery pending for b, or for no backend where b is nil.
func (a *Aggregator) assign(sub *subquery, b *backend) {
	a.unassign(sub)
	if sub.assigned = b; b != nil {
		a.addAssigned(sub.query, b, 1)
	}
}

// unassign takes a subquery from the backend that it is pending for.
func (a *Aggregator) unassign(sub *subquery) {
	if sub.assigned != nil {
		a.addAssigned(sub.query, sub.assigned, -1)
	}
	sub.assigned = nil
}

// removeIfClosed removes a closed subquery once no call of it is in flight.
func (a *Aggregator) removeIfClosed(sub *subquery) {
	if sub.state == stateClosed && len(sub.calls) == 0 {
		delete(a.subqueries, sub.id)
	}
}

// closeSubqueries closes all subqueries of a query's step.
func (a *Aggregator) closeSubqueries(q *query) {
	for _, sub := range q.subqueries {
		a.applyToSubquery(sub, onClose)
		a.reserveRetry(sub, false)
		sub.state = stateClosed
		a.removeIfClosed(sub)
	}
	q.subqueries, q.assignments, a.orderStale = nil, nil, true
}

// nextStep begins the second step of a query, which needs all of its subqueries; those of the first step were executed.
func (a *Aggregator) nextStep(q *query, limit int) {
	n := 0
	for _, sub := range q.subqueries {
		if sub.state == stateAnswered {
			n++
		}
	}
	a.closeSubqueries(q)
	q.firstStepDone = true
	q.required, q.expected, q.answeredWeight, q.abandonedWeight, q.unfinished = 1, min(n, limit), 0, 0, 0
}

// removeQuery removes a query that has ended.
func (a *Aggregator) removeQuery(q *query) {
	a.closeSubqueries(q)
	delete(a.queries, q.no)
	delete(a.numbers, q.id)
	a.openQueries = slices.DeleteFunc(a.openQueries, func(o *query) bool { return o == q })
}

// clientDisconnected ends a query whose client has disconnected.
func (a *Aggregator) clientDisconnected(e *Event) {
	if q := a.queries[a.numbers[e.Query]]; q != nil && q.id == e.Query {
		a.applyToQuery(q, onDisconnect)
	}
}
