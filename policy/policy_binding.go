package policy

import (
	"cmp"
	"math"
	"slices"
)

// Binding: which backend a part waits for, by latency and queue, and where it may go at all.

// mayServe tells whether a part may go to a replica. A query's zones stand over drains, those over out, out over
// a pin, a pin over a weight. What a pin's backend can't serve is left to siblings, or to nobody.
func (m *Aggregator) mayServe(p *subquery, s *backend) bool {
	pin := m.pin(p)
	if out := s.override(p.query.index).excluded || !p.query.allows(s); out || pin == nil {
		return !out
	}
	at := p.pinBackend
	switch dead := at == nil || at.removed || m.now < at.unreachableUntil; {
	case s == at:
		return !pin.Strict || !dead
	case at != nil && !at.removed && (!at.ready || at.override(p.query.index).excluded || !p.query.allows(at)):
		return true
	default:
		return !pin.Strict && (dead || !usable(at) || !m.slowStartAllows(p, at))
	}
}

// chooseByWeight binds a part that a weight may keep from a holder: it is bound as if nothing were weighed, and a share
// of what binds to the weighed one, by lot, then goes elsewhere. As long as a call takes, that counts as out
// there and not where it went: else the weighed one looks idle, its siblings busy, and more binds to it.
func (m *Aggregator) chooseByWeight(p *subquery) *backend {
	m.ignoreWeights = p.attempts == 0 && slices.ContainsFunc(m.holdersOf(p), (*backend).overridden)
	s := m.choose(p, nil, false)
	usual := m.ignoreWeights
	m.ignoreWeights = false
	if s == nil || !usual {
		return s
	}
	if _, lot := math.Modf(p.draw + s.draw); lot < s.override(p.query.index).weight {
		return s
	}
	alt := m.choose(p, s, false)
	if alt == nil || !usable(alt) || !m.slowStartAllows(p, alt) {
		return s
	}
	until := m.now + m.expectedLatency(s, p.query.index)
	if step := m.settings.Step; step > 0 { // its end would be heard at a step
		until = m.now + step*math.Ceil(m.expectedLatency(s, p.query.index)/step)
	}
	s.withheld, alt.diverted = append(s.withheld, until), append(alt.diverted, until)
	return alt
}

// expectedLatency is a replica's smoothed latency for a part of mean size. An estimate not renewed goes back to the
// average, so that a bad moment does not silence a replica for good.
func (m *Aggregator) expectedLatency(s *backend, k IndexID) float64 {
	l := cmp.Or(m.averageLatency, m.indexes[k].soft)
	if s != nil { // what others found there counts so many averages, but takes no backend out of use
		l = max(l, min(l*m.peerLatencyMultiple(s), m.indexes[k].hard/2))
	}
	if s != nil && s.latency > 0 {
		l += decaying{s.latency - l, s.latencyAt}.valueAt(m.now, estimateMemory*m.longestSoft)
	}
	return l
}

// cost is what binding goes by: latency x (1 + own calls out and held), raised where the backend fails the
// index (a fast failure must not look like a short queue), is cold, or stands in another location.
func (m *Aggregator) cost(p *subquery, s *backend) float64 {
	lk, units := p.query, s.callsInFlight+s.callsPending
	if m.ignoreWeights {
		units = max(0, units+s.withheld.countAfter(m.now)-s.diverted.countAfter(m.now))
	}
	if (p.assigned != s || p.state != statePending) && lk.assignedTo(s)%m.settings.Layout.CallSubqueries == 0 {
		units++
	}
	c := m.expectedLatency(s, lk.index) * float64(max(1, units)) / m.slowStartFactor(s)
	f := m.faultShare(s, lk.index)
	c += m.indexes[lk.index].faultCost * f * (c + f*crossFault*m.settings.Prices.CrossLocation*m.usualLatency)
	if s.location != m.settings.Location {
		price := m.settings.Prices.CrossLocation
		c = c*(1+crossCost*price) + min(crossIdle*price, crossMost+crossSeen/float64(m.settings.Aggregators))*m.usualLatency
	}
	return c
}

// rankingCost is that cost, raised for those that may not or should not be used. A silent one is better than none:
// the last holder is never shunned altogether. For a part that binds as usual, thin heeds the weights.
func (m *Aggregator) rankingCost(p *subquery, s *backend) float64 {
	c := m.cost(p, s)
	if !usable(s) || !m.slowStartAllows(p, s) {
		return 1e6 * (1 + s.unreachableBackoff)
	}
	if p.attempts > 0 {
		c /= s.override(p.query.index).weight
	}
	if m.probesFirst() && !m.recentlyAlive(s) || s == p.avoid {
		c *= unprobedCost
	}
	return c
}

// faultShare is the share of s's calls of an index that were faults: while s is little known, that of all at its
// location, as those of one location may fail by turns; its own calls outweigh that as they come in.
func (m *Aggregator) faultShare(s *backend, k IndexID) float64 {
	pool := s.locationFaults[k].mean(0, priorSamples, m.now, estimateMemory*m.longestSoft)
	return s.faults[k].mean(pool, faultPrior, m.now, faultMemory*m.longestSoft)
}

// choose finds the replica that ranks least but one; with room, among those under their window. Aggregators that
// start alike must not all pick alike: near ties fall by chance.
func (m *Aggregator) choose(p *subquery, not *backend, withRoom bool) (best *backend) {
	least := math.Inf(1)
	for _, s := range m.holdersOf(p) {
		if s == not || !s.ready || !m.mayServe(p, s) || withRoom && !m.hasCapacity(p, s) {
			continue
		}
		if c := m.rankingCost(p, s) * (1 + 0.01*m.random.unit()); c < least {
			best, least = s, c
		}
	}
	return best
}

func (m *Aggregator) bind(p *subquery) {
	m.orderStale = true
	m.assign(p, m.chooseByWeight(p))
	barred := func(s *backend) bool { return !m.mayServe(p, s) } // nobody may have it: it is given up at once
	if p.assigned == nil && (p.attempts > 0 || slices.ContainsFunc(m.holdersOf(p), barred)) {
		m.applyToSubquery(p, onTooLate)
	}
}

func (m *Aggregator) slowStartFactor(s *backend) float64 {
	r := &m.settings.Rules
	if age := m.now - s.started; age < r.SlowStartS {
		return max(0.05, r.SlowStartShare+(1-r.SlowStartShare)*max(0, age)/r.SlowStartS)
	}
	return 1
}

// slowStartAllows keeps what this aggregator sends a cold backend under its share of what the fall rule surely allows,
// its capacity, which is not told, taken as one unit of work a second. Where the share is less than a part, a
// part from each at once would push it over: all thin what they would send by one chance, rising as it warms.
func (m *Aggregator) slowStartAllows(p *subquery, s *backend) bool {
	r, work := &m.settings.Rules, m.workOf(p.query.index)
	if m.now-s.started >= r.SlowStartS || r.CrashMultiple <= 0 {
		return true
	}
	sum, most := s.workSince(m.now-r.CrashWindowS), slowStartMargin*r.CrashMultiple*m.slowStartFactor(s)
	if share := most * r.CrashWindowS / float64(m.settings.Aggregators); work <= share {
		return sum+work <= share
	}
	_, lot := math.Modf(p.draw + s.draw)
	return sum == 0 && lot < most/slowStartLoad
}
