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

// model is a second, plain reading of the rules: lists, no index, no memory of what was told.
type model struct {
	held  []Override
	list  map[string]Member
	drops map[string]bool // left while draining
}

func (m *model) covers(o Override, index string) bool { return o.Index == "" || o.Index == index }

// best is the override of a kind that holds among those that match.
func (m *model) best(kind Kind, index string, match func(Override) bool) *Override {
	var found *Override
	for i := range m.held {
		o := &m.held[i]
		if o.Kind != kind || !m.covers(*o, index) || !match(*o) {
			continue
		}
		if found == nil || found.Index == "" && o.Index != "" || (found.Index == "") == (o.Index == "") && o.ID > found.ID {
			found = o
		}
	}
	return found
}

func (m *model) factor(name, index string) float64 {
	at := func(o Override) bool { return o.Backend == name }
	there := func(o Override) bool { return o.Location == m.list[name].Location }
	f := 1.0
	for _, match := range []func(Override) bool{there, at} {
		if m.best(Out, index, match) != nil {
			return 0
		}
		if w := m.best(Weight, index, match); w != nil {
			f *= w.Factor
		}
	}
	return f
}

const cells, width = 3, 2

func holdsShard(cell policy.CellID, s policy.ShardID) bool {
	for j := range width {
		if (int(s)+j)%cells == int(cell) {
			return true
		}
	}
	return false
}

// pin is the backend that a shard is pinned to; "" for none that acts.
func (m *model) pin(s policy.ShardID, index string) (to string) {
	o := m.best(Pin, index, func(o Override) bool { return o.From <= s && s <= o.To })
	if o == nil {
		return ""
	}
	e, listed := m.list[o.Backend]
	switch {
	case !listed && m.drops[o.Backend], !listed && !o.Strict:
		return ""
	case listed && (e.Phase == policy.Draining || !holdsShard(e.Cell, s) || m.factor(o.Backend, index) == 0):
		return ""
	}
	return o.Backend
}

// forgetDrops: whether a backend left by a drain counts for the pins that held then.
func (m *model) forgetDrops() {
	for name := range m.drops {
		if !slices.ContainsFunc(m.held, func(o Override) bool { return o.Kind == Pin && o.Backend == name }) {
			delete(m.drops, name)
		}
	}
}

func (m *model) goes(name string, s policy.ShardID, index string) bool {
	e, listed := m.list[name]
	pin := m.pin(s, index)
	return listed && e.Phase == policy.Ready && holdsShard(e.Cell, s) && m.factor(name, index) > 0 && (pin == "" || pin == name)
}

// world is a table beside the model, and what a module would know by the patches alone.
type world struct {
	*Table
	model
	now     float64
	indexes []string
	told    map[policy.BackendID]map[policy.IndexID]policy.BackendOverride
	pins    map[pinKey]policy.PinOverride
	nextID  policy.BackendID
	err     error
}

func newWorld() *world {
	lim := Defaults()
	lim.Indexes, lim.Shards, lim.Cells, lim.Width = []string{"reads", "orders"}, 4, cells, width
	lim.MaxDuration, lim.MaxOverrides = 100, 6
	w := &world{Table: New(lim), now: 1000, indexes: lim.Indexes, told: map[policy.BackendID]map[policy.IndexID]policy.BackendOverride{},
		pins: map[pinKey]policy.PinOverride{}, model: model{list: map[string]Member{}, drops: map[string]bool{}}}
	for i := range 4 {
		w.phase(i, policy.Ready)
	}
	return w
}

func name(i int) string { return fmt.Sprintf("s-%d", i) }

func (w *world) phase(i int, phase policy.Phase) {
	e, listed := w.list[name(i)]
	switch {
	case phase == policy.Removed:
		if listed {
			w.drops[name(i)] = e.Phase == policy.Draining
			w.forgetDrops()
			delete(w.list, name(i))
		}
		w.heard(w.UpdateMembership(w.now, false, []Member{{Name: name(i), Phase: policy.Removed}}))
		return
	case !listed:
		w.nextID++
		e = Member{Name: name(i), ID: w.nextID, Location: []string{"north", "south"}[i%2], Cell: policy.CellID(i % cells)}
	}
	e.Phase = phase
	w.list[e.Name] = e
	delete(w.drops, e.Name)
	w.heard(w.UpdateMembership(w.now, false, []Member{e}))
}

func (w *world) restart(i int) {
	if e, listed := w.list[name(i)]; listed {
		e.Started = w.now
		w.list[name(i)] = e
		w.heard(w.UpdateMembership(w.now, false, []Member{e}))
		w.held = slices.DeleteFunc(w.held, func(o Override) bool { return o.UntilRestart && o.Backend == e.Name && o.Started < w.now })
	}
}

func (w *world) heard(ended []Change) {
	for _, c := range ended {
		if c.What != HasRestarted {
			w.fail("%+v ended by the list", c)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("at %g: %s", w.now, fmt.Sprintf(format, args...))
	}
}

func (w *world) command(c Command) error {
	c.For = w.Revision()
	change, _, err := w.Decide(w.now, &c)
	if err != nil {
		return err
	}
	w.Reserve(change)
	w.Apply(change)
	if c.Op == Set {
		w.held = append(w.held, change.Override)
	} else {
		w.held = slices.DeleteFunc(w.held, func(o Override) bool { return o.ID == c.ID })
		w.forgetDrops()
	}
	return nil
}

// pass lets time pass, by steps no longer than the table wants, and takes the patches.
func (w *world) pass(dt float64) {
	for end, first := w.now+dt, true; ; first = false {
		w.Due(w.now)
		w.held = slices.DeleteFunc(w.held, func(o Override) bool { return o.End <= w.now })
		w.forgetDrops()
		w.take(w.Patch(w.now))
		if first || w.now >= end { // between them only what comes back moves
			w.check()
		}
		if w.now >= end || w.err != nil {
			return
		}
		w.now = min(end, max(w.Next(w.now), w.now+1e-6))
	}
}

func (w *world) take(patch *policy.Overrides) {
	if patch == nil {
		return
	}
	for _, s := range patch.Backends {
		if w.told[s.Backend] == nil {
			w.told[s.Backend] = map[policy.IndexID]policy.BackendOverride{}
		}
		was, known := w.told[s.Backend][s.Index]
		if !known {
			was.Weight = 1
		} else if was.Excluded {
			was.Weight = 0
		}
		if rise := s.Weight - was.Weight; !s.Excluded && rise > 0.13 {
			w.fail("%d rises by %.2f at one blow", s.Backend, rise)
		}
		w.told[s.Backend][s.Index] = s
	}
	for _, p := range patch.Pins {
		w.pins[pinKey{p.Shard, p.Index}] = p
	}
}

// check holds all that was told against the model: out and pins at once, weights never above what is wanted.
func (w *world) check() {
	for i := range 4 {
		for k, index := range w.indexes {
			e, listed := w.list[name(i)]
			if !listed {
				continue
			}
			want := w.factor(e.Name, index)
			got, known := w.told[e.ID][policy.IndexID(k)]
			if !known {
				got.Weight = 1
			}
			if got.Excluded != (want == 0) || !got.Excluded && got.Weight > want+1e-9 {
				w.fail("%s, %s: told %+v, wanted %g", e.Name, index, got, want)
			}
			for s := range policy.ShardID(4) {
				x, err := w.Explain(s, index, e.Name)
				if err != nil || x.Goes != w.goes(e.Name, s, index) {
					w.fail("shard %d, %s, %s: explained as %+v, %v; expected %t", s, index, e.Name, x, err, w.goes(e.Name, s, index))
				}
			}
		}
	}
	for s := range policy.ShardID(4) {
		for k, index := range w.indexes {
			want, got := w.pin(s, index), w.pins[pinKey{s, policy.IndexID(k)}]
			to := w.list[want].ID
			if e, listed := w.list[want]; want != "" && !listed {
				to = noBackend
			} else if listed && e.Phase == policy.Removed {
				to = 0
			}
			if want != "" && got.Backend != 0 && got.Backend != to {
				w.fail("shard %d, %s: pinned to %d, wanted %d", s, index, got.Backend, to)
			}
		}
	}
}

// settled checks that after long enough all is as wanted to the last.
func (w *world) settled() {
	for _, e := range w.list {
		for k, index := range w.indexes {
			got, known := w.told[e.ID][policy.IndexID(k)]
			if want := w.factor(e.Name, index); known && !got.Excluded && math.Abs(got.Weight-want) > 1e-9 {
				w.fail("%s, %s: settled at %g, wanted %g", e.Name, index, got.Weight, want)
			}
		}
	}
	for s := range policy.ShardID(4) {
		for k, index := range w.indexes {
			got, pin := w.pins[pinKey{s, policy.IndexID(k)}], w.pin(s, index)
			if (pin != "") != (got.Backend != 0) || pin != "" && got.Share != 1 {
				w.fail("shard %d, %s: settled at %+v, wanted %q", s, index, got, pin)
			}
		}
	}
	if r := w.Recoveries(); len(r) > 0 {
		w.fail("still returning: %+v", r)
	}
}

// act is one thing out of a small alphabet.
func (w *world) act(no int) {
	i := no / 13 % 4
	spec := Spec{Backend: name(i), Author: "ann", Reason: "slow", End: w.now + 40}
	switch no % 13 {
	case 0:
		spec.Kind = Out
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
		spec.Kind, spec.Backend, spec.Location, spec.Index = Out, "", []string{"north", "south"}[i%2], "reads"
	case 7:
		spec.Kind, spec.UntilRestart = Out, true
	case 8:
		w.phase(i, policy.Draining)
		return
	case 9:
		w.phase(i, policy.Removed)
		return
	case 10:
		w.phase(i, policy.Ready)
		return
	case 11:
		w.restart(i)
		return
	case 12:
		if len(w.held) > 0 {
			w.command(Command{Op: Clear, ID: w.held[i%len(w.held)].ID, Author: "ann", Reason: "done"})
		}
		return
	}
	w.command(Command{Spec: spec, Force: true})
}

func (w *world) play(t *testing.T, acts []int, pauses func() float64) {
	for _, no := range acts {
		w.act(no)
		w.pass(pauses())
	}
	w.pass(200)
	w.settled()
	if w.err != nil {
		t.Fatalf("%v: %v", acts, w.err)
	}
}

func TestSeededHistoriesAgainstTheModel(t *testing.T) {
	histories := 100_000
	if testing.Short() || raceflag.Enabled {
		histories = 3_000 // the race detector has nothing to find in a package without a goroutine
	}
	for seed := range uint64(histories) {
		rng := rand.New(rand.NewPCG(seed, 3))
		acts := make([]int, 3+rng.IntN(8))
		for i := range acts {
			acts[i] = rng.IntN(52)
		}
		newWorld().play(t, acts, func() float64 { return []float64{0, 0.5, 3, 50}[rng.IntN(4)] })
	}
}

// Every history of two things, each done to any backend, and of three among those that share shards.
func TestEveryShortHistory(t *testing.T) {
	for a := range 52 {
		for b := range 52 {
			newWorld().play(t, []int{a, b}, func() float64 { return 1 })
		}
	}
	if raceflag.Enabled {
		return
	}
	for a := range 13 {
		for b := range 26 {
			for c := range 26 {
				newWorld().play(t, []int{a, b, c}, func() float64 { return 0 })
			}
		}
	}
}

func FuzzHistories(f *testing.F) {
	f.Add([]byte{0, 13, 26, 12, 10})
	f.Add([]byte{3, 8, 9, 10, 16})
	f.Fuzz(func(t *testing.T, acts []byte) {
		if len(acts) > 30 {
			return
		}
		var list []int
		for _, a := range acts {
			list = append(list, int(a)%52)
		}
		newWorld().play(t, list, func() float64 { return 2 })
	})
}

func code(err error) Code {
	if r := (*Refusal)(nil); errors.As(err, &r) {
		return r.Code
	}
	return ""
}

func TestGuardRailsAndBadCommands(t *testing.T) {
	good := Spec{Backend: "s-0", Author: "ann", Reason: "slow", End: 1040}
	for want, c := range map[string]struct {
		code   Code
		change func(*Spec, *world)
	}{
		"weight is 0":             {Invalid, func(s *Spec, _ *world) { s.Kind = Weight }},
		"weight is 1.5":           {Invalid, func(s *Spec, _ *world) { s.Factor = 1.5 }},
		"weight is NaN":           {Invalid, func(s *Spec, _ *world) { s.Factor = math.NaN() }},
		"either a searcher or":    {Invalid, func(s *Spec, _ *world) { s.Location = "north" }},
		"author has 0 bytes":      {Invalid, func(s *Spec, _ *world) { s.Author = "" }},
		"reason has 201 bytes":    {Invalid, func(s *Spec, _ *world) { s.Reason = strings.Repeat("x", 201) }},
		`index "read" is not one`: {Invalid, func(s *Spec, _ *world) { s.Index = "read" }},
		"expected an end to come": {Invalid, func(s *Spec, _ *world) { s.End = 1000 }},
		"at most 100 s":           {Invalid, func(s *Spec, _ *world) { s.End = 1101 }},
		"ends NaN":                {Invalid, func(s *Spec, _ *world) { s.End = math.NaN() }},
		"shards 3 to 9":           {Invalid, func(s *Spec, _ *world) { s.Kind, s.Factor, s.From, s.To = Pin, 0, 3, 9 }},
		"belong to a pin":         {Invalid, func(s *Spec, _ *world) { s.Strict = true }},
		"does not name \"s-9\"":   {Absent, func(s *Spec, _ *world) { s.Backend = "s-9" }},
		"holds no shard 1":        {NotAReplica, func(s *Spec, _ *world) { s.Kind, s.Factor, s.From, s.To = Pin, 0, 0, 1 }},
		"no listed searcher":      {Absent, func(s *Spec, _ *world) { s.Backend, s.Location = "", "west" }},
		"nobody who serves":       {LastReplica, func(s *Spec, w *world) { w.phase(2, policy.Draining); s.Kind, s.Factor, s.Backend = Out, 0, "s-1" }},
		"of shard":                {ShardCapacity, func(s *Spec, w *world) { w.phase(2, policy.Draining); s.Factor, s.Backend = 0.3, "s-1" }},
		"of location":             {LocationCapacity, func(s *Spec, _ *world) { s.Backend, s.Location, s.Factor = "", "north", 0.4 }},
		"needs one searcher":      {Invalid, func(s *Spec, _ *world) { s.Backend, s.UntilRestart = "s-9", true }},
	} {
		w, spec := newWorld(), good
		if spec.Factor = 0.6; c.code == Invalid || c.code == Absent {
			spec.Factor = 0.6
		}
		if c.change(&spec, w); want == "weight is 0" {
			spec.Factor = 0
		}
		err := w.command(Command{Spec: spec})
		if code(err) != c.code || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, expected %s: ... %s", err, c.code, want)
		}
		if err := w.command(Command{Spec: spec, Force: true}); (err == nil) != guards[c.code] {
			t.Errorf("%s: forced, got %v", want, err)
		}
	}
}

func TestRevisionsAndKeys(t *testing.T) {
	w := newWorld()
	c := Command{Key: "k1", For: 0, Spec: Spec{Kind: Out, Backend: "s-0", Author: "ann", Reason: "slow", End: 1050}}
	first, again, err := w.Decide(w.now, &c)
	if err != nil || again || first.Revision != 1 {
		t.Fatalf("got %+v, %t, %v", first, again, err)
	}
	w.Reserve(first)
	if _, _, err := w.Decide(w.now, &Command{For: 0, Spec: c.Spec}); code(err) != Conflict {
		t.Fatalf("while one is being kept: %v", err)
	}
	w.Apply(first)
	if second, again, err := w.Decide(w.now+1, &c); err != nil || !again || second.Revision != 1 || len(w.LiveOverrides()) != 1 {
		t.Fatalf("sent twice: %+v, %t, %v", second, again, err)
	}
	c.Reason = "other"
	if _, _, err := w.Decide(w.now, &c); code(err) != KeyReused {
		t.Fatalf("got %v", err)
	}
	if _, _, err := w.Decide(w.now, &Command{For: 1, Op: Clear, ID: 7, Author: "ann", Reason: "done"}); code(err) != Unknown {
		t.Fatalf("got %v", err)
	}
	other := New(w.limits)
	if ended := other.Restore(w.now+10, 1, w.LiveOverrides(), []Change{first}); len(ended) > 0 || len(other.LiveOverrides()) != 1 {
		t.Fatalf("restored %+v, ended %+v", other.LiveOverrides(), ended)
	}
	c.Reason = ""
	if _, again, err := other.Decide(w.now, &c); err != nil || !again {
		t.Fatalf("sent again after a restart: %t, %v", again, err)
	}
	if ended := New(w.limits).Restore(w.now+60, 1, w.LiveOverrides(), nil); len(ended) != 1 || ended[0].What != HasEnded || ended[0].Revision != 2 {
		t.Fatalf("got %+v", ended)
	}
}

// Many that end together come back together no faster than the stated share of the fleet in a second.
func TestManyEndsAreNoBurst(t *testing.T) {
	lim := Defaults()
	lim.Indexes, lim.Shards, lim.Cells, lim.Width, lim.MaxLocationLoss, lim.MaxShardLoss = []string{"reads"}, 300, 300, 2, 1, 1
	b := New(lim)
	var list []Member
	for i := range 300 {
		list = append(list, Member{Name: name(i), ID: policy.BackendID(i + 1), Cell: policy.CellID(i)})
	}
	b.UpdateMembership(0, true, list)
	for i := range 200 {
		c := Command{For: b.Revision(), Force: true, Spec: Spec{Kind: Out, Backend: name(i), Author: "ann", Reason: "slow", End: 100}}
		change, _, err := b.Decide(1, &c)
		if err != nil {
			t.Fatal(err)
		}
		b.Apply(change)
	}
	b.Patch(1)
	level := func() (sum float64) {
		for _, m := range b.members {
			sum += m.levels[0].current
		}
		return sum
	}
	if got := level(); got != 100 {
		t.Fatalf("%g of 300 left", got)
	}
	b.Due(100)
	b.Patch(100)
	was, took := level(), 0.0
	if was > 100+200*leastLevel {
		t.Fatalf("%g of 300 at the first blow", was)
	}
	for now := 100 + recoveryStep; len(b.recovering) > 0; now += recoveryStep {
		b.Patch(now)
		if got := level(); got-was > 300*lim.RecoveryRate*recoveryStep+1e-6 {
			t.Fatalf("at %g %g came back at once", now, got-was)
		} else {
			was = got
		}
		took = now - 100
	}
	t.Logf("200 of 300 came back in %g s", took)
	if was != 300 || took > 25 {
		t.Fatalf("%g of 300 after %g s", was, took)
	}
}

func TestStatesAreShown(t *testing.T) {
	w := newWorld()
	set := func(s Spec) Revision {
		s.Author, s.Reason, s.End = "ann", "slow", w.now+50
		if err := w.command(Command{Spec: s, Force: true}); err != nil {
			t.Fatal(err)
		}
		return w.Revision()
	}
	shows := func(id Revision, want string) {
		t.Helper()
		for _, s := range w.Status() {
			if s.ID == id && !strings.HasPrefix(s.State, want) {
				t.Errorf("override %d %s, expected %s", id, s.State, want)
			}
		}
	}
	pin := set(Spec{Kind: Pin, Backend: "s-0", From: 0, To: 0})
	weight := set(Spec{Kind: Weight, Backend: "s-0", Factor: 0.5})
	shows(pin, "acts")
	w.phase(0, policy.Draining)
	shows(pin, "suspended: its searcher drains")
	shows(weight, "suspended: its searcher drains")
	w.phase(0, policy.Removed)
	shows(pin, "suspended: its searcher has drained and left")
	shows(weight, "waits")
	w.phase(0, policy.Ready)
	shows(pin, "acts")
	out := set(Spec{Kind: Out, Backend: "s-0", Index: "reads"})
	shows(out, "acts")
	shows(weight, "acts in part")
	shows(pin, "acts in part, else suspended: its searcher is out")
	narrower := set(Spec{Kind: Weight, Backend: "s-0", Factor: 0.9, Index: "orders"})
	shows(narrower, "acts")
	shows(weight, fmt.Sprintf("suspended: override %d", narrower))
	x, err := w.Explain(0, "reads", "s-0")
	if err != nil || x.Goes || len(x.Lines) < 1 || x.Lines[0].By != out || !x.Lines[0].Acts {
		t.Fatalf("got %+v, %v", x, err)
	}
	if _, err := w.Explain(9, "reads", "s-0"); code(err) != Invalid {
		t.Fatalf("got %v", err)
	}
}
