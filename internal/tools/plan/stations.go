package plan

import (
	"puffinlink.example/puffinlink/policy"
)

// deliver puts a call on a core, into the queue, or turns it away.
func (w *simulation) deliver(s *queue, c *call) {
	s.calls++
	switch {
	case s.busy < s.Cores:
		w.serve(s, c)
	case s.Queue > 0 && len(s.waiting) >= s.Queue:
		s.rejected++
		w.schedule(w.now+w.site.Network, func() { w.completeCall(c, s, policy.Rejected) })
	default:
		s.waiting = append(s.waiting, c)
		s.maxLength = max(s.maxLength, len(s.waiting))
	}
}

func (w *simulation) serve(s *queue, c *call) {
	s.busy++
	took := w.random.work(&w.site.Indexes[c.index]) / s.Speed
	if w.now >= w.warm {
		s.used += min(took, max(0, w.end-w.now))
	}
	w.schedule(w.now+took, func() {
		s.busy--
		w.schedule(w.now+w.site.Network, func() { w.completeCall(c, s, policy.Answered) })
		for len(s.waiting) > 0 && s.busy < s.Cores {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			if !next.completed {
				w.serve(s, next)
			}
		}
	})
}

// completeCall tells an aggregator once how a call ended.
func (w *simulation) completeCall(c *call, s *queue, how policy.Outcome) {
	key := callKey{c.subquery, c.no}
	if c.completed || c.aggregator.inFlight[key] != c {
		return
	}
	c.completed = true
	delete(c.aggregator.inFlight, key)
	id := policy.BackendID(0)
	if s != nil {
		id = s.id
	}
	w.notify(c.aggregator, policy.Event{Kind: policy.CallEnded, Subquery: c.subquery, Call: c.no, Backend: id, Outcome: how, Elapsed: w.now - c.sent})
}
