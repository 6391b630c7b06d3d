package policy

import (
	"cmp"
	"math"
	"slices"
)

// Creation of an instance, and its records of customers, the retry budget and overrides.

// New creates an instance. The time now is in seconds of the clock that Step's caller uses. New does not validate settings.
func New(settings Settings, now float64) *Aggregator {
	settings.Aggregators, settings.Layout.SubqueriesPerCall = max(1, settings.Aggregators), max(1, settings.Layout.SubqueriesPerCall)
	settings.Layout.Cells, settings.Layout.Width = max(1, settings.Layout.Cells), max(1, settings.Layout.Width)
	listAt := math.Inf(1)
	if settings.ListOnRequest {
		listAt = now
	}
	a := &Aggregator{
		listPollAt: listAt, settings: settings, now: now, random: pcg(settings.Seed), shortestSoftDeadline: math.Inf(1), maxConnectionIdleTime: math.Inf(1),
		locationFaults: map[LocationID][]decayingMean{}, backends: map[BackendID]*backend{}, replicasByCell: make([][]*backend, settings.Layout.Cells),
		queries: map[QueryNumber]*query{}, queryNumbers: map[QueryID]QueryNumber{}, subqueries: map[SubqueryID]*subquery{},
		customers: make([]customer, len(settings.Customers)), pins: map[pinKey]*PinOverride{},
	}
	for i := range settings.Indexes {
		a.addIndex(&settings.Indexes[i])
	}
	return a
}

// applyOverrides records a change of overrides. It returns the backends that the change no longer excludes.
func (a *Aggregator) applyOverrides(o *Overrides) (readmitted []*backend) {
	if len(o.Pins) > 0 {
		a.pinsVersion++
	}
	for _, pin := range o.Pins {
		if pin.Backend == 0 {
			delete(a.pins, pinKey{pin.Shard, pin.Index})
		} else {
			a.pins[pinKey{pin.Shard, pin.Index}] = &pin
		}
	}
	for _, zones := range o.Zones {
		if q := a.queries[a.queryNumbers[zones.Query]]; q != nil && q.id == zones.Query {
			q.zones = zones.Zones
		}
	}
	for _, observation := range o.PeerObservations {
		if b := a.backends[observation.Backend]; b != nil {
			b.peerLatency = decaying{observation.LatencyMultiple, observation.Until}
		}
	}
	for _, change := range o.Backends {
		b := a.backends[change.Backend]
		if b == nil || int(change.Index) >= len(a.indexes) {
			continue
		}
		if b.overrides == nil {
			b.overrides = slices.Repeat([]indexOverride{{weight: 1}}, len(a.indexes))
		}
		b.overrides[change.Index] = indexOverride{change.Excluded, change.Weight}
		wasExcluded := b.excluded
		b.excluded = !slices.ContainsFunc(b.overrides, func(x indexOverride) bool { return !x.excluded })
		if !slices.ContainsFunc(b.overrides, func(x indexOverride) bool { return x != indexOverride{weight: 1} }) {
			b.overrides = nil
		}
		if wasExcluded && !b.excluded {
			readmitted = append(readmitted, b)
		}
	}
	return readmitted
}

// addIndex adds the settings of an index.
func (a *Aggregator) addIndex(index *IndexSettings) {
	required := cmp.Or(index.Required, 1)
	a.indexes = append(a.indexes, indexState{softDeadline: index.Soft, hardDeadline: index.Hard, value: index.Value, lateValue: index.LateValue, requiredWeight: required,
		partialValue: index.PartialValue, minimumWeight: min(required, cmp.Or(index.Minimum, required)), effect: index.Effect, faultCost: faultCostByEffect[index.Effect], dedupWindow: index.DedupS,
		secondStep: index.SecondStep})
	a.maxQueryValue = max(a.maxQueryValue, index.Value)
	a.longestSoftDeadline, a.shortestSoftDeadline = max(a.longestSoftDeadline, index.Soft), min(a.shortestSoftDeadline, index.Soft)
}

// emit appends an action to the result of Step.
func (a *Aggregator) emit(action Action) { a.actions = append(a.actions, action) }

// recordTimeout tracks the timeout that most client attempts state, by the majority vote algorithm of Boyer and Moore. The
// leading timeout holds at most maxVotes votes. Timeouts that differ by at most tolerance seconds count as equal.
func (index *indexState) recordTimeout(timeout, tolerance, maxVotes float64) {
	switch {
	case math.Abs(timeout-index.clientTimeout) <= tolerance:
		index.timeoutVotes = min(index.timeoutVotes+1, maxVotes)
	case index.timeoutVotes > 0:
		index.timeoutVotes--
	default:
		index.clientTimeout, index.timeoutVotes = timeout, 1
	}
}

// exceedsQuota takes a token from a customer's token bucket and reports whether the bucket was empty. The bucket fills at
// this aggregator's share of the quota. Its capacity is that rate times the given seconds.
func (a *Aggregator) exceedsQuota(id CustomerID, seconds float64) bool {
	if int(id) >= len(a.customers) {
		return false
	}
	bucket, rate := &a.customers[id], a.settings.Customers[id].QuotaPerSecond/float64(a.settings.Aggregators)
	bucket.tokens, bucket.at = min(max(1, rate*seconds), bucket.tokens+(a.now-bucket.at)*rate), a.now
	if bucket.tokens < 1 {
		return true
	}
	bucket.tokens--
	return false
}

// recordTime records the time of an event that the retry budget counts. Without a retry budget it does nothing.
func (a *Aggregator) recordTime(times *[]float64) {
	if !a.settings.Rules.RetryBudget {
		return
	}
	if len(*times) == cap(*times) { // countRetries also drops old times, but is called only after failures
		*times = dropBefore(*times, a.now-a.settings.Rules.RetryBudgetS-a.settings.StepInterval)
	}
	*times = append(*times, a.now)
}

// workOf returns the mean work of a subquery of an index for its backend, including the cost of the call.
func (a *Aggregator) workOf(index IndexID) float64 {
	return a.indexes[index].meanWork + a.settings.Layout.CallCost
}

// reserveRetry charges a retry of a subquery to the retry budget before it is sent, or releases that charge.
func (a *Aggregator) reserveRetry(sub *subquery, reserved bool) {
	if reserved != sub.retryReserved {
		sub.retryReserved = reserved
		if reserved {
			a.retriesReserved++
		} else {
			a.retriesReserved--
		}
	}
}

// countRetries returns the number of retries sent or reserved since a time, including a retry of sub, and the number of
// queries and subqueries received since then. At the edge of the time window, both counts are rounded against the retry.
func (a *Aggregator) countRetries(sub *subquery, from float64) (retries, received int) {
	a.receivedTimes, a.retryTimes = dropBefore(a.receivedTimes, from+a.settings.StepInterval), dropBefore(a.retryTimes, from-a.settings.StepInterval)
	retries = len(a.retryTimes) + a.retriesReserved
	if !sub.retryReserved {
		retries++
	}
	return retries, len(a.receivedTimes)
}
