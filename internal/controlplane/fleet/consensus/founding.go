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

// A consensus is founded once, by all voters of the membership, each with an empty directory. Whoever heard that of all others
// writes down who they are by their directories' numbers, and begins. The others hear of it and join. A voter that lost
// its directory has another number, and none of the votes and entries that it gave by the old one: it stays mute until
// the consensus has put the new number in the place of the old one. So a directory that is lost never lets a voter vote twice.

// Introduction is what voters say of themselves until they take part, and in answer to that.
type Introduction struct {
	ID     uint64  `cbor:"1,keyasint"`
	Voters []Voter `cbor:"2,keyasint,omitempty"` // of the consensus that this one takes part in
	Nonce  uint64  `cbor:"3,keyasint,omitempty"` // to be sent back, so that an answer is known to be a new one
	Echo   uint64  `cbor:"4,keyasint,omitempty"`
	// Founders are those of that consensus. Each of them may begin from that by itself: were one to send it to the others, and
	// fail, a majority would be there and never lead.
	Founders []Voter `cbor:"5,keyasint,omitempty"`
}

// Introduce is what to say to all other voters now, if anything. A nonce that was given up may never come again; answers
// count while theirs is the one in use, which is to be no longer than a network may hold up a message and its answer.
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

// ReceiveIntroduction takes what another voter says of itself. It tells what to answer, and, where this founds the consensus or
// lets us join it, what to save before anything else is done.
func (m *Machine) ReceiveIntroduction(from membership.Name, in *Introduction) (answer *Introduction, save Save, err error) {
	if !slices.Contains(m.voterNames, from) || from == m.self || in.ID == 0 || in.ID == m.id {
		return nil, save, nil
	}
	if m.node != nil {
		m.replaceVoter(Voter{from, in.ID}, len(in.Voters) == 0)
		if in.Nonce != 0 {
			answer = &Introduction{ID: m.id, Voters: m.state.Voters, Founders: m.state.Founders, Echo: in.Nonce}
		}
		return answer, save, nil
	}
	if in.Nonce != 0 {
		answer = &Introduction{ID: m.id, Echo: in.Nonce}
	}
	m.receivedIDs[from] = in.ID
	me := Voter{m.self, m.id}
	switch {
	case slices.Contains(in.Founders, me):
		save, err = m.found(in.Founders)
	case slices.Contains(in.Voters, me):
		save, err = m.join()
	case len(in.Voters) > 0: // we are to be seated first
	case in.Echo != 0 && in.Echo == m.nonce:
		if m.emptyPeers[from] = in.ID; len(m.emptyPeers) == len(m.voterNames)-1 {
			founders := []Voter{me}
			for name, id := range m.emptyPeers {
				founders = append(founders, Voter{name, id})
			}
			slices.SortFunc(founders, func(a, b Voter) int { return strings.Compare(string(a.Name), string(b.Name)) })
			save, err = m.found(founders)
		}
	}
	return answer, save, err
}

// found makes the consensus's first state, the same at all founders.
func (m *Machine) found(founders []Voter) (save Save, err error) {
	state, conf := State{Index: 1, Voters: founders, Founders: founders}, &pb.ConfState{}
	for _, v := range founders {
		conf.Voters = append(conf.Voters, v.ID)
	}
	save.Snapshot = &pb.Snapshot{Data: encoded(&state), Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	save.Hard = &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	return save, m.start(Stored{ID: m.id, Hard: save.Hard, Snapshot: save.Snapshot})
}

// join takes part with nothing; the leader sends all there is.
func (m *Machine) join() (save Save, err error) {
	save.Hard = &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(0)}
	return save, m.start(Stored{ID: m.id, Hard: save.Hard})
}

// replaceVoter lets a leader put a voter's new directory in the place of its old one: one that is empty now has lost what it held.
func (m *Machine) replaceVoter(v Voter, empty bool) {
	i := slices.IndexFunc(m.state.Voters, func(o Voter) bool { return o.Name == v.Name })
	if !m.Leads() || !empty || i >= 0 && m.state.Voters[i].ID == v.ID {
		return
	}
	cc := &pb.ConfChangeV2{Context: encoded(v)}
	add, remove := pb.ConfChangeAddNode, pb.ConfChangeRemoveNode
	cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: &add, NodeId: proto.Uint64(v.ID)})
	if i >= 0 {
		cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: &remove, NodeId: proto.Uint64(m.state.Voters[i].ID)})
	}
	if err := m.node.ProposeConfChange(cc); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return // another change is on its way; it says so again
	}
}
