package plan

import (
	"puffinlink.example/puffinlink/policy"
)

// deliver puts a call on a core, into the queue, or rejects it.
func (sim *simulation) deliver(s *queue, received *call) {
	s.calls++
	switch {
	case s.busy < s.Cores:
		sim.serve(s, received)
	case s.Queue > 0 && len(s.waiting) >= s.Queue:
		s.rejected++
		sim.schedule(sim.now+sim.site.Network, func() { sim.completeCall(received, s, policy.Rejected) })
	default:
		s.waiting = append(s.waiting, received)
		s.maxLength = max(s.maxLength, len(s.waiting))
	}
}

func (sim *simulation) serve(s *queue, served *call) {
	s.busy++
	took := sim.random.work(&sim.site.Indexes[served.index]) / s.Speed
	if sim.now >= sim.warm {
		s.used += min(took, max(0, sim.end-sim.now))
	}
	sim.schedule(sim.now+took, func() {
		s.busy--
		sim.schedule(sim.now+sim.site.Network, func() { sim.completeCall(served, s, policy.Answered) })
		for len(s.waiting) > 0 && s.busy < s.Cores {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			if !next.completed {
				sim.serve(s, next)
			}
		}
	})
}

// completeCall tells an aggregator once how a call ended.
func (sim *simulation) completeCall(ended *call, s *queue, outcome policy.Outcome) {
	key := callKey{ended.subquery, ended.number}
	if ended.completed || ended.aggregator.inFlight[key] != ended {
		return
	}
	ended.completed = true
	delete(ended.aggregator.inFlight, key)
	id := policy.BackendID(0)
	if s != nil {
		id = s.id
	}
	sim.notify(ended.aggregator, policy.Event{Kind: policy.CallEnded, Subquery: ended.subquery, Call: ended.number, Backend: id, Outcome: outcome, Elapsed: sim.now - ended.sent})
}
