package replication

import "time"

// Liveness is the contact state of another member, as known to a node.
type Liveness struct {
	Address      string
	Alive        bool          // a ping arrived from it within Timing.LivenessTimeout
	Ready        bool          // it may vote, according to its newest ping
	Contacted    bool          // a ping arrived from it since this node started
	SinceContact time.Duration // time since its newest ping arrived; only meaningful if Contacted
}

// Members returns the liveness of the other members, in the order of the view.
func (n *Node) Members() []Liveness {
	view := n.config.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.config.Clock.Now()
	members := make([]Liveness, 0, len(view.Members))
	for _, address := range view.Members {
		if address == n.config.Self {
			continue
		}
		peer := n.core.members.byAddress[address]
		if peer == nil || peer.lastPing == never {
			members = append(members, Liveness{Address: address})
			continue
		}
		sinceContact := now - peer.lastPing
		members = append(members, Liveness{Address: address, Alive: sinceContact <= n.core.members.livenessTimeout, Ready: peer.ready, Contacted: true, SinceContact: sinceContact})
	}
	return members
}
