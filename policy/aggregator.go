package policy

import (
	"cmp"
	"math"
	"slices"
)

// The start of an instance, and its records of customers, of the retry budget and of overrides.

// New makes an instance; now is in seconds of the clock that Step is given. Settings are taken as valid.
func New(set Settings, now float64) *Aggregator {
	set.Aggregators, set.Layout.CallSubqueries = max(1, set.Aggregators), max(1, set.Layout.CallSubqueries)
	set.Layout.Cells, set.Layout.Width = max(1, set.Layout.Cells), max(1, set.Layout.Width)
	listAt := math.Inf(1)
	if set.ListOnRequest {
		listAt = now
	}
	a := &Aggregator{
		listPollAt: listAt, settings: set, now: now, random: pcg(set.Seed), shortestSoft: math.Inf(1), idleLimit: math.Inf(1),
		locationFaults: map[LocationID][]decayingMean{}, backends: map[BackendID]*backend{}, holdersByCell: make([][]*backend, set.Layout.Cells),
		queries: map[QueryNo]*query{}, numbers: map[QueryID]QueryNo{}, subqueries: map[SubqueryID]*subquery{},
		customers: make([]customer, len(set.Customers)), pins: map[pinKey]*PinOverride{},
	}
	for i := range set.Indexes {
		a.addIndex(&set.Indexes[i])
	}
	return a
}

// applyOverrides records a change of overrides, and lists the backends that are no longer excluded by it.
func (a *Aggregator) applyOverrides(o *Overrides) (back []*backend) {
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
		if q := a.queries[a.numbers[zones.Query]]; q != nil && q.id == zones.Query {
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
		was := b.excluded
		b.excluded = !slices.ContainsFunc(b.overrides, func(x indexOverride) bool { return !x.excluded })
		if !slices.ContainsFunc(b.overrides, func(x indexOverride) bool { return x != indexOverride{weight: 1} }) {
			b.overrides = nil
		}
		if was && !b.excluded {
			back = append(back, b)
		}
	}
	return back
}

// addIndex adds the settings of an index.
func (a *Aggregator) addIndex(row *IndexSettings) {
	required := cmp.Or(row.Required, 1)
	a.indexes = append(a.indexes, indexRow{soft: row.Soft, hard: row.Hard, value: row.Value, lateValue: row.LateValue, required: required,
		partialValue: row.PartialValue, minimum: min(required, cmp.Or(row.Minimum, required)), effect: row.Effect, faultCost: faultCost[row.Effect], dedupWindow: row.DedupS,
		secondStep: row.SecondStep})
	a.topValue = max(a.topValue, row.Value)
	a.longestSoft, a.shortestSoft = max(a.longestSoft, row.Soft), min(a.shortestSoft, row.Soft)
}

// emit appends an action to those that Step returns.
func (a *Aggregator) emit(action Action) { a.actions = append(a.actions, action) }

// recordTimeout finds the timeout that most clients' attempts give, by a majority vote (Boyer and Moore) with at most most
// votes; timeouts within apart seconds are equal.
func (row *indexRow) recordTimeout(timeout, apart, most float64) {
	switch {
	case math.Abs(timeout-row.clientTimeout) <= apart:
		row.timeoutVotes = min(row.timeoutVotes+1, most)
	case row.timeoutVotes > 0:
		row.timeoutVotes--
	default:
		row.clientTimeout, row.timeoutVotes = timeout, 1
	}
}

// exceedsQuota takes a token of a customer's bucket, which fills at this aggregator's share of the quota up to so many
// seconds of it, and tells whether there was none.
func (a *Aggregator) exceedsQuota(id CustomerID, seconds float64) bool {
	if int(id) >= len(a.customers) {
		return false
	}
	bucket, rate := &a.customers[id], a.settings.Customers[id].QuotaPerS/float64(a.settings.Aggregators)
	bucket.tokens, bucket.at = min(max(1, rate*seconds), bucket.tokens+(a.now-bucket.at)*rate), a.now
	if bucket.tokens < 1 {
		return true
	}
	bucket.tokens--
	return false
}

// recordTime records the time of something that the retry budget counts, where there is a budget.
func (a *Aggregator) recordTime(times *[]float64) {
	if !a.settings.Rules.RetryBudget {
		return
	}
	if len(*times) == cap(*times) { // retrySpending drops them too, but only runs after failures
		*times = dropBefore(*times, a.now-a.settings.Rules.RetryBudgetS-a.settings.Step)
	}
	*times = append(*times, a.now)
}

// workOf is the work of a subquery of an index for its backend, that of the call included.
func (a *Aggregator) workOf(index IndexID) float64 {
	return a.indexes[index].meanWork + a.settings.Layout.CallCost
}

// reserveRetry charges a retry of a subquery to the budget before it is sent, or releases that charge.
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

// retrySpending counts the retries made or reserved since a time, one of sub included, and the queries and subqueries
// received. At the edge of the window it counts to the retry's disadvantage.
func (a *Aggregator) retrySpending(sub *subquery, from float64) (retries, received int) {
	a.receivedTimes, a.retryTimes = dropBefore(a.receivedTimes, from+a.settings.Step), dropBefore(a.retryTimes, from-a.settings.Step)
	retries = len(a.retryTimes) + a.retriesReserved
	if !sub.retryReserved {
		retries++
	}
	return retries, len(a.receivedTimes)
}
