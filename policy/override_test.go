package policy

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// trace is a hash over all that the instances of some seeds do; extra, where there is one, draws from a generator of
// its own, so that the world stays as it is without.
func trace(seeds uint64, extra func(*emulation, *rand.Rand) []Event) uint64 {
	h := fnv.New64a()
	for seed := range seeds {
		e := newEmulation(seed)
		if rng := rand.New(rand.NewPCG(seed, 8)); extra != nil {
			e.extra = func(e *emulation) []Event { return extra(e, rng) }
		}
		for _, a := range e.run(25).log {
			fmt.Fprintln(h, a.Kind, a.Complete, a.On, a.SeparateConnection, a.Query, a.Subquery, a.Backend, a.Call, a.StopAt, a.Wait, a.Timer)
		}
	}
	return h.Sum64()
}

// Overrides that ask for what holds anyway change nothing: a weight of 1, nobody out, pins that are lifted.
func TestNeutralOverridesChangeNothing(t *testing.T) {
	weight := func(w float64) func(*emulation, *rand.Rand) []Event {
		return func(e *emulation, rng *rand.Rand) []Event {
			if rng.IntN(20) > 0 {
				return nil
			}
			h, k := e.fleet[rng.IntN(len(e.fleet))], IndexID(rng.IntN(len(e.set.Indexes)))
			return []Event{{Kind: OverridesChanged, Override: &Overrides{
				Backends: []BackendOverride{{Backend: h.entry.Backend, Index: k, Weight: w}},
				Pins:     []PinOverride{{Shard: ShardID(rng.IntN(40)), Index: k}}}}}
		}
	}
	without := trace(20, nil)
	if got := trace(20, weight(1)); got != without {
		t.Errorf("the trace has hash %#x with neutral overrides, expected %#x as without", got, without)
	}
	if got := trace(20, weight(0.2)); got == without {
		t.Error("the trace is the same with weights of 0.2, expected another")
	}
}

// overrides keeps a test's own records of what it told an instance, and checks what goes out against them.
type overrides struct {
	out  map[BackendID]map[IndexID]bool
	pins map[pinKey]PinOverride
}

// draw makes a patch at random.
func (o *overrides) draw(e *emulation) *Overrides {
	patch := &Overrides{}
	h, k := e.fleet[e.rng.IntN(len(e.fleet))], IndexID(e.rng.IntN(len(e.set.Indexes)))
	if s := e.aggregator.backends[h.entry.Backend]; s == nil || s.removed {
		return patch // what is told of a number that the list does not name is told in vain
	}
	if e.rng.IntN(2) == 0 {
		w := BackendOverride{Backend: h.entry.Backend, Index: k, Excluded: e.rng.IntN(3) == 0, Weight: 1 - 0.9*e.rng.Float64()}
		if o.out[w.Backend] == nil {
			o.out[w.Backend] = map[IndexID]bool{}
		}
		o.out[w.Backend][k] = w.Excluded
		patch.Backends = append(patch.Backends, w)
	} else {
		shard := ShardID(e.rng.IntN(40))
		p := PinOverride{Shard: shard, Index: k, Backend: h.entry.Backend, Strict: e.rng.IntN(2) == 0, Share: 1}
		if e.rng.IntN(3) == 0 {
			p.Backend = 0
		}
		o.pins[pinKey{shard, k}] = p
		patch.Pins = append(patch.Pins, p)
	}
	return patch
}

// check fails on a part call that an override forbids, whatever has happened to the backends.
func (o *overrides) check(e *emulation, a Action) {
	if a.Kind != Send {
		return
	}
	ev := e.subqueries[a.Subquery].event
	if o.out[a.Backend][ev.Index] {
		e.fail("out: part %d goes to %d", a.Subquery, a.Backend)
	}
	pin := o.pins[pinKey{ev.Shard, ev.Index}]
	if pin.Backend == 0 || !pin.Strict || pin.Backend == a.Backend || o.out[pin.Backend][ev.Index] {
		return
	}
	if h := e.host(pin.Backend); h.knownPhase != Draining { // as told: a list that fails tells of no change
		e.fail("strict pin: part %d goes to %d and not to %d", a.Subquery, a.Backend, pin.Backend)
	}
}

// overridesChanged plays a world with overrides at random; told is how each patch reaches the instance.
func runOverridden(seed uint64, change func(*Overrides) *Overrides) error {
	e := newEmulation(seed)
	o := &overrides{out: map[BackendID]map[IndexID]bool{}, pins: map[pinKey]PinOverride{}}
	e.extra = func(e *emulation) (events []Event) {
		if e.rng.IntN(20) == 0 {
			events = append(events, Event{Kind: OverridesChanged, Override: change(o.draw(e))})
		}
		return events
	}
	e.renamed = func(id BackendID) { delete(o.out, id) }
	e.sabotage = func(e *emulation, actions []Action) []Action {
		for _, a := range actions {
			o.check(e, a)
		}
		return actions
	}
	return e.run(25).err
}

// Under any overrides the six rules hold, nothing goes to a backend taken out from the next step on, and a strict
// pin lets nothing go elsewhere but for a drain.
func FuzzOverrides(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		if err := runOverridden(seed, func(o *Overrides) *Overrides { return o }); err != nil {
			t.Fatal(err)
		}
	})
}

// The checks are seen to fail where an instance is not told of what holds.
func TestCheckerFindsIgnoredOverrides(t *testing.T) {
	for what, deaf := range map[string]func(*Overrides) *Overrides{
		"out:":        func(o *Overrides) *Overrides { return &Overrides{Pins: o.Pins} },
		"strict pin:": func(o *Overrides) *Overrides { return &Overrides{Backends: o.Backends} },
	} {
		seen := 0
		for seed := range uint64(20) {
			if err := runOverridden(seed, deaf); err != nil && strings.Contains(err.Error(), what) {
				seen++
			}
		}
		if seen == 0 {
			t.Errorf("%s nobody saw it", what)
		}
	}
}

// shares plays a steady load on 8 backends, two a shard, that answer within a while, and tells each one's part calls.
func shares(t *testing.T, seed uint64, gap float64, patch *Overrides) (sent map[BackendID]float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	sent = map[BackendID]float64{}
	var entries []Entry
	for i := range 8 {
		entries = append(entries, Entry{Backend: BackendID(i + 1), Cell: CellID(i), Location: LocationID(i % 2)})
	}
	s := newScene(t, func(set *Settings) {
		set.Seed, set.Layout, set.Prices.CrossLocation = seed, Layout{Cells: 8, Width: 2}, 0.04
	}, entries...)
	if patch != nil {
		s.step(0.005, Event{Kind: OverridesChanged, Override: patch})
	}
	type end struct {
		at    float64
		event Event
	}
	var due []end
	for next := s.now; s.now < 60; {
		s.now += 0.005
		var events []Event
		rest := due[:0]
		for _, d := range due {
			if d.at <= s.now {
				events = append(events, d.event)
			} else {
				rest = append(rest, d)
			}
		}
		due = rest
		for ; next < s.now; next += gap * rng.ExpFloat64() {
			s.next++
			no := QueryNo(s.next)
			events = append(events, Event{Kind: QueryReceived, Query: QueryID(s.next), No: no, Subqueries: 4, Remaining: 6})
			for j := range 4 {
				events = append(events, Event{Kind: SubqueryReceived, Subquery: SubqueryID(10*s.next) + SubqueryID(j), No: no,
					Shard: ShardID(rng.IntN(8)), Weight: 0.25})
			}
		}
		for _, a := range s.m.Step(s.now, append(events, Event{Kind: TimerDue, Timer: sweepTimer}), nil) {
			switch a.Kind {
			case Send:
				sent[a.Backend]++
				took := 0.01 + 0.01*rng.Float64()
				due = append(due, end{s.now + took, Event{Kind: CallEnded, Subquery: a.Subquery, Backend: a.Backend, Elapsed: took}})
			case Nack, Abort:
				t.Fatalf("at %g: %+v", s.now, a)
			}
		}
	}
	return sent
}

// A weight gives its share of a backend's usual part calls, at any load at which its siblings have room.
func TestWeightGivesItsShareOfTheUsualCalls(t *testing.T) {
	for gap, seeds := range map[float64]uint64{0.2: 6, 0.02: 1, 0.01: 1} {
		usual := 0.0
		for seed := range seeds {
			usual += shares(t, seed, gap, nil)[3]
		}
		for _, w := range []float64{0.1, 0.25, 0.5} {
			weighed := 0.0
			for seed := range seeds {
				weighed += shares(t, seed, gap, &Overrides{Backends: []BackendOverride{{Backend: 3, Weight: w}}})[3]
			}
			t.Logf("gap %g: %g of %g part calls, asked for %g, got %.3f", gap, weighed, usual, w, weighed/usual)
			if got := weighed / usual; math.Abs(got-w) > 0.15*w {
				t.Errorf("gap %g: a weight of %g gives %.3f of the usual part calls", gap, w, got)
			}
		}
	}
}

func TestExclusionAndPinAreComplete(t *testing.T) {
	sent := shares(t, 1, 0.01, &Overrides{Backends: []BackendOverride{{Backend: 3, Excluded: true, Weight: 1}},
		Pins: []PinOverride{{Shard: 5, Backend: 7, Share: 1}, {Shard: 6, Backend: 7, Share: 1}}})
	usual := shares(t, 1, 0.01, nil)
	all := 0.0
	for _, n := range usual {
		all += n
	}
	if sent[3] != 0 {
		t.Fatalf("%g part calls went to a searcher that is out", sent[3])
	}
	if got := sent[7] / all; got < 2.0/8-0.01 { // all of two shards in eight
		t.Fatalf("a share of %.3f of all part calls went to where two of eight shards are pinned", got)
	}
}

// What a pin does while its backend drains, dies, is out of reach or cold.
func TestPinsThatCannotBeServed(t *testing.T) {
	for name, c := range map[string]struct {
		phase   Phase
		strict  bool
		out     bool
		started float64
		to      BackendID // 0: refused at once
		waits   bool
	}{
		"serves":             {to: 1},
		"drains":             {phase: Draining, to: 2},
		"drains, strict":     {phase: Draining, strict: true, to: 2},
		"is gone":            {phase: Removed, to: 2},
		"is gone, strict":    {phase: Removed, strict: true},
		"is out":             {out: true, to: 2},
		"is out, strict":     {out: true, strict: true, to: 2},
		"is cold":            {started: 0.01, to: 2},
		"is cold and strict": {started: 0.01, strict: true, waits: true},
	} {
		s := newScene(t, func(set *Settings) {
			set.Rules = Rules{SlowStartShare: 0.1, SlowStartS: 100, OverloadMultiple: 2, OverloadWindowS: 1}
		})
		patch := &Overrides{Pins: []PinOverride{{Shard: 0, Backend: 1, Strict: c.strict, Share: 1}}}
		if c.out {
			patch.Backends = []BackendOverride{{Backend: 1, Excluded: true, Weight: 1}}
		}
		s.step(0.01, Event{Kind: OverridesChanged, Override: patch},
			Event{Kind: ListChanged, Entries: []Entry{{Backend: 1, Phase: c.phase, StartedAt: c.started}}})
		_, done := s.take(6, 3) // more work than a cold one's share
		sent, nacks := only(Send, done), only(Nack, done)
		switch {
		case c.waits:
			if len(sent)+len(nacks) > 0 {
				t.Errorf("%s: got %+v", name, done)
			}
		case c.to == 0:
			if len(sent) > 0 || len(nacks) != 1 {
				t.Errorf("%s: got %+v, expected a nack at once", name, done)
			}
		case len(sent) != 1 || sent[0].Backend != c.to:
			t.Errorf("%s: got %+v, expected a call to %d", name, done, c.to)
		}
	}
}

// What is held for a backend that is taken out goes elsewhere in the same step; calls out there end well.
func TestPendingSubqueriesLeaveAnExcludedBackend(t *testing.T) {
	s := newScene(t, nil)
	hints := make([]float64, 24) // more than two windows take
	subqueries, done := s.take(6, hints...)
	s.step(0.005, Event{Kind: OverridesChanged, Override: &Overrides{Backends: []BackendOverride{{Backend: 1, Excluded: true, Weight: 1}}}})
	for len(done) > 0 {
		a := done[0]
		done = append(done[1:], only(Send, s.end(0.001, a.Subquery, a.Backend, Answered, 0.01))...)
		if a.Kind != Send {
			continue
		}
		for _, b := range done[max(0, len(done)-1):] {
			if b.Backend == 1 && s.now > 0.03 {
				t.Fatalf("at %g a part still went to the one that is out", s.now)
			}
		}
	}
	if p := s.m.subqueries[subqueries[len(subqueries)-1]]; p != nil {
		t.Fatalf("the last part is %+v", p)
	}
}

// One that is out of every index is not asked whether it lives, however silent it is: nothing is to go there. Once it is
// back it is taken for neither silent nor lost by what was asked before.
func TestExcludedBackendIsNotProbed(t *testing.T) {
	s := newScene(t, func(set *Settings) { set.Limits.Probe = true })
	warmUp(s)
	for range 4 { // some go to each, and are never answered
		s.take(6, 1, 1)
	}
	out := func(is bool) Event {
		return Event{Kind: OverridesChanged, Override: &Overrides{Backends: []BackendOverride{{Backend: 1, Excluded: is, Weight: 1}}}}
	}
	s.step(0.005, out(true))
	probed := map[BackendID]int{}
	for range 200 {
		for _, a := range only(Probe, s.tick(0.02)) {
			probed[a.Backend]++
			s.step(0.001, Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: TimedOut})
		}
	}
	if probed[1] > 0 || probed[2] == 0 {
		t.Fatalf("probed %v", probed)
	}
	for _, c := range slices.Clone(s.m.backends[1].calls) {
		s.step(0.001, Event{Kind: CallEnded, Subquery: c.subquery.id, Call: c.no, Backend: 1, Outcome: Canceled})
	}
	s.step(0.005, out(false))
	if s.tick(0.02); !usable(s.m.backends[1]) {
		t.Fatal("it is back, and taken for lost")
	}
}

// busy is an instance with a fleet of 1,000 and a steady load, all learnt, stepped by hand.
type busy struct {
	m    *Aggregator
	rng  *rand.Rand
	now  float64
	next uint64
	due  []dueEvent
	buf  []Action
}

func newBusy(overrides int) *busy {
	const backends = 1000
	set := Settings{Seed: 1, Aggregators: 1, StepInterval: 0.005, Layout: Layout{Cells: backends / 2, Width: 1},
		Indexes: []IndexSettings{{Soft: 2, Hard: 6, Value: 1, Required: 1, Minimum: 1}, {Soft: 2, Hard: 6, Value: 1, Required: 1, Minimum: 1}},
		Limits:  Limits{Cancel: true, MaxAttempts: 3}}
	b := &busy{m: New(set, 0), rng: rand.New(rand.NewPCG(1, 1))}
	list := Event{Kind: ListChanged, List: ListComplete}
	for i := range backends {
		list.Entries = append(list.Entries, Entry{Backend: BackendID(i + 1), Cell: CellID(i % (backends / 2))})
	}
	patch := &Overrides{}
	for i := range overrides { // half weights, by backend and index, half pins, by shard and index
		if i%2 == 0 {
			patch.Backends = append(patch.Backends, BackendOverride{Backend: BackendID(i/2%backends + 1), Index: IndexID(i / 2 / backends % 2), Weight: 0.5})
		} else {
			shard := i / 2 % 2500
			patch.Pins = append(patch.Pins, PinOverride{Shard: ShardID(shard), Index: IndexID(i / 2 / 2500 % 2), Backend: BackendID(shard%(backends/2) + 1), Share: 1})
		}
	}
	b.m.Step(0.001, []Event{list, {Kind: OverridesChanged, Override: patch}}, nil)
	for range 2000 {
		b.step()
	}
	return b
}

// step takes two queries of eight parts, and the answers that are due.
func (b *busy) step() {
	b.now += 0.005
	var events []Event
	for len(b.due) > 0 && b.due[0].at <= b.now {
		events = append(events, b.due[0].event)
		b.due = b.due[1:]
	}
	for range 2 {
		b.next++
		no := QueryNo(b.next)
		events = append(events, Event{Kind: QueryReceived, Query: QueryID(b.next), No: no, Subqueries: 8, Remaining: 6})
		for j := range 8 {
			events = append(events, Event{Kind: SubqueryReceived, Subquery: SubqueryID(10*b.next) + SubqueryID(j), No: no, Shard: ShardID(b.rng.IntN(5000)), Weight: 0.125})
		}
	}
	b.buf = b.m.Step(b.now, append(events, Event{Kind: TimerDue, Timer: sweepTimer}), b.buf[:0])
	for _, a := range b.buf {
		if a.Kind == Send {
			b.due = append(b.due, dueEvent{b.now + 0.02, Event{Kind: CallEnded, Subquery: a.Subquery, Backend: a.Backend, Elapsed: 0.02}})
		}
	}
}

// BenchmarkOverrides tells, by turns in one run, what a step costs with 10,000 overrides on 1,000 backends against one
// without any.
func BenchmarkOverrides(b *testing.B) {
	with, without := newBusy(10000), newBusy(0)
	var took [2]time.Duration
	for b.Loop() {
		for i, x := range []*busy{with, without} {
			began := time.Now()
			for range 20 {
				x.step()
			}
			took[i] += time.Since(began)
		}
	}
	b.ReportMetric(float64(took[0])/float64(took[1]), "with/without")
}

// At the end of an out nothing is sent to the backend beyond its window.
func TestReincludedBackendStartsWithTheInitialWindow(t *testing.T) {
	s := newScene(t, nil)
	s.step(0.01, Event{Kind: OverridesChanged, Override: &Overrides{Backends: []BackendOverride{{Backend: 1, Excluded: true, Weight: 1}}}})
	s.m.backends[1].window = 60 // from long ago
	var due []dueEvent
	most := 0
	for step := range 400 {
		var events []Event
		for len(due) > 0 && due[0].at <= s.now {
			events = append(events, due[0].event)
			due = due[1:]
		}
		if step >= 100 && step%50 == 0 {
			w := min(1, 0.05+float64(step-100)/200)
			events = append(events, Event{Kind: OverridesChanged, Override: &Overrides{Backends: []BackendOverride{{Backend: 1, Weight: w}}}})
		}
		s.next++
		no := QueryNo(s.next)
		events = append(events, Event{Kind: QueryReceived, Query: QueryID(s.next), No: no, Subqueries: 6, Remaining: 6})
		for j := range 6 {
			events = append(events, Event{Kind: SubqueryReceived, Subquery: SubqueryID(10*s.next) + SubqueryID(j), No: no, Weight: 1.0 / 6})
		}
		back := s.m.backends[1]
		for _, a := range only(Send, s.step(0.005, events...)) {
			due = append(due, dueEvent{s.now + 0.03, Event{Kind: CallEnded, Subquery: a.Subquery, Backend: a.Backend, Elapsed: 0.03}})
			if a.Backend == 1 && step < 100 {
				t.Fatalf("step %d: a part call to one that is out", step)
			}
		}
		if float64(back.callsInFlight) > max(1, math.Floor(back.window)) {
			t.Fatalf("step %d: %d out, window %g", step, back.callsInFlight, back.window)
		}
		most = max(most, back.callsInFlight)
	}
	if most == 0 {
		t.Fatal("it never came back")
	}
}
