package failuredetector

import (
	"fmt"
	"testing"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/random"
)

// simulation runs a fleet in virtual time. What a machine must never do is checked after each step.
type simulation struct {
	testing.TB
	random.PCG
	names       []membership.Name
	machines    map[membership.Name]*Machine
	next        map[membership.Name]float64
	dead        map[membership.Name]bool
	stopped     map[membership.Name]bool
	partitioned func(from, to membership.Name) bool
	lossRate    float64
	delay       float64
	messages    []inFlight
	now         float64
	bytes       int
}

type inFlight struct {
	at       float64
	from, to membership.Name
	Message
}

func newSimulation(t testing.TB, n int, seed uint64) *simulation {
	w := &simulation{TB: t, PCG: random.PCG(seed), machines: map[membership.Name]*Machine{}, next: map[membership.Name]float64{}, dead: map[membership.Name]bool{},
		stopped: map[membership.Name]bool{}, partitioned: func(_, _ membership.Name) bool { return false }}
	for i := range n {
		w.names = append(w.names, membership.Name(fmt.Sprintf("m%d", i)))
	}
	for i := range w.names {
		w.start(w.names[i], Incarnation(100))
	}
	return w
}

func (w *simulation) start(name membership.Name, inc Incarnation) {
	var others []membership.Name
	for _, o := range w.names {
		if o != name {
			others = append(others, o)
		}
	}
	w.machines[name] = New(Defaults(), name, inc, others, uint64(w.Unit()*1e9), w.now)
	w.next[name], w.dead[name], w.stopped[name] = w.now, false, false
}

func (w *simulation) until(at float64) {
	for ; w.now < at; w.now += 0.01 {
		waiting := w.messages
		w.messages = nil
		for _, l := range waiting {
			switch {
			case l.at > w.now || w.stopped[l.to]:
				w.messages = append(w.messages, l)
			case !w.dead[l.to]:
				w.machines[l.to].Receive(w.now, l.from, &l.Message)
				w.collect(l.to)
			}
		}
		for _, name := range w.names {
			if !w.dead[name] && !w.stopped[name] && w.now >= w.next[name] {
				w.next[name] = w.machines[name].Tick(w.now)
				w.collect(name)
			}
		}
	}
}

func (w *simulation) collect(from membership.Name) {
	out, changes := w.machines[from].TakeOutput()
	for _, c := range changes {
		if c.Name == from || c.Was == c.Now {
			w.Fatalf("%s: %+v", from, c)
		}
		if c.Now == Dead && w.machines[from].Isolated() {
			w.Fatalf("%s is isolated and declares %s dead", from, c.Name)
		}
	}
	for _, s := range out {
		if len(s.Updates) > maxUpdatesPerMessage {
			w.Fatalf("%d updates in a message", len(s.Updates))
		}
		w.bytes += 60 + 20*len(s.Updates)
		if !w.partitioned(from, s.To) && w.Unit() >= w.lossRate {
			w.messages = append(w.messages, inFlight{w.now + 0.001 + w.delay*w.Unit(), from, s.To, s.Message})
		}
	}
}

// allReport tells whether all running nodes have a status for one.
func (w *simulation) allReport(of membership.Name, is Status) bool {
	for _, name := range w.names {
		if name != of && !w.dead[name] && !w.stopped[name] && w.machines[name].Status(of) != is {
			return false
		}
	}
	return true
}

func (w *simulation) eventually(within float64, what string, is func() bool) (took float64) {
	w.Helper()
	from := w.now
	for !is() {
		if w.until(w.now + 0.05); w.now > from+within {
			w.Fatalf("not within %g s: %s", within, what)
		}
	}
	return w.now - from
}

// A crash is detected everywhere within seconds at any size, at a cost for each node that hardly grows; so is the process
// that comes after it.
func TestCrashIsDetectedAtAnySize(t *testing.T) {
	for _, n := range []int{3, 9, 30, 100} {
		w := newSimulation(t, n, uint64(n))
		w.until(5)
		w.bytes = 0
		w.until(15)
		each := float64(w.bytes) / 10 / float64(n)
		w.dead["m1"] = true
		took := w.eventually(45, "m1 is dead everywhere", func() bool { return w.allReport("m1", Dead) })
		w.start("m1", 200)
		back := w.eventually(60, "m1 lives again everywhere", func() bool { return w.allReport("m1", Alive) })
		t.Logf("%d mixers: dead after %.1f s, back after %.1f s, %.0f bytes a second each", n, took, back, each)
		if each > 600 {
			t.Errorf("%d mixers: %.0f bytes a second each, expected at most 600", n, each)
		}
	}
}

func TestLossAndDelayDeclareNoLiveMemberDead(t *testing.T) {
	for seed := range uint64(20) {
		w := newSimulation(t, 9, seed+1)
		w.lossRate, w.delay = 0.2, 0.2
		wrong, looked := 0, 0
		for range 60 {
			w.until(w.now + 1)
			for _, a := range w.names {
				for _, b := range w.names {
					if looked++; w.machines[a].Status(b) == Dead {
						wrong++
					}
				}
			}
		}
		if share := float64(wrong) / float64(looked); share > 0.02 {
			t.Errorf("seed %d: living mixers are dead to others for %.3f of the time", seed, share)
		}
		w.lossRate, w.delay = 0, 0
		w.eventually(20, "all live to all", func() bool {
			for _, name := range w.names {
				if !w.allReport(name, Alive) {
					return false
				}
			}
			return true
		})
	}
}

// A node that receives nothing knows it after IsolationTimeout and a probe, declares nobody dead, and agrees with all others
// after the partition. The health score of one that can receive and not send rises.
func TestIsolatedMemberDeclaresNobodyDead(t *testing.T) {
	w := newSimulation(t, 9, 3)
	w.until(10)
	w.partitioned = func(from, to membership.Name) bool { return from == "m0" || to == "m0" }
	took := w.eventually(2, "m0 knows that it hears nothing", w.machines["m0"].Isolated)
	w.eventually(20, "m0 is dead to the others", func() bool { return w.allReport("m0", Dead) })
	for _, name := range w.names[1:] {
		if w.machines["m0"].Status(name) == Dead {
			t.Errorf("%s is dead to m0, which is isolated", name)
		}
	}
	w.partitioned = func(_, _ membership.Name) bool { return false }
	healed := w.eventually(20, "m0 lives to all", func() bool { return w.allReport("m0", Alive) && !w.machines["m0"].Isolated() })
	t.Logf("deaf after %.2f s, healed after %.1f s", took, healed)
	w.partitioned = func(from, _ membership.Name) bool { return from == "m0" } // it receives, and none of its messages arrive
	w.eventually(20, "m0 doubts itself", func() bool { return w.machines["m0"].LocalHealth() > 2 })
	w.partitioned = func(_, _ membership.Name) bool { return false }
	w.eventually(30, "m0 lives to all", func() bool { return w.allReport("m0", Alive) })
}

// A node that pauses for longer than a suspicion is declared dead, and alive again once it goes on; the messages that waited
// for it do no harm.
func TestPausedMemberRefutesItsSuspicion(t *testing.T) {
	w := newSimulation(t, 5, 8)
	w.until(5)
	w.stopped["m2"] = true
	w.eventually(30, "m2 is dead", func() bool { return w.allReport("m2", Dead) })
	w.stopped["m2"] = false
	w.eventually(30, "m2 lives again", func() bool { return w.allReport("m2", Alive) })
	for _, name := range w.names {
		if w.machines["m2"].Status(name) == Dead {
			t.Errorf("%s is dead to m2 after it stood still", name)
		}
	}
}
