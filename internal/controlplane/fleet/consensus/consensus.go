// Package consensus implements the agreement among the voters, a few nodes of the fleet. The voters agree on the contracts, on
// the quotas, and on the directory ID of each voter. They elect a leader, which is the granter.
//
// The package uses go.etcd.io/raft. The algorithm is described in Ongaro and Ousterhout, "In search of an understandable consensus
// algorithm", 2014. Sections cited below are those of Ongaro's dissertation. This package adds the bootstrap of the group, the
// replacement of a voter that lost its directory, and the replicated state.
//
// Package fleet runs one Machine for each voter. The caller of a Machine must write to disk what NextSave returns before it calls
// Saved, and must send messages only afterwards. A Machine never does I/O itself. It is deterministic except for the election
// timeouts, which the library draws at random.
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
	// TickSeconds is the length of a tick. A leader sends a heartbeat in each tick.
	TickSeconds = 0.1
	// electionTicks is the shortest election timeout. A voter starts an election after electionTicks to twice as many ticks without
	// a heartbeat, that is after 1 to 2 s.
	electionTicks = 10
	// snapshotInterval is the number of entries after which the log is compacted. At 200 bytes an entry, the log takes less than a
	// megabyte of memory.
	snapshotInterval = 2000
	// maxMessageBytes limits the total size of the entries in one message.
	maxMessageBytes = 256 << 10
	// maxInflightMessages limits the messages with entries that one follower has not acknowledged.
	maxInflightMessages = 32
)

// ReadNumber identifies a call of Machine.Read.
type ReadNumber uint64

// Stored is the content of a voter's directory.
type Stored struct {
	ID       uint64 // ID of the directory, drawn at random when the directory was created; never 0
	Hard     *pb.HardState
	Snapshot *pb.Snapshot
	Entries  []*pb.Entry
}

// hasState reports whether the directory belongs to a consensus group already.
func (s *Stored) hasState() bool { return s.Snapshot != nil || s.Hard != nil || len(s.Entries) > 0 }

// Save is the data that has to be on disk before Machine.Saved is called. A nil field leaves the stored value unchanged.
type Save struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot // replaces all entries up to its index
	Entries  []*pb.Entry  // replace all entries from the first one's index on
}

// Empty reports whether there is nothing to save.
func (s *Save) Empty() bool { return s.Hard == nil && s.Snapshot == nil && len(s.Entries) == 0 }

// Outgoing is a message to another voter.
type Outgoing struct {
	To   membership.Name
	Data []byte
}

// Result holds the effects of a save that is on disk.
type Result struct {
	Outgoing     []Outgoing
	Applied      []AppliedCommand // commands that were committed and applied
	Reads        []ReadNumber     // confirmed reads: this voter led when they were sent
	StateChanged bool
}

// Machine is the state machine of one voter. It must be used by one goroutine only.
type Machine struct {
	self                 membership.Name
	voterNames           []membership.Name // all voters of the membership
	id                   uint64
	node                 *raft.RawNode // nil before the bootstrap
	storage              *raft.MemoryStorage
	state                State
	confState            *pb.ConfState
	ready                *raft.Ready
	pendingSnapshot      *pb.Snapshot   // snapshot of this voter's state, to be saved
	pendingSnapshotTicks map[uint64]int // at a leader: ticks since a snapshot was sent to each voter ID
	// receivedIDs holds the directory IDs that other voters sent, in introductions or in consensus messages.
	receivedIDs map[membership.Name]uint64
	nonce       uint64                     // nonce of this voter's introductions
	emptyPeers  map[membership.Name]uint64 // IDs of the voters that echoed nonce and have an empty directory
}

// New creates the Machine of a voter from the contents of its directory. It returns an error if the contents are invalid. A panic
// of the library about them becomes an error too.
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

// startNode creates the library's node. The library panics if the contents of the directory are impossible: startNode returns such
// a panic as an error.
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

// State returns the agreed state as far as this voter knows it. The caller must not modify it.
func (m *Machine) State() *State { return &m.state }

// IsBootstrapped reports whether this voter takes part in a consensus group.
func (m *Machine) IsBootstrapped() bool { return m.node != nil }

// Leads reports whether this voter believes that it is the leader. Only a Read confirms it.
func (m *Machine) Leads() bool {
	return m.node != nil && m.node.BasicStatus().RaftState == raft.StateLeader
}

// Term returns the voter's term, or 0 before the bootstrap.
func (m *Machine) Term() uint64 {
	if m.node == nil {
		return 0
	}
	return m.node.BasicStatus().GetTerm()
}

// Leader returns the leader as far as this voter knows it, or "" if it knows none.
func (m *Machine) Leader() membership.Name {
	if m.node == nil {
		return ""
	}
	return m.voterName(m.node.BasicStatus().Lead)
}

// voterName returns the name of the voter with an ID, or "" if there is none.
func (m *Machine) voterName(id uint64) membership.Name {
	if id == m.id && id != 0 {
		return m.self
	}
	for _, v := range m.state.Voters {
		if v.ID == id {
			return v.Name
		}
	}
	for name, receivedID := range m.receivedIDs {
		if receivedID == id {
			return name
		}
	}
	return ""
}

// Tick advances the timeouts by TickSeconds.
func (m *Machine) Tick() {
	if m.node == nil {
		return
	}
	m.node.Tick()
	m.resendSnapshots()
}

// Step processes a consensus message of another voter. It returns an error if the message is unreadable or carries the ID of a
// different voter, in which case it has no effect, or if the library rejects it.
func (m *Machine) Step(from membership.Name, data []byte) error {
	if m.node == nil || !slices.Contains(m.voterNames, from) {
		return nil
	}
	msg := &pb.Message{}
	if err := proto.Unmarshal(data, msg); err != nil {
		return err
	}
	if msg.GetTo() != m.id { // the message is for a directory that this voter has lost
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

// Propose starts the replication of a command. A later Result contains the command once it is applied. The command may be lost
// without notice. Propose returns ErrNotLeader, or an error of the library.
func (m *Machine) Propose(c *Command) error {
	if !m.Leads() {
		return ErrNotLeader
	}
	return m.node.Propose(encodeCanonical(c))
}

// Read starts a read index request (section 6.4), which checks whether this voter is still the leader. A later Result contains the
// number of the read if so.
func (m *Machine) Read(number ReadNumber) {
	if m.Leads() {
		m.node.ReadIndex(encodeCanonical(number))
	}
}

// NextSave returns the next data to save. It returns false if there is nothing to do, or if Saved was not called yet for the
// previous save.
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

// Saved must be called once the last save is on disk. It applies the committed entries and returns the effects. After an error the
// Machine must not be used any more.
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

// applyEntry applies a committed entry, and reports whether the entry changed the voters.
func (m *Machine) applyEntry(entry *pb.Entry, result *Result) (votersChanged bool, err error) {
	m.state.Index = entry.GetIndex()
	switch entry.GetType() {
	case pb.EntryNormal:
		if len(entry.Data) == 0 { // the empty entry with which a new leader starts its term
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
