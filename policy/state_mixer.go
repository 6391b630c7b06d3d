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
	if set.AskList {
		listAt = now
	}
	m := &Aggregator{
		listAt: listAt, set: set, now: now, chance: pcg(set.Seed), shortSoft: math.Inf(1), idle: math.Inf(1),
		pool: map[LocationID][]gauge{}, backends: map[BackendID]*backend{}, holders: make([][]*backend, set.Layout.Cells),
		queries: map[QueryNo]*query{}, numbers: map[QueryID]QueryNo{}, subqueries: map[SubqueryID]*subquery{},
		customers: make([]customer, len(set.Customers)), pins: map[pinned]*PinOverride{},
	}
	for i := range set.Indexes {
		m.enter(&set.Indexes[i])
	}
	return m
}

// noted takes a patch of overrides, and lists the backends that come back into use by it.
func (m *Aggregator) noted(o *Overrides) (back []*backend) {
	if len(o.Pins) > 0 {
		m.pinsAt++
	}
	for _, p := range o.Pins {
		if p.Backend == 0 {
			delete(m.pins, pinned{p.Shard, p.Index})
		} else {
			m.pins[pinned{p.Shard, p.Index}] = &p
		}
	}
	for _, z := range o.Zones {
		if lk := m.queries[m.numbers[z.Query]]; lk != nil && lk.id == z.Query {
			lk.zones = z.Zones
		}
	}
	for _, j := range o.Judged {
		if s := m.backends[j.Backend]; s != nil {
			s.told = fading{j.Times, j.Until}
		}
	}
	for _, w := range o.Backends {
		s := m.backends[w.Backend]
		if s == nil || int(w.Index) >= len(m.index) {
			continue
		}
		if s.scopes == nil {
			s.scopes = slices.Repeat([]scope{{weight: 1}}, len(m.index))
		}
		s.scopes[w.Index] = scope{w.Out, w.Weight}
		was := s.shut
		s.shut = !slices.ContainsFunc(s.scopes, func(x scope) bool { return !x.out })
		if !slices.ContainsFunc(s.scopes, func(x scope) bool { return x != scope{weight: 1} }) {
			s.scopes = nil
		}
		if was && !s.shut {
			back = append(back, s)
		}
	}
	return back
}

// enter adds a row to the table of indexes.
func (m *Aggregator) enter(x *IndexSettings) {
	need := cmp.Or(x.Need, 1)
	m.index = append(m.index, indexRow{soft: x.Soft, hard: x.Hard, gain: x.Gain, late: x.LateGain, need: need,
		short: x.ShortGain, floor: min(need, cmp.Or(x.Floor, need)), effect: x.Effect, fault: faultCost[x.Effect], repeat: x.RepeatS,
		second: x.SecondStep})
	m.topGain = max(m.topGain, x.Gain)
	m.longSoft, m.shortSoft = max(m.longSoft, x.Soft), min(m.shortSoft, x.Soft)
}

func (m *Aggregator) do(a Action) { m.todo = append(m.todo, a) }

// tried is a vote of the tries on the time that most of them give, as far apart and with as many votes at most.
func (x *indexRow) tried(left, apart, most float64) {
	switch {
	case math.Abs(left-x.first) <= apart:
		x.votes = min(x.votes+1, most)
	case x.votes > 0:
		x.votes--
	default:
		x.first, x.votes = left, 1
	}
}

// overspends takes one token of a customer's bucket, which fills at this aggregator's part of its quota, up to so
// many seconds of it; it tells whether there was none.
func (m *Aggregator) overspends(id CustomerID, seconds float64) bool {
	if int(id) >= len(m.customers) {
		return false
	}
	c, rate := &m.customers[id], m.set.Customers[id].QuotaPerS/float64(m.set.Aggregators)
	c.tokens, c.at = min(max(1, rate*seconds), c.tokens+(m.now-c.at)*rate), m.now
	if c.tokens < 1 {
		return true
	}
	c.tokens--
	return false
}

// record notes the time of what the budget counts, where there is one.
func (m *Aggregator) record(times *[]float64) {
	if !m.set.Rules.Budget {
		return
	}
	if len(*times) == cap(*times) { // spent drops them too, but only where something goes wrong
		*times = since(*times, m.now-m.set.Rules.BudgetS-m.set.Step)
	}
	*times = append(*times, m.now)
}

// workOf is the work that a part of an index brings a backend, its call included.
func (m *Aggregator) workOf(k IndexID) float64 { return m.index[k].work + m.set.Layout.CallCost }

func (m *Aggregator) owe(p *subquery, owed bool) {
	if owed != p.owed {
		p.owed = owed
		if owed {
			m.owed++
		} else {
			m.owed--
		}
	}
}

// spent counts the further calls made or promised since a time, one of p included, and what was taken; of what
// fell on the edge, the worse is supposed.
func (m *Aggregator) spent(p *subquery, from float64) (further, taken int) {
	m.taken, m.further = since(m.taken, from+m.set.Step), since(m.further, from-m.set.Step)
	further = len(m.further) + m.owed
	if !p.owed {
		further++
	}
	return further, len(m.taken)
}
