// Package consensus lets a few of the nodes, the voters, agree on contracts and quotas, on which directory each voter votes
// by, and, through the election of a leader, on the node that grants. It uses go.etcd.io/raft (Ongaro and Ousterhout, "In
// search of an understandable consensus algorithm", 2014; the sections cited below are of Ongaro's dissertation), which does
// no I/O. This package adds the founding, the replacement of a voter that lost its directory, and the replicated state.
//
// Whoever runs a Machine saves what NextSave returns before it calls Saved, and sends messages only afterwards.
//
// A Machine is deterministic but for the election time-outs, which the library draws itself.
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
	// TickSeconds is the length of a tick. A leader sends a heartbeat each tick; a voter starts an election after electionTicks
	// to twice as many without one, 1 to 2 s.
	TickSeconds   = 0.1
	electionTicks = 10
	// snapshotInterval is after how many entries the log is compacted: at 200 bytes each it takes under a megabyte in memory.
	snapshotInterval    = 2000
	maxMessageBytes     = 256 << 10
	maxInflightMessages = 32
)

// ReadNumber identifies a Read.
type ReadNumber uint64

// Stored is what a voter's directory contains.
type Stored struct {
	ID       uint64 // drawn when the directory was new; never 0
	Hard     *pb.HardState
	Snapshot *pb.Snapshot
	Entries  []*pb.Entry
}

// hasState tells whether the directory was part of a consensus group before.
func (s *Stored) hasState() bool { return s.Snapshot != nil || s.Hard != nil || len(s.Entries) > 0 }

// Save is what has to be on disk before Saved is called. Nil fields change nothing.
type Save struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot // replaces all entries up to its index
	Entries  []*pb.Entry  // replace all entries from the first one's index on
}

// Empty tells that nothing has to be saved.
func (s *Save) Empty() bool { return s.Hard == nil && s.Snapshot == nil && len(s.Entries) == 0 }

// Outgoing is a message to another voter.
type Outgoing struct {
	To   membership.Name
	Data []byte
}

// Result is what follows once a save is on disk.
type Result struct {
	Outgoing     []Outgoing
	Applied      []AppliedCommand // commands that were committed
	Reads        []ReadNumber     // confirmed: this voter led when they were sent
	StateChanged bool
}

// Machine is one voter. One goroutine uses it.
type Machine struct {
	self                 membership.Name
	voterNames           []membership.Name // of the membership
	id                   uint64
	node                 *raft.RawNode // nil before the founding
	storage              *raft.MemoryStorage
	state                State
	confState            *pb.ConfState
	ready                *raft.Ready
	pendingSnapshot      *pb.Snapshot   // of our own, to be saved
	pendingSnapshotTicks map[uint64]int // ticks since a snapshot was sent to a voter, while we lead
	// receivedIDs are those that voters gave in introductions.
	receivedIDs map[membership.Name]uint64
	nonce       uint64
	emptyPeers  map[membership.Name]uint64 // IDs of the voters that answered our nonce from an empty directory
}

// New makes a voter from what its directory contains. The error says why that is no voter's state; the library's panic about
// it is one.
func New(self membership.Name, voters []membership.Name, stored Stored) (*Machine, error) {
	if stored.ID == 0 {
		return nil, errNoDirectoryID
	}
	m := &Machine{self: self, voterNames: slices.Sorted(slices.Values(voters)), id: stored.ID, storage: raft.NewMemoryStorage(),
		receivedIDs: map[membership.Name]uint64{}, emptyPeers: map[membership.Name]uint64{}, confState: &pb.ConfState{}, pendingSnapshotTicks: map[uint64]int{}}
	if !stored.hasState() {
		return m, nil
	}
	return m, m.startNode(stored)
}

// start makes the library's node. It panics about impossible contents of a directory.
func (m *Machine) startNode(stored Stored) (err error) {
	defer func() {
		if p := recover(); p != nil {
			m.node, err = nil, directoryError{p}
		}
	}()
	if stored.Snapshot != nil {
		if err := m.storage.ApplySnapshot(stored.Snapshot); err != nil {
			return err
		}
		if err := m.restoreSnapshot(stored.Snapshot); err != nil {
			return err
		}
	}
	if stored.Hard != nil {
		if err := m.storage.SetHardState(stored.Hard); err != nil {
			return err
		}
	}
	if err := m.storage.Append(stored.Entries); err != nil {
		return err
	}
	m.node, err = raft.NewRawNode(&raft.Config{ID: m.id, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: m.storage,
		Applied: m.state.Index, MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	return err
}

func (m *Machine) restoreSnapshot(s *pb.Snapshot) error {
	var state State
	if err := cbor.Unmarshal(s.Data, &state); err != nil {
		return fmt.Errorf("snapshot %d: %w", s.GetMetadata().GetIndex(), err)
	}
	m.state, m.confState = state, s.GetMetadata().GetConfState()
	return nil
}

// State is what this voter knows to be agreed on. It must not be modified.
func (m *Machine) State() *State { return &m.state }

// Founded tells whether this voter takes part in a consensus group.
func (m *Machine) IsBootstrapped() bool { return m.node != nil }

// Leads tells whether this voter believes that it leads; a Read confirms it.
func (m *Machine) Leads() bool {
	return m.node != nil && m.node.BasicStatus().RaftState == raft.StateLeader
}

// Term is the voter's, 0 before the founding.
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
	return m.voterName(m.node.BasicStatus().Lead)
}

// name is the voter with an ID, "" for none.
func (m *Machine) voterName(id uint64) membership.Name {
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

// Tick advances the time-outs by TickSeconds.
func (m *Machine) Tick() {
	if m.node == nil {
		return
	}
	m.node.Tick()
	m.resendSnapshots()
}

// Step takes a message of another voter. An error says that it is unreadable or comes under another voter's ID; it changed
// nothing.
func (m *Machine) Step(from membership.Name, data []byte) error {
	if m.node == nil || !slices.Contains(m.voterNames, from) {
		return nil
	}
	msg := &pb.Message{}
	if err := proto.Unmarshal(data, msg); err != nil {
		return err
	}
	if msg.GetTo() != m.id { // for a directory that we had before
		return nil
	}
	if m.voterName(msg.GetFrom()) == "" {
		m.receivedIDs[from] = msg.GetFrom()
	}
	if m.voterName(msg.GetFrom()) != from {
		return voterIDMismatchError{from, msg.GetFrom()}
	}
	return m.node.Step(msg)
}

// Propose starts replication of a command. A Result tells once it is applied; it may get lost. The error is ErrNotLeader or
// the library's.
func (m *Machine) Propose(c *Command) error {
	if !m.Leads() {
		return ErrNotLeader
	}
	return m.node.Propose(encodeCanonical(c))
}

// Read asks whether we still lead (a read index, section 6.4); a Result confirms it.
func (m *Machine) Read(no ReadNumber) {
	if m.Leads() {
		m.node.ReadIndex(encodeCanonical(no))
	}
}

// NextSave returns what has to be saved next; false where there is nothing to do, or the save before is not Saved.
func (m *Machine) NextSave() (save Save, has bool) {
	if m.node == nil || m.ready != nil || m.pendingSnapshot == nil && !m.node.HasReady() {
		return save, false
	}
	ready := m.node.Ready()
	m.ready = &ready
	save.Entries = ready.Entries
	if !raft.IsEmptyHardState(ready.HardState) {
		save.Hard = ready.HardState
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		save.Snapshot = ready.Snapshot
	} else if m.pendingSnapshot != nil {
		save.Snapshot = m.pendingSnapshot
	}
	m.pendingSnapshot = nil
	return save, true
}

// Saved goes on once the last save is on disk. After an error the machine must not be used any more.
func (m *Machine) Saved() (result Result, err error) {
	ready := m.ready
	if ready == nil {
		return result, nil
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := m.storage.ApplySnapshot(ready.Snapshot); err != nil {
			return result, err
		}
		if err := m.restoreSnapshot(ready.Snapshot); err != nil {
			return result, err
		}
		result.StateChanged = true
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		if err := m.storage.SetHardState(ready.HardState); err != nil {
			return result, err
		}
	}
	if err := m.storage.Append(ready.Entries); err != nil {
		return result, err
	}
	for _, msg := range ready.Messages {
		if to := m.voterName(msg.GetTo()); to != "" {
			data, err := proto.Marshal(msg)
			if err != nil {
				return result, err
			}
			result.Outgoing = append(result.Outgoing, Outgoing{to, data})
		}
	}
	votersChanged := false
	for _, entry := range ready.CommittedEntries {
		changed, err := m.applyEntry(entry, &result)
		if err != nil {
			return result, err
		}
		votersChanged = votersChanged || changed
	}
	for _, read := range ready.ReadStates {
		var number ReadNumber
		if cbor.Unmarshal(read.RequestCtx, &number) == nil {
			result.Reads = append(result.Reads, number)
		}
	}
	m.ready = nil
	m.node.Advance(*ready)
	if first, _ := m.storage.FirstIndex(); votersChanged || m.state.Index > first+snapshotInterval {
		err = m.compact()
	}
	return result, err
}

// commit applies a committed entry, and tells whether it changed the voters.
func (m *Machine) applyEntry(entry *pb.Entry, result *Result) (votersChanged bool, err error) {
	m.state.Index = entry.GetIndex()
	switch entry.GetType() {
	case pb.EntryNormal:
		if len(entry.Data) == 0 { // a new leader's empty entry
			return false, nil
		}
		var command Command
		if err := cbor.Unmarshal(entry.Data, &command); err != nil {
			return false, fmt.Errorf("entry %d: %w", entry.GetIndex(), err)
		}
		result.Applied, result.StateChanged = append(result.Applied, m.state.apply(entry.GetIndex(), &command)), true
		return false, nil
	case pb.EntryConfChangeV2:
		change := &pb.ConfChangeV2{}
		if err := proto.Unmarshal(entry.Data, change); err != nil {
			return false, err
		}
		var voter Voter
		if len(change.Context) > 0 {
			if err := cbor.Unmarshal(change.Context, &voter); err != nil {
				return false, err
			}
			m.state.setVoterID(voter)
		}
		m.confState, result.StateChanged = m.node.ApplyConfChange(change), true
		return true, nil
	}
	return false, nil
}
