package override

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"puffinlink.example/puffinlink/internal/raceflag"
	"puffinlink.example/puffinlink/policy"
)

// model is a simple reference implementation of the rules. It searches lists, has no indexes and does not remember what it
// reported before.
type model struct {
	overrides         []Override
	listed            map[string]Member
	leftWhileDraining map[string]bool // backends that left the list while draining
}

func (m *model) covers(o Override, index string) bool { return o.Index == "" || o.Index == index }

// best returns the override of a kind with the highest priority among those that match.
func (m *model) best(kind Kind, index string, match func(Override) bool) *Override {
	var found *Override
	for i := range m.overrides {
		o := &m.overrides[i]
		if o.Kind != kind || !m.covers(*o, index) || !match(*o) {
			continue
		}
		if found == nil || found.Index == "" && o.Index != "" || (found.Index == "") == (o.Index == "") && o.ID > found.ID {
			found = o
		}
	}
	return found
}

func (m *model) weight(name, index string) float64 {
	matchesBackend := func(o Override) bool { return o.Backend == name }
	matchesLocation := func(o Override) bool { return o.Location == m.listed[name].Location }
	f := 1.0
	for _, match := range []func(Override) bool{matchesLocation, matchesBackend} {
		if m.best(OutOfService, index, match) != nil {
			return 0
		}
		if w := m.best(Weight, index, match); w != nil {
			f *= w.Factor
		}
	}
	return f
}

const cellCount, replicaCells = 3, 2

func holdsShard(cell policy.CellID, s policy.ShardID) bool {
	for j := range replicaCells {
		if (int(s)+j)%cellCount == int(cell) {
			return true
		}
	}
	return false
}

// pin returns the backend that a shard is pinned to, or "" if no pin is in effect.
func (m *model) pin(s policy.ShardID, index string) (to string) {
	o := m.best(Pin, index, func(o Override) bool { return o.From <= s && s <= o.To })
	if o == nil {
		return ""
	}
	e, listed := m.listed[o.Backend]
	switch {
	case !listed && m.leftWhileDraining[o.Backend], !listed && !o.Strict:
		return ""
	case listed && (e.Phase == policy.Draining || !holdsShard(e.Cell, s) || m.weight(o.Backend, index) == 0):
		return ""
	}
	return o.Backend
}

// forgetLeftWhileDraining deletes the backends that left while draining and have no pin any more. That a backend left while draining
// matters only to the pins that were live at that time.
func (m *model) forgetLeftWhileDraining() {
	for name := range m.leftWhileDraining {
		if !slices.ContainsFunc(m.overrides, func(o Override) bool { return o.Kind == Pin && o.Backend == name }) {
			delete(m.leftWhileDraining, name)
		}
	}
}

func (m *model) isRouted(name string, s policy.ShardID, index string) bool {
	e, listed := m.listed[name]
	pin := m.pin(s, index)
	return listed && e.Phase == policy.Ready && holdsShard(e.Cell, s) && m.weight(name, index) > 0 && (pin == "" || pin == name)
}

// comparison runs a table and the model side by side. It also holds the state that a decision module derives from the patches.
type comparison struct {
	*Table
	model
	now      float64
	indexes  []string
	notified map[policy.BackendID]map[policy.IndexID]policy.BackendOverride
	pins     map[pinKey]policy.PinOverride
	nextID   policy.BackendID
	err      error
}

func newComparison() *comparison {
	limits := Defaults()
	limits.Indexes, limits.Shards, limits.Cells, limits.Width = []string{"reads", "orders"}, 4, cellCount, replicaCells
	limits.MaxDuration, limits.MaxOverrides = 100, 6
	w := &comparison{Table: New(limits), now: 1000, indexes: limits.Indexes, notified: map[policy.BackendID]map[policy.IndexID]policy.BackendOverride{},
		pins: map[pinKey]policy.PinOverride{}, model: model{listed: map[string]Member{}, leftWhileDraining: map[string]bool{}}}
	for i := range 4 {
		w.setPhase(i, policy.Ready)
	}
	return w
}

func backendName(i int) string { return fmt.Sprintf("s-%d", i) }

func (w *comparison) setPhase(backend int, phase policy.Phase) {
	e, listed := w.listed[backendName(backend)]
	switch {
	case phase == policy.Removed:
		if listed {
			w.leftWhileDraining[backendName(backend)] = e.Phase == policy.Draining
			w.forgetLeftWhileDraining()
			delete(w.listed, backendName(backend))
		}
		w.checkEnded(w.UpdateMembership(w.now, false, []Member{{Name: backendName(backend), Phase: policy.Removed}}))
		return
	case !listed:
		w.nextID++
		e = Member{Name: backendName(backend), ID: w.nextID, Location: []string{"north", "south"}[backend%2], Cell: policy.CellID(backend % cellCount)}
	}
	e.Phase = phase
	w.listed[e.Name] = e
	delete(w.leftWhileDraining, e.Name)
	w.checkEnded(w.UpdateMembership(w.now, false, []Member{e}))
}

func (w *comparison) restart(backend int) {
	if e, listed := w.listed[backendName(backend)]; listed {
		e.StartedAt = w.now
		w.listed[backendName(backend)] = e
		w.checkEnded(w.UpdateMembership(w.now, false, []Member{e}))
		w.overrides = slices.DeleteFunc(w.overrides, func(o Override) bool { return o.UntilRestart && o.Backend == e.Name && o.BackendStartedAt < w.now })
	}
}

func (w *comparison) checkEnded(ended []Change) {
	for _, c := range ended {
		if c.Kind != EndedByRestart {
			w.fail("membership update ended %+v", c)
		}
	}
}

func (w *comparison) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("at %g: %s", w.now, fmt.Sprintf(format, args...))
	}
}

func (w *comparison) command(c Command) error {
	c.ExpectedRevision = w.Revision()
	change, _, err := w.Decide(w.now, &c)
	if err != nil {
		return err
	}
	w.Reserve(change)
	w.Apply(change)
	if c.Op == Set {
		w.overrides = append(w.overrides, change.Override)
	} else {
		w.overrides = slices.DeleteFunc(w.overrides, func(o Override) bool { return o.ID == c.ID })
		w.forgetLeftWhileDraining()
	}
	return nil
}

// advanceClock advances the clock by dt, in steps that stop at each deadline of the table, and applies the patches.
func (w *comparison) advanceClock(dt float64) {
	for end, firstStep := w.now+dt, true; ; firstStep = false {
		w.Expire(w.now)
		w.overrides = slices.DeleteFunc(w.overrides, func(o Override) bool { return o.ExpiresAt <= w.now })
		w.forgetLeftWhileDraining()
		w.applyPatch(w.Patch(w.now))
		if firstStep || w.now >= end { // in between, only recoveries advance
			w.check()
		}
		if w.now >= end || w.err != nil {
			return
		}
		w.now = min(end, max(w.NextDeadline(w.now), w.now+1e-6))
	}
}

func (w *comparison) applyPatch(patch *policy.Overrides) {
	if patch == nil {
		return
	}
	for _, s := range patch.Backends {
		if w.notified[s.Backend] == nil {
			w.notified[s.Backend] = map[policy.IndexID]policy.BackendOverride{}
		}
		previous, known := w.notified[s.Backend][s.Index]
		if !known {
			previous.Weight = 1
		} else if previous.Excluded {
			previous.Weight = 0
		}
		if rise := s.Weight - previous.Weight; !s.Excluded && rise > 0.13 {
			w.fail("the weight of backend %d rises by %.2f in one step", s.Backend, rise)
		}
		w.notified[s.Backend][s.Index] = s
	}
	for _, p := range patch.Pins {
		w.pins[pinKey{p.Shard, p.Index}] = p
	}
}

// check compares the state derived from the patches with the model. Out-of-service overrides and pins must match at once.
// Weights must never exceed those of the model.
func (w *comparison) check() {
	for i := range 4 {
		for k, index := range w.indexes {
			e, listed := w.listed[backendName(i)]
			if !listed {
				continue
			}
			want := w.weight(e.Name, index)
			got, known := w.notified[e.ID][policy.IndexID(k)]
			if !known {
				got.Weight = 1
			}
			if got.Excluded != (want == 0) || !got.Excluded && got.Weight > want+1e-9 {
				w.fail("%s, %s: notified of %+v, expected %g", e.Name, index, got, want)
			}
			for s := range policy.ShardID(4) {
				x, err := w.Explain(s, index, e.Name)
				if err != nil || x.Routed != w.isRouted(e.Name, s, index) {
					w.fail("shard %d, %s, %s: explained as %+v, %v; expected %t", s, index, e.Name, x, err, w.isRouted(e.Name, s, index))
				}
			}
		}
	}
	for s := range policy.ShardID(4) {
		for k, index := range w.indexes {
			want, got := w.pin(s, index), w.pins[pinKey{s, policy.IndexID(k)}]
			expectedID := w.listed[want].ID
			if e, listed := w.listed[want]; want != "" && !listed {
				expectedID = unassignedBackendID
			} else if listed && e.Phase == policy.Removed {
				expectedID = 0
			}
			if want != "" && got.Backend != 0 && got.Backend != expectedID {
				w.fail("shard %d, %s: pinned to %d, expected %d", s, index, got.Backend, expectedID)
			}
		}
	}
}

// checkSettled checks that all recoveries have ended and that the weights and pins match the model exactly.
func (w *comparison) checkSettled() {
	for _, e := range w.listed {
		for k, index := range w.indexes {
			got, known := w.notified[e.ID][policy.IndexID(k)]
			if want := w.weight(e.Name, index); known && !got.Excluded && math.Abs(got.Weight-want) > 1e-9 {
				w.fail("%s, %s: settled at %g, expected %g", e.Name, index, got.Weight, want)
			}
		}
	}
	for s := range policy.ShardID(4) {
		for k, index := range w.indexes {
			got, pin := w.pins[pinKey{s, policy.IndexID(k)}], w.pin(s, index)
			if (pin != "") != (got.Backend != 0) || pin != "" && got.Share != 1 {
				w.fail("shard %d, %s: settled at %+v, expected %q", s, index, got, pin)
			}
		}
	}
	if r := w.Recoveries(); len(r) > 0 {
		w.fail("recoveries have not ended: %+v", r)
	}
}

// perform executes one of 52 actions: 13 kinds of actions on each of 4 backends.
func (w *comparison) perform(action int) {
	i := action / 13 % 4
	spec := Spec{Backend: backendName(i), Author: "ann", Reason: "slow", ExpiresAt: w.now + 40}
	switch action % 13 {
	case 0:
		spec.Kind = OutOfService
	case 1:
		spec.Kind, spec.Factor = Weight, 0.25
	case 2:
		spec.Kind, spec.Factor, spec.Index = Weight, 0.5, "orders"
	case 3:
		spec.Kind, spec.From, spec.To = Pin, 1, 2
	case 4:
		spec.Kind, spec.From, spec.To, spec.Strict, spec.Index = Pin, 2, 2, true, "reads"
	case 5:
		spec.Kind, spec.Backend, spec.Location, spec.Factor = Weight, "", []string{"north", "south"}[i%2], 0.5
	case 6:
		spec.Kind, spec.Backend, spec.Location, spec.Index = OutOfService, "", []string{"north", "south"}[i%2], "reads"
	case 7:
		spec.Kind, spec.UntilRestart = OutOfService, true
	case 8:
		w.setPhase(i, policy.Draining)
		return
	case 9:
		w.setPhase(i, policy.Removed)
		return
	case 10:
		w.setPhase(i, policy.Ready)
		return
	case 11:
		w.restart(i)
		return
	case 12:
		if len(w.overrides) > 0 {
			w.command(Command{Op: Clear, ID: w.overrides[i%len(w.overrides)].ID, Author: "ann", Reason: "done"})
		}
		return
	}
	w.command(Command{Spec: spec, Force: true})
}

func (w *comparison) run(t *testing.T, actions []int, pause func() float64) {
	for _, no := range actions {
		w.perform(no)
		w.advanceClock(pause())
	}
	w.advanceClock(200)
	w.checkSettled()
	if w.err != nil {
		t.Fatalf("%v: %v", actions, w.err)
	}
}

func TestRandomHistoriesMatchTheModel(t *testing.T) {
	histories := 100_000
	if testing.Short() || raceflag.Enabled {
		histories = 3_000 // the package starts no goroutines, so the race detector has nothing to find
	}
	for seed := range uint64(histories) {
		rng := rand.New(rand.NewPCG(seed, 3))
		actions := make([]int, 3+rng.IntN(8))
		for i := range actions {
			actions[i] = rng.IntN(52)
		}
		newComparison().run(t, actions, func() float64 { return []float64{0, 0.5, 3, 50}[rng.IntN(4)] })
	}
}

// Runs every history of two actions on any backends. Also runs every history of three actions where the first is on backend
// 0 and the others are on backend 0 or 1, which share shards.
func TestAllShortHistoriesMatchTheModel(t *testing.T) {
	for a := range 52 {
		for b := range 52 {
			newComparison().run(t, []int{a, b}, func() float64 { return 1 })
		}
	}
	if raceflag.Enabled {
		return
	}
	for a := range 13 {
		for b := range 26 {
			for c := range 26 {
				newComparison().run(t, []int{a, b, c}, func() float64 { return 0 })
			}
		}
	}
}

func FuzzHistories(f *testing.F) {
	f.Add([]byte{0, 13, 26, 12, 10})
	f.Add([]byte{3, 8, 9, 10, 16})
	f.Fuzz(func(t *testing.T, actions []byte) {
		if len(actions) > 30 {
			return
		}
		var actionNumbers []int
		for _, a := range actions {
			actionNumbers = append(actionNumbers, int(a)%52)
		}
		newComparison().run(t, actionNumbers, func() float64 { return 2 })
	})
}

func refusalCode(err error) Code {
	if r := (*Refusal)(nil); errors.As(err, &r) {
		return r.Code
	}
	return ""
}

func TestInvalidCommandsAreRefusedAndGuardRailsYieldToForce(t *testing.T) {
	good := Spec{Backend: "s-0", Author: "ann", Reason: "slow", ExpiresAt: 1040}
	for want, c := range map[string]struct {
		code   Code
		change func(*Spec, *comparison)
	}{
		"weight is 0":             {Invalid, func(s *Spec, _ *comparison) { s.Kind = Weight }},
		"weight is 1.5":           {Invalid, func(s *Spec, _ *comparison) { s.Factor = 1.5 }},
		"weight is NaN":           {Invalid, func(s *Spec, _ *comparison) { s.Factor = math.NaN() }},
		"either a searcher or":    {Invalid, func(s *Spec, _ *comparison) { s.Location = "north" }},
		"author has 0 bytes":      {Invalid, func(s *Spec, _ *comparison) { s.Author = "" }},
		"reason has 201 bytes":    {Invalid, func(s *Spec, _ *comparison) { s.Reason = strings.Repeat("x", 201) }},
		`index "read" is not one`: {Invalid, func(s *Spec, _ *comparison) { s.Index = "read" }},
		"expected an end to come": {Invalid, func(s *Spec, _ *comparison) { s.ExpiresAt = 1000 }},
		"at most 100 s":           {Invalid, func(s *Spec, _ *comparison) { s.ExpiresAt = 1101 }},
		"ends NaN":                {Invalid, func(s *Spec, _ *comparison) { s.ExpiresAt = math.NaN() }},
		"shards 3 to 9":           {Invalid, func(s *Spec, _ *comparison) { s.Kind, s.Factor, s.From, s.To = Pin, 0, 3, 9 }},
		"belong to a pin":         {Invalid, func(s *Spec, _ *comparison) { s.Strict = true }},
		"does not name \"s-9\"":   {Absent, func(s *Spec, _ *comparison) { s.Backend = "s-9" }},
		"holds no shard 1":        {NotAReplica, func(s *Spec, _ *comparison) { s.Kind, s.Factor, s.From, s.To = Pin, 0, 0, 1 }},
		"no listed searcher":      {Absent, func(s *Spec, _ *comparison) { s.Backend, s.Location = "", "west" }},
		"nobody who serves": {LastReplica, func(s *Spec, w *comparison) {
			w.setPhase(2, policy.Draining)
			s.Kind, s.Factor, s.Backend = OutOfService, 0, "s-1"
		}},
		"of shard":           {ShardCapacity, func(s *Spec, w *comparison) { w.setPhase(2, policy.Draining); s.Factor, s.Backend = 0.3, "s-1" }},
		"of location":        {LocationCapacity, func(s *Spec, _ *comparison) { s.Backend, s.Location, s.Factor = "", "north", 0.4 }},
		"needs one searcher": {Invalid, func(s *Spec, _ *comparison) { s.Backend, s.UntilRestart = "s-9", true }},
	} {
		w, spec := newComparison(), good
		if spec.Factor = 0.6; c.code == Invalid || c.code == Absent {
			spec.Factor = 0.6
		}
		if c.change(&spec, w); want == "weight is 0" {
			spec.Factor = 0
		}
		err := w.command(Command{Spec: spec})
		if refusalCode(err) != c.code || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, expected %s: ... %s", err, c.code, want)
		}
		if err := w.command(Command{Spec: spec, Force: true}); (err == nil) != forceableCodes[c.code] {
			t.Errorf("%s: forced, got %v", want, err)
		}
	}
}

func TestRevisionConflictsAndRepeatedKeysAreDetected(t *testing.T) {
	w := newComparison()
	c := Command{Key: "k1", ExpectedRevision: 0, Spec: Spec{Kind: OutOfService, Backend: "s-0", Author: "ann", Reason: "slow", ExpiresAt: 1050}}
	change, repeated, err := w.Decide(w.now, &c)
	if err != nil || repeated || change.Revision != 1 {
		t.Fatalf("got %+v, %t, %v", change, repeated, err)
	}
	w.Reserve(change)
	if _, _, err := w.Decide(w.now, &Command{ExpectedRevision: 0, Spec: c.Spec}); refusalCode(err) != Conflict {
		t.Fatalf("command during the storing of another: got %v, expected a conflict", err)
	}
	w.Apply(change)
	if second, again, err := w.Decide(w.now+1, &c); err != nil || !again || second.Revision != 1 || len(w.LiveOverrides()) != 1 {
		t.Fatalf("second copy of a command: got %+v, %t, %v", second, again, err)
	}
	c.Reason = "other"
	if _, _, err := w.Decide(w.now, &c); refusalCode(err) != KeyReused {
		t.Fatalf("got %v", err)
	}
	if _, _, err := w.Decide(w.now, &Command{ExpectedRevision: 1, Op: Clear, ID: 7, Author: "ann", Reason: "done"}); refusalCode(err) != Unknown {
		t.Fatalf("got %v", err)
	}
	restored := New(w.limits)
	if ended := restored.Restore(w.now+10, 1, w.LiveOverrides(), []Change{change}); len(ended) > 0 || len(restored.LiveOverrides()) != 1 {
		t.Fatalf("restored %+v, ended %+v", restored.LiveOverrides(), ended)
	}
	c.Reason = ""
	if _, again, err := restored.Decide(w.now, &c); err != nil || !again {
		t.Fatalf("second copy after a restart: got %t, %v", again, err)
	}
	if ended := New(w.limits).Restore(w.now+60, 1, w.LiveOverrides(), nil); len(ended) != 1 || ended[0].Kind != Expired || ended[0].Revision != 2 {
		t.Fatalf("got %+v", ended)
	}
}

// When many overrides end at once, the backends together recover no faster than RecoveryRate allows.
func TestManySimultaneousExpiriesRecoverGradually(t *testing.T) {
	lim := Defaults()
	lim.Indexes, lim.Shards, lim.Cells, lim.Width, lim.MaxLocationLoss, lim.MaxShardLoss = []string{"reads"}, 300, 300, 2, 1, 1
	table := New(lim)
	var members []Member
	for i := range 300 {
		members = append(members, Member{Name: backendName(i), ID: policy.BackendID(i + 1), Cell: policy.CellID(i)})
	}
	table.UpdateMembership(0, true, members)
	for i := range 200 {
		c := Command{ExpectedRevision: table.Revision(), Force: true, Spec: Spec{Kind: OutOfService, Backend: backendName(i), Author: "ann", Reason: "slow", ExpiresAt: 100}}
		change, _, err := table.Decide(1, &c)
		if err != nil {
			t.Fatal(err)
		}
		table.Apply(change)
	}
	table.Patch(1)
	totalLevel := func() (sum float64) {
		for _, m := range table.members {
			sum += m.levels[0].current
		}
		return sum
	}
	if got := totalLevel(); got != 100 {
		t.Fatalf("%g of 300 are in service, expected 100", got)
	}
	table.Expire(100)
	table.Patch(100)
	inService, elapsed := totalLevel(), 0.0
	if inService > 100+200*initialRecoveryLevel {
		t.Fatalf("%g of 300 are in service at the first step", inService)
	}
	for now := 100 + recoveryInterval; len(table.recovering) > 0; now += recoveryInterval {
		table.Patch(now)
		if got := totalLevel(); got-inService > 300*lim.RecoveryRate*recoveryInterval+1e-6 {
			t.Fatalf("at %g s, %g recovered in one step", now, got-inService)
		} else {
			inService = got
		}
		elapsed = now - 100
	}
	t.Logf("200 of 300 recovered in %g s", elapsed)
	if inService != 300 || elapsed > 25 {
		t.Fatalf("%g of 300 are in service after %g s", inService, elapsed)
	}
}

func TestStatusReportsWhetherOverridesAct(t *testing.T) {
	w := newComparison()
	set := func(s Spec) Revision {
		s.Author, s.Reason, s.ExpiresAt = "ann", "slow", w.now+50
		if err := w.command(Command{Spec: s, Force: true}); err != nil {
			t.Fatal(err)
		}
		return w.Revision()
	}
	expectState := func(id Revision, want string) {
		t.Helper()
		for _, s := range w.Status() {
			if s.ID == id && !strings.HasPrefix(s.State, want) {
				t.Errorf("the state of override %d is %q, expected %q", id, s.State, want)
			}
		}
	}
	pin := set(Spec{Kind: Pin, Backend: "s-0", From: 0, To: 0})
	weight := set(Spec{Kind: Weight, Backend: "s-0", Factor: 0.5})
	expectState(pin, "acts")
	w.setPhase(0, policy.Draining)
	expectState(pin, "suspended: its searcher drains")
	expectState(weight, "suspended: its searcher drains")
	w.setPhase(0, policy.Removed)
	expectState(pin, "suspended: its searcher has drained and left")
	expectState(weight, "waits")
	w.setPhase(0, policy.Ready)
	expectState(pin, "acts")
	out := set(Spec{Kind: OutOfService, Backend: "s-0", Index: "reads"})
	expectState(out, "acts")
	expectState(weight, "acts in part")
	expectState(pin, "acts in part, else suspended: its searcher is out")
	narrower := set(Spec{Kind: Weight, Backend: "s-0", Factor: 0.9, Index: "orders"})
	expectState(narrower, "acts")
	expectState(weight, fmt.Sprintf("suspended: override %d", narrower))
	x, err := w.Explain(0, "reads", "s-0")
	if err != nil || x.Routed || len(x.Rules) < 1 || x.Rules[0].OverrideID != out || !x.Rules[0].Decides {
		t.Fatalf("got %+v, %v", x, err)
	}
	if _, err := w.Explain(9, "reads", "s-0"); refusalCode(err) != Invalid {
		t.Fatalf("got %v", err)
	}
}
