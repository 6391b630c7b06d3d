package plan

import (
	"puffinlink.example/puffinlink/policy"
)

// reach puts a call on a core, into the queue, or turns it away.
func (w *world) reach(s *station, c *work) {
	s.calls++
	switch {
	case s.busy < s.Cores:
		w.serve(s, c)
	case s.Queue > 0 && len(s.queue) >= s.Queue:
		s.refused++
		w.at(w.now+w.f.Network, func() { w.finish(c, s, policy.Rejected) })
	default:
		s.queue = append(s.queue, c)
		s.most = max(s.most, len(s.queue))
	}
}

func (w *world) serve(s *station, c *work) {
	s.busy++
	took := w.g.work(&w.f.Indexes[c.k]) / s.Speed
	if w.now >= w.warm {
		s.used += min(took, max(0, w.end-w.now))
	}
	w.at(w.now+took, func() {
		s.busy--
		w.at(w.now+w.f.Network, func() { w.finish(c, s, policy.Answered) })
		for len(s.queue) > 0 && s.busy < s.Cores {
			next := s.queue[0]
			s.queue = s.queue[1:]
			if !next.gone {
				w.serve(s, next)
			}
		}
	})
}

// finish tells an aggregator once how a call ended.
func (w *world) finish(c *work, s *station, how policy.Outcome) {
	key := callKey{c.subquery, c.no}
	if c.gone || c.aggregator.out[key] != c {
		return
	}
	c.gone = true
	delete(c.aggregator.out, key)
	id := policy.BackendID(0)
	if s != nil {
		id = s.id
	}
	w.tell(c.aggregator, policy.Event{Kind: policy.CallEnded, Subquery: c.subquery, Call: c.no, Backend: id, Outcome: how, Elapsed: w.now - c.sent})
}
