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

// hashActions returns a hash of all actions in simulations with the given number of seeds. The optional extraEvents adds events
// to each step. It gets its own random generator, so that the simulations stay otherwise the same.
func hashActions(seeds uint64, extraEvents func(*simulation, *rand.Rand) []Event) uint64 {
	h := fnv.New64a()
	for seed := range seeds {
		e := newSimulation(seed)
		if rng := rand.New(rand.NewPCG(seed, 8)); extraEvents != nil {
			e.extraEvents = func(e *simulation) []Event { return extraEvents(e, rng) }
		}
		for _, a := range e.run(25).emitted {
			fmt.Fprintln(h, a.Kind, a.Complete, a.On, a.SeparateConnection, a.Query, a.Subquery, a.Backend, a.Call, a.StopAt, a.Wait, a.Timer)
		}
	}
	return h.Sum64()
}

// Overrides equal to the defaults change nothing: a weight of 1, no exclusion, removed pins.
func TestNeutralOverridesChangeNothing(t *testing.T) {
	overridesWithWeight := func(w float64) func(*simulation, *rand.Rand) []Event {
		return func(e *simulation, rng *rand.Rand) []Event {
			if rng.IntN(20) > 0 {
				return nil
			}
			b, index := e.backends[rng.IntN(len(e.backends))], IndexID(rng.IntN(len(e.settings.Indexes)))
			return []Event{{Kind: OverridesChanged, Override: &Overrides{
				Backends: []BackendOverride{{Backend: b.entry.Backend, Index: index, Weight: w}},
				Pins:     []PinOverride{{Shard: ShardID(rng.IntN(40)), Index: index}}}}}
		}
	}
	without := hashActions(20, nil)
	if got := hashActions(20, overridesWithWeight(1)); got != without {
		t.Errorf("got hash %#x of actions with neutral overrides, expected %#x as without overrides", got, without)
	}
	if got := hashActions(20, overridesWithWeight(0.2)); got == without {
		t.Error("got the same actions with weights of 0.2, expected different ones")
	}
}

// overrideChecker records the overrides that a test has passed to an instance and checks the instance's calls against them.
type overrideChecker struct {
	excluded map[BackendID]map[IndexID]bool
	pins     map[pinKey]PinOverride
}

// randomChange records and returns a random change of overrides.
func (o *overrideChecker) randomChange(e *simulation) *Overrides {
	change := &Overrides{}
	simulated, index := e.backends[e.rng.IntN(len(e.backends))], IndexID(e.rng.IntN(len(e.settings.Indexes)))
	if b := e.aggregator.backends[simulated.entry.Backend]; b == nil || b.removed {
		return change // overrides of backends that are not in the list are ignored
	}
	if e.rng.IntN(2) == 0 {
		override := BackendOverride{Backend: simulated.entry.Backend, Index: index, Excluded: e.rng.IntN(3) == 0, Weight: 1 - 0.9*e.rng.Float64()}
		if o.excluded[override.Backend] == nil {
			o.excluded[override.Backend] = map[IndexID]bool{}
		}
		o.excluded[override.Backend][index] = override.Excluded
		change.Backends = append(change.Backends, override)
	} else {
		shard := ShardID(e.rng.IntN(40))
		pin := PinOverride{Shard: shard, Index: index, Backend: simulated.entry.Backend, Strict: e.rng.IntN(2) == 0, Share: 1}
		if e.rng.IntN(3) == 0 {
			pin.Backend = 0
		}
		o.pins[pinKey{shard, index}] = pin
		change.Pins = append(change.Pins, pin)
	}
	return change
}

// check reports a call that an override forbids, whatever the state of the backends.
func (o *overrideChecker) check(e *simulation, a Action) {
	if a.Kind != Send {
		return
	}
	event := e.subqueries[a.Subquery].event
	if o.excluded[a.Backend][event.Index] {
		e.fail("excluded: subquery %d was sent to %d", a.Subquery, a.Backend)
	}
	pin := o.pins[pinKey{event.Shard, event.Index}]
	if pin.Backend == 0 || !pin.Strict || pin.Backend == a.Backend || o.excluded[pin.Backend][event.Index] {
		return
	}
	if b := e.backendByID(pin.Backend); b.reportedPhase != Draining { // the reported phase, as a failed list reports no change
		e.fail("strict pin: subquery %d was sent to %d and not to %d", a.Subquery, a.Backend, pin.Backend)
	}
}

// runWithOverrides runs a simulation with random overrides. The function deliver returns the change that reaches the instance.
func runWithOverrides(seed uint64, deliver func(*Overrides) *Overrides) error {
	e := newSimulation(seed)
	checker := &overrideChecker{excluded: map[BackendID]map[IndexID]bool{}, pins: map[pinKey]PinOverride{}}
	e.extraEvents = func(e *simulation) (events []Event) {
		if e.rng.IntN(20) == 0 {
			events = append(events, Event{Kind: OverridesChanged, Override: deliver(checker.randomChange(e))})
		}
		return events
	}
	e.onRemoved = func(id BackendID) { delete(checker.excluded, id) }
	e.interceptActions = func(e *simulation, actions []Action) []Action {
		for _, a := range actions {
			checker.check(e, a)
		}
		return actions
	}
	return e.run(25).err
}

// With any overrides, the six rules hold. An excluded backend gets no call from the next step on. Subqueries with a strict pin
// go to other backends only while the pinned backend drains or is excluded.
func FuzzOverrides(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		if err := runWithOverrides(seed, func(o *Overrides) *Overrides { return o }); err != nil {
			t.Fatal(err)
		}
	})
}

// Verifies that each check of overrides can fail, by not passing some overrides to the instance.
func TestCheckerFindsIgnoredOverrides(t *testing.T) {
	for message, deliver := range map[string]func(*Overrides) *Overrides{
		"excluded:":   func(o *Overrides) *Overrides { return &Overrides{Pins: o.Pins} },
		"strict pin:": func(o *Overrides) *Overrides { return &Overrides{Backends: o.Backends} },
	} {
		detected := 0
		for seed := range uint64(20) {
			if err := runWithOverrides(seed, deliver); err != nil && strings.Contains(err.Error(), message) {
				detected++
			}
		}
		if detected == 0 {
			t.Errorf("%s no run detected the violation", message)
		}
	}
}

// countCalls runs a steady load on 8 backends, with two replicas of each shard, and returns the number of calls to each backend.
func countCalls(t *testing.T, seed uint64, meanInterval float64, change *Overrides) (sent map[BackendID]float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	sent = map[BackendID]float64{}
	var entries []Entry
	for i := range 8 {
		entries = append(entries, Entry{Backend: BackendID(i + 1), Cell: CellID(i), Location: LocationID(i % 2)})
	}
	s := newFixture(t, func(set *Settings) {
		set.Seed, set.Layout, set.Prices.CrossLocation = seed, Layout{Cells: 8, Width: 2}, 0.04
	}, entries...)
	if change != nil {
		s.step(0.005, Event{Kind: OverridesChanged, Override: change})
	}
	type end struct {
		at    float64
		event Event
	}
	var scheduled []end
	for next := s.now; s.now < 60; {
		s.now += 0.005
		var events []Event
		remaining := scheduled[:0]
		for _, d := range scheduled {
			if d.at <= s.now {
				events = append(events, d.event)
			} else {
				remaining = append(remaining, d)
			}
		}
		scheduled = remaining
		for ; next < s.now; next += meanInterval * rng.ExpFloat64() {
			s.lastID++
			number := QueryNumber(s.lastID)
			events = append(events, Event{Kind: QueryReceived, Query: QueryID(s.lastID), QueryNumber: number, Subqueries: 4, Remaining: 6})
			for j := range 4 {
				events = append(events, Event{Kind: SubqueryReceived, Subquery: SubqueryID(10*s.lastID) + SubqueryID(j), QueryNumber: number,
					Shard: ShardID(rng.IntN(8)), Weight: 0.25})
			}
		}
		for _, a := range s.aggregator.Step(s.now, append(events, Event{Kind: TimerDue, Timer: sweepTimer}), nil) {
			switch a.Kind {
			case Send:
				sent[a.Backend]++
				elapsed := 0.01 + 0.01*rng.Float64()
				scheduled = append(scheduled, end{s.now + elapsed, Event{Kind: CallEnded, Subquery: a.Subquery, Backend: a.Backend, Elapsed: elapsed}})
			case Nack, Abort:
				t.Fatalf("at %g: %+v", s.now, a)
			}
		}
	}
	return sent
}

// With a weight, a backend gets that share of its usual calls, at any load at which its siblings have capacity.
func TestWeightSetsTheShareOfUsualCalls(t *testing.T) {
	for meanInterval, seeds := range map[float64]uint64{0.2: 6, 0.02: 1, 0.01: 1} {
		withoutWeight := 0.0
		for seed := range seeds {
			withoutWeight += countCalls(t, seed, meanInterval, nil)[3]
		}
		for _, w := range []float64{0.1, 0.25, 0.5} {
			withWeight := 0.0
			for seed := range seeds {
				withWeight += countCalls(t, seed, meanInterval, &Overrides{Backends: []BackendOverride{{Backend: 3, Weight: w}}})[3]
			}
			t.Logf("mean interval %g: %g of %g calls, expected a share of %g, got %.3f", meanInterval, withWeight, withoutWeight, w, withWeight/withoutWeight)
			if got := withWeight / withoutWeight; math.Abs(got-w) > 0.15*w {
				t.Errorf("mean interval %g: a weight of %g gives %.3f of the usual calls", meanInterval, w, got)
			}
		}
	}
}

func TestExclusionAndPinApplyToAllCalls(t *testing.T) {
	sent := countCalls(t, 1, 0.01, &Overrides{Backends: []BackendOverride{{Backend: 3, Excluded: true, Weight: 1}},
		Pins: []PinOverride{{Shard: 5, Backend: 7, Share: 1}, {Shard: 6, Backend: 7, Share: 1}}})
	usual := countCalls(t, 1, 0.01, nil)
	all := 0.0
	for _, n := range usual {
		all += n
	}
	if sent[3] != 0 {
		t.Fatalf("%g calls were sent to an excluded backend", sent[3])
	}
	if got := sent[7] / all; got < 2.0/8-0.01 { // all calls of two of the eight shards
		t.Fatalf("a share of %.3f of all calls was sent to the backend to which two of eight shards are pinned", got)
	}
}

// Tests a pin whose backend drains, is removed, excluded or in slow start.
func TestPinToABackendThatCannotServe(t *testing.T) {
	for name, c := range map[string]struct {
		phase     Phase
		strict    bool
		excluded  bool
		startedAt float64
		expected  BackendID // 0: rejected immediately
		pending   bool
	}{
		"serves":                   {expected: 1},
		"drains":                   {phase: Draining, expected: 2},
		"drains, strict":           {phase: Draining, strict: true, expected: 2},
		"is removed":               {phase: Removed, expected: 2},
		"is removed, strict":       {phase: Removed, strict: true},
		"is excluded":              {excluded: true, expected: 2},
		"is excluded, strict":      {excluded: true, strict: true, expected: 2},
		"is in slow start":         {startedAt: 0.01, expected: 2},
		"is in slow start, strict": {startedAt: 0.01, strict: true, pending: true},
	} {
		s := newFixture(t, func(set *Settings) {
			set.Rules = Rules{SlowStartShare: 0.1, SlowStartS: 100, OverloadMultiple: 2, OverloadWindowS: 1}
		})
		change := &Overrides{Pins: []PinOverride{{Shard: 0, Backend: 1, Strict: c.strict, Share: 1}}}
		if c.excluded {
			change.Backends = []BackendOverride{{Backend: 1, Excluded: true, Weight: 1}}
		}
		s.step(0.01, Event{Kind: OverridesChanged, Override: change},
			Event{Kind: ListChanged, Entries: []Entry{{Backend: 1, Phase: c.phase, StartedAt: c.startedAt}}})
		_, actions := s.receive(6, 3) // more work than the share of a backend in slow start
		sends, nacks := ofKind(Send, actions), ofKind(Nack, actions)
		switch {
		case c.pending:
			if len(sends)+len(nacks) > 0 {
				t.Errorf("%s: got %+v, expected neither a call nor a nack", name, actions)
			}
		case c.expected == 0:
			if len(sends) > 0 || len(nacks) != 1 {
				t.Errorf("%s: got %+v, expected an immediate nack", name, actions)
			}
		case len(sends) != 1 || sends[0].Backend != c.expected:
			t.Errorf("%s: got %+v, expected a call to %d", name, actions, c.expected)
		}
	}
}

// Subqueries pending for a backend that is excluded move to a sibling in the same step. Calls in flight end normally.
func TestPendingSubqueriesLeaveAnExcludedBackend(t *testing.T) {
	s := newFixture(t, nil)
	hints := make([]float64, 24) // more than the windows of both backends permit
	subqueries, queue := s.receive(6, hints...)
	s.step(0.005, Event{Kind: OverridesChanged, Override: &Overrides{Backends: []BackendOverride{{Backend: 1, Excluded: true, Weight: 1}}}})
	for len(queue) > 0 {
		a := queue[0]
		queue = append(queue[1:], ofKind(Send, s.endCall(0.001, a.Subquery, a.Backend, Answered, 0.01))...)
		if a.Kind != Send {
			continue
		}
		for _, b := range queue[max(0, len(queue)-1):] {
			if b.Backend == 1 && s.now > 0.03 {
				t.Fatalf("at %g a subquery was sent to the excluded backend", s.now)
			}
		}
	}
	if p := s.aggregator.subqueries[subqueries[len(subqueries)-1]]; p != nil {
		t.Fatalf("the last subquery did not end: %+v", p)
	}
}

// A backend excluded from all indexes gets no calls, so it is not probed even if it is unresponsive. When the exclusion ends,
// calls and probes sent before must not make it count as unresponsive or unreachable.
func TestExcludedBackendIsNotProbed(t *testing.T) {
	s := newFixture(t, func(set *Settings) { set.Limits.Probe = true })
	warmUp(s)
	for range 4 { // each backend gets some calls and never answers them
		s.receive(6, 1, 1)
	}
	setExcluded := func(excluded bool) Event {
		return Event{Kind: OverridesChanged, Override: &Overrides{Backends: []BackendOverride{{Backend: 1, Excluded: excluded, Weight: 1}}}}
	}
	s.step(0.005, setExcluded(true))
	probed := map[BackendID]int{}
	for range 200 {
		for _, a := range ofKind(Probe, s.tick(0.02)) {
			probed[a.Backend]++
			s.step(0.001, Event{Kind: ProbeEnded, Backend: a.Backend, Outcome: TimedOut})
		}
	}
	if probed[1] > 0 || probed[2] == 0 {
		t.Fatalf("probed %v", probed)
	}
	for _, c := range slices.Clone(s.aggregator.backends[1].calls) {
		s.step(0.001, Event{Kind: CallEnded, Subquery: c.subquery.id, Call: c.number, Backend: 1, Outcome: Canceled})
	}
	s.step(0.005, setExcluded(false))
	if s.tick(0.02); !usable(s.aggregator.backends[1]) {
		t.Fatal("the backend is no longer excluded, but counts as unreachable")
	}
}

// loadedAggregator is an instance with 1,000 backends under a steady load, with settled estimates.
type loadedAggregator struct {
	aggregator *Aggregator
	rng        *rand.Rand
	now        float64
	lastID     uint64
	scheduled  []scheduledEvent
	actions    []Action
}

func newLoadedAggregator(overrides int) *loadedAggregator {
	const backends = 1000
	settings := Settings{Seed: 1, Aggregators: 1, StepInterval: 0.005, Layout: Layout{Cells: backends / 2, Width: 1},
		Indexes: []IndexSettings{{Soft: 2, Hard: 6, Value: 1, Required: 1, Minimum: 1}, {Soft: 2, Hard: 6, Value: 1, Required: 1, Minimum: 1}},
		Limits:  Limits{Cancel: true, MaxAttempts: 3}}
	b := &loadedAggregator{aggregator: New(settings, 0), rng: rand.New(rand.NewPCG(1, 1))}
	list := Event{Kind: ListChanged, List: ListComplete}
	for i := range backends {
		list.Entries = append(list.Entries, Entry{Backend: BackendID(i + 1), Cell: CellID(i % (backends / 2))})
	}
	change := &Overrides{}
	for i := range overrides { // alternately a weight for a backend and index and a pin for a shard and index
		if i%2 == 0 {
			change.Backends = append(change.Backends, BackendOverride{Backend: BackendID(i/2%backends + 1), Index: IndexID(i / 2 / backends % 2), Weight: 0.5})
		} else {
			shard := i / 2 % 2500
			change.Pins = append(change.Pins, PinOverride{Shard: ShardID(shard), Index: IndexID(i / 2 / 2500 % 2), Backend: BackendID(shard%(backends/2) + 1), Share: 1})
		}
	}
	b.aggregator.Step(0.001, []Event{list, {Kind: OverridesChanged, Override: change}}, nil)
	for range 2000 {
		b.step()
	}
	return b
}

// step advances the time and passes two queries of eight subqueries each and all due answers to the instance.
func (b *loadedAggregator) step() {
	b.now += 0.005
	var events []Event
	for len(b.scheduled) > 0 && b.scheduled[0].at <= b.now {
		events = append(events, b.scheduled[0].event)
		b.scheduled = b.scheduled[1:]
	}
	for range 2 {
		b.lastID++
		queryNumber := QueryNumber(b.lastID)
		events = append(events, Event{Kind: QueryReceived, Query: QueryID(b.lastID), QueryNumber: queryNumber, Subqueries: 8, Remaining: 6})
		for j := range 8 {
			events = append(events, Event{Kind: SubqueryReceived, Subquery: SubqueryID(10*b.lastID) + SubqueryID(j), QueryNumber: queryNumber, Shard: ShardID(b.rng.IntN(5000)), Weight: 0.125})
		}
	}
	b.actions = b.aggregator.Step(b.now, append(events, Event{Kind: TimerDue, Timer: sweepTimer}), b.actions[:0])
	for _, a := range b.actions {
		if a.Kind == Send {
			b.scheduled = append(b.scheduled, scheduledEvent{b.now + 0.02, Event{Kind: CallEnded, Subquery: a.Subquery, Backend: a.Backend, Elapsed: 0.02}})
		}
	}
}

// BenchmarkOverrides reports the ratio of the time of a step with 10,000 overrides on 1,000 backends to that of a step without
// overrides. Both are measured alternately in one run.
func BenchmarkOverrides(b *testing.B) {
	with, without := newLoadedAggregator(10000), newLoadedAggregator(0)
	var elapsed [2]time.Duration
	for b.Loop() {
		for i, l := range []*loadedAggregator{with, without} {
			start := time.Now()
			for range 20 {
				l.step()
			}
			elapsed[i] += time.Since(start)
		}
	}
	b.ReportMetric(float64(elapsed[0])/float64(elapsed[1]), "with/without")
}

// After the end of an exclusion, the calls in flight to the backend never exceed its window.
func TestReincludedBackendStartsWithTheInitialWindow(t *testing.T) {
	s := newFixture(t, nil)
	s.step(0.01, Event{Kind: OverridesChanged, Override: &Overrides{Backends: []BackendOverride{{Backend: 1, Excluded: true, Weight: 1}}}})
	s.aggregator.backends[1].window = 60 // an outdated value
	var scheduled []scheduledEvent
	maxInFlight := 0
	for step := range 400 {
		var events []Event
		for len(scheduled) > 0 && scheduled[0].at <= s.now {
			events = append(events, scheduled[0].event)
			scheduled = scheduled[1:]
		}
		if step >= 100 && step%50 == 0 {
			weight := min(1, 0.05+float64(step-100)/200)
			events = append(events, Event{Kind: OverridesChanged, Override: &Overrides{Backends: []BackendOverride{{Backend: 1, Weight: weight}}}})
		}
		s.lastID++
		number := QueryNumber(s.lastID)
		events = append(events, Event{Kind: QueryReceived, Query: QueryID(s.lastID), QueryNumber: number, Subqueries: 6, Remaining: 6})
		for j := range 6 {
			events = append(events, Event{Kind: SubqueryReceived, Subquery: SubqueryID(10*s.lastID) + SubqueryID(j), QueryNumber: number, Weight: 1.0 / 6})
		}
		b := s.aggregator.backends[1]
		for _, a := range ofKind(Send, s.step(0.005, events...)) {
			scheduled = append(scheduled, scheduledEvent{s.now + 0.03, Event{Kind: CallEnded, Subquery: a.Subquery, Backend: a.Backend, Elapsed: 0.03}})
			if a.Backend == 1 && step < 100 {
				t.Fatalf("step %d: sent a call to an excluded backend", step)
			}
		}
		if float64(b.callsInFlight) > max(1, math.Floor(b.window)) {
			t.Fatalf("step %d: %d calls in flight, window %g", step, b.callsInFlight, b.window)
		}
		maxInFlight = max(maxInFlight, b.callsInFlight)
	}
	if maxInFlight == 0 {
		t.Fatal("the backend got no calls after the end of the exclusion")
	}
}
