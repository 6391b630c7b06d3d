package aggregator

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/policy"
)

// outCall is a part call that is out.
type outCall struct {
	to    policy.SearcherID
	index policy.IndexID
	owner policy.CustomerID
	seat  *capture.Seat // nil where nothing is captured
	alone bool          // nothing else of ours was there when it went
}

type callKey struct {
	part policy.PartID
	no   policy.CallNo
}

func (m *Mixer) act(a *policy.Action, now time.Time) {
	switch a.Kind {
	case policy.Send:
		m.send(a, now)
	case policy.Withdraw:
		if c, out := m.out[callKey{a.Part, a.Call}]; out {
			m.flush(c.to)
			m.searchers.Withdraw(c.to, a.Part, a.Call)
		}
	case policy.Answer:
		m.finish(a.Lookup, "satisfied", Reply{End: Satisfied, Whole: a.Whole}, now)
	case policy.Nack:
		m.finish(a.Lookup, "nacked", Reply{End: Nacked, Wait: a.Wait}, now)
	case policy.Abort:
		m.finish(a.Lookup, "aborted", Reply{End: Aborted}, now)
	case policy.SetTimer:
		m.setTimer(a, now)
	case policy.Probe:
		m.flush(a.Searcher)
		m.count.Add("probes", "sent", 1)
		m.searchers.Probe(a.Searcher, a.Apart)
	case policy.CloseIdle:
		m.flush(a.Searcher)
		m.searchers.CloseIdle(a.Searcher)
	case policy.Subscribe:
		m.register.Subscribe(a.On)
	case policy.AskWhole:
		m.register.AskWhole()
	case policy.Tell:
		m.count.Add("messages", "no_way_to_mixers", 1)
	case policy.Note:
		m.log.Info("module", zap.String("note", a.Text))
	}
}

// send puts a call on the trip to its searcher; what one step sends there shares calls, up to the number set.
func (m *Mixer) send(a *policy.Action, now time.Time) {
	ref, held := m.parts[a.Part]
	if !held {
		m.log.Warn("send of a part that is not held", zap.Uint64("part", uint64(a.Part)))
		return
	}
	lk, p := ref.lookup, &ref.lookup.Parts[ref.no]
	stop := lk.Arrived.Add(time.Duration(lk.Wait * float64(time.Second)))
	if at := m.clock(a.StopAt); a.StopAt > 0 && at.Before(stop) {
		stop = at
	}
	begin := stop
	if at := m.clock(a.BeginBy); a.BeginBy > 0 && at.Before(begin) {
		begin = at
	}
	key := callKey{a.Part, p.made}
	p.made++
	c := outCall{to: a.Searcher, index: lk.Index, owner: lk.Customer}
	if m.recorder != nil {
		c.seat, c.alone = m.recorder.Sent(m.seconds(now), a.Searcher)
	}
	m.out[key] = c
	m.count.Add("calls", "sent", 1)
	trip := m.trips[a.Searcher]
	trip = append(trip, Call{key.part, key.no, lk, p.Shard, now, stop, begin})
	if len(trip) == 1 {
		m.tripTo = append(m.tripTo, a.Searcher)
	}
	m.trips[a.Searcher] = trip
	if len(trip) >= max(1, m.set.Layout.CallParts) {
		m.flush(a.Searcher)
	}
}

func (m *Mixer) flush(to policy.SearcherID) {
	if trip := m.trips[to]; len(trip) > 0 {
		delete(m.trips, to)
		m.searchers.Send(to, trip)
	}
}
