package policy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// zonesChecker records the zones of each query and the backends that changed their location.
type zonesChecker struct {
	zones     map[QueryID]*Zones
	relocated map[BackendID]bool
}

// randomZones returns a random subset of the simulation's two locations, which may be empty.
func randomZones(rng *rand.Rand) *Zones {
	zones := NewZones()
	for location := range 2 {
		if rng.IntN(2) == 0 {
			zones.Allow(LocationID(location))
		}
	}
	return zones
}

// runWithZones runs a simulation in which two of three queries have zones. Zones of open queries change, backends change their
// location, and there are random overrides and peer observations. The function deliver returns the change that reaches the
// instance.
func runWithZones(seed uint64, deliver func(*Overrides) *Overrides) error {
	e, rng := newSimulation(seed), rand.New(rand.NewPCG(seed, 9))
	checker := &zonesChecker{zones: map[QueryID]*Zones{}, relocated: map[BackendID]bool{}}
	overrideRecords := &overrideChecker{excluded: map[BackendID]map[IndexID]bool{}, pins: map[pinKey]PinOverride{}}
	e.zonesFor = func(q *clientQuery) *Zones {
		if rng.IntN(3) > 0 {
			checker.zones[q.event.Query] = randomZones(rng)
		}
		return checker.zones[q.event.Query]
	}
	e.extraEvents = func(e *simulation) (events []Event) {
		changes := &Overrides{}
		if rng.IntN(30) == 0 {
			changes = overrideRecords.randomChange(e)
		}
		if rng.IntN(20) == 0 {
			for id, q := range e.queries {
				if zones := checker.zones[id]; zones != nil && !q.ended {
					checker.zones[id] = randomZones(rng)
					changes.Zones = append(changes.Zones, ZonesOverride{id, checker.zones[id]})
				}
			}
		}
		if rng.IntN(20) == 0 {
			b := e.backends[rng.IntN(len(e.backends))]
			changes.PeerObservations = append(changes.PeerObservations, PeerObservation{b.entry.Backend, 50 * rng.Float64(), e.now + 3*rng.Float64()})
		}
		events = append(events, Event{Kind: OverridesChanged, Override: deliver(changes)})
		if b := e.backends[rng.IntN(len(e.backends))]; rng.IntN(400) == 0 && b.reportedPhase != Removed && b.listed {
			b.entry.Location, checker.relocated[b.entry.Backend] = 1-b.entry.Location, true
			events = append(events, Event{Kind: ListChanged, List: ListPatch, Entries: []Entry{b.entry}})
		}
		return events
	}
	e.onRemoved = func(id BackendID) { delete(overrideRecords.excluded, id); delete(checker.relocated, id) }
	e.interceptActions = func(e *simulation, actions []Action) []Action {
		for _, a := range actions {
			if a.Kind != Send {
				continue
			}
			queryID := e.subqueries[a.Subquery].query.event.Query
			if zones := checker.zones[queryID]; zones != nil && checker.relocated[a.Backend] {
				e.fail("zones: subquery %d was sent to %d, which has changed its location", a.Subquery, a.Backend)
			} else if !zones.Allows(e.backendByID(a.Backend).entry.Location) {
				e.fail("zones: subquery %d was sent to %d, which is outside its zones", a.Subquery, a.Backend)
			}
		}
		return actions
	}
	return e.run(25).err
}

// With any zones, the six rules hold, and no call leaves the zones of its query. This includes retries, hedged requests, second
// steps, pinned subqueries, and subqueries that are pending while the zones change.
func FuzzZones(f *testing.F) {
	for seed := range uint64(80) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		if err := runWithZones(seed, func(o *Overrides) *Overrides { return o }); err != nil {
			t.Fatal(err)
		}
	})
}

// Verifies that the check of zones can fail, by not passing changes of zones to the instance.
func TestCheckerFindsIgnoredZones(t *testing.T) {
	for seed := range uint64(20) {
		err := runWithZones(seed, func(o *Overrides) *Overrides { return &Overrides{Backends: o.Backends, Pins: o.Pins} })
		if err != nil && strings.Contains(err.Error(), "zones:") {
			return
		}
	}
	t.Error("no run detected the violation")
}

// A query with a shard that no backend in its zones holds ends immediately. It is rejected, or answered in part if the index
// permits an answer without that shard.
func TestQueryWithoutAReplicaInItsZonesEndsImmediately(t *testing.T) {
	entries := []Entry{{Backend: 1, Location: 0}, {Backend: 2, Cell: 1, Location: 1}}
	for minimum, expected := range map[float64]ActionKind{1: Nack, 0.5: Answer} {
		s := newFixture(t, func(set *Settings) { set.Layout = Layout{Cells: 2, Width: 1}; set.Indexes[0].Minimum = minimum }, entries...)
		zones := NewZones()
		zones.Allow(0)
		number := QueryNumber(77)
		events := []Event{{Kind: QueryReceived, Query: 77, QueryNumber: number, Subqueries: 2, Remaining: 3, Zones: zones}}
		for i := range 2 {
			events = append(events, Event{Kind: SubqueryReceived, Subquery: SubqueryID(700 + i), QueryNumber: number, Shard: ShardID(i), Weight: 0.5})
		}
		actions := s.step(0.005, events...)
		for _, a := range ofKind(Send, actions) {
			if a.Backend != 1 {
				t.Errorf("minimum %g: subquery %d was sent to %d", minimum, a.Subquery, a.Backend)
			}
			actions = append(actions, s.endCall(0.01, a.Subquery, 1, Answered, 0.01)...)
		}
		if got := ofKind(expected, actions); len(got) != 1 {
			t.Errorf("minimum %g: got %s", minimum, fmt.Sprint(actions))
		}
	}
}

// An aggregator without samples avoids a backend that peers observed to be slow, but uses it if its siblings are removed.
func TestPeerObservationsApplyWithoutOwnSamples(t *testing.T) {
	entries := []Entry{{Backend: 1}, {Backend: 2}}
	observe := func(multiple, until float64) Event {
		return Event{Kind: OverridesChanged, Override: &Overrides{PeerObservations: []PeerObservation{{1, multiple, until}}}}
	}
	callsToFirst := func(events ...Event) (calls int) {
		for seed := range uint64(20) {
			s := newFixture(t, func(set *Settings) { set.Seed = seed; set.Layout = Layout{Cells: 1, Width: 1} }, entries...)
			s.step(0.005, events...)
			_, actions := s.receive(3, 0.1)
			for _, a := range ofKind(Send, actions) {
				if a.Backend == 1 {
					calls++
				}
			}
		}
		return calls
	}
	if calls := callsToFirst(observe(8, 1e9)); calls > 0 {
		t.Errorf("%d of 20 aggregators without samples chose the backend that peers observed to be slow", calls)
	}
	if calls := callsToFirst(); calls == 0 || calls == 20 {
		t.Errorf("%d of 20 aggregators without samples chose the first of two backends, expected some", calls)
	}
	if calls := callsToFirst(observe(8, 0)); calls == 0 {
		t.Error("an expired peer observation is still applied")
	}
	removal := Event{Kind: ListChanged, List: ListPatch, Entries: []Entry{{Backend: 2, Phase: Removed}}}
	if calls := callsToFirst(observe(1000, 1e9), removal); calls != 20 {
		t.Errorf("the only replica got %d of 20 subqueries after peers observed it to be slow", calls)
	}
}
