package policy

import (
	"cmp"
	"math"
	"slices"
)

// Binding: which backend a part waits for, by latency and queue, and where it may go at all.

// mayServe tells whether a part may go to a replica. A query's zones stand over drains, those over out, out over
// a pin, a pin over a weight. What a pin's backend can't serve is left to siblings, or to nobody.
func (a *Aggregator) mayServe(sub *subquery, b *backend) bool {
	pin := a.pin(sub)
	if out := b.override(sub.query.index).excluded || !sub.query.allows(b); out || pin == nil {
		return !out
	}
	at := sub.pinBackend
	switch dead := at == nil || at.removed || a.now < at.unreachableUntil; {
	case b == at:
		return !pin.Strict || !dead
	case at != nil && !at.removed && (!at.ready || at.override(sub.query.index).excluded || !sub.query.allows(at)):
		return true
	default:
		return !pin.Strict && (dead || !usable(at) || !a.slowStartAllows(sub, at))
	}
}

// chooseByWeight binds a part that a weight may keep from a holder: it is bound as if nothing were weighed, and a share
// of what binds to the weighed one, by lot, then goes elsewhere. As long as a call takes, that counts as out
// there and not where it went: else the weighed one looks idle, its siblings busy, and more binds to it.
func (a *Aggregator) chooseByWeight(sub *subquery) *backend {
	a.ignoreWeights = sub.attempts == 0 && slices.ContainsFunc(a.holdersOf(sub), (*backend).overridden)
	b := a.choose(sub, nil, false)
	weighed := a.ignoreWeights
	a.ignoreWeights = false
	if b == nil || !weighed {
		return b
	}
	if _, draw := math.Modf(sub.draw + b.draw); draw < b.override(sub.query.index).weight {
		return b
	}
	diverted := a.choose(sub, b, false)
	if diverted == nil || !usable(diverted) || !a.slowStartAllows(sub, diverted) {
		return b
	}
	until := a.now + a.expectedLatency(b, sub.query.index)
	if step := a.settings.Step; step > 0 { // its end would be heard at a step
		until = a.now + step*math.Ceil(a.expectedLatency(b, sub.query.index)/step)
	}
	b.withheld, diverted.diverted = append(b.withheld, until), append(diverted.diverted, until)
	return diverted
}

// expectedLatency is a replica's smoothed latency for a part of mean size. An estimate not renewed goes back to the
// average, so that a bad moment does not silence a replica for good.
func (a *Aggregator) expectedLatency(b *backend, index IndexID) float64 {
	latency := cmp.Or(a.averageLatency, a.indexes[index].soft)
	if b != nil { // what others found there counts so many averages, but takes no backend out of use
		latency = max(latency, min(latency*a.peerLatencyMultiple(b), a.indexes[index].hard/2))
	}
	if b != nil && b.latency > 0 {
		latency += decaying{b.latency - latency, b.latencyAt}.valueAt(a.now, estimateMemory*a.longestSoft)
	}
	return latency
}

// cost is what binding goes by: latency x (1 + own calls out and held), raised where the backend fails the
// index (a fast failure must not look like a short queue), is cold, or stands in another location.
func (a *Aggregator) cost(sub *subquery, b *backend) float64 {
	q, units := sub.query, b.callsInFlight+b.callsPending
	if a.ignoreWeights {
		units = max(0, units+b.withheld.countAfter(a.now)-b.diverted.countAfter(a.now))
	}
	if (sub.assigned != b || sub.state != statePending) && q.assignedTo(b)%a.settings.Layout.CallSubqueries == 0 {
		units++
	}
	cost := a.expectedLatency(b, q.index) * float64(max(1, units)) / a.slowStartFactor(b)
	faults := a.faultShare(b, q.index)
	cost += a.indexes[q.index].faultCost * faults * (cost + faults*crossFault*a.settings.Prices.CrossLocation*a.usualLatency)
	if b.location != a.settings.Location {
		price := a.settings.Prices.CrossLocation
		cost = cost*(1+crossCost*price) + min(crossIdle*price, crossMost+crossSeen/float64(a.settings.Aggregators))*a.usualLatency
	}
	return cost
}

// rankingCost is that cost, raised for those that may not or should not be used. A silent one is better than none:
// the last holder is never shunned altogether. For a part that binds as usual, thin heeds the weights.
func (a *Aggregator) rankingCost(sub *subquery, b *backend) float64 {
	cost := a.cost(sub, b)
	if !usable(b) || !a.slowStartAllows(sub, b) {
		return 1e6 * (1 + b.unreachableBackoff)
	}
	if sub.attempts > 0 {
		cost /= b.override(sub.query.index).weight
	}
	if a.probesFirst() && !a.recentlyAlive(b) || b == sub.avoid {
		cost *= unprobedCost
	}
	return cost
}

// faultShare is the share of s's calls of an index that were faults: while s is little known, that of all at its
// location, as those of one location may fail by turns; its own calls outweigh that as they come in.
func (a *Aggregator) faultShare(b *backend, index IndexID) float64 {
	locationShare := b.locationFaults[index].mean(0, priorSamples, a.now, estimateMemory*a.longestSoft)
	return b.faults[index].mean(locationShare, faultPrior, a.now, faultMemory*a.longestSoft)
}

// choose finds the replica that ranks least but one; with room, among those under their window. Aggregators that
// start alike must not all pick alike: near ties fall by chance.
func (a *Aggregator) choose(sub *subquery, except *backend, withRoom bool) (best *backend) {
	least := math.Inf(1)
	for _, b := range a.holdersOf(sub) {
		if b == except || !b.ready || !a.mayServe(sub, b) || withRoom && !a.hasCapacity(sub, b) {
			continue
		}
		if cost := a.rankingCost(sub, b) * (1 + 0.01*a.random.unit()); cost < least {
			best, least = b, cost
		}
	}
	return best
}

func (a *Aggregator) bind(sub *subquery) {
	a.orderStale = true
	a.assign(sub, a.chooseByWeight(sub))
	excluded := func(b *backend) bool { return !a.mayServe(sub, b) } // nobody may have it: it is given up at once
	if sub.assigned == nil && (sub.attempts > 0 || slices.ContainsFunc(a.holdersOf(sub), excluded)) {
		a.applyToSubquery(sub, onTooLate)
	}
}

func (a *Aggregator) slowStartFactor(b *backend) float64 {
	rules := &a.settings.Rules
	if age := a.now - b.started; age < rules.SlowStartS {
		return max(0.05, rules.SlowStartShare+(1-rules.SlowStartShare)*max(0, age)/rules.SlowStartS)
	}
	return 1
}

// slowStartAllows keeps what this aggregator sends a cold backend under its share of what the fall rule surely allows,
// its capacity, which is not told, taken as one unit of work a second. Where the share is less than a part, a
// part from each at once would push it over: all thin what they would send by one chance, rising as it warms.
func (a *Aggregator) slowStartAllows(sub *subquery, b *backend) bool {
	rules, work := &a.settings.Rules, a.workOf(sub.query.index)
	if a.now-b.started >= rules.SlowStartS || rules.CrashMultiple <= 0 {
		return true
	}
	sent, limit := b.workSince(a.now-rules.CrashWindowS), slowStartMargin*rules.CrashMultiple*a.slowStartFactor(b)
	if share := limit * rules.CrashWindowS / float64(a.settings.Aggregators); work <= share {
		return sent+work <= share
	}
	_, draw := math.Modf(sub.draw + b.draw)
	return sent == 0 && draw < limit/slowStartLoad
}
