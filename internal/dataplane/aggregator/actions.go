package aggregator

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/policy"
)

// inFlightCall is a part call that is out.
type inFlightCall struct {
	backend  policy.BackendID
	index    policy.IndexID
	customer policy.CustomerID
	seat     *capture.Seat // nil where nothing is captured
	alone    bool          // nothing else of ours was there when it went
}

type callKey struct {
	subquery policy.SubqueryID
	no       policy.CallNo
}

func (m *Aggregator) execute(a *policy.Action, now time.Time) {
	switch a.Kind {
	case policy.Send:
		m.send(a, now)
	case policy.Cancel:
		if c, out := m.inFlight[callKey{a.Subquery, a.Call}]; out {
			m.sendBatch(c.backend)
			m.backends.Cancel(c.backend, a.Subquery, a.Call)
		}
	case policy.Answer:
		m.finishQuery(a.Query, "satisfied", Reply{End: Satisfied, Complete: a.Complete}, now)
	case policy.Nack:
		m.finishQuery(a.Query, "nacked", Reply{End: Nacked, RetryAfter: a.Wait}, now)
	case policy.Abort:
		m.finishQuery(a.Query, "aborted", Reply{End: Aborted}, now)
	case policy.SetTimer:
		m.setTimer(a, now)
	case policy.Probe:
		m.sendBatch(a.Backend)
		m.counters.Add("probes", "sent", 1)
		m.backends.Probe(a.Backend, a.SeparateConnection)
	case policy.CloseIdle:
		m.sendBatch(a.Backend)
		m.backends.CloseIdle(a.Backend)
	case policy.Subscribe:
		m.discovery.Subscribe(a.On)
	case policy.RequestFullList:
		m.discovery.RequestFullList()
	case policy.NotifyPeer:
		m.counters.Add("messages", "no_way_to_mixers", 1)
	case policy.LogNote:
		m.log.Info("module", zap.String("note", a.Text))
	}
}

// send puts a call on the trip to its backend; what one step sends there shares calls, up to the number set.
func (m *Aggregator) send(a *policy.Action, now time.Time) {
	ref, held := m.subqueries[a.Subquery]
	if !held {
		m.log.Warn("send of a part that is not held", zap.Uint64("part", uint64(a.Subquery)))
		return
	}
	q, p := ref.query, &ref.query.Subqueries[ref.no]
	stop := q.Arrived.Add(time.Duration(q.Timeout * float64(time.Second)))
	if at := m.wallTime(a.StopAt); a.StopAt > 0 && at.Before(stop) {
		stop = at
	}
	begin := stop
	if at := m.wallTime(a.BeginBy); a.BeginBy > 0 && at.Before(begin) {
		begin = at
	}
	key := callKey{a.Subquery, p.attempts}
	p.attempts++
	c := inFlightCall{backend: a.Backend, index: q.Index, customer: q.Customer}
	if m.recorder != nil {
		c.seat, c.alone = m.recorder.Sent(m.policyTime(now), a.Backend)
	}
	m.inFlight[key] = c
	m.counters.Add("calls", "sent", 1)
	trip := m.batches[a.Backend]
	trip = append(trip, Call{key.subquery, key.no, q, p.Shard, now, stop, begin})
	if len(trip) == 1 {
		m.batchOrder = append(m.batchOrder, a.Backend)
	}
	m.batches[a.Backend] = trip
	if len(trip) >= max(1, m.settings.Layout.CallSubqueries) {
		m.sendBatch(a.Backend)
	}
}

func (m *Aggregator) sendBatch(to policy.BackendID) {
	if trip := m.batches[to]; len(trip) > 0 {
		delete(m.batches, to)
		m.backends.Send(to, trip)
	}
}
