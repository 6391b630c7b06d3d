package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// group is one replication group as this node sees it.
type group struct {
	core        *core
	name        string
	replica     replica
	campaigning *campaign
	fetching    *fetch // of a newer state than the one here, before this node stands
	leading     *leadership
	ensured     bool          // campaign although nothing is stored
	heardAt     time.Duration // of the newest sign of life of a leader
	vacant      bool          // the last leader has resigned
	finished    uint64        // epoch of the newest leader that has resigned
	retryAt     time.Duration // no campaign before
}

func newGroup(c *core, name string) *group {
	g := &group{core: c, name: name, heardAt: c.now}
	g.replica.core, g.replica.group = c, g
	return g
}

// heard notes a sign of life of a leader.
func (g *group) heard(epoch uint64, leader string) {
	g.heardAt, g.vacant = g.core.now, false
	if leader == g.core.self {
		return
	}
	g.core.leaders.learnOne(g.name, feed.Leader{Address: leader, Epoch: epoch})
	if g.campaigning != nil && g.campaigning.epoch <= epoch {
		g.campaigning.abandon()
	}
}

// ledByOther tells whether a leader other than the candidate has its term on this machine.
func (g *group) ledByOther(candidate string) bool {
	return g.leading != nil && candidate != g.core.self
}

// exists tells whether anything is known that is worth a leader.
func (g *group) exists() bool { return g.ensured || g.replica.promised > 0 }

// returned tells whether this node led the group when its process ended, and nobody has led since.
func (g *group) returned() bool {
	return g.replica.candidate == g.core.self && g.replica.lease.epoch == 0 && g.replica.mute > 0
}

// due is when to campaign next unless a leader is heard.
func (g *group) due() time.Duration {
	timing := g.core.timing
	if g.returned() {
		return g.retryAt
	}
	wait := timing.Silence
	if g.vacant || g.replica.position == (Position{}) && g.replica.lease.epoch == 0 {
		wait = timing.Vacancy
	}
	rank := g.core.rank(g.name)
	at := g.heardAt + wait + time.Duration(rank)*timing.RankDelay
	return max(at, g.retryAt, g.replica.mute)
}

// resigned notes that the leader of an epoch has ended its term.
func (g *group) resigned(epoch uint64) {
	if epoch < g.replica.promised {
		return
	}
	g.replica.release(epoch)
	g.vacant = true
	g.finished = epoch
	g.heardAt = g.core.now
	g.core.replan = true
}
