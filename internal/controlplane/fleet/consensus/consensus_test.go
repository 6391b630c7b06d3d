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

// disk simulates a voter's store: it holds what the voter saved.
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

// inFlightMessage is a message that is delivered in tick deliverAt. It holds either a consensus message or an introduction.
type inFlightMessage struct {
	deliverAt    int // tick
	from, to     membership.Name
	data         []byte
	introduction *Introduction
}

// simulation runs a group of voters tick by tick. It loses, delays and duplicates messages. Voters crash between saving and sending.
// They restart from what they saved, or with an empty directory.
type simulation struct {
	testing.TB
	random.PCG
	names         []membership.Name
	voters        map[membership.Name]*Machine
	disks         map[membership.Name]*disk
	messages      []inFlightMessage
	tick          int
	lossRate      float64
	maxDelayTicks int
	partitioned   map[membership.Name]bool
	applied       map[uint64]AppliedCommand // command that a voter applied, by index
	appliedIndex  map[CommandID]uint64      // index at which a command was applied
	confirmedAt   map[membership.Name]int   // tick in which the last confirmed read of a voter was requested
	requestedAt   map[ReadNumber]int        // tick in which a read was requested
	lastRead      ReadNumber
	crashRate     float64                      // probability of a crash between saving and sending
	dropFilter    func(f inFlightMessage) bool // reports whether to drop a message; nil to drop none
	emptyStarts   uint64                       // number of directories created so far
}

func newSimulation(t testing.TB, n int, seed uint64) *simulation {
	w := &simulation{TB: t, PCG: random.PCG(seed), voters: map[membership.Name]*Machine{}, disks: map[membership.Name]*disk{}, partitioned: map[membership.Name]bool{},
		applied: map[uint64]AppliedCommand{}, appliedIndex: map[CommandID]uint64{}, confirmedAt: map[membership.Name]int{}, requestedAt: map[ReadNumber]int{}}
	for i := range n {
		w.names = append(w.names, membership.Name(fmt.Sprintf("v%d", i)))
	}
	for _, name := range w.names {
		w.startEmpty(name)
	}
	return w
}

// startEmpty starts a voter with an empty directory.
func (w *simulation) startEmpty(name membership.Name) {
	w.emptyStarts++
	w.disks[name] = &disk{Stored{ID: 1000*w.emptyStarts + uint64(len(name))}}
	w.startFromDisk(name)
}

// startFromDisk starts a voter from what it saved.
func (w *simulation) startFromDisk(name membership.Name) {
	m, err := New(name, w.names, w.disks[name].stored)
	if err != nil {
		w.Fatal(err)
	}
	w.voters[name] = m
}

func (w *simulation) send(message inFlightMessage) {
	if w.partitioned[message.from] || w.partitioned[message.to] || w.Unit() < w.lossRate || w.dropFilter != nil && w.dropFilter(message) {
		return
	}
	message.deliverAt = w.tick + 1 + int(w.Unit()*float64(w.maxDelayTicks))
	w.messages = append(w.messages, message)
	if w.lossRate > 0 && w.Unit() < 0.05 {
		w.messages = append(w.messages, message)
	}
}

// processSaves carries out a voter's saves, and checks what the voter applies: all voters apply the same command at an index, and
// no command is applied at two indexes.
func (w *simulation) processSaves(name membership.Name) {
	m := w.voters[name]
	for range 100 {
		save, has := m.NextSave()
		if !has {
			return
		}
		w.disks[name].save(&save)
		if w.Unit() < w.crashRate {
			w.startFromDisk(name)
			return
		}
		result, err := m.Saved()
		if err != nil {
			w.Fatal(err)
		}
		for _, message := range result.Outgoing {
			w.send(inFlightMessage{from: name, to: message.To, data: message.Data})
		}
		for _, command := range result.Applied {
			if earlier, known := w.applied[command.Index]; known && earlier != command && !command.sameCommand(earlier) {
				w.Fatalf("%s applied %+v at index %d, another voter %+v", name, command, command.Index, earlier)
			}
			w.applied[command.Index] = command
			if index, known := w.appliedIndex[command.ID]; known && index != command.Index {
				w.Fatalf("command %s was applied at index %d and at index %d", command.ID, index, command.Index)
			}
			w.appliedIndex[command.ID] = command.Index
		}
		for _, number := range result.Reads {
			w.confirmedAt[name] = max(w.confirmedAt[name], w.requestedAt[number])
		}
	}
}

func (d AppliedCommand) sameCommand(other AppliedCommand) bool { return d.ID == other.ID }

// advance runs the simulation for n ticks.
func (w *simulation) advance(n int) {
	for range n {
		w.tick++
		queued := w.messages
		w.messages = nil
		for _, message := range queued {
			switch {
			case message.deliverAt > w.tick:
				w.messages = append(w.messages, message)
			case message.introduction != nil:
				answer, save, err := w.voters[message.to].ReceiveIntroduction(message.from, message.introduction)
				if err != nil {
					w.Fatal(err)
				}
				w.disks[message.to].save(&save)
				if answer != nil {
					w.send(inFlightMessage{from: message.to, to: message.from, introduction: answer})
				}
			default:
				w.voters[message.to].Step(message.from, message.data)
			}
			w.processSaves(message.to)
		}
		for _, name := range w.names {
			m := w.voters[name]
			m.Tick()
			if introduction, introduces := m.Introduce(1000 + uint64(w.tick/10)); introduces {
				for _, to := range w.names {
					if to != name {
						w.send(inFlightMessage{from: name, to: to, introduction: &introduction})
					}
				}
			}
			if m.Leads() {
				w.lastRead++
				w.requestedAt[w.lastRead] = w.tick
				m.Read(w.lastRead)
			}
			w.processSaves(name)
		}
		w.checkSingleLeader()
	}
}

// checkSingleLeader fails the test if the leadership of two voters was confirmed for the same tick. It runs after each tick.
func (w *simulation) checkSingleLeader() {
	for a, at := range w.confirmedAt {
		for b, other := range w.confirmedAt {
			if a < b && at == other && at > 0 {
				w.Fatalf("%s and %s were both confirmed leaders at tick %d", a, b, at)
			}
		}
	}
}

// leader returns a reachable voter whose leadership was confirmed for one of the last 5 ticks, or nil.
func (w *simulation) leader() *Machine {
	for _, name := range w.names {
		if m := w.voters[name]; m.Leads() && w.confirmedAt[name] >= w.tick-5 && !w.partitioned[name] {
			return m
		}
	}
	return nil
}

// eventually advances the simulation until a condition holds, and fails the test if that takes too many ticks.
func (w *simulation) eventually(maxTicks int, expected string, condition func() bool) {
	w.Helper()
	for range maxTicks {
		if condition() {
			return
		}
		w.advance(1)
	}
	for _, name := range w.names {
		m := w.voters[name]
		w.Logf("%s: ID %d, bootstrapped %t, term %d, leads %t, state index %d, partitioned %t, voter IDs %v, outgoing voter IDs %v", name, m.id, m.IsBootstrapped(), m.Term(),
			m.Leads(), m.state.Index, w.partitioned[name], m.confState.GetVoters(), m.confState.GetVotersOutgoing())
	}
	w.Fatalf("expected within %d ticks: %s", maxTicks, expected)
}

// applyCommand proposes a command until it is applied.
func (w *simulation) applyCommand(id string) {
	w.Helper()
	c := &Command{ID: CommandID(id), Quota: &QuotaChange{Tenant: "t", Quota: &quota.Quota{Rate: float64(len(w.appliedIndex) + 1), Burst: 5, MinimumShare: 0.1}}}
	w.eventually(600, id+" is applied", func() bool {
		if m := w.leader(); m != nil && w.tick%5 == 0 {
			m.Propose(c)
		}
		return w.appliedIndex[c.ID] != 0
	})
}

// sameState reports whether all voters have the same state, apart from its index.
func (w *simulation) sameState() bool {
	var first []byte
	for _, name := range w.names {
		state := *w.voters[name].State()
		state.Index = 0 // the last entry may change nothing, and then some voters may not have it yet
		if encoded := encodeCanonical(&state); first == nil {
			first = encoded
		} else if !bytes.Equal(first, encoded) {
			return false
		}
	}
	return true
}

// toleratesAnotherLoss reports whether the group can lose one more voter: a majority of each set of voters that has to agree would
// still be up. While the ID of a voter is being replaced, both the old and the new set have to agree. The ID of the lost directory
// counts in the old set.
func (w *simulation) toleratesAnotherLoss() bool {
	running := map[uint64]bool{}
	for _, m := range w.voters {
		if m.IsBootstrapped() {
			running[m.id] = true
		}
	}
	for _, m := range w.voters {
		for _, set := range [][]uint64{m.confState.GetVoters(), m.confState.GetVotersOutgoing()} {
			missing := 1
			for _, id := range set {
				if !running[id] {
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

// The group has to apply commands while a minority of its voters is lost. A voter that lost its directory has to take part again
// under a new ID. All voters have to reach the same state, and the number of voters has to stay the same.
func TestVotersAgreeAfterLossOfAMinority(t *testing.T) {
	for _, n := range []int{3, 5, 7} {
		w := newSimulation(t, n, uint64(n))
		w.eventually(200, "a confirmed leader exists", func() bool { return w.leader() != nil })
		w.applyCommand("first command")
		for i := range 3 {
			lost := w.names[i]
			w.startEmpty(lost)
			w.applyCommand(fmt.Sprint("command after the loss of directory ", i))
			w.eventually(300, "the voter with the lost directory takes part again", func() bool { return w.voters[lost].IsBootstrapped() && w.sameState() })
		}
		w.partitioned[w.names[0]] = true
		w.applyCommand("command with one voter partitioned")
		delete(w.partitioned, w.names[0])
		for _, name := range w.names {
			w.startFromDisk(name)
		}
		w.applyCommand("command after the restart of all voters")
		w.eventually(200, "all voters have the same state", w.sameState)
		if voters := w.voters[w.names[0]].State().Voters; len(voters) != n {
			t.Errorf("expected %d voters, got %+v", n, voters)
		}
	}
}

// A group must not be bootstrapped before all voters have answered. A majority of voters that lost their directories must not
// bootstrap a second group, as it would not have the commands of the first one.
func TestBootstrapNeedsAllVoters(t *testing.T) {
	w := newSimulation(t, 3, 5)
	w.partitioned["v2"] = true
	w.advance(100)
	if w.voters["v0"].IsBootstrapped() || w.voters["v1"].IsBootstrapped() {
		t.Fatal("the group was bootstrapped without v2")
	}
	delete(w.partitioned, "v2")
	w.eventually(200, "a confirmed leader exists", func() bool { return w.leader() != nil })
	w.applyCommand("command of the first group")
	w.partitioned["v2"] = true
	w.startEmpty("v0")
	w.startEmpty("v1")
	w.advance(200)
	if w.leader() != nil {
		t.Fatal("two voters that lost their directories bootstrapped a second group")
	}
	delete(w.partitioned, "v2")
	w.advance(200)
	if w.leader() != nil { // only an operator may recover the group
		t.Fatal("a group that lost the directories of its majority has a leader again without an operator")
	}
}

// New has to return an error for a directory with impossible contents, where the library would panic.
func TestInvalidDirectoryIsAnError(t *testing.T) {
	names := []membership.Name{"a", "b", "c"}
	for name, stored := range map[string]Stored{
		"no directory ID":                   {},
		"commit index beyond the log":       {ID: 1, Hard: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(99)}},
		"undecodable state in the snapshot": {ID: 1, Snapshot: &pb.Snapshot{Data: []byte{0xff}, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(3), Term: proto.Uint64(1)}}},
		"gap in the log":                    {ID: 1, Entries: []*pb.Entry{{Index: proto.Uint64(7), Term: proto.Uint64(1)}}},
	} {
		if m, err := New("a", names, stored); err == nil || m != nil && m.IsBootstrapped() {
			t.Errorf("%s: expected an error and no running node, got error %v", name, err)
		}
	}
}

// The voter that bootstraps the group first may fail right afterwards. The other initial voters have to elect a leader without it.
func TestOtherInitialVotersLeadWhenTheFirstFails(t *testing.T) {
	for seed := range uint64(10) {
		w := newSimulation(t, 3, seed+1)
		var firstVoter membership.Name
		w.eventually(100, "all three voters have bootstrapped", func() bool {
			bootstrapped := 0
			for _, name := range w.names {
				if w.voters[name].IsBootstrapped() {
					if bootstrapped++; bootstrapped == 1 {
						firstVoter = name
					}
				}
			}
			return bootstrapped == 3
		})
		w.partitioned[firstVoter] = true
		w.applyCommand("command without the first voter")
		delete(w.partitioned, firstVoter)
		w.eventually(200, "all voters have the same state", w.sameState)
	}
}

// Messages are lost, delayed and duplicated, and voters crash between saving and sending. All voters have to apply the same
// commands, each of them once. No two voters may be confirmed leaders at the same time.
func TestVotersAgreeUnderLossDelayAndCrashes(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		w := newSimulation(t, 3+2*int(seed%2), seed+1)
		w.eventually(400, "a confirmed leader exists", func() bool { return w.leader() != nil })
		w.lossRate, w.maxDelayTicks, w.crashRate = 0.15, 3, 0.01
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
			w.advance(20)
			w.applyCommand(fmt.Sprint("command ", i))
			clear(w.partitioned)
		}
		w.lossRate, w.maxDelayTicks, w.crashRate = 0, 0, 0
		w.eventually(600, "all voters have the same state", w.sameState)
	}
}

// A table of a file is applied only if its version is newer than the last one from a file. A repeated command must not be applied
// again, and the largest minimums have to be kept.
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
		t.Errorf("an older table of contracts with a newer table of quotas: failure %q, state %+v", d.Failure, s)
	}
	if repeated := file("b", 9, 9, "west"); repeated.Failure == "" || s.FileContracts != 2 {
		t.Errorf("a repeated command was applied again: %+v", repeated)
	}
	s.apply(90, &Command{ID: "q", Quota: &QuotaChange{Tenant: "t", Quota: &quota.Quota{Rate: 1, Burst: 1, MinimumShare: 0.1}}})
	if s.LargestMinimums["t"].Rate < 0.6-1e-9 {
		t.Errorf("the largest minimum was not kept: %+v", s.LargestMinimums)
	}
	if d := s.apply(91, &Command{ID: "x"}); d.Failure == "" {
		t.Error("a command without a change was accepted")
	}
	var decoded State
	if err := cbor.Unmarshal(encodeCanonical(&s), &decoded); err != nil || !bytes.Equal(encodeCanonical(&decoded), encodeCanonical(&s)) {
		t.Errorf("the decoded state differs from the encoded one: %v", err)
	}
}
