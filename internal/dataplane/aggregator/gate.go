package aggregator

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/policy"
)

// Verdict is what a gate says of a query that asks to be taken.
type Verdict struct {
	Refused string  // the reason's code, "" where it is taken
	Text    string  // the same as a sentence
	Wait    float64 // advice when to come back, 0 for none
	Zones   *policy.Zones
	Most    float64 // seconds that it may be held at the most, 0 for as long as its client waits
}

// Gate says which queries may be taken and where their parts may go, by what aggregators agree on. None of its methods may
// block; all are called by the module's actor.
type Gate interface {
	Admit(customer policy.CustomerID, index policy.IndexID) Verdict
	// Called hears how a part call ended at a backend, so many seconds after it was sent.
	Called(at time.Time, backend string, how policy.Outcome, elapsed float64)
	// Listed hears which backends the list names.
	Listed([]Place)
}

// Place is where a backend stands, as the list has it.
type Place struct {
	Name string
	Cell policy.CellID
}

// Rules are what queries go by from here on, those that are held as well. Held is called once all that is out does.
type Rules struct {
	Zones func(policy.CustomerID, policy.IndexID) *policy.Zones
	Held  func()
}

// Judged is what others found of a backend: so many times the usual latency, which counts for so many seconds while we
// know little.
type Judged struct {
	Backend string
	Times   float64
	For     float64
}

// place is what the actor remembers of a backend where there is a gate.
type place struct {
	name     string
	location policy.LocationID
	cell     policy.CellID
	gone     bool
	moved    bool // another location was named under its number: it may stand anywhere
}

// gated is what the actor keeps for a gate.
type gated struct {
	gate   Gate
	places map[policy.BackendID]place
	rules  *Rules // not held yet
	covers map[*policy.Zones][]bool
	logged time.Time
}

// Guard puts a gate before the module. It comes before the first list.
func (m *Aggregator) Guard(g Gate) {
	m.gated = gated{gate: g, places: map[policy.BackendID]place{}, covers: map[*policy.Zones][]bool{}}
}

// admit asks the gate for a query, and answers one that is refused.
func (m *Aggregator) admit(lk *Query, now time.Time) (zones *policy.Zones, admitted bool) {
	v := m.gated.gate.Admit(lk.Customer, lk.Index)
	if v.Refused != "" {
		m.count.Add("lookups", v.Refused, 1)
		lk.Done <- Reply{End: Nacked, Wait: min(v.Wait, m.set.Limits.MaxRetryAfter), Text: v.Text}
		return nil, false
	}
	if v.Most > 0 {
		lk.Wait = min(lk.Wait, now.Sub(lk.Arrived).Seconds()+v.Most)
	}
	if v.Zones != nil {
		m.missing(lk, v.Zones, now)
	}
	return v.Zones, true
}

// missing logs the shards of a query that no holder inside its zones has: the module gives their parts up at once.
func (m *Aggregator) missing(lk *Query, zones *policy.Zones, now time.Time) {
	covered, width := m.gated.covers[zones], max(1, m.set.Layout.Width)
	if covered == nil {
		covered = make([]bool, max(1, m.set.Layout.Cells))
		for _, p := range m.gated.places {
			for j := range width {
				if c := (int(p.cell) - j) % len(covered); !p.gone && !p.moved && zones.Allows(p.location) {
					covered[(c+len(covered))%len(covered)] = true
				}
			}
		}
		m.gated.covers[zones] = covered
	}
	var shards []int
	for i := range lk.Subqueries {
		if s := int(lk.Subqueries[i].Shard); !covered[s%len(covered)] {
			shards = append(shards, s)
		}
	}
	if len(shards) == 0 {
		return
	}
	m.count.Add("parts", "no_holder_by_contract", int64(len(shards)))
	if now.Sub(m.gated.logged) >= time.Second { // one in a second tells enough
		m.gated.logged = now
		m.log.Warn("shards without a holder inside the zones of the contract",
			zap.String("lookup", lk.ID),
			zap.Int("customer", int(lk.Customer)),
			zap.Ints("shards", shards),
			zap.String("reason", "no_holder_by_contract"))
	}
}

// placed takes what a list says of where backends stand.
func (m *Aggregator) placed(e *Event) {
	g := &m.gated
	clear(g.covers)
	if e.List != policy.ListPatch {
		for id, p := range g.places {
			p.gone = true
			g.places[id] = p
		}
	}
	for i, r := range e.Entries {
		p, seen := g.places[r.Backend]
		p = place{e.Names[i].Backend, r.Location, r.Cell, r.Phase == policy.Removed, p.moved || seen && !p.gone && p.location != r.Location}
		g.places[r.Backend] = p
	}
	var list []Place
	for id, p := range g.places {
		if !p.gone {
			list = append(list, Place{p.name, p.cell})
		} else if !m.calling(id) {
			delete(g.places, id)
		}
	}
	g.gate.Listed(list)
}

func (m *Aggregator) calling(id policy.BackendID) bool {
	for _, c := range m.out {
		if c.to == id {
			return true
		}
	}
	return false
}

// agreed takes rules and judgements into the module's event.
func (m *Aggregator) agreed(e *Event, now time.Time) {
	if e.Override == nil {
		e.Override = &policy.Overrides{}
	}
	if e.Rules != nil {
		m.gated.rules = e.Rules
		clear(m.gated.covers)
		for id, lk := range m.queries {
			zones := e.Rules.Zones(lk.Customer, lk.Index)
			e.Override.Zones = append(e.Override.Zones, policy.ZonesOverride{Query: id, Zones: zones})
		}
	}
	if len(e.Judged) == 0 {
		return
	}
	ids := make(map[string]policy.BackendID, len(m.gated.places))
	for id, p := range m.gated.places {
		if !p.gone {
			ids[p.name] = id
		}
	}
	for _, j := range e.Judged {
		if id := ids[j.Backend]; id != 0 {
			e.Override.PeerObservations = append(e.Override.PeerObservations, policy.PeerObservation{Backend: id, LatencyMultiple: j.Times, Until: m.seconds(now) + j.For})
		}
	}
}

// holdRules tells that rules hold once no call is out where they let none go.
func (m *Aggregator) holdRules() {
	for _, c := range m.out {
		zones := m.gated.rules.Zones(c.owner, c.index)
		if p := m.gated.places[c.to]; zones != nil && (p.moved || !zones.Allows(p.location)) {
			return
		}
	}
	m.gated.rules.Held()
	m.gated.rules = nil
}
