package failuredetector

import (
	"fmt"
	"testing"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/random"
)

// simulation runs a fleet in virtual time. After each call of a detector it checks the invariants on its output.
type simulation struct {
	testing.TB
	random.PCG
	names       []membership.Name
	detectors   map[membership.Name]*Detector
	nextTick    map[membership.Name]float64
	dead        map[membership.Name]bool
	paused      map[membership.Name]bool
	partitioned func(from, to membership.Name) bool
	lossRate    float64
	delay       float64
	messages    []simMessage
	now         float64
	bytesSent   int
}

type simMessage struct {
	arrivesAt float64
	from, to  membership.Name
	Message
}

func newSimulation(t testing.TB, n int, seed uint64) *simulation {
	s := &simulation{TB: t, PCG: random.PCG(seed), detectors: map[membership.Name]*Detector{}, nextTick: map[membership.Name]float64{}, dead: map[membership.Name]bool{},
		paused: map[membership.Name]bool{}, partitioned: func(_, _ membership.Name) bool { return false }}
	for i := range n {
		s.names = append(s.names, membership.Name(fmt.Sprintf("m%d", i)))
	}
	for i := range s.names {
		s.start(s.names[i], Incarnation(100))
	}
	return s
}

func (w *simulation) start(name membership.Name, incarnation Incarnation) {
	var others []membership.Name
	for _, other := range w.names {
		if other != name {
			others = append(others, other)
		}
	}
	w.detectors[name] = New(DefaultSettings(), name, incarnation, others, uint64(w.Unit()*1e9), w.now)
	w.nextTick[name], w.dead[name], w.paused[name] = w.now, false, false
}

func (w *simulation) runUntil(at float64) {
	for ; w.now < at; w.now += 0.01 {
		waiting := w.messages
		w.messages = nil
		for _, msg := range waiting {
			switch {
			case msg.arrivesAt > w.now || w.paused[msg.to]:
				w.messages = append(w.messages, msg)
			case !w.dead[msg.to]:
				w.detectors[msg.to].Receive(w.now, msg.from, &msg.Message)
				w.collectOutput(msg.to)
			}
		}
		for _, name := range w.names {
			if !w.dead[name] && !w.paused[name] && w.now >= w.nextTick[name] {
				w.nextTick[name] = w.detectors[name].Tick(w.now)
				w.collectOutput(name)
			}
		}
	}
}

func (w *simulation) collectOutput(from membership.Name) {
	messages, changes := w.detectors[from].TakeOutput()
	for _, change := range changes {
		if change.Name == from || change.Old == change.New {
			w.Fatalf("%s: %+v", from, change)
		}
		if change.New == Dead && w.detectors[from].Isolated() {
			w.Fatalf("%s is isolated and declares %s dead", from, change.Name)
		}
	}
	for _, outgoing := range messages {
		if len(outgoing.Updates) > maxUpdatesPerMessage {
			w.Fatalf("%d updates in a message", len(outgoing.Updates))
		}
		w.bytesSent += 60 + 20*len(outgoing.Updates)
		if !w.partitioned(from, outgoing.To) && w.Unit() >= w.lossRate {
			w.messages = append(w.messages, simMessage{w.now + 0.001 + w.delay*w.Unit(), from, outgoing.To, outgoing.Message})
		}
	}
}

// allHaveStatus reports whether all other running nodes have the given status for a node.
func (w *simulation) allHaveStatus(node membership.Name, status Status) bool {
	for _, name := range w.names {
		if name != node && !w.dead[name] && !w.paused[name] && w.detectors[name].Status(node) != status {
			return false
		}
	}
	return true
}

func (w *simulation) requireWithin(within float64, condition string, holds func() bool) (took float64) {
	w.Helper()
	start := w.now
	for !holds() {
		if w.runUntil(w.now + 0.05); w.now > start+within {
			w.Fatalf("not within %g s: %s", within, condition)
		}
	}
	return w.now - start
}

// All nodes detect a crash, and later the restarted process, within a minute in fleets of 3 to 100 nodes. The traffic of each node
// stays below 600 bytes a second.
func TestCrashIsDetectedAtAnySize(t *testing.T) {
	for _, n := range []int{3, 9, 30, 100} {
		w := newSimulation(t, n, uint64(n))
		w.runUntil(5)
		w.bytesSent = 0
		w.runUntil(15)
		bytesPerNode := float64(w.bytesSent) / 10 / float64(n)
		w.dead["m1"] = true
		detectedAfter := w.requireWithin(45, "m1 is dead everywhere", func() bool { return w.allHaveStatus("m1", Dead) })
		w.start("m1", 200)
		rejoinedAfter := w.requireWithin(60, "m1 is alive everywhere", func() bool { return w.allHaveStatus("m1", Alive) })
		t.Logf("%d nodes: dead after %.1f s, alive again after %.1f s, %.0f bytes a second each", n, detectedAfter, rejoinedAfter, bytesPerNode)
		if bytesPerNode > 600 {
			t.Errorf("%d nodes: %.0f bytes a second each, expected at most 600", n, bytesPerNode)
		}
	}
}

func TestLossAndDelayDeclareNoLiveMemberDead(t *testing.T) {
	for seed := range uint64(20) {
		w := newSimulation(t, 9, seed+1)
		w.lossRate, w.delay = 0.2, 0.2
		falselyDead, checks := 0, 0
		for range 60 {
			w.runUntil(w.now + 1)
			for _, observer := range w.names {
				for _, subject := range w.names {
					if checks++; w.detectors[observer].Status(subject) == Dead {
						falselyDead++
					}
				}
			}
		}
		if share := float64(falselyDead) / float64(checks); share > 0.02 {
			t.Errorf("seed %d: live nodes are considered dead in %.3f of the checks, expected at most 0.02", seed, share)
		}
		w.lossRate, w.delay = 0, 0
		w.requireWithin(20, "all nodes are alive at all nodes", func() bool {
			for _, name := range w.names {
				if !w.allHaveStatus(name, Alive) {
					return false
				}
			}
			return true
		})
	}
}

// A node that receives nothing considers itself isolated after IsolationTimeout, and declares no other node dead. After the
// partition all nodes agree again. The local health score rises at a node that can receive but not send.
func TestIsolatedMemberDeclaresNobodyDead(t *testing.T) {
	w := newSimulation(t, 9, 3)
	w.runUntil(10)
	w.partitioned = func(from, to membership.Name) bool { return from == "m0" || to == "m0" }
	isolatedAfter := w.requireWithin(2, "m0 is isolated", w.detectors["m0"].Isolated)
	w.requireWithin(20, "m0 is dead at the others", func() bool { return w.allHaveStatus("m0", Dead) })
	for _, name := range w.names[1:] {
		if w.detectors["m0"].Status(name) == Dead {
			t.Errorf("m0 is isolated and considers %s dead", name)
		}
	}
	w.partitioned = func(_, _ membership.Name) bool { return false }
	healedAfter := w.requireWithin(20, "m0 is alive at all nodes", func() bool { return w.allHaveStatus("m0", Alive) && !w.detectors["m0"].Isolated() })
	t.Logf("isolated after %.2f s, alive at all nodes %.1f s after the partition", isolatedAfter, healedAfter)
	w.partitioned = func(from, _ membership.Name) bool { return from == "m0" } // it receives messages, but none of its own arrive
	w.requireWithin(20, "the local health score of m0 is above 2", func() bool { return w.detectors["m0"].LocalHealth() > 2 })
	w.partitioned = func(_, _ membership.Name) bool { return false }
	w.requireWithin(30, "m0 is alive at all nodes", func() bool { return w.allHaveStatus("m0", Alive) })
}

// A node that is paused for longer than a suspicion is declared dead. It is alive again after it resumes, although it then receives
// the messages of the pause late.
func TestPausedMemberRefutesItsSuspicion(t *testing.T) {
	w := newSimulation(t, 5, 8)
	w.runUntil(5)
	w.paused["m2"] = true
	w.requireWithin(30, "m2 is dead", func() bool { return w.allHaveStatus("m2", Dead) })
	w.paused["m2"] = false
	w.requireWithin(30, "m2 is alive everywhere", func() bool { return w.allHaveStatus("m2", Alive) })
	for _, name := range w.names {
		if w.detectors["m2"].Status(name) == Dead {
			t.Errorf("m2 considers %s dead after its pause", name)
		}
	}
}
