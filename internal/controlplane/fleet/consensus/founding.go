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

// The consensus group is founded once, by all voters of the membership, each with an empty directory. A voter that has heard from
// all others writes down who they are, by their directories' IDs, and starts; the others are told and join. A voter that lost its
// directory has another ID and none of the votes and entries of the old one: it does not vote until the group has replaced the old
// ID by the new one (section 4.3's joint consensus). So no voter ever votes twice because its directory was lost.

// Introduction is what voters send to each other until they take part, and in answer to that.
type Introduction struct {
	ID     uint64  `cbor:"1,keyasint"`
	Voters []Voter `cbor:"2,keyasint,omitempty"` // of the group that the sender takes part in
	Nonce  uint64  `cbor:"3,keyasint,omitempty"` // to be echoed, so that an answer is known to be fresh
	Echo   uint64  `cbor:"4,keyasint,omitempty"`
	// Founders are those of that group. Each of them may start from that by itself: were only one to know them and fail before
	// it told the others, a majority would be up and never lead.
	InitialVoters []Voter `cbor:"5,keyasint,omitempty"`
}

// Introduce is what to send to all other voters now, if anything. A nonce must not be used again after another one; answers
// count while theirs is in use, which is to be longer than a message and its answer take.
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

// ReceiveIntroduction takes another voter's introduction. It returns an answer to send, if any, and, where this founds the
// group or lets us join it, what to save before anything else is done.
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
	case len(introduction.Voters) > 0: // the group has to replace our old ID first
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

// foundGroup makes the first state, the same at all founders.
func (m *Machine) bootstrapGroup(founders []Voter) (save Save, err error) {
	state, conf := State{Index: 1, Voters: founders, InitialVoters: founders}, &pb.ConfState{}
	for _, v := range founders {
		conf.Voters = append(conf.Voters, v.ID)
	}
	save.Snapshot = &pb.Snapshot{Data: encodeCanonical(&state), Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	save.Hard = &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	return save, m.startNode(Stored{ID: m.id, Hard: save.Hard, Snapshot: save.Snapshot})
}

// join starts with an empty log; the leader sends all there is.
func (m *Machine) joinGroup() (save Save, err error) {
	save.Hard = &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(0)}
	return save, m.startNode(Stored{ID: m.id, Hard: save.Hard})
}

// replaceVoter proposes, at a leader, to replace a voter's old ID by that of its new, empty directory.
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
