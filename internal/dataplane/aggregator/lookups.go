package aggregator

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/policy"
)

type subqueryRef struct {
	query *Query
	no    int
}

// open takes a query in, its parts right behind it, unless the most that may be held is held.
func (m *Aggregator) open(lk *Query, now time.Time) {
	switch {
	case m.set.Limits.MaxPending > 0 && len(m.queries)+len(m.subqueries) >= m.set.Limits.MaxPending:
		m.count.Add("lookups", "full", 1)
		m.ended(lk, capture.Full, now)
		lk.Done <- Reply{End: Full}
		return
	case m.names[lk.ID] != nil: // its part calls could not be told from those of the other
		m.count.Add("lookups", "twice", 1)
		lk.Done <- Reply{End: Twice}
		return
	}
	var zones *policy.Zones
	if m.gated.gate != nil {
		var admitted bool
		if zones, admitted = m.admit(lk, now); !admitted {
			return
		}
	}
	m.count.Add("lookups", "taken", 1)
	m.count.Add("lookups", "held", 1)
	m.lastID++
	lk.id = policy.QueryID(m.lastID)
	m.queries[lk.id], m.names[lk.ID] = lk, lk
	left := lk.Wait - now.Sub(lk.Arrived).Seconds()
	e := policy.Event{Kind: policy.QueryReceived, Query: lk.id, No: policy.QueryNo(lk.id), Index: lk.Index,
		Customer: lk.Customer, Key: lk.Key, HasKey: lk.HasKey, Remaining: left, Subqueries: len(lk.Subqueries), Resent: lk.Resent, Zones: zones}
	for i := range lk.Subqueries {
		e.Hint += lk.Subqueries[i].Hint
	}
	m.events = append(m.events, e)
	if m.recorder != nil {
		m.recorder.Taken(m.seconds(now), lk.Index, lk.Customer, lk.Resent, e.Hint, lk.shards)
	}
	e.Kind, e.Subqueries = policy.SubqueryReceived, 0
	for i := range lk.Subqueries {
		p := &lk.Subqueries[i]
		m.lastID++
		e.Subquery, e.Shard, e.Weight, e.Hint, e.Key, e.HasKey = policy.SubqueryID(m.lastID), p.Shard, p.Weight, p.Hint, p.Key, p.HasKey
		m.subqueries[e.Subquery] = subqueryRef{lk, i}
		m.events = append(m.events, e)
	}
}

// shards yields the shard of each part.
func (lk *Query) shards(yield func(policy.ShardID) bool) {
	for i := range lk.Subqueries {
		if !yield(lk.Subqueries[i].Shard) {
			return
		}
	}
}

// ended tells the recorder of a query's end, where there is one.
func (m *Aggregator) ended(lk *Query, how capture.End, now time.Time) {
	if m.recorder != nil {
		m.recorder.Ended(m.seconds(now), lk.Index, lk.Customer, how, now.Sub(lk.Arrived).Seconds())
	}
}

var captureEnds = [...]capture.End{Satisfied: capture.Answered, Nacked: capture.Nacked, Aborted: capture.Aborted}

// holds tells whether a query was taken and has no final answer yet.
func (m *Aggregator) holds(lk *Query) bool { return m.queries[lk.id] == lk }

// close lets go of a query that has its final answer, or no client.
func (m *Aggregator) close(lk *Query) {
	m.count.Add("lookups", "held", -1)
	delete(m.queries, lk.id)
	delete(m.names, lk.ID)
	for i := range lk.Subqueries {
		delete(m.subqueries, policy.SubqueryID(uint64(lk.id)+1+uint64(i)))
	}
}

func (m *Aggregator) finish(id policy.QueryID, reason string, reply Reply, now time.Time) {
	lk := m.queries[id]
	if lk == nil {
		m.log.Warn("answer for a lookup that is not held", zap.Uint64("lookup", uint64(id)), zap.String("end", reason))
		return
	}
	m.close(lk)
	m.count.Add("lookups", reason, 1)
	m.ended(lk, captureEnds[reply.End], now)
	lk.Done <- reply
}
