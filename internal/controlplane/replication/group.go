package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// group is the state of this node in one replication group.
type group struct {
	core              *core
	name              string
	replica           replica
	campaign          *campaign
	fetch             *snapshotFetch // fetch of a newer state, which must end before the next campaign
	leadership        *leadership
	ensured           bool          // this node campaigns even if nothing is stored for the group
	lastContact       time.Duration // when the newest message of a leader arrived
	leaderless        bool          // the newest leader has resigned
	resignedTerm      uint64        // term of the newest resigned leader
	campaignNotBefore time.Duration // end of the backoff after the newest campaign
}

func newGroup(c *core, name string) *group {
	g := &group{core: c, name: name, lastContact: c.now}
	g.replica.core, g.replica.group = c, g
	return g
}

// recordLeaderContact records that a message of a leader arrived.
func (g *group) recordLeaderContact(term uint64, leader string) {
	g.lastContact, g.leaderless = g.core.now, false
	if leader == g.core.self {
		return
	}
	g.core.leaders.updateGroup(g.name, feed.Leader{Address: leader, Term: term})
	if g.campaign != nil && g.campaign.term <= term {
		g.campaign.abandon()
	}
}

// hasLocalLeaderOtherThan reports whether this node leads the group and is not the candidate.
func (g *group) hasLocalLeaderOtherThan(candidate string) bool {
	return g.leadership != nil && candidate != g.core.self
}

// needsLeader reports whether the group has been declared with Ensure or has had a term.
func (g *group) needsLeader() bool { return g.ensured || g.replica.currentTerm > 0 }

// ledBeforeRestart reports whether this node led the group when its process ended, and no leader has made contact since.
func (g *group) ledBeforeRestart() bool {
	return g.replica.votedFor == g.core.self && g.replica.lease.term == 0 && g.replica.noVoteBefore > 0
}

// campaignDue returns the time of the next campaign, unless a leader makes contact before.
func (g *group) campaignDue() time.Duration {
	timing := g.core.timing
	if g.ledBeforeRestart() {
		return g.campaignNotBefore
	}
	wait := timing.ElectionTimeout
	if g.leaderless || g.replica.position == (Position{}) && g.replica.lease.term == 0 {
		wait = timing.LeaderlessElectionTimeout
	}
	rank := g.core.campaignRank(g.name)
	at := g.lastContact + wait + time.Duration(rank)*timing.RankDelay
	return max(at, g.campaignNotBefore, g.replica.noVoteBefore)
}

// recordResignation records that the leader of a term has resigned.
func (g *group) recordResignation(term uint64) {
	if term < g.replica.currentTerm {
		return
	}
	g.replica.releaseLease(term)
	g.leaderless = true
	g.resignedTerm = term
	g.lastContact = g.core.now
	g.core.tickRequested = true
}
