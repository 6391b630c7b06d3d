package aggregator

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/policy"
)

// inFlightCall is a call in flight.
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

// execute executes an action of the policy.
func (m *Aggregator) execute(action *policy.Action, now time.Time) {
	switch action.Kind {
	case policy.Send:
		m.send(action, now)
	case policy.Cancel:
		if c, out := m.inFlight[callKey{action.Subquery, action.Call}]; out {
			m.sendBatch(c.backend)
			m.backends.Cancel(c.backend, action.Subquery, action.Call)
		}
	case policy.Answer:
		m.finishQuery(action.Query, "satisfied", Reply{End: Satisfied, Complete: action.Complete}, now)
	case policy.Nack:
		m.finishQuery(action.Query, "nacked", Reply{End: Nacked, RetryAfter: action.Wait}, now)
	case policy.Abort:
		m.finishQuery(action.Query, "aborted", Reply{End: Aborted}, now)
	case policy.SetTimer:
		m.setTimer(action, now)
	case policy.Probe:
		m.sendBatch(action.Backend)
		m.counters.Add("probes", "sent", 1)
		m.backends.Probe(action.Backend, action.SeparateConnection)
	case policy.CloseIdle:
		m.sendBatch(action.Backend)
		m.backends.CloseIdle(action.Backend)
	case policy.Subscribe:
		m.discovery.Subscribe(action.On)
	case policy.RequestFullList:
		m.discovery.RequestFullList()
	case policy.NotifyPeer:
		m.counters.Add("messages", "no_way_to_mixers", 1)
	case policy.LogNote:
		m.log.Info("module", zap.String("note", action.Text))
	}
}

// send adds a call to the batch for its backend; subqueries that one step sends there share calls, up to the layout's number.
func (m *Aggregator) send(action *policy.Action, now time.Time) {
	ref, open := m.subqueries[action.Subquery]
	if !open {
		m.log.Warn("send of a part that is not held", zap.Uint64("part", uint64(action.Subquery)))
		return
	}
	q, sub := ref.query, &ref.query.Subqueries[ref.no]
	stop := q.Arrived.Add(time.Duration(q.Timeout * float64(time.Second)))
	if at := m.wallTime(action.StopAt); action.StopAt > 0 && at.Before(stop) {
		stop = at
	}
	begin := stop
	if at := m.wallTime(action.BeginBy); action.BeginBy > 0 && at.Before(begin) {
		begin = at
	}
	key := callKey{action.Subquery, sub.attempts}
	sub.attempts++
	call := inFlightCall{backend: action.Backend, index: q.Index, customer: q.Customer}
	if m.recorder != nil {
		call.seat, call.alone = m.recorder.Sent(m.policyTime(now), action.Backend)
	}
	m.inFlight[key] = call
	m.counters.Add("calls", "sent", 1)
	trip := m.batches[action.Backend]
	trip = append(trip, Call{key.subquery, key.no, q, sub.Shard, now, stop, begin})
	if len(trip) == 1 {
		m.batchOrder = append(m.batchOrder, action.Backend)
	}
	m.batches[action.Backend] = trip
	if len(trip) >= max(1, m.settings.Layout.CallSubqueries) {
		m.sendBatch(action.Backend)
	}
}

// sendBatch sends the batch for a backend, if there is one.
func (m *Aggregator) sendBatch(to policy.BackendID) {
	if trip := m.batches[to]; len(trip) > 0 {
		delete(m.batches, to)
		m.backends.Send(to, trip)
	}
}
