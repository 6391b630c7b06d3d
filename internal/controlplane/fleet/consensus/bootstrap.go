package consensus

import (
	"errors"
	"slices"
	"strings"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// The consensus group is bootstrapped once, by all voters of the membership, each with an empty directory. A voter that has received
// answers from all others saves the directory IDs of all voters and starts. It sends them to the other voters, which start from the
// same initial state.
//
// A voter that lost its directory has a new ID, and none of the votes and entries of the old one. It does not vote until the group
// has replaced the old ID by the new one, through joint consensus (section 4.3). So the loss of a directory never makes a voter vote
// twice in a term.

// Introduction announces a voter's directory ID. A voter sends introductions to all others until it takes part in a group. The
// others answer with an Introduction too.
type Introduction struct {
	ID     uint64  `cbor:"1,keyasint"`
	Voters []Voter `cbor:"2,keyasint,omitempty"` // voters of the group that the sender takes part in
	Nonce  uint64  `cbor:"3,keyasint,omitempty"` // echoed in the answer, which shows that the answer is fresh
	Echo   uint64  `cbor:"4,keyasint,omitempty"` // in an answer: the nonce of the introduction that is answered
	// InitialVoters are the voters that the sender's group was bootstrapped with. Each of them may start from this list on its own.
	// Otherwise a voter that bootstraps the group and fails before the others have joined it would leave a majority that runs but
	// cannot elect a leader.
	InitialVoters []Voter `cbor:"5,keyasint,omitempty"`
}

// Introduce returns the introduction to send to all other voters, or false if this voter takes part in a group already. The caller
// chooses the nonce, and must not return to an earlier one. Only answers to the current nonce count. So a nonce has to be used for
// longer than a message and its answer take.
func (m *Machine) Introduce(nonce uint64) (Introduction, bool) {
	if m.node != nil {
		return Introduction{}, false
	}
	if nonce != m.nonce {
		m.nonce = nonce
		clear(m.emptyPeers)
	}
	return Introduction{ID: m.id, Nonce: nonce}, true
}

// ReceiveIntroduction processes another voter's introduction. It returns an answer to send, or nil. If this voter thereby
// bootstraps or joins the group, save is not empty: it has to be on disk before the Machine is used further.
func (m *Machine) ReceiveIntroduction(from membership.Name, introduction *Introduction) (answer *Introduction, save Save, err error) {
	if !slices.Contains(m.voterNames, from) || from == m.self || introduction.ID == 0 || introduction.ID == m.id {
		return nil, save, nil
	}
	if m.node != nil {
		m.replaceVoter(Voter{from, introduction.ID}, len(introduction.Voters) == 0)
		if introduction.Nonce != 0 {
			answer = &Introduction{ID: m.id, Voters: m.state.Voters, InitialVoters: m.state.InitialVoters, Echo: introduction.Nonce}
		}
		return answer, save, nil
	}
	if introduction.Nonce != 0 {
		answer = &Introduction{ID: m.id, Echo: introduction.Nonce}
	}
	m.receivedIDs[from] = introduction.ID
	self := Voter{m.self, m.id}
	switch {
	case slices.Contains(introduction.InitialVoters, self):
		save, err = m.bootstrapGroup(introduction.InitialVoters)
	case slices.Contains(introduction.Voters, self):
		save, err = m.joinGroup()
	case len(introduction.Voters) > 0: // the group has to replace this voter's old ID first
	case introduction.Echo != 0 && introduction.Echo == m.nonce:
		if m.emptyPeers[from] = introduction.ID; len(m.emptyPeers) == len(m.voterNames)-1 {
			founders := []Voter{self}
			for name, id := range m.emptyPeers {
				founders = append(founders, Voter{name, id})
			}
			slices.SortFunc(founders, func(a, b Voter) int { return strings.Compare(string(a.Name), string(b.Name)) })
			save, err = m.bootstrapGroup(founders)
		}
	}
	return answer, save, err
}

// bootstrapGroup creates the initial state, which is the same at all initial voters, and starts the node from it.
func (m *Machine) bootstrapGroup(founders []Voter) (save Save, err error) {
	state, conf := State{Index: 1, Voters: founders, InitialVoters: founders}, &pb.ConfState{}
	for _, v := range founders {
		conf.Voters = append(conf.Voters, v.ID)
	}
	save.Snapshot = &pb.Snapshot{Data: encodeCanonical(&state), Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	save.Hard = &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	return save, m.startNode(Stored{ID: m.id, Hard: save.Hard, Snapshot: save.Snapshot})
}

// joinGroup starts the node with an empty log. The leader then sends the whole state.
func (m *Machine) joinGroup() (save Save, err error) {
	save.Hard = &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(0)}
	return save, m.startNode(Stored{ID: m.id, Hard: save.Hard})
}

// replaceVoter proposes to replace a voter's old ID by the ID of its new directory, if that is empty. It does nothing on a voter that
// is not the leader.
func (m *Machine) replaceVoter(voter Voter, empty bool) {
	i := slices.IndexFunc(m.state.Voters, func(other Voter) bool { return other.Name == voter.Name })
	if !m.Leads() || !empty || i >= 0 && m.state.Voters[i].ID == voter.ID {
		return
	}
	change := &pb.ConfChangeV2{Context: encodeCanonical(voter)}
	add, remove := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode
	change.Changes = append(change.Changes, &pb.ConfChangeSingle{Type: &add, NodeId: proto.Uint64(voter.ID)})
	if i >= 0 {
		change.Changes = append(change.Changes, &pb.ConfChangeSingle{Type: &remove, NodeId: proto.Uint64(m.state.Voters[i].ID)})
	}
	if err := m.node.ProposeConfChange(change); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return // another change is pending; the voter introduces itself again
	}
}
