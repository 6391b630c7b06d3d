package replication

import "time"

// Liveness is what a node knows of one other member.
type Liveness struct {
	Address      string
	Alive        bool          // it sent a ping within Timing.LivenessTimeout
	Ready        bool          // it may vote, by its newest answer
	Contacted    bool          // it has sent a ping since this node started
	SinceContact time.Duration // since its newest ping arrived; meaningless unless Contacted
}

// Members returns the liveness of the other members of the view, in the view's order.
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
		one := n.core.members.byAddress[address]
		if one == nil || one.lastPing == never {
			members = append(members, Liveness{Address: address})
			continue
		}
		ago := now - one.lastPing
		members = append(members, Liveness{Address: address, Alive: ago <= n.core.members.livenessTimeout, Ready: one.ready, Contacted: true, SinceContact: ago})
	}
	return members
}
