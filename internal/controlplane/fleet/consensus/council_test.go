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

// disk is what a voter saved, as its store would hold it.
type disk struct{ kept Kept }

func (d *disk) save(s *Save) {
	if s.Hard != nil {
		d.kept.Hard = proto.Clone(s.Hard).(*pb.HardState)
	}
	if s.Snapshot != nil {
		d.kept.Snapshot = s.Snapshot
		for len(d.kept.Entries) > 0 && d.kept.Entries[0].GetIndex() <= s.Snapshot.GetMetadata().GetIndex() {
			d.kept.Entries = d.kept.Entries[1:]
		}
	}
	for i, e := range s.Entries {
		if i == 0 {
			for n := len(d.kept.Entries); n > 0 && d.kept.Entries[n-1].GetIndex() >= e.GetIndex(); n-- {
				d.kept.Entries = d.kept.Entries[:n-1]
			}
		}
		d.kept.Entries = append(d.kept.Entries, proto.Clone(e).(*pb.Entry))
	}
}

type flying struct {
	at       int
	from, to membership.Name
	data     []byte
	intro    *Intro
}

// net plays a council by ticks: messages lost, late and doubled, voters that crash between saving and speaking, that come
// back with what they saved or with nothing.
type net struct {
	testing.TB
	random.PCG
	names    []membership.Name
	voters   map[membership.Name]*Machine
	disks    map[membership.Name]*disk
	messages []flying
	tick     int
	lossy    float64
	late     int
	cut      map[membership.Name]bool
	applied  map[uint64]Done // by index: what any voter applied there
	acted    map[CommandID]uint64
	reads    map[membership.Name]int // tick of the question of a read that was confirmed
	asked    map[ReadNo]int
	readNo   ReadNo
	crash    float64             // chance between saving and going on
	drops    func(f flying) bool // nil for none
	lost     uint64
}

func newNet(t testing.TB, n int, seed uint64) *net {
	w := &net{TB: t, PCG: random.PCG(seed), voters: map[membership.Name]*Machine{}, disks: map[membership.Name]*disk{}, cut: map[membership.Name]bool{},
		applied: map[uint64]Done{}, acted: map[CommandID]uint64{}, reads: map[membership.Name]int{}, asked: map[ReadNo]int{}}
	for i := range n {
		w.names = append(w.names, membership.Name(fmt.Sprintf("v%d", i)))
	}
	for _, name := range w.names {
		w.lose(name)
	}
	return w
}

// lose begins a voter with an empty directory, start with what it saved.
func (w *net) lose(name membership.Name) {
	w.lost++
	w.disks[name] = &disk{Kept{ID: 1000*w.lost + uint64(len(name))}}
	w.start(name)
}

func (w *net) start(name membership.Name) {
	m, err := New(name, w.names, w.disks[name].kept)
	if err != nil {
		w.Fatal(err)
	}
	w.voters[name] = m
}

func (w *net) send(f flying) {
	if w.cut[f.from] || w.cut[f.to] || w.Unit() < w.lossy || w.drops != nil && w.drops(f) {
		return
	}
	f.at = w.tick + 1 + int(w.Unit()*float64(w.late))
	w.messages = append(w.messages, f)
	if w.lossy > 0 && w.Unit() < 0.05 {
		w.messages = append(w.messages, f)
	}
}

func (w *net) work(name membership.Name) {
	m := w.voters[name]
	for range 100 {
		s, has := m.Work()
		if !has {
			return
		}
		w.disks[name].save(&s)
		if w.Unit() < w.crash {
			w.start(name)
			return
		}
		r, err := m.Done()
		if err != nil {
			w.Fatal(err)
		}
		for _, o := range r.Out {
			w.send(flying{from: name, to: o.To, data: o.Data})
		}
		for _, d := range r.Done {
			if had, known := w.applied[d.Index]; known && had != d && !d.again(had) {
				w.Fatalf("%s applied %+v at %d, another %+v", name, d, d.Index, had)
			}
			w.applied[d.Index] = d
			if at, known := w.acted[d.ID]; known && at != d.Index {
				w.Fatalf("command %s acted at %d and at %d", d.ID, at, d.Index)
			}
			w.acted[d.ID] = d.Index
		}
		for _, no := range r.Reads {
			w.reads[name] = max(w.reads[name], w.asked[no])
		}
	}
}

func (d Done) again(o Done) bool { return d.ID == o.ID }

// ticks plays some.
func (w *net) ticks(n int) {
	for range n {
		w.tick++
		waiting := w.messages
		w.messages = nil
		for _, l := range waiting {
			switch {
			case l.at > w.tick:
				w.messages = append(w.messages, l)
			case l.intro != nil:
				answer, save, err := w.voters[l.to].Introduced(l.from, l.intro)
				if err != nil {
					w.Fatal(err)
				}
				w.disks[l.to].save(&save)
				if answer != nil {
					w.send(flying{from: l.to, to: l.from, intro: answer})
				}
			default:
				w.voters[l.to].Step(l.from, l.data)
			}
			w.work(l.to)
		}
		for _, name := range w.names {
			m := w.voters[name]
			m.Tick()
			if in, say := m.Introduce(1000 + uint64(w.tick/10)); say {
				for _, to := range w.names {
					if to != name {
						w.send(flying{from: name, to: to, intro: &in})
					}
				}
			}
			if m.Leads() {
				w.readNo++
				w.asked[w.readNo] = w.tick
				m.Read(w.readNo)
			}
			w.work(name)
		}
		w.check()
	}
}

// check holds what must be so after each step: no two voters led for sure at the same time.
func (w *net) check() {
	for a, at := range w.reads {
		for b, other := range w.reads {
			if a < b && at == other && at > 0 {
				w.Fatalf("%s and %s both led for sure at tick %d", a, b, at)
			}
		}
	}
}

func (w *net) leader() *Machine {
	for _, name := range w.names {
		if m := w.voters[name]; m.Leads() && w.reads[name] >= w.tick-5 && !w.cut[name] {
			return m
		}
	}
	return nil
}

func (w *net) eventually(ticks int, what string, is func() bool) {
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
			m.Leads(), m.state.Index, w.cut[name], m.conf.GetVoters(), m.conf.GetVotersOutgoing())
	}
	w.Fatalf("not within %d ticks: %s", ticks, what)
}

// act gives the council a command and waits until it acts.
func (w *net) act(id string) {
	w.Helper()
	c := &Command{ID: CommandID(id), Quota: &QuotaChange{Tenant: "t", Quota: &quota.Quota{PerS: float64(len(w.acted) + 1), Burst: 5, Floor: 0.1}}}
	w.eventually(600, id+" acts", func() bool {
		if m := w.leader(); m != nil && w.tick%5 == 0 {
			m.Propose(c)
		}
		return w.acted[c.ID] != 0
	})
}

func (w *net) same() bool {
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

// bears tells whether one voter more may be missing: of each set of voters that has to agree, a majority would still be there. While
// a voter's new directory takes the place of the lost one both sets have to, and the lost one stands in the older.
func (w *net) bears() bool {
	there := map[uint64]bool{}
	for _, m := range w.voters {
		if m.Founded() {
			there[m.id] = true
		}
	}
	for _, m := range w.voters {
		for _, set := range [][]uint64{m.conf.GetVoters(), m.conf.GetVotersOutgoing()} {
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

// A council is founded once, acts through the loss of any minority, and a voter that lost its directory takes part again by
// another number: all with the same state.
func TestCouncil(t *testing.T) {
	for _, n := range []int{3, 5, 7} {
		w := newNet(t, n, uint64(n))
		w.eventually(200, "somebody leads", func() bool { return w.leader() != nil })
		w.act("first")
		for i := range 3 {
			lost := w.names[i]
			w.lose(lost)
			w.act(fmt.Sprint("after a directory was lost ", i))
			w.eventually(300, "it takes part again", func() bool { return w.voters[lost].Founded() && w.same() })
		}
		w.cut[w.names[0]] = true
		w.act("with one cut off")
		delete(w.cut, w.names[0])
		for _, name := range w.names {
			w.start(name)
		}
		w.act("after all began again")
		w.eventually(200, "all have the same state", w.same)
		if voters := w.voters[w.names[0]].State().Voters; len(voters) != n {
			t.Errorf("%d voters: %+v", n, voters)
		}
	}
}

// No majority with empty directories makes a council of its own beside one that is there, and none is founded before all
// voters were heard.
func TestFoundingNeedsAll(t *testing.T) {
	w := newNet(t, 3, 5)
	w.cut["v2"] = true
	w.ticks(100)
	if w.voters["v0"].Founded() || w.voters["v1"].Founded() {
		t.Fatal("founded without v2")
	}
	delete(w.cut, "v2")
	w.eventually(200, "somebody leads", func() bool { return w.leader() != nil })
	w.act("a contract")
	w.cut["v2"] = true
	w.lose("v0")
	w.lose("v1")
	w.ticks(200)
	if w.leader() != nil {
		t.Fatal("two voters that lost everything lead a new council")
	}
	delete(w.cut, "v2")
	w.ticks(200)
	if w.leader() != nil { // the way back is an operator's
		t.Fatal("a council that lost its majority for good came back by itself")
	}
}

// A directory that holds what can't be is an error, and ends nobody.
func TestImpossibleDirectories(t *testing.T) {
	names := []membership.Name{"a", "b", "c"}
	for what, kept := range map[string]Kept{
		"no number":               {},
		"a commit beyond the log": {ID: 1, Hard: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(99)}},
		"a snapshot of no state":  {ID: 1, Snapshot: &pb.Snapshot{Data: []byte{0xff}, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(3), Term: proto.Uint64(1)}}},
		"a log with a gap in it":  {ID: 1, Entries: []*pb.Entry{{Index: proto.Uint64(7), Term: proto.Uint64(1)}}},
	} {
		if m, err := New("a", names, kept); err == nil || m != nil && m.Founded() {
			t.Errorf("%s is taken: %v", what, err)
		}
	}
}

// Whoever wrote the council down first may fail at once: the other founders lead without it.
func TestFounderFails(t *testing.T) {
	for seed := range uint64(10) {
		w := newNet(t, 3, seed+1)
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
		w.cut[founder] = true
		w.act("without its founder")
		delete(w.cut, founder)
		w.eventually(200, "all have the same state", w.same)
	}
}

// Under loss, delay, doubling and crashes between saving and speaking, all apply the same, each command once, and no two
// lead for sure at one time.
func TestCouncilUnderFaults(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		w := newNet(t, 3+2*int(seed%2), seed+1)
		w.eventually(400, "somebody leads", func() bool { return w.leader() != nil })
		w.lossy, w.late, w.crash = 0.15, 3, 0.01
		for i := range 8 {
			victim := w.names[int(w.Unit()*float64(len(w.names)))]
			switch u := w.Unit(); {
			case u < 0.3:
				w.eventually(400, "the council bears another loss", w.bears)
				w.cut[victim] = true
			case u < 0.6:
				w.start(victim)
			case u < 0.7 && w.same() && w.bears():
				w.lose(victim)
			}
			w.ticks(20)
			w.act(fmt.Sprint("command ", i))
			clear(w.cut)
		}
		w.lossy, w.late, w.crash = 0, 0, 0
		w.eventually(600, "all have the same state", w.same)
	}
}

func TestStateTakesFilesByVersion(t *testing.T) {
	s := State{}
	file := func(id string, contracts, quotas int, zone string) Done {
		return s.apply(uint64(len(s.Done)+2), &Command{ID: CommandID(id), File: &FileTables{ContractsVersion: contracts, QuotasVersion: quotas,
			Contracts: map[residency.Tenant]residency.Contract{"t": {Zones: []string{zone}}}, Quotas: map[quota.Tenant]quota.Quota{"t": {PerS: float64(quotas), Burst: 50, Floor: 0.2}}}})
	}
	if d := file("a", 2, 2, "north"); d.Wrong != "" {
		t.Fatal(d.Wrong)
	}
	if d := file("b", 1, 3, "south"); d.Wrong == "" || s.Contracts.Contracts["t"].Zones[0] != "north" || s.Quotas["t"].PerS != 3 {
		t.Errorf("an older contract beside newer quotas: %q %+v", d.Wrong, s)
	}
	if again := file("b", 9, 9, "west"); again.Wrong == "" || s.FileContracts != 2 {
		t.Errorf("the same command acted twice: %+v", again)
	}
	s.apply(90, &Command{ID: "q", Quota: &QuotaChange{Tenant: "t", Quota: &quota.Quota{PerS: 1, Burst: 1, Floor: 0.1}}})
	if s.Floors["t"].PerS < 0.6-1e-9 {
		t.Errorf("the largest floor is forgotten: %+v", s.Floors)
	}
	if d := s.apply(91, &Command{ID: "x"}); d.Wrong == "" {
		t.Error("a command of nothing is taken")
	}
	var back State
	if err := cbor.Unmarshal(encoded(&s), &back); err != nil || !bytes.Equal(encoded(&back), encoded(&s)) {
		t.Errorf("a state does not come back as it was: %v", err)
	}
}
