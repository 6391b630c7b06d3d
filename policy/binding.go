package policy

import (
	"cmp"
	"math"
	"slices"
)

// Binding: the choice of a backend for a pending subquery, by expected latency and queue, among those that may serve it.

// mayServe tells whether a backend may serve a subquery. A query's zones take precedence over drains, drains over
// exclusions, exclusions over a pin, a pin over a weight. What a pinned backend can't serve goes to its siblings or, where
// the pin is strict, is refused.
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

// chooseByWeight chooses a backend, heeding operators' weights: the choice is made as if there were no weights, and a
// random share of what would go to a weighted backend is then diverted. For the time of a call, a diverted subquery counts
// in the weighted backend's queue and not in its sibling's; else the weighted one would look idle and attract more.
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
	if step := a.settings.Step; step > 0 { // the call's end would be handled at a step
		until = a.now + step*math.Ceil(a.expectedLatency(b, sub.query.index)/step)
	}
	b.withheld, diverted.diverted = append(b.withheld, until), append(diverted.diverted, until)
	return diverted
}

// expectedLatency is a replica's smoothed latency in seconds for a subquery of mean size; of a nil backend, the average. An
// estimate that is not renewed decays to the average, so that a short fault does not exclude a replica for good.
func (a *Aggregator) expectedLatency(b *backend, index IndexID) float64 {
	latency := cmp.Or(a.averageLatency, a.indexes[index].soft)
	if b != nil { // what peers observed raises the prior, but excludes no backend
		latency = max(latency, min(latency*a.peerLatencyMultiple(b), a.indexes[index].hard/2))
	}
	if b != nil && b.latency > 0 {
		latency += decaying{b.latency - latency, b.latencyAt}.valueAt(a.now, estimateMemory*a.longestSoft)
	}
	return latency
}

// cost is the expected completion time that binding minimizes: latency x (1 + own calls in flight and pending), raised
// where the backend fails the index (a fast failure must not look like a short queue), is in slow start, or stands in
// another location.
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

// rankingCost is the cost with penalties for backends that should not be used. A silent backend is better than none: the
// last replica is never excluded altogether. Weights count here for retries only; chooseByWeight heeds them for others.
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

// faultShare is the share of b's calls of an index that were faults. Its prior is the share of all backends at its
// location, as those of one location may fail together; b's own calls outweigh it as they come in.
func (a *Aggregator) faultShare(b *backend, index IndexID) float64 {
	locationShare := b.locationFaults[index].mean(0, priorSamples, a.now, estimateMemory*a.longestSoft)
	return b.faults[index].mean(locationShare, faultPrior, a.now, faultMemory*a.longestSoft)
}

// choose finds the replica of least ranking cost, without except; with withCapacity, among those with capacity. Near ties are
// broken at random, as aggregators that start alike must not all choose alike.
func (a *Aggregator) choose(sub *subquery, except *backend, withCapacity bool) (best *backend) {
	least := math.Inf(1)
	for _, b := range a.holdersOf(sub) {
		if b == except || !b.ready || !a.mayServe(sub, b) || withCapacity && !a.hasCapacity(sub, b) {
			continue
		}
		if cost := a.rankingCost(sub, b) * (1 + 0.01*a.random.unit()); cost < least {
			best, least = b, cost
		}
	}
	return best
}

// bind assigns a subquery to a backend, or abandons it where none may serve it.
func (a *Aggregator) bind(sub *subquery) {
	a.orderStale = true
	a.assign(sub, a.chooseByWeight(sub))
	excluded := func(b *backend) bool { return !a.mayServe(sub, b) } // no replica may ever serve it: it is abandoned at once
	if sub.assigned == nil && (sub.attempts > 0 || slices.ContainsFunc(a.holdersOf(sub), excluded)) {
		a.applyToSubquery(sub, onTooLate)
	}
}

// slowStartFactor is the share of its usual load that a backend gets by the time since its start, up to 1.
func (a *Aggregator) slowStartFactor(b *backend) float64 {
	rules := &a.settings.Rules
	if age := a.now - b.started; age < rules.SlowStartS {
		return max(0.05, rules.SlowStartShare+(1-rules.SlowStartShare)*max(0, age)/rules.SlowStartS)
	}
	return 1
}

// slowStartAllows keeps the work that this aggregator sends to a backend in slow start under its share of what the overload
// rule allows. The backend's capacity is not reported and taken as one unit of work a second. Where the share is less than
// one subquery, one from each aggregator at once would overload it: all aggregators then send with one probability, which
// rises with the slow start.
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
