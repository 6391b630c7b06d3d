package policy

import (
	"cmp"
	"math"
	"slices"
)

// Binding: the choice of a backend for a pending subquery, by expected latency and queue, among those that may serve it.

// mayServe reports whether a backend may serve a subquery. A query's zones take precedence over drains, drains over
// exclusions, exclusions over pins, and pins over weights. Siblings serve a subquery that its pinned backend cannot serve.
// With a strict pin, they do so only while the pinned backend drains, is excluded or is outside the query's zones.
func (a *Aggregator) mayServe(sub *subquery, b *backend) bool {
	pin := a.pinFor(sub)
	if forbidden := b.overrideFor(sub.query.index).excluded || !sub.query.allows(b); forbidden || pin == nil {
		return !forbidden
	}
	pinned := sub.pinnedBackend
	switch pinnedDown := pinned == nil || pinned.removed || a.now < pinned.unreachableUntil; {
	case b == pinned:
		return !pin.Strict || !pinnedDown
	case pinned != nil && !pinned.removed && (!pinned.ready || pinned.overrideFor(sub.query.index).excluded || !sub.query.allows(pinned)):
		return true
	default:
		return !pin.Strict && (pinnedDown || !usable(pinned) || !a.slowStartAllows(sub, pinned))
	}
}

// chooseByWeight chooses a backend and applies the operators' weights. It first chooses as if there were no weights, and then
// diverts a random share of the weighted backend's subqueries to a sibling. For the expected time of the call, a diverted
// subquery counts in the weighted backend's queue and not in its sibling's. Otherwise the weighted backend would look idle
// and attract more subqueries.
func (a *Aggregator) chooseByWeight(sub *subquery) *backend {
	a.ignoreWeights = sub.attempts == 0 && slices.ContainsFunc(a.replicasOf(sub), (*backend).hasOverrides)
	b := a.chooseReplica(sub, nil, false)
	applyWeights := a.ignoreWeights
	a.ignoreWeights = false
	if b == nil || !applyWeights {
		return b
	}
	if _, draw := math.Modf(sub.draw + b.draw); draw < b.overrideFor(sub.query.index).weight {
		return b
	}
	diverted := a.chooseReplica(sub, b, false)
	if diverted == nil || !usable(diverted) || !a.slowStartAllows(sub, diverted) {
		return b
	}
	until := a.now + a.expectedLatency(b, sub.query.index)
	if step := a.settings.StepInterval; step > 0 { // the end of the call is handled by a later step
		until = a.now + step*math.Ceil(a.expectedLatency(b, sub.query.index)/step)
	}
	b.divertedOut, diverted.divertedIn = append(b.divertedOut, until), append(diverted.divertedIn, until)
	return diverted
}

// expectedLatency returns a replica's smoothed latency, in seconds, for a subquery of mean size. For a nil backend it returns
// the average latency. Without new samples, an estimate decays to the average, so that a short fault does not exclude a
// replica permanently.
func (a *Aggregator) expectedLatency(b *backend, index IndexID) float64 {
	latency := cmp.Or(a.averageLatency, a.indexes[index].softDeadline)
	if b != nil { // peer observations raise the prior, but never exclude a backend
		latency = max(latency, min(latency*a.peerLatencyMultiple(b), a.indexes[index].hardDeadline/2))
	}
	if b != nil && b.latency > 0 {
		latency += decaying{b.latency - latency, b.latencyUpdatedAt}.valueAt(a.now, estimateDecay*a.longestSoftDeadline)
	}
	return latency
}

// cost returns the expected completion time, which binding minimizes: the latency times 1 plus this aggregator's calls in
// flight and pending. Slow start and another location raise it. Faults of the backend for the index raise it too, so that
// fast failures do not look like a short queue.
func (a *Aggregator) cost(sub *subquery, b *backend) float64 {
	q, calls := sub.query, b.callsInFlight+b.callsPending
	if a.ignoreWeights {
		calls = max(0, calls+b.divertedOut.countAfter(a.now)-b.divertedIn.countAfter(a.now))
	}
	if (sub.backend != b || sub.state != statePending) && q.pendingFor(b)%a.settings.Layout.SubqueriesPerCall == 0 {
		calls++
	}
	cost := a.expectedLatency(b, q.index) * float64(max(1, calls)) / a.slowStartFactor(b)
	faults := a.faultShare(b, q.index)
	cost += a.indexes[q.index].faultCost * faults * (cost + faults*crossLocationFaultCost*a.settings.Prices.CrossLocation*a.medianLatency)
	if b.location != a.settings.Location {
		price := a.settings.Prices.CrossLocation
		cost = cost*(1+crossLocationCost*price) + min(crossLocationIdleCost*price, crossLocationIdleCap+crossLocationIdleCapShared/float64(a.settings.Aggregators))*a.medianLatency
	}
	return cost
}

// rankingCost returns the cost with penalties for backends that should be avoided. It never excludes a backend completely, as
// an unresponsive replica is better than none. It applies weights to retries only, as chooseByWeight applies them to first
// attempts.
func (a *Aggregator) rankingCost(sub *subquery, b *backend) float64 {
	cost := a.cost(sub, b)
	if !usable(b) || !a.slowStartAllows(sub, b) {
		return 1e6 * (1 + b.unreachableBackoff)
	}
	if sub.attempts > 0 {
		cost /= b.overrideFor(sub.query.index).weight
	}
	if a.probesBeforeSending() && !a.recentlyAlive(b) || b == sub.lastFailedBackend {
		cost *= unprobedCostFactor
	}
	return cost
}

// faultShare returns the share of faults among the calls of an index to b. Its prior is the share of all backends at the same
// location, as these may fail together. With more calls to b itself, their results outweigh the prior.
func (a *Aggregator) faultShare(b *backend, index IndexID) float64 {
	locationShare := b.locationFaults[index].mean(0, priorSamples, a.now, estimateDecay*a.longestSoftDeadline)
	return b.faults[index].mean(locationShare, faultPriorSamples, a.now, faultDecay*a.longestSoftDeadline)
}

// chooseReplica returns the replica with the least ranking cost other than except. If withCapacity is set, it considers only
// replicas with capacity. Near ties are broken at random, so that aggregators in equal states do not all choose the same
// replica.
func (a *Aggregator) chooseReplica(sub *subquery, except *backend, withCapacity bool) (best *backend) {
	least := math.Inf(1)
	for _, b := range a.replicasOf(sub) {
		if b == except || !b.ready || !a.mayServe(sub, b) || withCapacity && !a.hasCapacity(sub, b) {
			continue
		}
		if cost := a.rankingCost(sub, b) * (1 + 0.01*a.random.uniform()); cost < least {
			best, least = b, cost
		}
	}
	return best
}

// bind assigns a subquery to a backend, or abandons it if no backend may serve it.
func (a *Aggregator) bind(sub *subquery) {
	a.sendOrderStale = true
	a.assign(sub, a.chooseByWeight(sub))
	mayNotServe := func(b *backend) bool { return !a.mayServe(sub, b) } // if overrides or zones leave no replica, the subquery is abandoned immediately
	if sub.backend == nil && (sub.attempts > 0 || slices.ContainsFunc(a.replicasOf(sub), mayNotServe)) {
		a.applyToSubquery(sub, onAbandon)
	}
}

// slowStartFactor returns the share of its usual load that a backend may get. It grows with the time since the backend's
// start, up to 1.
func (a *Aggregator) slowStartFactor(b *backend) float64 {
	rules := &a.settings.Rules
	if age := a.now - b.startedAt; age < rules.SlowStartS {
		return max(0.05, rules.SlowStartShare+(1-rules.SlowStartShare)*max(0, age)/rules.SlowStartS)
	}
	return 1
}

// slowStartAllows reports whether a subquery may be sent to a backend without exceeding, during slow start, this aggregator's
// share of the work that the overload rule allows. Backends do not report their capacity, so it is assumed to be one unit of
// work per second.
//
// If the share is less than one subquery, one subquery from each aggregator at the same time would overload the backend. All
// aggregators then send with the same probability, which rises during the slow start.
func (a *Aggregator) slowStartAllows(sub *subquery, b *backend) bool {
	rules, work := &a.settings.Rules, a.workOf(sub.query.index)
	if a.now-b.startedAt >= rules.SlowStartS || rules.OverloadMultiple <= 0 {
		return true
	}
	sent, limit := b.workSince(a.now-rules.OverloadWindowS), slowStartMargin*rules.OverloadMultiple*a.slowStartFactor(b)
	if share := limit * rules.OverloadWindowS / float64(a.settings.Aggregators); work <= share {
		return sent+work <= share
	}
	_, draw := math.Modf(sub.draw + b.draw)
	return sent == 0 && draw < limit/slowStartOfferedLoad
}
