package policy

import (
	"cmp"
	"math"
	"slices"
)

// Binding: which backend a part waits for, by latency and queue, and where it may go at all.

// may tells whether a part may go to a replica. A query's zones stand over drains, those over out, out over
// a pin, a pin over a weight. What a pin's backend can't serve is left to siblings, or to nobody.
func (m *Aggregator) may(p *subquery, s *backend) bool {
	pin := m.pin(p)
	if out := s.scope(p.lk.k).out || !p.lk.within(s); out || pin == nil {
		return !out
	}
	at := p.pinTo
	switch dead := at == nil || at.gone || m.now < at.downUntil; {
	case s == at:
		return !pin.Strict || !dead
	case at != nil && !at.gone && (!at.ready || at.scope(p.lk.k).out || !p.lk.within(at)):
		return true
	default:
		return !pin.Strict && (dead || !usable(at) || !m.coldAllows(p, at))
	}
}

// thin binds a part that a weight may keep from a holder: it is bound as if nothing were weighed, and a share
// of what binds to the weighed one, by lot, then goes elsewhere. As long as a call takes, that counts as out
// there and not where it went: else the weighed one looks idle, its siblings busy, and more binds to it.
func (m *Aggregator) thin(p *subquery) *backend {
	m.asUsual = p.made == 0 && slices.ContainsFunc(m.holdersOf(p), (*backend).weighed)
	s := m.choose(p, nil, false)
	usual := m.asUsual
	m.asUsual = false
	if s == nil || !usual {
		return s
	}
	if _, lot := math.Modf(p.lot + s.lot); lot < s.scope(p.lk.k).weight {
		return s
	}
	alt := m.choose(p, s, false)
	if alt == nil || !usable(alt) || !m.coldAllows(p, alt) {
		return s
	}
	until := m.now + m.latency(s, p.lk.k)
	if step := m.set.Step; step > 0 { // its end would be heard at a step
		until = m.now + step*math.Ceil(m.latency(s, p.lk.k)/step)
	}
	s.spared, alt.lent = append(s.spared, until), append(alt.lent, until)
	return alt
}

// latency is a replica's smoothed latency for a part of mean size. An estimate not renewed goes back to the
// average, so that a bad moment does not silence a replica for good.
func (m *Aggregator) latency(s *backend, k IndexID) float64 {
	l := cmp.Or(m.average, m.index[k].soft)
	if s != nil { // what others found there counts so many averages, but takes no backend out of use
		l = max(l, min(l*m.hearsay(s), m.index[k].hard/2))
	}
	if s != nil && s.latency > 0 {
		l += fading{s.latency - l, s.heardAt}.now(m.now, forgetAfter*m.longSoft)
	}
	return l
}

// cost is what binding goes by: latency x (1 + own calls out and held), raised where the backend fails the
// index (a fast failure must not look like a short queue), is cold, or stands in another location.
func (m *Aggregator) cost(p *subquery, s *backend) float64 {
	lk, units := p.lk, s.units+s.heldUnits
	if m.asUsual {
		units = max(0, units+s.spared.due(m.now)-s.lent.due(m.now))
	}
	if (p.at != s || p.state != held) && lk.heldAt(s)%m.set.Layout.CallSubqueries == 0 {
		units++
	}
	c := m.latency(s, lk.k) * float64(max(1, units)) / m.warmth(s)
	f := m.faulty(s, lk.k)
	c += m.index[lk.k].fault * f * (c + f*crossFault*m.set.Prices.CrossLocation*m.usual)
	if s.location != m.set.Location {
		price := m.set.Prices.CrossLocation
		c = c*(1+crossCost*price) + min(crossIdle*price, crossMost+crossSeen/float64(m.set.Aggregators))*m.usual
	}
	return c
}

// rank is that cost, raised for those that may not or should not be used. A silent one is better than none:
// the last holder is never shunned altogether. For a part that binds as usual, thin heeds the weights.
func (m *Aggregator) rank(p *subquery, s *backend) float64 {
	c := m.cost(p, s)
	if !usable(s) || !m.coldAllows(p, s) {
		return 1e6 * (1 + s.downWait)
	}
	if p.made > 0 {
		c /= s.scope(p.lk.k).weight
	}
	if m.looks() && !m.fresh(s) || s == p.avoid {
		c *= lookCost
	}
	return c
}

// faulty is the share of s's calls of an index that were faults: while s is little known, that of all at its
// location, as those of one location may fail by turns; its own calls outweigh that as they come in.
func (m *Aggregator) faulty(s *backend, k IndexID) float64 {
	pool := s.pool[k].mean(0, lookLeast, m.now, forgetAfter*m.longSoft)
	return s.fault[k].mean(pool, faultPrior, m.now, longMemory*m.longSoft)
}

// choose finds the replica that ranks least but one; with room, among those under their window. Aggregators that
// start alike must not all pick alike: near ties fall by chance.
func (m *Aggregator) choose(p *subquery, not *backend, withRoom bool) (best *backend) {
	least := math.Inf(1)
	for _, s := range m.holdersOf(p) {
		if s == not || !s.ready || !m.may(p, s) || withRoom && !m.room(p, s) {
			continue
		}
		if c := m.rank(p, s) * (1 + 0.01*m.chance.unit()); c < least {
			best, least = s, c
		}
	}
	return best
}

func (m *Aggregator) bind(p *subquery) {
	m.dirty = true
	m.hold(p, m.thin(p))
	barred := func(s *backend) bool { return !m.may(p, s) } // nobody may have it: it is given up at once
	if p.at == nil && (p.made > 0 || slices.ContainsFunc(m.holdersOf(p), barred)) {
		m.subquery(p, tooLate)
	}
}

func (m *Aggregator) warmth(s *backend) float64 {
	r := &m.set.Rules
	if age := m.now - s.started; age < r.ColdS {
		return max(0.05, r.ColdShare+(1-r.ColdShare)*max(0, age)/r.ColdS)
	}
	return 1
}

// coldAllows keeps what this aggregator sends a cold backend under its share of what the fall rule surely allows,
// its capacity, which is not told, taken as one unit of work a second. Where the share is less than a part, a
// part from each at once would push it over: all thin what they would send by one chance, rising as it warms.
func (m *Aggregator) coldAllows(p *subquery, s *backend) bool {
	r, work := &m.set.Rules, m.workOf(p.lk.k)
	if m.now-s.started >= r.ColdS || r.FallMultiple <= 0 {
		return true
	}
	sum, most := s.sentSince(m.now-r.FallS), coldMargin*r.FallMultiple*m.warmth(s)
	if share := most * r.FallS / float64(m.set.Aggregators); work <= share {
		return sum+work <= share
	}
	_, lot := math.Modf(p.lot + s.lot)
	return sum == 0 && lot < most/coldLoad
}
