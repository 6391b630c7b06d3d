package aggregator

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/policy"
)

// subqueryRef refers to a subquery by its query and its position in Query.Subqueries.
type subqueryRef struct {
	query    *Query
	position int
}

// addQuery passes a query and its subqueries to the policy. It rejects the query if the limit of pending queries is
// reached, if a query with the same ID is pending, or if the admission refuses it.
func (a *Aggregator) addQuery(q *Query, now time.Time) {
	switch {
	case a.settings.Limits.MaxPending > 0 && len(a.queries)+len(a.subqueries) >= a.settings.Limits.MaxPending:
		a.counters.Add("lookups", "full", 1)
		a.recordQueryEnd(q, capture.Full, now)
		q.Done <- Reply{End: QueueFull}
		return
	case a.byClientID[q.ID] != nil: // calls are named after the query's ID, so two pending queries with one ID could not be told apart
		a.counters.Add("lookups", "twice", 1)
		q.Done <- Reply{End: Duplicate}
		return
	}
	var zones *policy.Zones
	if a.admissionState.admission != nil {
		var admitted bool
		if zones, admitted = a.admit(q, now); !admitted {
			return
		}
	}
	a.counters.Add("lookups", "taken", 1)
	a.counters.Add("lookups", "held", 1)
	a.lastID++
	q.id = policy.QueryID(a.lastID)
	a.queries[q.id], a.byClientID[q.ID] = q, q
	remaining := q.Timeout - now.Sub(q.Arrived).Seconds()
	event := policy.Event{Kind: policy.QueryReceived, Query: q.id, QueryNumber: policy.QueryNumber(q.id), Index: q.Index,
		Customer: q.Customer, Key: q.Key, HasKey: q.HasKey, Remaining: remaining, Subqueries: len(q.Subqueries), Resent: q.Resent, Zones: zones}
	for i := range q.Subqueries {
		event.Hint += q.Subqueries[i].Hint
	}
	a.events = append(a.events, event)
	if a.recorder != nil {
		a.recorder.QueryStarted(a.policyTime(now), q.Index, q.Customer, q.Resent, event.Hint, q.shards)
	}
	event.Kind, event.Subqueries = policy.SubqueryReceived, 0
	for i := range q.Subqueries {
		subquery := &q.Subqueries[i]
		a.lastID++
		event.Subquery, event.Shard, event.Weight, event.Hint, event.Key, event.HasKey = policy.SubqueryID(a.lastID), subquery.Shard, subquery.Weight, subquery.Hint, subquery.Key, subquery.HasKey
		a.subqueries[event.Subquery] = subqueryRef{q, i}
		a.events = append(a.events, event)
	}
}

// shards iterates over the shards of the subqueries.
func (q *Query) shards(yield func(policy.ShardID) bool) {
	for i := range q.Subqueries {
		if !yield(q.Subqueries[i].Shard) {
			return
		}
	}
}

// recordQueryEnd reports a query's end to the recorder, if there is one.
func (a *Aggregator) recordQueryEnd(q *Query, end capture.End, now time.Time) {
	if a.recorder != nil {
		a.recorder.QueryEnded(a.policyTime(now), q.Index, q.Customer, end, now.Sub(q.Arrived).Seconds())
	}
}

// captureEnds maps the ends of queries that the policy has ended to those of the capture.
var captureEnds = [...]capture.End{Satisfied: capture.Answered, Rejected: capture.Rejected, Aborted: capture.Aborted}

// isOpen reports whether a query is pending: it was passed to the policy and has neither a final reply nor a disconnected
// client.
func (a *Aggregator) isOpen(q *Query) bool { return a.queries[q.id] == q }

// removeQuery removes a query that has its final reply or whose client has disconnected.
func (a *Aggregator) removeQuery(q *Query) {
	a.counters.Add("lookups", "held", -1)
	delete(a.queries, q.id)
	delete(a.byClientID, q.ID)
	for i := range q.Subqueries {
		delete(a.subqueries, policy.SubqueryID(uint64(q.id)+1+uint64(i)))
	}
}

// finishQuery removes a query and sends its final reply.
func (a *Aggregator) finishQuery(id policy.QueryID, reason string, reply Reply, now time.Time) {
	q := a.queries[id]
	if q == nil {
		a.logger.Warn("answer for an unknown query", zap.Uint64("lookup", uint64(id)), zap.String("end", reason))
		return
	}
	a.removeQuery(q)
	a.counters.Add("lookups", reason, 1)
	a.recordQueryEnd(q, captureEnds[reply.End], now)
	q.Done <- reply
}
