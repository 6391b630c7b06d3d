package policy

import (
	"cmp"
	"math"
	"slices"
)

// The start of an instance, and its records of customers, of the budget and of overrides.

// New starts an instance.
func New(set Settings, now float64) *Aggregator {
	set.Aggregators, set.Layout.CallSubqueries = max(1, set.Aggregators), max(1, set.Layout.CallSubqueries)
	set.Layout.Cells, set.Layout.Width = max(1, set.Layout.Cells), max(1, set.Layout.Width)
	listAt := math.Inf(1)
	if set.ListOnRequest {
		listAt = now
	}
	m := &Aggregator{
		listPollAt: listAt, settings: set, now: now, random: pcg(set.Seed), shortestSoft: math.Inf(1), idleLimit: math.Inf(1),
		locationFaults: map[LocationID][]decayingMean{}, backends: map[BackendID]*backend{}, holdersByCell: make([][]*backend, set.Layout.Cells),
		queries: map[QueryNo]*query{}, numbers: map[QueryID]QueryNo{}, subqueries: map[SubqueryID]*subquery{},
		customers: make([]customer, len(set.Customers)), pins: map[pinKey]*PinOverride{},
	}
	for i := range set.Indexes {
		m.addIndex(&set.Indexes[i])
	}
	return m
}

// applyOverrides takes a patch of overrides, and lists the backends that come back into use by it.
func (m *Aggregator) applyOverrides(o *Overrides) (back []*backend) {
	if len(o.Pins) > 0 {
		m.pinsVersion++
	}
	for _, p := range o.Pins {
		if p.Backend == 0 {
			delete(m.pins, pinKey{p.Shard, p.Index})
		} else {
			m.pins[pinKey{p.Shard, p.Index}] = &p
		}
	}
	for _, z := range o.Zones {
		if lk := m.queries[m.numbers[z.Query]]; lk != nil && lk.id == z.Query {
			lk.zones = z.Zones
		}
	}
	for _, j := range o.PeerObservations {
		if s := m.backends[j.Backend]; s != nil {
			s.peerLatency = decaying{j.LatencyMultiple, j.Until}
		}
	}
	for _, w := range o.Backends {
		s := m.backends[w.Backend]
		if s == nil || int(w.Index) >= len(m.indexes) {
			continue
		}
		if s.overrides == nil {
			s.overrides = slices.Repeat([]indexOverride{{weight: 1}}, len(m.indexes))
		}
		s.overrides[w.Index] = indexOverride{w.Excluded, w.Weight}
		was := s.excluded
		s.excluded = !slices.ContainsFunc(s.overrides, func(x indexOverride) bool { return !x.excluded })
		if !slices.ContainsFunc(s.overrides, func(x indexOverride) bool { return x != indexOverride{weight: 1} }) {
			s.overrides = nil
		}
		if was && !s.excluded {
			back = append(back, s)
		}
	}
	return back
}

// addIndex adds a row to the table of indexes.
func (m *Aggregator) addIndex(x *IndexSettings) {
	need := cmp.Or(x.Required, 1)
	m.indexes = append(m.indexes, indexRow{soft: x.Soft, hard: x.Hard, value: x.Value, lateValue: x.LateValue, required: need,
		partialValue: x.PartialValue, minimum: min(need, cmp.Or(x.Minimum, need)), effect: x.Effect, faultCost: faultCost[x.Effect], dedupWindow: x.DedupS,
		secondStep: x.SecondStep})
	m.topValue = max(m.topValue, x.Value)
	m.longestSoft, m.shortestSoft = max(m.longestSoft, x.Soft), min(m.shortestSoft, x.Soft)
}

func (m *Aggregator) emit(a Action) { m.actions = append(m.actions, a) }

// recordTimeout is a vote of the tries on the time that most of them give, as far apart and with as many votes at most.
func (x *indexRow) recordTimeout(left, apart, most float64) {
	switch {
	case math.Abs(left-x.clientTimeout) <= apart:
		x.timeoutVotes = min(x.timeoutVotes+1, most)
	case x.timeoutVotes > 0:
		x.timeoutVotes--
	default:
		x.clientTimeout, x.timeoutVotes = left, 1
	}
}

// exceedsQuota takes one token of a customer's bucket, which fills at this aggregator's part of its quota, up to so
// many seconds of it; it tells whether there was none.
func (m *Aggregator) exceedsQuota(id CustomerID, seconds float64) bool {
	if int(id) >= len(m.customers) {
		return false
	}
	c, rate := &m.customers[id], m.settings.Customers[id].QuotaPerS/float64(m.settings.Aggregators)
	c.tokens, c.at = min(max(1, rate*seconds), c.tokens+(m.now-c.at)*rate), m.now
	if c.tokens < 1 {
		return true
	}
	c.tokens--
	return false
}

// recordTime notes the time of what the budget counts, where there is one.
func (m *Aggregator) recordTime(times *[]float64) {
	if !m.settings.Rules.RetryBudget {
		return
	}
	if len(*times) == cap(*times) { // spent drops them too, but only where something goes wrong
		*times = dropBefore(*times, m.now-m.settings.Rules.RetryBudgetS-m.settings.Step)
	}
	*times = append(*times, m.now)
}

// workOf is the work that a part of an index brings a backend, its call included.
func (m *Aggregator) workOf(k IndexID) float64 {
	return m.indexes[k].meanWork + m.settings.Layout.CallCost
}

func (m *Aggregator) reserveRetry(p *subquery, owed bool) {
	if owed != p.retryReserved {
		p.retryReserved = owed
		if owed {
			m.retriesReserved++
		} else {
			m.retriesReserved--
		}
	}
}

// retrySpending counts the further calls made or promised since a time, one of p included, and what was taken; of what
// fell on the edge, the worse is supposed.
func (m *Aggregator) retrySpending(p *subquery, from float64) (further, taken int) {
	m.receivedTimes, m.retryTimes = dropBefore(m.receivedTimes, from+m.settings.Step), dropBefore(m.retryTimes, from-m.settings.Step)
	further = len(m.retryTimes) + m.retriesReserved
	if !p.retryReserved {
		further++
	}
	return further, len(m.receivedTimes)
}
