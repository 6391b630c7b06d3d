package policy

import (
	"slices"
)

// Records of queries and their subqueries.

// addQuery records a received query.
func (a *Aggregator) addQuery(e *Event) *query {
	index := &a.indexes[e.Index]
	a.recordTime(&a.receivedTimes)
	q := &query{id: e.Query, number: e.QueryNumber, index: e.Index, expectedSubqueries: e.Subqueries, deadline: a.now + e.Remaining,
		softDeadline: a.now + index.softDeadline, requiredWeight: index.requiredWeight, state: stateLastStep, zones: e.Zones}
	if index.secondStep > 0 {
		q.state = stateFirstStep
	}
	a.queries[e.QueryNumber], a.queryNumbers[e.Query] = q, e.QueryNumber
	a.openQueries = append(a.openQueries, q)
	return q
}

// addSubquery records a subquery of a query.
func (a *Aggregator) addSubquery(q *query, e *Event) *subquery {
	a.recordTime(&a.receivedTimes)
	sub := &subquery{id: e.Subquery, query: q, shard: e.Shard, weight: e.Weight, size: 1, draw: a.random.uniform(), state: statePending}
	q.subqueries = append(q.subqueries, sub)
	q.openSubqueries++
	a.subqueries[sub.id] = sub
	return sub
}

// pendingSubqueries returns the pending subqueries of all queries, in order of arrival.
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

// sumWeights returns the total weight of the included subqueries of q.
func (q *query) sumWeights(include func(*subquery) bool) (weight float64) {
	for _, sub := range q.subqueries {
		if include(sub) {
			weight += sub.weight
		}
	}
	return weight
}

// openQueriesWithPendingCalls returns the open queries in order of arrival and updates their numbers of pending calls.
func (a *Aggregator) openQueriesWithPendingCalls() []*query {
	for _, q := range a.openQueries {
		q.pendingCalls = 0
		for _, assigned := range q.assignments {
			q.pendingCalls += float64(a.pendingCallsFor(q, assigned.backend))
		}
	}
	return slices.Clone(a.openQueries)
}

// hasCallsInFlight reports whether a call of any subquery is in flight.
func (q *query) hasCallsInFlight() bool {
	return slices.ContainsFunc(q.subqueries, func(sub *subquery) bool { return len(sub.calls) > 0 })
}

// pendingFor returns the number of q's subqueries that are pending for b.
func (q *query) pendingFor(b *backend) int {
	for _, assigned := range q.assignments {
		if assigned.backend == b {
			return assigned.subqueries
		}
	}
	return 0
}

// pendingCallsFor returns the number of calls that q's subqueries pending for b will share.
func (a *Aggregator) pendingCallsFor(q *query, b *backend) int {
	perCall := a.settings.Layout.SubqueriesPerCall
	return (q.pendingFor(b) + perCall - 1) / perCall
}

// addPending adds n to the number of q's subqueries that are pending for b.
func (a *Aggregator) addPending(q *query, b *backend, n int) {
	b.callsPending -= a.pendingCallsFor(q, b)
	i := slices.IndexFunc(q.assignments, func(t assignment) bool { return t.backend == b })
	if i < 0 {
		i = len(q.assignments)
		q.assignments = append(q.assignments, assignment{backend: b})
	}
	q.assignments[i].subqueries += n
	b.callsPending += a.pendingCallsFor(q, b)
}

// assign makes a subquery pending for b, or for no backend if b is nil.
func (a *Aggregator) assign(sub *subquery, b *backend) {
	a.unassign(sub)
	if sub.backend = b; b != nil {
		a.addPending(sub.query, b, 1)
	}
}

// unassign makes a subquery pending for no backend.
func (a *Aggregator) unassign(sub *subquery) {
	if sub.backend != nil {
		a.addPending(sub.query, sub.backend, -1)
	}
	sub.backend = nil
}

// removeIfClosed deletes a closed subquery that has no call in flight.
func (a *Aggregator) removeIfClosed(sub *subquery) {
	if sub.state == stateClosed && len(sub.calls) == 0 {
		delete(a.subqueries, sub.id)
	}
}

// closeSubqueries closes all subqueries of a query's current step.
func (a *Aggregator) closeSubqueries(q *query) {
	for _, sub := range q.subqueries {
		a.applyToSubquery(sub, onClose)
		a.reserveRetry(sub, false)
		sub.state = stateClosed
		a.removeIfClosed(sub)
	}
	q.subqueries, q.assignments, a.sendOrderStale = nil, nil, true
}

// nextStep begins the second step of a query. The second step needs all of its subqueries. There are as many as the first
// step has answered subqueries, but at most limit.
func (a *Aggregator) nextStep(q *query, limit int) {
	answered := 0
	for _, sub := range q.subqueries {
		if sub.state == stateAnswered {
			answered++
		}
	}
	a.closeSubqueries(q)
	q.firstStepDone = true
	q.requiredWeight, q.expectedSubqueries, q.answeredWeight, q.abandonedWeight, q.openSubqueries = 1, min(answered, limit), 0, 0, 0
}

// removeQuery deletes a query that has ended.
func (a *Aggregator) removeQuery(q *query) {
	a.closeSubqueries(q)
	delete(a.queries, q.number)
	delete(a.queryNumbers, q.id)
	a.openQueries = slices.DeleteFunc(a.openQueries, func(o *query) bool { return o == q })
}

// clientDisconnected ends a query whose client has disconnected.
func (a *Aggregator) clientDisconnected(e *Event) {
	if q := a.queries[a.queryNumbers[e.Query]]; q != nil && q.id == e.Query {
		a.applyToQuery(q, onDisconnect)
	}
}
