package replication

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// never is a moment before every other.
const never = -1 << 62 * time.Nanosecond

// member is what is known of another core node.
type member struct {
	heard    time.Duration // its newest ping arrived then
	ready    bool          // it may vote, as its newest ping says
	answered time.Duration // the newest of our pings that it answered was sent then
	pings    int           // calls under way
}

// members tells which core nodes are alive and in contact.
type members struct {
	self  string
	alive time.Duration
	byAt  map[string]*member // by address
}

func newMembers(self string, alive time.Duration) *members {
	return &members{self: self, alive: alive, byAt: make(map[string]*member)}
}

func (m *members) at(address string) *member {
	one := m.byAt[address]
	if one == nil {
		one = &member{heard: never, answered: never}
		m.byAt[address] = one
	}
	return one
}

// keep forgets all that are not in a view.
func (m *members) keep(view replicaset.View) {
	for address := range m.byAt {
		if !view.Has(address) {
			delete(m.byAt, address)
		}
	}
}

// votes tells whether a member is alive and may vote.
func (m *members) votes(address string, now time.Duration) bool {
	one := m.byAt[address]
	return address == m.self || one != nil && one.ready && now-one.heard <= m.alive
}

// inContact tells whether a majority, with this node, has answered of late.
func (m *members) inContact(view replicaset.View, now time.Duration) bool {
	count := 0
	for _, address := range view.Members {
		one := m.byAt[address]
		if address == m.self || one != nil && now-one.answered <= m.alive {
			count++
		}
	}
	return view.Version > 0 && count >= view.Quorum()
}

// rendezvousOrder sorts addresses by highest random weight for a group.
func rendezvousOrder(addresses []string, group string) []string {
	weight := func(address string) uint64 { return xxh3.HashString(group + "\x00" + address) }
	return slices.SortedFunc(slices.Values(addresses), func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
}
