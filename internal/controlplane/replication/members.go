package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// never is a moment before every other.
const never = -1 << 62 * time.Nanosecond

// member is what is known of another core node.
type member struct {
	lastPing     time.Duration // its newest ping arrived then
	ready        bool          // it may vote, as its newest ping says
	lastAnswered time.Duration // the newest of our pings that it answered was sent then
	pendingPings int           // calls in flight
}

// members tells which core nodes are alive and in contact.
type members struct {
	self            string
	livenessTimeout time.Duration
	byAddress       map[string]*member // by address
}

func newMembers(self string, livenessTimeout time.Duration) *members {
	return &members{self: self, livenessTimeout: livenessTimeout, byAddress: make(map[string]*member)}
}

func (m *members) get(address string) *member {
	one := m.byAddress[address]
	if one == nil {
		one = &member{lastPing: never, lastAnswered: never}
		m.byAddress[address] = one
	}
	return one
}

// retain drops all that are not in a view.
func (m *members) retain(view replicaset.View) {
	for address := range m.byAddress {
		if !view.Has(address) {
			delete(m.byAddress, address)
		}
	}
}

// canVote tells whether a member is alive and may vote.
func (m *members) canVote(address string, now time.Duration) bool {
	one := m.byAddress[address]
	return address == m.self || one != nil && one.ready && now-one.lastPing <= m.livenessTimeout
}

// contactsQuorum tells whether a majority, with this node, has answered of late.
func (m *members) contactsQuorum(view replicaset.View, now time.Duration) bool {
	count := 0
	for _, address := range view.Members {
		one := m.byAddress[address]
		if address == m.self || one != nil && now-one.lastAnswered <= m.livenessTimeout {
			count++
		}
	}
	return view.Version > 0 && count >= view.Quorum()
}
