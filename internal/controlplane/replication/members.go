package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// never is a time before all others.
const never = -1 << 62 * time.Nanosecond

// member is the contact state of another coordinator.
type member struct {
	lastPing           time.Duration // when its newest ping arrived
	ready              bool          // it may vote, according to its newest ping
	answeredPingSentAt time.Duration // when this node sent the newest ping that the member answered
	pendingPings       int           // pings in flight
}

// members tracks which coordinators are alive and in contact with this node.
type members struct {
	self            string
	livenessTimeout time.Duration
	byAddress       map[string]*member
}

func newMembers(self string, livenessTimeout time.Duration) *members {
	return &members{self: self, livenessTimeout: livenessTimeout, byAddress: make(map[string]*member)}
}

func (m *members) get(address string) *member {
	peer := m.byAddress[address]
	if peer == nil {
		peer = &member{lastPing: never, answeredPingSentAt: never}
		m.byAddress[address] = peer
	}
	return peer
}

// retain removes all members that are not in a view.
func (m *members) retain(view replicaset.View) {
	for address := range m.byAddress {
		if !view.Has(address) {
			delete(m.byAddress, address)
		}
	}
}

// canVote reports whether a member is alive and may vote.
func (m *members) canVote(address string, now time.Duration) bool {
	peer := m.byAddress[address]
	return address == m.self || peer != nil && peer.ready && now-peer.lastPing <= m.livenessTimeout
}

// contactsQuorum reports whether a majority, including this node, answered pings sent within livenessTimeout.
func (m *members) contactsQuorum(view replicaset.View, now time.Duration) bool {
	count := 0
	for _, address := range view.Members {
		peer := m.byAddress[address]
		if address == m.self || peer != nil && now-peer.answeredPingSentAt <= m.livenessTimeout {
			count++
		}
	}
	return view.Version > 0 && count >= view.Quorum()
}
