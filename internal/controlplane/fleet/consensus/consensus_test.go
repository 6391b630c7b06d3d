package consensus

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
	"puffinlink.example/puffinlink/internal/random"
)

// disk is what a voter saved, as its store would have it.
type disk struct{ stored Stored }

func (d *disk) save(s *Save) {
	if s.Hard != nil {
		d.stored.Hard = proto.Clone(s.Hard).(*pb.HardState)
	}
	if s.Snapshot != nil {
		d.stored.Snapshot = s.Snapshot
		for len(d.stored.Entries) > 0 && d.stored.Entries[0].GetIndex() <= s.Snapshot.GetMetadata().GetIndex() {
			d.stored.Entries = d.stored.Entries[1:]
		}
	}
	for i, e := range s.Entries {
		if i == 0 {
			for n := len(d.stored.Entries); n > 0 && d.stored.Entries[n-1].GetIndex() >= e.GetIndex(); n-- {
				d.stored.Entries = d.stored.Entries[:n-1]
			}
		}
		d.stored.Entries = append(d.stored.Entries, proto.Clone(e).(*pb.Entry))
	}
}

type inFlight struct {
	at       int
	from, to membership.Name
	data     []byte
	intro    *Introduction
}

// simulation runs a group of voters by ticks: messages are lost, late and duplicated; voters crash between saving and
// sending, and restart with what they saved or with an empty directory.
type simulation struct {
	testing.TB
	random.PCG
	names         []membership.Name
	voters        map[membership.Name]*Machine
	disks         map[membership.Name]*disk
	messages      []inFlight
	tick          int
	lossRate      float64
	maxDelayTicks int
	partitioned   map[membership.Name]bool
	applied       map[uint64]AppliedCommand // by index: what any voter applied there
	appliedAt     map[CommandID]uint64
	reads         map[membership.Name]int // tick of the question of a read that was confirmed
	requestedAt   map[ReadNumber]int
	readNo        ReadNumber
	crash         float64               // chance between saving and going on
	drops         func(f inFlight) bool // nil for none
	lost          uint64
}

func newSimulation(t testing.TB, n int, seed uint64) *simulation {
	w := &simulation{TB: t, PCG: random.PCG(seed), voters: map[membership.Name]*Machine{}, disks: map[membership.Name]*disk{}, partitioned: map[membership.Name]bool{},
		applied: map[uint64]AppliedCommand{}, appliedAt: map[CommandID]uint64{}, reads: map[membership.Name]int{}, requestedAt: map[ReadNumber]int{}}
	for i := range n {
		w.names = append(w.names, membership.Name(fmt.Sprintf("v%d", i)))
	}
	for _, name := range w.names {
		w.startEmpty(name)
	}
	return w
}

// startEmpty starts a voter with an empty directory, startFromDisk with what it saved.
func (w *simulation) startEmpty(name membership.Name) {
	w.lost++
	w.disks[name] = &disk{Stored{ID: 1000*w.lost + uint64(len(name))}}
	w.startFromDisk(name)
}

func (w *simulation) startFromDisk(name membership.Name) {
	m, err := New(name, w.names, w.disks[name].stored)
	if err != nil {
		w.Fatal(err)
	}
	w.voters[name] = m
}

func (w *simulation) send(f inFlight) {
	if w.partitioned[f.from] || w.partitioned[f.to] || w.Unit() < w.lossRate || w.drops != nil && w.drops(f) {
		return
	}
	f.at = w.tick + 1 + int(w.Unit()*float64(w.maxDelayTicks))
	w.messages = append(w.messages, f)
	if w.lossRate > 0 && w.Unit() < 0.05 {
		w.messages = append(w.messages, f)
	}
}

func (w *simulation) work(name membership.Name) {
	m := w.voters[name]
	for range 100 {
		s, has := m.NextSave()
		if !has {
			return
		}
		w.disks[name].save(&s)
		if w.Unit() < w.crash {
			w.startFromDisk(name)
			return
		}
		r, err := m.Saved()
		if err != nil {
			w.Fatal(err)
		}
		for _, o := range r.Outgoing {
			w.send(inFlight{from: name, to: o.To, data: o.Data})
		}
		for _, d := range r.Applied {
			if had, known := w.applied[d.Index]; known && had != d && !d.sameCommand(had) {
				w.Fatalf("%s applied %+v at %d, another %+v", name, d, d.Index, had)
			}
			w.applied[d.Index] = d
			if at, known := w.appliedAt[d.ID]; known && at != d.Index {
				w.Fatalf("command %s acted at %d and at %d", d.ID, at, d.Index)
			}
			w.appliedAt[d.ID] = d.Index
		}
		for _, no := range r.Reads {
			w.reads[name] = max(w.reads[name], w.requestedAt[no])
		}
	}
}

func (d AppliedCommand) sameCommand(o AppliedCommand) bool { return d.ID == o.ID }

// ticks advances the simulation by n ticks.
func (w *simulation) ticks(n int) {
	for range n {
		w.tick++
		waiting := w.messages
		w.messages = nil
		for _, message := range waiting {
			switch {
			case message.at > w.tick:
				w.messages = append(w.messages, message)
			case message.intro != nil:
				answer, save, err := w.voters[message.to].ReceiveIntroduction(message.from, message.intro)
				if err != nil {
					w.Fatal(err)
				}
				w.disks[message.to].save(&save)
				if answer != nil {
					w.send(inFlight{from: message.to, to: message.from, intro: answer})
				}
			default:
				w.voters[message.to].Step(message.from, message.data)
			}
			w.work(message.to)
		}
		for _, name := range w.names {
			m := w.voters[name]
			m.Tick()
			if in, introduces := m.Introduce(1000 + uint64(w.tick/10)); introduces {
				for _, to := range w.names {
					if to != name {
						w.send(inFlight{from: name, to: to, intro: &in})
					}
				}
			}
			if m.Leads() {
				w.readNo++
				w.requestedAt[w.readNo] = w.tick
				m.Read(w.readNo)
			}
			w.work(name)
		}
		w.checkSingleLeader()
	}
}

// checkSingleLeader is checked after each step: no two voters had their leadership confirmed for the same time.
func (w *simulation) checkSingleLeader() {
	for a, at := range w.reads {
		for b, other := range w.reads {
			if a < b && at == other && at > 0 {
				w.Fatalf("%s and %s were both confirmed leaders at tick %d", a, b, at)
			}
		}
	}
}

func (w *simulation) leader() *Machine {
	for _, name := range w.names {
		if m := w.voters[name]; m.Leads() && w.reads[name] >= w.tick-5 && !w.partitioned[name] {
			return m
		}
	}
	return nil
}

func (w *simulation) eventually(ticks int, what string, is func() bool) {
	w.Helper()
	for range ticks {
		if is() {
			return
		}
		w.ticks(1)
	}
	for _, name := range w.names {
		m := w.voters[name]
		w.Logf("%s: number %d, founded %t, term %d, leads %t, state %d, cut off %t, votes by %v and %v", name, m.id, m.Founded(), m.Term(),
			m.Leads(), m.state.Index, w.partitioned[name], m.confState.GetVoters(), m.confState.GetVotersOutgoing())
	}
	w.Fatalf("not within %d ticks: %s", ticks, what)
}

// applyCommand proposes a command until it is applied.
func (w *simulation) applyCommand(id string) {
	w.Helper()
	c := &Command{ID: CommandID(id), Quota: &QuotaChange{Tenant: "t", Quota: &quota.Quota{Rate: float64(len(w.appliedAt) + 1), Burst: 5, MinimumShare: 0.1}}}
	w.eventually(600, id+" acts", func() bool {
		if m := w.leader(); m != nil && w.tick%5 == 0 {
			m.Propose(c)
		}
		return w.appliedAt[c.ID] != 0
	})
}

func (w *simulation) sameState() bool {
	var first []byte
	for _, name := range w.names {
		s := *w.voters[name].State()
		s.Index = 0 // the last entry may be one that changes nothing
		if b := encoded(&s); first == nil {
			first = b
		} else if !bytes.Equal(first, b) {
			return false
		}
	}
	return true
}

// toleratesAnotherLoss tells whether one voter more may be missing: of each set of voters that has to agree, a majority would
// still be up. While a voter's ID is being replaced both sets have to, and the lost directory is in the older one.
func (w *simulation) toleratesAnotherLoss() bool {
	there := map[uint64]bool{}
	for _, m := range w.voters {
		if m.Founded() {
			there[m.id] = true
		}
	}
	for _, m := range w.voters {
		for _, set := range [][]uint64{m.confState.GetVoters(), m.confState.GetVotersOutgoing()} {
			missing := 1
			for _, id := range set {
				if !there[id] {
					missing++
				}
			}
			if len(set) > 0 && 2*missing >= len(set) {
				return false
			}
		}
	}
	return true
}

// A group is founded once, applies commands through the loss of any minority, and lets a voter that lost its directory take
// part again under another ID: all with the same state.
func TestVotersAgreeThroughLossOfAMinority(t *testing.T) {
	for _, n := range []int{3, 5, 7} {
		w := newSimulation(t, n, uint64(n))
		w.eventually(200, "somebody leads", func() bool { return w.leader() != nil })
		w.applyCommand("first")
		for i := range 3 {
			lost := w.names[i]
			w.startEmpty(lost)
			w.applyCommand(fmt.Sprint("after a directory was lost ", i))
			w.eventually(300, "it takes part again", func() bool { return w.voters[lost].Founded() && w.sameState() })
		}
		w.partitioned[w.names[0]] = true
		w.applyCommand("with one cut off")
		delete(w.partitioned, w.names[0])
		for _, name := range w.names {
			w.startFromDisk(name)
		}
		w.applyCommand("after all began again")
		w.eventually(200, "all have the same state", w.sameState)
		if voters := w.voters[w.names[0]].State().Voters; len(voters) != n {
			t.Errorf("%d voters: %+v", n, voters)
		}
	}
}

// No majority with empty directories founds a second group, and none is founded before all voters were heard from.
func TestFoundingNeedsAllVoters(t *testing.T) {
	w := newSimulation(t, 3, 5)
	w.partitioned["v2"] = true
	w.ticks(100)
	if w.voters["v0"].Founded() || w.voters["v1"].Founded() {
		t.Fatal("founded without v2")
	}
	delete(w.partitioned, "v2")
	w.eventually(200, "somebody leads", func() bool { return w.leader() != nil })
	w.applyCommand("a contract")
	w.partitioned["v2"] = true
	w.startEmpty("v0")
	w.startEmpty("v1")
	w.ticks(200)
	if w.leader() != nil {
		t.Fatal("two voters that lost everything lead a new group")
	}
	delete(w.partitioned, "v2")
	w.ticks(200)
	if w.leader() != nil { // the way back is an operator's
		t.Fatal("a group that lost its majority for good came back by itself")
	}
}

// A directory with impossible contents is an error, and no panic.
func TestInconsistentDirectoryIsAnError(t *testing.T) {
	names := []membership.Name{"a", "b", "c"}
	for what, stored := range map[string]Stored{
		"no number":               {},
		"a commit beyond the log": {ID: 1, Hard: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(99)}},
		"a snapshot of no state":  {ID: 1, Snapshot: &pb.Snapshot{Data: []byte{0xff}, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(3), Term: proto.Uint64(1)}}},
		"a log with a gap in it":  {ID: 1, Entries: []*pb.Entry{{Index: proto.Uint64(7), Term: proto.Uint64(1)}}},
	} {
		if m, err := New("a", names, stored); err == nil || m != nil && m.Founded() {
			t.Errorf("%s is taken: %v", what, err)
		}
	}
}

// The voter that founds the group first may fail at once: the other founders lead without it.
func TestOtherFoundersLeadWhenTheFirstFails(t *testing.T) {
	for seed := range uint64(10) {
		w := newSimulation(t, 3, seed+1)
		var founder membership.Name
		w.eventually(100, "one has founded it, and another heard of that", func() bool {
			n := 0
			for _, name := range w.names {
				if w.voters[name].Founded() {
					if n++; n == 1 {
						founder = name
					}
				}
			}
			return n == 3
		})
		w.partitioned[founder] = true
		w.applyCommand("without its founder")
		delete(w.partitioned, founder)
		w.eventually(200, "all have the same state", w.sameState)
	}
}

// Under loss, delay, duplication and crashes between saving and sending all voters apply the same, each command once, and no
// two are confirmed leaders at one time.
func TestVotersAgreeUnderLossDelayAndCrashes(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		w := newSimulation(t, 3+2*int(seed%2), seed+1)
		w.eventually(400, "somebody leads", func() bool { return w.leader() != nil })
		w.lossRate, w.maxDelayTicks, w.crash = 0.15, 3, 0.01
		for i := range 8 {
			victim := w.names[int(w.Unit()*float64(len(w.names)))]
			switch u := w.Unit(); {
			case u < 0.3:
				w.eventually(400, "the group tolerates another loss", w.toleratesAnotherLoss)
				w.partitioned[victim] = true
			case u < 0.6:
				w.startFromDisk(victim)
			case u < 0.7 && w.sameState() && w.toleratesAnotherLoss():
				w.startEmpty(victim)
			}
			w.ticks(20)
			w.applyCommand(fmt.Sprint("command ", i))
			clear(w.partitioned)
		}
		w.lossRate, w.maxDelayTicks, w.crash = 0, 0, 0
		w.eventually(600, "all have the same state", w.sameState)
	}
}

func TestFileTablesAreAppliedByVersion(t *testing.T) {
	s := State{}
	file := func(id string, contracts, quotas int, zone string) AppliedCommand {
		return s.apply(uint64(len(s.Applied)+2), &Command{ID: CommandID(id), File: &FileTables{ContractsVersion: contracts, QuotasVersion: quotas,
			Contracts: map[residency.Tenant]residency.Contract{"t": {Zones: []string{zone}}}, Quotas: map[quota.Tenant]quota.Quota{"t": {Rate: float64(quotas), Burst: 50, MinimumShare: 0.2}}}})
	}
	if d := file("a", 2, 2, "north"); d.Failure != "" {
		t.Fatal(d.Failure)
	}
	if d := file("b", 1, 3, "south"); d.Failure == "" || s.Contracts.Contracts["t"].Zones[0] != "north" || s.Quotas["t"].Rate != 3 {
		t.Errorf("an older contract beside newer quotas: %q %+v", d.Failure, s)
	}
	if repeated := file("b", 9, 9, "west"); repeated.Failure == "" || s.FileContracts != 2 {
		t.Errorf("the same command acted twice: %+v", repeated)
	}
	s.apply(90, &Command{ID: "q", Quota: &QuotaChange{Tenant: "t", Quota: &quota.Quota{Rate: 1, Burst: 1, MinimumShare: 0.1}}})
	if s.LargestMinimums["t"].PerS < 0.6-1e-9 {
		t.Errorf("the largest minimum is forgotten: %+v", s.LargestMinimums)
	}
	if d := s.apply(91, &Command{ID: "x"}); d.Failure == "" {
		t.Error("a command of nothing is taken")
	}
	var back State
	if err := cbor.Unmarshal(encoded(&s), &back); err != nil || !bytes.Equal(encoded(&back), encoded(&s)) {
		t.Errorf("a state does not come back as it was: %v", err)
	}
}
