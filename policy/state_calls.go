package policy

import (
	"slices"
)

// Records of calls that are out.

// startCall books a call of p to s, on the trip of this step if that has a place.
func (m *Aggregator) startCall(p *subquery, s *backend) *call {
	if !m.canShareCall(s) {
		s.shared = &sharedCall{step: m.step}
		s.callsInFlight++
	}
	s.shared.subqueries++
	s.shared.live++
	if p.attempts == 0 {
		p.firstSent = m.now
	} else {
		m.recordTime(&m.retryTimes)
		m.reserveRetry(p, false)
	}
	s.lastUsedAt = m.now
	s.expectAnswer(m.now)
	c := &call{subquery: p, no: CallNo(p.attempts), backend: s, sent: m.now, shared: s.shared}
	p.attempts++
	p.calls = append(p.calls, c)
	s.calls = append(s.calls, c)
	return c
}

func (m *Aggregator) canShareCall(s *backend) bool {
	return s.shared != nil && s.shared.step == m.step && s.shared.subqueries < m.settings.Layout.CallSubqueries
}

// removeCall takes a call off the records; nil if it is not among them.
func (m *Aggregator) removeCall(id SubqueryID, no CallNo) *call {
	p := m.subqueries[id]
	if p == nil {
		return nil
	}
	i := slices.IndexFunc(p.calls, func(c *call) bool { return c.no == no })
	if i < 0 {
		return nil
	}
	c := p.calls[i]
	p.calls = slices.Delete(p.calls, i, i+1)
	c.backend.calls = slices.DeleteFunc(c.backend.calls, func(o *call) bool { return o == c })
	m.removeIfClosed(p)
	return c
}

// leaveSharedCall takes one call off a trip.
func (m *Aggregator) leaveSharedCall(s *backend, t *sharedCall) {
	if t.live--; t.live == 0 {
		s.callsInFlight--
	}
}

// cancel takes a call back once, where that is allowed.
func (m *Aggregator) cancel(c *call) {
	if m.settings.Limits.Cancel && !c.canceled {
		c.canceled = true
		m.emit(Action{Kind: Cancel, Subquery: c.subquery.id, Call: c.no})
	}
}

func (m *Aggregator) cancelAll(p *subquery) {
	for _, c := range p.calls {
		m.cancel(c)
	}
}
