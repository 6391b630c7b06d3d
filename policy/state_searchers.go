package policy

import (
	"math"
	"slices"
)

// Records of backends: naming, overrides, signs of life.

// overridden tells whether some weight is on s.
func (s *backend) overridden() bool { return s.overrides != nil }

// scope tells what operators override of s for an index.
func (s *backend) override(k IndexID) indexOverride {
	if s.overrides == nil {
		return indexOverride{weight: 1}
	}
	return s.overrides[k]
}

// allows tells whether a backend stands where a query may go. One that changed its location under its number may
// stand anywhere.
func (lk *query) allows(s *backend) bool {
	return lk.zones == nil || !s.relocated && lk.zones.Allows(s.location)
}

// peerLatencyMultiple is how many times the usual latency others found at s, 0 if none did of late.
func (m *Aggregator) peerLatencyMultiple(s *backend) float64 {
	if m.now >= s.peerLatency.at {
		return 0
	}
	return s.peerLatency.value
}

// pin tells where operators pin p, nil if they do not or it is among those that a waning pin leaves. It is looked up
// once between two changes of pins or of the list.
func (m *Aggregator) pin(p *subquery) *PinOverride {
	if p.pinsVersion != m.pinsVersion {
		p.pinsVersion, p.pin = m.pinsVersion, nil
		if pin := m.pins[pinKey{p.shard, p.query.index}]; pin != nil && p.draw < pin.Share {
			p.pin, p.pinBackend = pin, m.backends[pin.Backend]
		}
	}
	return p.pin
}

// recordStart notes a start of s, which empties the records of what it was sent while cold.
func (m *Aggregator) recordStart(s *backend, at float64) {
	s.started, s.slowStartWork, s.draw = max(s.started, at), s.slowStartWork[:0], m.random.unit()
}

// workSince sums the work sent since a time.
func (s *backend) workSince(from float64) (work float64) {
	for _, w := range s.slowStartWork {
		if w.at > from {
			work += w.work
		}
	}
	return work
}

// removeBackends takes all backends as gone, before a whole list names those that are not. Those that were gone before
// and that nothing refers to any more are forgotten.
func (m *Aggregator) removeBackends(all bool) {
	m.pinsVersion++
	forgotten := func(s *backend) bool { return s.removed && len(s.calls) == 0 && s.callsPending == 0 }
	for _, s := range m.fleet {
		if forgotten(s) {
			delete(m.backends, s.id)
		}
	}
	m.fleet = slices.DeleteFunc(m.fleet, forgotten)
	for c := range m.holdersByCell {
		m.holdersByCell[c] = slices.DeleteFunc(m.holdersByCell[c], forgotten)
	}
	for _, s := range m.fleet {
		s.ready, s.removed = s.ready && !all, s.removed || all
	}
}

// applyEntry notes what the list says of a backend, and whether it says so for the first time.
func (m *Aggregator) applyEntry(r *Entry) (s *backend, fresh bool) {
	if s = m.backends[r.Backend]; s == nil {
		s, fresh = m.addBackend(r), true
	}
	s.ready, s.removed, s.relocated = r.Phase == Ready, r.Phase == Removed, s.relocated || s.location != r.Location
	return s, fresh
}

// usable: ready, and in reach as far as is known.
func usable(s *backend) bool { return s.ready && s.unreachableBackoff == 0 }

func (s *backend) expectAnswer(now float64) {
	if s.unansweredSince == 0 {
		s.unansweredSince = now
	}
}

// recordAlive notes a sign of life.
func (s *backend) recordAlive(now float64) {
	s.aliveAt, s.unansweredSince, s.probeFailed, s.connectFailed, s.unreachableBackoff, s.unreachableUntil = now, 0, false, false, 0, 0
}

func (m *Aggregator) addBackend(r *Entry) *backend {
	if m.locationFaults[r.Location] == nil {
		m.locationFaults[r.Location] = make([]decayingMean, len(m.indexes))
	}
	s := &backend{id: r.Backend, location: r.Location, started: math.Inf(-1), window: windowStart,
		faults: make([]decayingMean, len(m.indexes)), locationFaults: m.locationFaults[r.Location]}
	m.backends[s.id] = s
	m.fleet = append(m.fleet, s)
	cells := m.settings.Layout.Cells
	for j := range m.settings.Layout.Width {
		c := ((int(r.Cell)-j)%cells + cells) % cells
		m.holdersByCell[c] = append(m.holdersByCell[c], s)
	}
	return s
}

// meanLatency is that of the backends heard that count, or else what it last was. While none of them is heard it fades to what is
// usual: else a bad moment in which all took long turned queries away for good, and nobody was heard again.
func (m *Aggregator) meanLatency(counts func(*backend) bool) float64 {
	sum, n, lastHeard := 0.0, 0.0, 0.0
	for _, s := range m.fleet {
		if s.latency > 0 && counts(s) {
			sum, n, lastHeard = sum+s.latency, n+1, max(lastHeard, s.latencyAt)
		}
	}
	if n == 0 {
		return m.averageLatency
	}
	return m.usualLatency + decaying{sum/n - m.usualLatency, lastHeard}.valueAt(m.now, estimateMemory*m.longestSoft)
}

func (m *Aggregator) holdersOf(p *subquery) []*backend {
	return m.holdersByCell[int(p.shard)%len(m.holdersByCell)]
}
