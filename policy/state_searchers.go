package policy

import (
	"math"
	"slices"
)

// Records of backends: naming, overrides, signs of life.

// weighed tells whether some weight is on s.
func (s *backend) weighed() bool { return s.scopes != nil }

// scope tells what operators override of s for an index.
func (s *backend) scope(k IndexID) scope {
	if s.scopes == nil {
		return scope{weight: 1}
	}
	return s.scopes[k]
}

// within tells whether a backend stands where a query may go. One that changed its location under its number may
// stand anywhere.
func (lk *query) within(s *backend) bool {
	return lk.zones == nil || !s.moved && lk.zones.Allows(s.location)
}

// hearsay is how many times the usual latency others found at s, 0 if none did of late.
func (m *Aggregator) hearsay(s *backend) float64 {
	if m.now >= s.told.at {
		return 0
	}
	return s.told.value
}

// pin tells where operators pin p, nil if they do not or it is among those that a waning pin leaves. It is looked up
// once between two changes of pins or of the list.
func (m *Aggregator) pin(p *subquery) *PinOverride {
	if p.pinsAt != m.pinsAt {
		p.pinsAt, p.pin = m.pinsAt, nil
		if pin := m.pins[pinned{p.shard, p.lk.k}]; pin != nil && p.lot < pin.Share {
			p.pin, p.pinTo = pin, m.backends[pin.Backend]
		}
	}
	return p.pin
}

// starts notes a start of s, which empties the records of what it was sent while cold.
func (m *Aggregator) starts(s *backend, at float64) {
	s.started, s.sent, s.lot = max(s.started, at), s.sent[:0], m.chance.unit()
}

// sentSince sums the work sent since a time.
func (s *backend) sentSince(from float64) (work float64) {
	for _, w := range s.sent {
		if w.at > from {
			work += w.work
		}
	}
	return work
}

// unname takes all backends as gone, before a whole list names those that are not. Those that were gone before
// and that nothing refers to any more are forgotten.
func (m *Aggregator) unname(all bool) {
	m.pinsAt++
	forgotten := func(s *backend) bool { return s.gone && len(s.out) == 0 && s.heldUnits == 0 }
	for _, s := range m.fleet {
		if forgotten(s) {
			delete(m.backends, s.id)
		}
	}
	m.fleet = slices.DeleteFunc(m.fleet, forgotten)
	for c := range m.holders {
		m.holders[c] = slices.DeleteFunc(m.holders[c], forgotten)
	}
	for _, s := range m.fleet {
		s.ready, s.gone = s.ready && !all, s.gone || all
	}
}

// entered notes what the list says of a backend, and whether it says so for the first time.
func (m *Aggregator) entered(r *Entry) (s *backend, fresh bool) {
	if s = m.backends[r.Backend]; s == nil {
		s, fresh = m.place(r), true
	}
	s.ready, s.gone, s.moved = r.Phase == Ready, r.Phase == Gone, s.moved || s.location != r.Location
	return s, fresh
}

// usable: ready, and in reach as far as is known.
func usable(s *backend) bool { return s.ready && s.downWait == 0 }

func (s *backend) asked(now float64) {
	if s.quietFrom == 0 {
		s.quietFrom = now
	}
}

// lives notes a sign of life.
func (s *backend) lives(now float64) {
	s.alive, s.quietFrom, s.unheard, s.dead, s.downWait, s.downUntil = now, 0, false, false, 0, 0
}

func (m *Aggregator) place(r *Entry) *backend {
	if m.pool[r.Location] == nil {
		m.pool[r.Location] = make([]gauge, len(m.index))
	}
	s := &backend{id: r.Backend, location: r.Location, started: math.Inf(-1), window: windowStart,
		fault: make([]gauge, len(m.index)), pool: m.pool[r.Location]}
	m.backends[s.id] = s
	m.fleet = append(m.fleet, s)
	cells := m.set.Layout.Cells
	for j := range m.set.Layout.Width {
		c := ((int(r.Cell)-j)%cells + cells) % cells
		m.holders[c] = append(m.holders[c], s)
	}
	return s
}

// meanLatency is that of the backends heard that count, or else what it last was. While none of them is heard it fades to what is
// usual: else a bad moment in which all took long turned queries away for good, and nobody was heard again.
func (m *Aggregator) meanLatency(counts func(*backend) bool) float64 {
	sum, n, lastHeard := 0.0, 0.0, 0.0
	for _, s := range m.fleet {
		if s.latency > 0 && counts(s) {
			sum, n, lastHeard = sum+s.latency, n+1, max(lastHeard, s.heardAt)
		}
	}
	if n == 0 {
		return m.average
	}
	return m.usual + fading{sum/n - m.usual, lastHeard}.now(m.now, forgetAfter*m.longSoft)
}

func (m *Aggregator) holdersOf(p *subquery) []*backend { return m.holders[int(p.shard)%len(m.holders)] }
