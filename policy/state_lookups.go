package policy

import (
	"slices"
)

// Records of lookups and of parts that are held.

// opened enters a lookup that was taken; added enters a part of it.
func (m *Mixer) opened(e *Event) *lookup {
	x := &m.index[e.Index]
	m.record(&m.taken)
	lk := &lookup{id: e.Lookup, no: e.No, k: e.Index, expect: e.Parts, deadline: m.now + e.Left,
		soft: m.now + x.soft, need: x.need, state: last, zones: e.Zones}
	if x.second > 0 {
		lk.state = first
	}
	m.lookups[e.No], m.numbers[e.Lookup] = lk, e.No
	m.open = append(m.open, lk)
	return lk
}

func (m *Mixer) added(lk *lookup, e *Event) *part {
	m.record(&m.taken)
	p := &part{id: e.Part, lk: lk, shard: e.Shard, weight: e.Weight, size: 1, lot: m.chance.unit(), state: held}
	lk.parts = append(lk.parts, p)
	lk.pending++
	m.parts[p.id] = p
	return p
}

func (m *Mixer) heldParts() (list []*part) {
	for _, lk := range m.open {
		for _, p := range lk.parts {
			if p.state == held {
				list = append(list, p)
			}
		}
	}
	return list
}

// weigh sums the weights of lk's parts that are so.
func (lk *lookup) weigh(so func(*part) bool) (weight float64) {
	for _, p := range lk.parts {
		if so(p) {
			weight += p.weight
		}
	}
	return weight
}

// sized lists the open lookups with the sizes of what they hold.
func (m *Mixer) sized() []*lookup {
	for _, lk := range m.open {
		lk.size = 0
		for _, t := range lk.held {
			lk.size += float64(m.units(lk, t.at))
		}
	}
	return slices.Clone(m.open)
}

// calling tells whether a call of a part is out.
func (lk *lookup) calling() bool {
	return slices.ContainsFunc(lk.parts, func(p *part) bool { return len(p.live) > 0 })
}

func (lk *lookup) heldAt(s *searcher) int {
	for _, t := range lk.held {
		if t.at == s {
			return t.n
		}
	}
	return 0
}

// units counts lk's held parts at s as the calls they will share.
func (m *Mixer) units(lk *lookup, s *searcher) int {
	per := m.set.Layout.CallParts
	return (lk.heldAt(s) + per - 1) / per
}

func (m *Mixer) tally(lk *lookup, s *searcher, n int) {
	s.heldUnits -= m.units(lk, s)
	i := slices.IndexFunc(lk.held, func(t tally) bool { return t.at == s })
	if i < 0 {
		i = len(lk.held)
		lk.held = append(lk.held, tally{at: s})
	}
	lk.held[i].n += n
	s.heldUnits += m.units(lk, s)
}

func (m *Mixer) hold(p *part, s *searcher) {
	m.unhold(p)
	if p.at = s; s != nil {
		m.tally(p.lk, s, 1)
	}
}

func (m *Mixer) unhold(p *part) {
	if p.at != nil {
		m.tally(p.lk, p.at, -1)
	}
	p.at = nil
}

// release lets go of a part that nothing can refer to any more.
func (m *Mixer) release(p *part) {
	if p.state == over && len(p.live) == 0 {
		delete(m.parts, p.id)
	}
}

// dropParts closes all parts of a step.
func (m *Mixer) dropParts(lk *lookup) {
	for _, p := range lk.parts {
		m.part(p, closed)
		m.owe(p, false)
		p.state = over
		m.release(p)
	}
	lk.parts, lk.held, m.dirty = nil, nil, true
}

// nextStep begins the second step, of which all makes it whole; parts of the first have run.
func (m *Mixer) nextStep(lk *lookup, most int) {
	n := 0
	for _, p := range lk.parts {
		if p.state == in {
			n++
		}
	}
	m.dropParts(lk)
	lk.stepped = true
	lk.need, lk.expect, lk.in, lk.lost, lk.pending = 1, min(n, most), 0, 0, 0
}

func (m *Mixer) forget(lk *lookup) {
	m.dropParts(lk)
	delete(m.lookups, lk.no)
	delete(m.numbers, lk.id)
	m.open = slices.DeleteFunc(m.open, func(o *lookup) bool { return o == lk })
}

func (m *Mixer) clientGone(e *Event) {
	if lk := m.lookups[m.numbers[e.Lookup]]; lk != nil && lk.id == e.Lookup {
		m.lookup(lk, left)
	}
}
