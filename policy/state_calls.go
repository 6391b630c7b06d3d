package policy

import (
	"slices"
)

// Records of calls that are out.

// begin books a call of p to s, on the trip of this step if that has a place.
func (m *Aggregator) begin(p *subquery, s *backend) *call {
	if !m.riding(s) {
		s.trip = &trip{step: m.step}
		s.units++
	}
	s.trip.subqueries++
	s.trip.live++
	if p.made == 0 {
		p.first = m.now
	} else {
		m.record(&m.further)
		m.owe(p, false)
	}
	s.usedAt = m.now
	s.asked(m.now)
	c := &call{subquery: p, no: CallNo(p.made), at: s, sent: m.now, trip: s.trip}
	p.made++
	p.live = append(p.live, c)
	s.out = append(s.out, c)
	return c
}

func (m *Aggregator) riding(s *backend) bool {
	return s.trip != nil && s.trip.step == m.step && s.trip.subqueries < m.set.Layout.CallSubqueries
}

// finish takes a call off the records; nil if it is not among them.
func (m *Aggregator) finish(id SubqueryID, no CallNo) *call {
	p := m.subqueries[id]
	if p == nil {
		return nil
	}
	i := slices.IndexFunc(p.live, func(c *call) bool { return c.no == no })
	if i < 0 {
		return nil
	}
	c := p.live[i]
	p.live = slices.Delete(p.live, i, i+1)
	c.at.out = slices.DeleteFunc(c.at.out, func(o *call) bool { return o == c })
	m.release(p)
	return c
}

// leave takes one call off a trip.
func (m *Aggregator) leave(s *backend, t *trip) {
	if t.live--; t.live == 0 {
		s.units--
	}
}

// withdraw takes a call back once, where that is allowed.
func (m *Aggregator) withdraw(c *call) {
	if m.set.Limits.Cancel && !c.back {
		c.back = true
		m.do(Action{Kind: Withdraw, Subquery: c.subquery.id, Call: c.no})
	}
}

func (m *Aggregator) takeBack(p *subquery) {
	for _, c := range p.live {
		m.withdraw(c)
	}
}
