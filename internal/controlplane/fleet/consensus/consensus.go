// Package consensus lets some of the nodes, the voters, agree on the little that needs agreement: contracts, quotas, who
// votes by which directory, and, by who leads them, which node grants. Its machine is go.etcd.io/raft (Ongaro and
// Ousterhout, 2014), which does no I/O; this package adds the founding, voters that come back with an empty directory, and
// the state that is agreed on. Whoever runs it saves what Work hands out before it calls Done.
//
// One thing is not drawn from a seed: the library draws its election times itself.
package consensus

import (
	"fmt"
	"io"
	"log"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

const (
	// TickS is the length of a tick: a leader is heard each, and missed after electionTicks to twice as many, 1 to 2 s.
	TickS         = 0.1
	electionTicks = 10
	// snapshotEvery so many entries the log is cut: at 200 bytes each under a megabyte in memory.
	snapshotEvery = 2000
	mostMessage   = 256 << 10
	mostInflight  = 32
)

// ReadNo names a question whether we still lead.
type ReadNo uint64

// Kept is what a directory held.
type Kept struct {
	ID       uint64 // drawn when the directory was new; never 0
	Hard     *pb.HardState
	Snapshot *pb.Snapshot
	Entries  []*pb.Entry
}

// founded tells whether the directory took part in a council before.
func (k *Kept) founded() bool { return k.Snapshot != nil || k.Hard != nil || len(k.Entries) > 0 }

// Save is what has to be on disk before Done. Nil fields change nothing.
type Save struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot // takes the place of all entries up to its index
	Entries  []*pb.Entry  // take the place of all that are held from the first one's index on
}

// Empty tells that nothing has to be saved.
func (s *Save) Empty() bool { return s.Hard == nil && s.Snapshot == nil && len(s.Entries) == 0 }

// Out is a message to another voter.
type Out struct {
	To   membership.Name
	Data []byte
}

// Result is what came of the work in hand.
type Result struct {
	Out   []Out
	Done  []Done   // commands that acted
	Reads []ReadNo // at which we led for sure
	News  bool     // the state has changed
}

// Machine is one voter.
type Machine struct {
	self        membership.Name
	names       []membership.Name // all voters of the roster
	id          uint64
	node        *raft.RawNode // nil before the founding
	mem         *raft.MemoryStorage
	state       State
	conf        *pb.ConfState
	ready       *raft.Ready
	made        *pb.Snapshot   // waits to be saved
	unconfirmed map[uint64]int // ticks since a snapshot went to a voter, while we lead
	heard       map[membership.Name]uint64
	nonce       uint64
	found       map[membership.Name]uint64 // of the others, that are empty as of our nonce
}

// New makes a voter from what its directory held.
func New(self membership.Name, voters []membership.Name, kept Kept) (*Machine, error) {
	if kept.ID == 0 {
		return nil, errNoNumber
	}
	m := &Machine{self: self, names: slices.Sorted(slices.Values(voters)), id: kept.ID, mem: raft.NewMemoryStorage(),
		heard: map[membership.Name]uint64{}, found: map[membership.Name]uint64{}, conf: &pb.ConfState{}, unconfirmed: map[uint64]int{}}
	if !kept.founded() {
		return m, nil
	}
	return m, m.start(kept)
}

// start makes the library's machine. What a directory holds may be what the library takes for impossible.
func (m *Machine) start(kept Kept) (err error) {
	defer func() {
		if p := recover(); p != nil {
			m.node, err = nil, directoryError{p}
		}
	}()
	if kept.Snapshot != nil {
		if err := m.mem.ApplySnapshot(kept.Snapshot); err != nil {
			return err
		}
		if err := m.restore(kept.Snapshot); err != nil {
			return err
		}
	}
	if kept.Hard != nil {
		if err := m.mem.SetHardState(kept.Hard); err != nil {
			return err
		}
	}
	if err := m.mem.Append(kept.Entries); err != nil {
		return err
	}
	m.node, err = raft.NewRawNode(&raft.Config{ID: m.id, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: m.mem,
		Applied: m.state.Index, MaxSizePerMsg: mostMessage, MaxInflightMsgs: mostInflight, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	return err
}

func (m *Machine) restore(s *pb.Snapshot) error {
	var state State
	if err := cbor.Unmarshal(s.Data, &state); err != nil {
		return fmt.Errorf("snapshot %d: %w", s.GetMetadata().GetIndex(), err)
	}
	m.state, m.conf = state, s.GetMetadata().GetConfState()
	return nil
}

// State is what is agreed on as far as this voter knows. It is not to be changed.
func (m *Machine) State() *State { return &m.state }

// Founded tells whether this voter takes part in a council.
func (m *Machine) Founded() bool { return m.node != nil }

// Leads tells whether this voter thinks that it leads; only a Read tells whether it is so.
func (m *Machine) Leads() bool {
	return m.node != nil && m.node.BasicStatus().RaftState == raft.StateLeader
}

// Term is that of the voter, Leader the name of who leads as far as it knows.
func (m *Machine) Term() uint64 {
	if m.node == nil {
		return 0
	}
	return m.node.BasicStatus().GetTerm()
}

// Leader is the voter that leads, as far as this one knows; "" for none.
func (m *Machine) Leader() membership.Name {
	if m.node == nil {
		return ""
	}
	return m.name(m.node.BasicStatus().Lead)
}

func (m *Machine) name(id uint64) membership.Name {
	if id == m.id && id != 0 {
		return m.self
	}
	for _, v := range m.state.Voters {
		if v.ID == id {
			return v.Name
		}
	}
	for name, has := range m.heard {
		if has == id {
			return name
		}
	}
	return ""
}

// Tick tells that a tick has passed.
func (m *Machine) Tick() {
	if m.node == nil {
		return
	}
	m.node.Tick()
	m.resendSnapshots()
}

// Step takes what another voter said. What can't be read changes nothing.
func (m *Machine) Step(from membership.Name, data []byte) error {
	if m.node == nil || !slices.Contains(m.names, from) {
		return nil
	}
	msg := &pb.Message{}
	if err := proto.Unmarshal(data, msg); err != nil {
		return err
	}
	if msg.GetTo() != m.id { // for another directory of ours
		return nil
	}
	if m.name(msg.GetFrom()) == "" {
		m.heard[from] = msg.GetFrom()
	}
	if m.name(msg.GetFrom()) != from {
		return impostorError{from, msg.GetFrom()}
	}
	return m.node.Step(msg)
}

// Propose asks the council for a command. Whether it acts shows in a Result; it may get lost.
func (m *Machine) Propose(c *Command) error {
	if !m.Leads() {
		return ErrNotLeader
	}
	return m.node.Propose(encoded(c))
}

// Read asks whether we lead.
func (m *Machine) Read(no ReadNo) {
	if m.Leads() {
		m.node.ReadIndex(encoded(no))
	}
}

// Work hands out what has to be saved, once what was handed out before is Done.
func (m *Machine) Work() (s Save, has bool) {
	if m.node == nil || m.ready != nil || m.made == nil && !m.node.HasReady() {
		return s, false
	}
	rd := m.node.Ready()
	m.ready = &rd
	s.Entries = rd.Entries
	if !raft.IsEmptyHardState(rd.HardState) {
		s.Hard = rd.HardState
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		s.Snapshot = rd.Snapshot
	} else if m.made != nil {
		s.Snapshot = m.made
	}
	m.made = nil
	return s, true
}

// Done goes on after the work in hand was saved.
func (m *Machine) Done() (r Result, err error) {
	rd := m.ready
	if rd == nil {
		return r, nil
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := m.mem.ApplySnapshot(rd.Snapshot); err != nil {
			return r, err
		}
		if err := m.restore(rd.Snapshot); err != nil {
			return r, err
		}
		r.News = true
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := m.mem.SetHardState(rd.HardState); err != nil {
			return r, err
		}
	}
	if err := m.mem.Append(rd.Entries); err != nil {
		return r, err
	}
	for _, msg := range rd.Messages {
		if to := m.name(msg.GetTo()); to != "" {
			data, err := proto.Marshal(msg)
			if err != nil {
				return r, err
			}
			r.Out = append(r.Out, Out{to, data})
		}
	}
	reseated := false
	for _, e := range rd.CommittedEntries {
		seats, err := m.commit(e, &r)
		if err != nil {
			return r, err
		}
		reseated = reseated || seats
	}
	for _, read := range rd.ReadStates {
		var no ReadNo
		if cbor.Unmarshal(read.RequestCtx, &no) == nil {
			r.Reads = append(r.Reads, no)
		}
	}
	m.ready = nil
	m.node.Advance(*rd)
	if first, _ := m.mem.FirstIndex(); reseated || m.state.Index > first+snapshotEvery {
		err = m.cut()
	}
	return r, err
}

// commit takes an entry that is agreed on, and tells whether it changed who votes.
func (m *Machine) commit(e *pb.Entry, r *Result) (seats bool, err error) {
	m.state.Index = e.GetIndex()
	switch e.GetType() {
	case pb.EntryNormal:
		if len(e.Data) == 0 { // a leader's first
			return false, nil
		}
		var c Command
		if err := cbor.Unmarshal(e.Data, &c); err != nil {
			return false, fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		r.Done, r.News = append(r.Done, m.state.apply(e.GetIndex(), &c)), true
		return false, nil
	case pb.EntryConfChangeV2:
		cc := &pb.ConfChangeV2{}
		if err := proto.Unmarshal(e.Data, cc); err != nil {
			return false, err
		}
		var v Voter
		if len(cc.Context) > 0 {
			if err := cbor.Unmarshal(cc.Context, &v); err != nil {
				return false, err
			}
			m.state.replace(v)
		}
		m.conf, r.News = m.node.ApplyConfChange(cc), true
		return true, nil
	}
	return false, nil
}
