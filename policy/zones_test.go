package policy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// contracts keeps a test's own records of which zones each query is kept to, and of backends that moved.
type contracts struct {
	zones map[QueryID]*Zones
	moved map[BackendID]bool
}

// randomZones draws a set of the world's two locations, at times of none at all.
func randomZones(rng *rand.Rand) *Zones {
	z := NewZones()
	for at := range 2 {
		if rng.IntN(2) == 0 {
			z.Allow(LocationID(at))
		}
	}
	return z
}

// runZoned plays a world in which two in three queries are kept to zones, some of them to others while they are held, where
// backends change their location under their number, with overrides and others' judgements at random; told is how each
// patch reaches the instance.
func runZoned(seed uint64, change func(*Overrides) *Overrides) error {
	e, rng := newEmulation(seed), rand.New(rand.NewPCG(seed, 9))
	c := &contracts{zones: map[QueryID]*Zones{}, moved: map[BackendID]bool{}}
	o := &overrides{out: map[BackendID]map[IndexID]bool{}, pins: map[pinKey]PinOverride{}}
	e.zoned = func(a *clientQuery) *Zones {
		if rng.IntN(3) > 0 {
			c.zones[a.event.Query] = randomZones(rng)
		}
		return c.zones[a.event.Query]
	}
	e.extra = func(e *emulation) (events []Event) {
		patch := &Overrides{}
		if rng.IntN(30) == 0 {
			patch = o.draw(e)
		}
		if rng.IntN(20) == 0 {
			for id, a := range e.queries {
				if z := c.zones[id]; z != nil && !a.ended {
					c.zones[id] = randomZones(rng)
					patch.Zones = append(patch.Zones, ZonesOverride{id, c.zones[id]})
				}
			}
		}
		if rng.IntN(20) == 0 {
			h := e.fleet[rng.IntN(len(e.fleet))]
			patch.PeerObservations = append(patch.PeerObservations, PeerObservation{h.entry.Backend, 50 * rng.Float64(), e.now + 3*rng.Float64()})
		}
		events = append(events, Event{Kind: OverridesChanged, Override: change(patch)})
		if h := e.fleet[rng.IntN(len(e.fleet))]; rng.IntN(400) == 0 && h.knownPhase != Removed && h.named {
			h.entry.Location, c.moved[h.entry.Backend] = 1-h.entry.Location, true
			events = append(events, Event{Kind: ListChanged, List: ListPatch, Entries: []Entry{h.entry}})
		}
		return events
	}
	e.renamed = func(id BackendID) { delete(o.out, id); delete(c.moved, id) }
	e.sabotage = func(e *emulation, actions []Action) []Action {
		for _, a := range actions {
			if a.Kind != Send {
				continue
			}
			lk := e.subqueries[a.Subquery].query.event.Query
			if z := c.zones[lk]; z != nil && c.moved[a.Backend] {
				e.fail("zones: part %d goes to %d, which has moved", a.Subquery, a.Backend)
			} else if !z.Allows(e.host(a.Backend).entry.Location) {
				e.fail("zones: part %d goes to %d outside", a.Subquery, a.Backend)
			}
		}
		return actions
	}
	return e.run(25).err
}

// Under any contracts the six rules hold, and no part call goes outside of its query's zones: first, further, second copy,
// second step, pinned, or held while the zones change.
func FuzzZones(f *testing.F) {
	for seed := range uint64(80) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		if err := runZoned(seed, func(o *Overrides) *Overrides { return o }); err != nil {
			t.Fatal(err)
		}
	})
}

// The check is seen to fail where an instance is not told that zones have changed.
func TestCheckerFindsIgnoredZones(t *testing.T) {
	for seed := range uint64(20) {
		err := runZoned(seed, func(o *Overrides) *Overrides { return &Overrides{Backends: o.Backends, Pins: o.Pins} })
		if err != nil && strings.Contains(err.Error(), "zones:") {
			return
		}
	}
	t.Error("nobody saw it")
}

// What no allowed backend holds is answered at once: refused, or in part where the index lets an answer do without it.
func TestZonesWithoutAReplica(t *testing.T) {
	entries := []Entry{{Backend: 1, Location: 0}, {Backend: 2, Cell: 1, Location: 1}}
	for floor, want := range map[float64]ActionKind{1: Nack, 0.5: Answer} {
		s := newScene(t, func(set *Settings) { set.Layout = Layout{Cells: 2, Width: 1}; set.Indexes[0].Minimum = floor }, entries...)
		north := NewZones()
		north.Allow(0)
		no := QueryNo(77)
		events := []Event{{Kind: QueryReceived, Query: 77, No: no, Subqueries: 2, Remaining: 3, Zones: north}}
		for i := range 2 {
			events = append(events, Event{Kind: SubqueryReceived, Subquery: SubqueryID(700 + i), No: no, Shard: ShardID(i), Weight: 0.5})
		}
		actions := s.step(0.005, events...)
		for _, a := range only(Send, actions) {
			if a.Backend != 1 {
				t.Errorf("floor %g: part %d goes to %d", floor, a.Subquery, a.Backend)
			}
			actions = append(actions, s.end(0.01, a.Subquery, 1, Answered, 0.01)...)
		}
		if got := only(want, actions); len(got) != 1 {
			t.Errorf("floor %g: %s", floor, fmt.Sprint(actions))
		}
	}
}

// What others found slow is passed over by an aggregator that knows nobody, and is used again where its siblings are gone.
func TestPeerObservations(t *testing.T) {
	entries := []Entry{{Backend: 1}, {Backend: 2}}
	judge := func(times, until float64) Event {
		return Event{Kind: OverridesChanged, Override: &Overrides{PeerObservations: []PeerObservation{{1, times, until}}}}
	}
	first := func(events ...Event) (n int) {
		for seed := range uint64(20) {
			s := newScene(t, func(set *Settings) { set.Seed = seed; set.Layout = Layout{Cells: 1, Width: 1} }, entries...)
			s.step(0.005, events...)
			_, done := s.take(3, 0.1)
			for _, a := range only(Send, done) {
				if a.Backend == 1 {
					n++
				}
			}
		}
		return n
	}
	if n := first(judge(8, 1e9)); n > 0 {
		t.Errorf("of 20 mixers that know nobody %d go to the searcher that others found slow", n)
	}
	if n := first(); n == 0 || n == 20 {
		t.Errorf("of 20 mixers that know nobody %d go to the first of two", n)
	}
	if n := first(judge(8, 0)); n == 0 {
		t.Error("a judgement that is over still counts")
	}
	gone := Event{Kind: ListChanged, List: ListPatch, Entries: []Entry{{Backend: 2, Phase: Removed}}}
	if n := first(judge(1000, 1e9), gone); n != 20 {
		t.Errorf("the only holder gets %d of 20 first parts because others found it slow", n)
	}
}
