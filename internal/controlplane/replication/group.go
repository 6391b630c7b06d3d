package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// group is one replication group as this node sees it.
type group struct {
	core              *core
	name              string
	replica           replica
	campaigning       *campaign
	fetching          *snapshotFetch // of a newer state than the one here, before a campaign goes on
	leading           *leadership
	ensured           bool          // campaign although nothing is stored
	lastContact       time.Duration // when a leader was heard from last
	vacant            bool          // the last leader has resigned
	resignedTerm      uint64        // term of the newest leader that has resigned
	campaignNotBefore time.Duration // the backoff of the newest campaign
}

func newGroup(c *core, name string) *group {
	g := &group{core: c, name: name, lastContact: c.now}
	g.replica.core, g.replica.group = c, g
	return g
}

// leaderContacted records a message of a leader.
func (g *group) leaderContacted(term uint64, leader string) {
	g.lastContact, g.vacant = g.core.now, false
	if leader == g.core.self {
		return
	}
	g.core.leaders.updateGroup(g.name, feed.Leader{Address: leader, Term: term})
	if g.campaigning != nil && g.campaigning.term <= term {
		g.campaigning.abandon()
	}
}

// ledByOther tells whether this node leads the group and is not the candidate.
func (g *group) ledByOther(candidate string) bool {
	return g.leading != nil && candidate != g.core.self
}

// exists tells whether the group needs a leader: it was ensured, or has had a term.
func (g *group) exists() bool { return g.ensured || g.replica.currentTerm > 0 }

// ledBeforeRestart tells whether this node led the group when its process ended, and nobody has led since.
func (g *group) ledBeforeRestart() bool {
	return g.replica.votedFor == g.core.self && g.replica.lease.term == 0 && g.replica.noVoteBefore > 0
}

// campaignDue is when to campaign next unless a leader is heard.
func (g *group) campaignDue() time.Duration {
	timing := g.core.timing
	if g.ledBeforeRestart() {
		return g.campaignNotBefore
	}
	wait := timing.ElectionTimeout
	if g.vacant || g.replica.position == (Position{}) && g.replica.lease.term == 0 {
		wait = timing.VacantElectionTimeout
	}
	rank := g.core.campaignRank(g.name)
	at := g.lastContact + wait + time.Duration(rank)*timing.RankDelay
	return max(at, g.campaignNotBefore, g.replica.noVoteBefore)
}

// leaderResigned records that the leader of a term has resigned.
func (g *group) leaderResigned(term uint64) {
	if term < g.replica.currentTerm {
		return
	}
	g.replica.releaseLease(term)
	g.vacant = true
	g.resignedTerm = term
	g.lastContact = g.core.now
	g.core.tickEarlier = true
}
