package aggregator

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/policy"
)

// outCall is a part call that is out.
type outCall struct {
	to    policy.BackendID
	index policy.IndexID
	owner policy.CustomerID
	seat  *capture.Seat // nil where nothing is captured
	alone bool          // nothing else of ours was there when it went
}

type callKey struct {
	subquery policy.SubqueryID
	no       policy.CallNo
}

func (m *Aggregator) act(a *policy.Action, now time.Time) {
	switch a.Kind {
	case policy.Send:
		m.send(a, now)
	case policy.Cancel:
		if c, out := m.out[callKey{a.Subquery, a.Call}]; out {
			m.flush(c.to)
			m.backends.Withdraw(c.to, a.Subquery, a.Call)
		}
	case policy.Answer:
		m.finish(a.Query, "satisfied", Reply{End: Satisfied, Whole: a.Complete}, now)
	case policy.Nack:
		m.finish(a.Query, "nacked", Reply{End: Nacked, Wait: a.Wait}, now)
	case policy.Abort:
		m.finish(a.Query, "aborted", Reply{End: Aborted}, now)
	case policy.SetTimer:
		m.setTimer(a, now)
	case policy.Probe:
		m.flush(a.Backend)
		m.count.Add("probes", "sent", 1)
		m.backends.Probe(a.Backend, a.SeparateConnection)
	case policy.CloseIdle:
		m.flush(a.Backend)
		m.backends.CloseIdle(a.Backend)
	case policy.Subscribe:
		m.register.Subscribe(a.On)
	case policy.RequestFullList:
		m.register.AskWhole()
	case policy.NotifyPeer:
		m.count.Add("messages", "no_way_to_mixers", 1)
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
	lk, p := ref.query, &ref.query.Subqueries[ref.no]
	stop := lk.Arrived.Add(time.Duration(lk.Wait * float64(time.Second)))
	if at := m.clock(a.StopAt); a.StopAt > 0 && at.Before(stop) {
		stop = at
	}
	begin := stop
	if at := m.clock(a.BeginBy); a.BeginBy > 0 && at.Before(begin) {
		begin = at
	}
	key := callKey{a.Subquery, p.made}
	p.made++
	c := outCall{to: a.Backend, index: lk.Index, owner: lk.Customer}
	if m.recorder != nil {
		c.seat, c.alone = m.recorder.Sent(m.seconds(now), a.Backend)
	}
	m.out[key] = c
	m.count.Add("calls", "sent", 1)
	trip := m.trips[a.Backend]
	trip = append(trip, Call{key.subquery, key.no, lk, p.Shard, now, stop, begin})
	if len(trip) == 1 {
		m.tripTo = append(m.tripTo, a.Backend)
	}
	m.trips[a.Backend] = trip
	if len(trip) >= max(1, m.set.Layout.CallSubqueries) {
		m.flush(a.Backend)
	}
}

func (m *Aggregator) flush(to policy.BackendID) {
	if trip := m.trips[to]; len(trip) > 0 {
		delete(m.trips, to)
		m.backends.Send(to, trip)
	}
}
