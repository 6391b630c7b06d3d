package policy

import (
	"slices"
)

// Records of calls that are out.

// begin books a call of p to s, on the trip of this step if that has a place.
func (m *Mixer) begin(p *part, s *searcher) *call {
	if !m.riding(s) {
		s.trip = &trip{step: m.step}
		s.units++
	}
	s.trip.parts++
	s.trip.live++
	if p.made == 0 {
		p.first = m.now
	} else {
		m.record(&m.further)
		m.owe(p, false)
	}
	s.usedAt = m.now
	s.asked(m.now)
	c := &call{part: p, no: CallNo(p.made), at: s, sent: m.now, trip: s.trip}
	p.made++
	p.live = append(p.live, c)
	s.out = append(s.out, c)
	return c
}

func (m *Mixer) riding(s *searcher) bool {
	return s.trip != nil && s.trip.step == m.step && s.trip.parts < m.set.Layout.CallParts
}

// finish takes a call off the records; nil if it is not among them.
func (m *Mixer) finish(id PartID, no CallNo) *call {
	p := m.parts[id]
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
func (m *Mixer) leave(s *searcher, t *trip) {
	if t.live--; t.live == 0 {
		s.units--
	}
}

// withdraw takes a call back once, where that is allowed.
func (m *Mixer) withdraw(c *call) {
	if m.set.Limits.Cancel && !c.back {
		c.back = true
		m.do(Action{Kind: Withdraw, Part: c.part.id, Call: c.no})
	}
}

func (m *Mixer) takeBack(p *part) {
	for _, c := range p.live {
		m.withdraw(c)
	}
}
