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
	// TickSeconds is the length of a tick: a leader is heard each, and missed after electionTicks to twice as many, 1 to 2 s.
	TickSeconds   = 0.1
	electionTicks = 10
	// snapshotInterval so many entries the log is cut: at 200 bytes each under a megabyte in memory.
	snapshotInterval    = 2000
	maxMessageBytes     = 256 << 10
	maxInflightMessages = 32
)

// ReadNumber names a question whether we still lead.
type ReadNumber uint64

// Stored is what a directory held.
type Stored struct {
	ID       uint64 // drawn when the directory was new; never 0
	Hard     *pb.HardState
	Snapshot *pb.Snapshot
	Entries  []*pb.Entry
}

// founded tells whether the directory took part in a consensus before.
func (k *Stored) founded() bool { return k.Snapshot != nil || k.Hard != nil || len(k.Entries) > 0 }

// Save is what has to be on disk before Done. Nil fields change nothing.
type Save struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot // takes the place of all entries up to its index
	Entries  []*pb.Entry  // take the place of all that are held from the first one's index on
}

// Empty tells that nothing has to be saved.
func (s *Save) Empty() bool { return s.Hard == nil && s.Snapshot == nil && len(s.Entries) == 0 }

// Outgoing is a message to another voter.
type Outgoing struct {
	To   membership.Name
	Data []byte
}

// Result is what came of the work in hand.
type Result struct {
	Outgoing     []Outgoing
	Applied      []AppliedCommand // commands that acted
	Reads        []ReadNumber     // at which we led for sure
	StateChanged bool             // the state has changed
}

// Machine is one voter.
type Machine struct {
	self            membership.Name
	voterNames      []membership.Name // all voters of the membership
	id              uint64
	node            *raft.RawNode // nil before the founding
	storage         *raft.MemoryStorage
	state           State
	confState       *pb.ConfState
	ready           *raft.Ready
	pendingSnapshot *pb.Snapshot   // waits to be saved
	unconfirmed     map[uint64]int // ticks since a snapshot went to a voter, while we lead
	receivedIDs     map[membership.Name]uint64
	nonce           uint64
	emptyPeers      map[membership.Name]uint64 // of the others, that are empty as of our nonce
}

// New makes a voter from what its directory held.
func New(self membership.Name, voters []membership.Name, kept Stored) (*Machine, error) {
	if kept.ID == 0 {
		return nil, errNoDirectoryID
	}
	m := &Machine{self: self, voterNames: slices.Sorted(slices.Values(voters)), id: kept.ID, storage: raft.NewMemoryStorage(),
		receivedIDs: map[membership.Name]uint64{}, emptyPeers: map[membership.Name]uint64{}, confState: &pb.ConfState{}, unconfirmed: map[uint64]int{}}
	if !kept.founded() {
		return m, nil
	}
	return m, m.start(kept)
}

// startFromDisk makes the library's machine. What a directory holds may be what the library takes for impossible.
func (m *Machine) start(kept Stored) (err error) {
	defer func() {
		if p := recover(); p != nil {
			m.node, err = nil, directoryError{p}
		}
	}()
	if kept.Snapshot != nil {
		if err := m.storage.ApplySnapshot(kept.Snapshot); err != nil {
			return err
		}
		if err := m.restore(kept.Snapshot); err != nil {
			return err
		}
	}
	if kept.Hard != nil {
		if err := m.storage.SetHardState(kept.Hard); err != nil {
			return err
		}
	}
	if err := m.storage.Append(kept.Entries); err != nil {
		return err
	}
	m.node, err = raft.NewRawNode(&raft.Config{ID: m.id, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: m.storage,
		Applied: m.state.Index, MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	return err
}

func (m *Machine) restore(s *pb.Snapshot) error {
	var state State
	if err := cbor.Unmarshal(s.Data, &state); err != nil {
		return fmt.Errorf("snapshot %d: %w", s.GetMetadata().GetIndex(), err)
	}
	m.state, m.confState = state, s.GetMetadata().GetConfState()
	return nil
}

// State is what is agreed on as far as this voter knows. It is not to be changed.
func (m *Machine) State() *State { return &m.state }

// Founded tells whether this voter takes part in a consensus.
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
	for name, has := range m.receivedIDs {
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
	if m.node == nil || !slices.Contains(m.voterNames, from) {
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
		m.receivedIDs[from] = msg.GetFrom()
	}
	if m.name(msg.GetFrom()) != from {
		return impostorError{from, msg.GetFrom()}
	}
	return m.node.Step(msg)
}

// Propose asks the consensus for a command. Whether it acts shows in a Result; it may get lost.
func (m *Machine) Propose(c *Command) error {
	if !m.Leads() {
		return ErrNotLeader
	}
	return m.node.Propose(encoded(c))
}

// Read asks whether we lead.
func (m *Machine) Read(no ReadNumber) {
	if m.Leads() {
		m.node.ReadIndex(encoded(no))
	}
}

// NextSave hands out what has to be saved, once what was handed out before is Done.
func (m *Machine) NextSave() (s Save, has bool) {
	if m.node == nil || m.ready != nil || m.pendingSnapshot == nil && !m.node.HasReady() {
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
	} else if m.pendingSnapshot != nil {
		s.Snapshot = m.pendingSnapshot
	}
	m.pendingSnapshot = nil
	return s, true
}

// Done goes on after the work in hand was saved.
func (m *Machine) Saved() (r Result, err error) {
	rd := m.ready
	if rd == nil {
		return r, nil
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := m.storage.ApplySnapshot(rd.Snapshot); err != nil {
			return r, err
		}
		if err := m.restore(rd.Snapshot); err != nil {
			return r, err
		}
		r.StateChanged = true
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := m.storage.SetHardState(rd.HardState); err != nil {
			return r, err
		}
	}
	if err := m.storage.Append(rd.Entries); err != nil {
		return r, err
	}
	for _, msg := range rd.Messages {
		if to := m.name(msg.GetTo()); to != "" {
			data, err := proto.Marshal(msg)
			if err != nil {
				return r, err
			}
			r.Outgoing = append(r.Outgoing, Outgoing{to, data})
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
		var no ReadNumber
		if cbor.Unmarshal(read.RequestCtx, &no) == nil {
			r.Reads = append(r.Reads, no)
		}
	}
	m.ready = nil
	m.node.Advance(*rd)
	if first, _ := m.storage.FirstIndex(); reseated || m.state.Index > first+snapshotInterval {
		err = m.compact()
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
		r.Applied, r.StateChanged = append(r.Applied, m.state.apply(e.GetIndex(), &c)), true
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
		m.confState, r.StateChanged = m.node.ApplyConfChange(cc), true
		return true, nil
	}
	return false, nil
}
