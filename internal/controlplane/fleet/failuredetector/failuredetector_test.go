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

func (s *simulation) start(name membership.Name, incarnation Incarnation) {
	var others []membership.Name
	for _, other := range s.names {
		if other != name {
			others = append(others, other)
		}
	}
	s.detectors[name] = New(DefaultSettings(), name, incarnation, others, uint64(s.Unit()*1e9), s.now)
	s.nextTick[name], s.dead[name], s.paused[name] = s.now, false, false
}

func (s *simulation) runUntil(at float64) {
	for ; s.now < at; s.now += 0.01 {
		waiting := s.messages
		s.messages = nil
		for _, msg := range waiting {
			switch {
			case msg.arrivesAt > s.now || s.paused[msg.to]:
				s.messages = append(s.messages, msg)
			case !s.dead[msg.to]:
				s.detectors[msg.to].Receive(s.now, msg.from, &msg.Message)
				s.collectOutput(msg.to)
			}
		}
		for _, name := range s.names {
			if !s.dead[name] && !s.paused[name] && s.now >= s.nextTick[name] {
				s.nextTick[name] = s.detectors[name].Tick(s.now)
				s.collectOutput(name)
			}
		}
	}
}

func (s *simulation) collectOutput(from membership.Name) {
	messages, changes := s.detectors[from].TakeOutput()
	for _, change := range changes {
		if change.Name == from || change.Old == change.New {
			s.Fatalf("%s: %+v", from, change)
		}
		if change.New == Dead && s.detectors[from].Isolated() {
			s.Fatalf("%s is isolated and declares %s dead", from, change.Name)
		}
	}
	for _, outgoing := range messages {
		if len(outgoing.Updates) > maxUpdatesPerMessage {
			s.Fatalf("%d updates in a message", len(outgoing.Updates))
		}
		s.bytesSent += 60 + 20*len(outgoing.Updates)
		if !s.partitioned(from, outgoing.To) && s.Unit() >= s.lossRate {
			s.messages = append(s.messages, simMessage{s.now + 0.001 + s.delay*s.Unit(), from, outgoing.To, outgoing.Message})
		}
	}
}

// allHaveStatus reports whether all other running nodes have the given status for a node.
func (s *simulation) allHaveStatus(node membership.Name, status Status) bool {
	for _, name := range s.names {
		if name != node && !s.dead[name] && !s.paused[name] && s.detectors[name].Status(node) != status {
			return false
		}
	}
	return true
}

func (s *simulation) requireWithin(within float64, condition string, holds func() bool) (took float64) {
	s.Helper()
	start := s.now
	for !holds() {
		if s.runUntil(s.now + 0.05); s.now > start+within {
			s.Fatalf("not within %g s: %s", within, condition)
		}
	}
	return s.now - start
}

// All nodes detect a crash, and later the restarted process, within a minute in fleets of 3 to 100 nodes. The traffic of each node
// stays below 600 bytes a second.
func TestCrashIsDetectedAtAnySize(t *testing.T) {
	for _, n := range []int{3, 9, 30, 100} {
		s := newSimulation(t, n, uint64(n))
		s.runUntil(5)
		s.bytesSent = 0
		s.runUntil(15)
		bytesPerNode := float64(s.bytesSent) / 10 / float64(n)
		s.dead["m1"] = true
		detectedAfter := s.requireWithin(45, "m1 is dead everywhere", func() bool { return s.allHaveStatus("m1", Dead) })
		s.start("m1", 200)
		rejoinedAfter := s.requireWithin(60, "m1 is alive everywhere", func() bool { return s.allHaveStatus("m1", Alive) })
		t.Logf("%d nodes: dead after %.1f s, alive again after %.1f s, %.0f bytes a second each", n, detectedAfter, rejoinedAfter, bytesPerNode)
		if bytesPerNode > 600 {
			t.Errorf("%d nodes: %.0f bytes a second each, expected at most 600", n, bytesPerNode)
		}
	}
}

func TestLossAndDelayDeclareNoLiveMemberDead(t *testing.T) {
	for seed := range uint64(20) {
		s := newSimulation(t, 9, seed+1)
		s.lossRate, s.delay = 0.2, 0.2
		falselyDead, checks := 0, 0
		for range 60 {
			s.runUntil(s.now + 1)
			for _, observer := range s.names {
				for _, subject := range s.names {
					if checks++; s.detectors[observer].Status(subject) == Dead {
						falselyDead++
					}
				}
			}
		}
		if share := float64(falselyDead) / float64(checks); share > 0.02 {
			t.Errorf("seed %d: live nodes are considered dead in %.3f of the checks, expected at most 0.02", seed, share)
		}
		s.lossRate, s.delay = 0, 0
		s.requireWithin(20, "all nodes are alive at all nodes", func() bool {
			for _, name := range s.names {
				if !s.allHaveStatus(name, Alive) {
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
	s := newSimulation(t, 9, 3)
	s.runUntil(10)
	s.partitioned = func(from, to membership.Name) bool { return from == "m0" || to == "m0" }
	isolatedAfter := s.requireWithin(2, "m0 is isolated", s.detectors["m0"].Isolated)
	s.requireWithin(20, "m0 is dead at the others", func() bool { return s.allHaveStatus("m0", Dead) })
	for _, name := range s.names[1:] {
		if s.detectors["m0"].Status(name) == Dead {
			t.Errorf("m0 is isolated and considers %s dead", name)
		}
	}
	s.partitioned = func(_, _ membership.Name) bool { return false }
	healedAfter := s.requireWithin(20, "m0 is alive at all nodes", func() bool { return s.allHaveStatus("m0", Alive) && !s.detectors["m0"].Isolated() })
	t.Logf("isolated after %.2f s, alive at all nodes %.1f s after the partition", isolatedAfter, healedAfter)
	s.partitioned = func(from, _ membership.Name) bool { return from == "m0" } // it receives messages, but none of its own arrive
	s.requireWithin(20, "the local health score of m0 is above 2", func() bool { return s.detectors["m0"].LocalHealth() > 2 })
	s.partitioned = func(_, _ membership.Name) bool { return false }
	s.requireWithin(30, "m0 is alive at all nodes", func() bool { return s.allHaveStatus("m0", Alive) })
}

// A node that is paused for longer than a suspicion is declared dead. It is alive again after it resumes, although it then receives
// the messages of the pause late.
func TestPausedMemberRefutesItsSuspicion(t *testing.T) {
	s := newSimulation(t, 5, 8)
	s.runUntil(5)
	s.paused["m2"] = true
	s.requireWithin(30, "m2 is dead", func() bool { return s.allHaveStatus("m2", Dead) })
	s.paused["m2"] = false
	s.requireWithin(30, "m2 is alive everywhere", func() bool { return s.allHaveStatus("m2", Alive) })
	for _, name := range s.names {
		if s.detectors["m2"].Status(name) == Dead {
			t.Errorf("m2 considers %s dead after its pause", name)
		}
	}
}
