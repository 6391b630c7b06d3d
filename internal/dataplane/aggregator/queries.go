package aggregator

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/policy"
)

// subqueryRef is where the policy's id of a subquery leads.
type subqueryRef struct {
	query *Query
	no    int
}

// addQuery passes a query and its subqueries to the policy, unless the limit of pending queries is reached.
func (m *Aggregator) addQuery(q *Query, now time.Time) {
	switch {
	case m.settings.Limits.MaxPending > 0 && len(m.queries)+len(m.subqueries) >= m.settings.Limits.MaxPending:
		m.counters.Add("lookups", "full", 1)
		m.recordEnd(q, capture.Full, now)
		q.Done <- Reply{End: QueueFull}
		return
	case m.byClientID[q.ID] != nil: // its calls could not be told from those of the other
		m.counters.Add("lookups", "twice", 1)
		q.Done <- Reply{End: Duplicate}
		return
	}
	var zones *policy.Zones
	if m.admission.admission != nil {
		var admitted bool
		if zones, admitted = m.admit(q, now); !admitted {
			return
		}
	}
	m.counters.Add("lookups", "taken", 1)
	m.counters.Add("lookups", "held", 1)
	m.lastID++
	q.id = policy.QueryID(m.lastID)
	m.queries[q.id], m.byClientID[q.ID] = q, q
	remaining := q.Timeout - now.Sub(q.Arrived).Seconds()
	event := policy.Event{Kind: policy.QueryReceived, Query: q.id, No: policy.QueryNo(q.id), Index: q.Index,
		Customer: q.Customer, Key: q.Key, HasKey: q.HasKey, Remaining: remaining, Subqueries: len(q.Subqueries), Resent: q.Resent, Zones: zones}
	for i := range q.Subqueries {
		event.Hint += q.Subqueries[i].Hint
	}
	m.events = append(m.events, event)
	if m.recorder != nil {
		m.recorder.Taken(m.policyTime(now), q.Index, q.Customer, q.Resent, event.Hint, q.shards)
	}
	event.Kind, event.Subqueries = policy.SubqueryReceived, 0
	for i := range q.Subqueries {
		sub := &q.Subqueries[i]
		m.lastID++
		event.Subquery, event.Shard, event.Weight, event.Hint, event.Key, event.HasKey = policy.SubqueryID(m.lastID), sub.Shard, sub.Weight, sub.Hint, sub.Key, sub.HasKey
		m.subqueries[event.Subquery] = subqueryRef{q, i}
		m.events = append(m.events, event)
	}
}

// shards yields the shard of each subquery.
func (q *Query) shards(yield func(policy.ShardID) bool) {
	for i := range q.Subqueries {
		if !yield(q.Subqueries[i].Shard) {
			return
		}
	}
}

// recordEnd records a query's end, where there is a recorder.
func (m *Aggregator) recordEnd(q *Query, end capture.End, now time.Time) {
	if m.recorder != nil {
		m.recorder.Ended(m.policyTime(now), q.Index, q.Customer, end, now.Sub(q.Arrived).Seconds())
	}
}

var captureEnds = [...]capture.End{Satisfied: capture.Answered, Nacked: capture.Nacked, Aborted: capture.Aborted}

// isOpen tells whether a query was received and has no final answer yet.
func (m *Aggregator) isOpen(q *Query) bool { return m.queries[q.id] == q }

// removeQuery removes a query that has its final answer, or no client any more.
func (m *Aggregator) removeQuery(q *Query) {
	m.counters.Add("lookups", "held", -1)
	delete(m.queries, q.id)
	delete(m.byClientID, q.ID)
	for i := range q.Subqueries {
		delete(m.subqueries, policy.SubqueryID(uint64(q.id)+1+uint64(i)))
	}
}

// finishQuery gives a query its final reply.
func (m *Aggregator) finishQuery(id policy.QueryID, reason string, reply Reply, now time.Time) {
	q := m.queries[id]
	if q == nil {
		m.log.Warn("answer for a lookup that is not held", zap.Uint64("lookup", uint64(id)), zap.String("end", reason))
		return
	}
	m.removeQuery(q)
	m.counters.Add("lookups", reason, 1)
	m.recordEnd(q, captureEnds[reply.End], now)
	q.Done <- reply
}
