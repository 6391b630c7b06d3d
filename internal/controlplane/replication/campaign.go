package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// campaign is one attempt to become leader. Its first phase is a pre-vote, which asks a majority whether they would vote
// and disturbs no present leader (Ongaro's thesis, 9.6); the second asks for their votes in a new term.
type campaign struct {
	group        *group
	view         replicaset.View
	phaseStarted time.Duration // of the phase under way
	preVoting    bool
	term         uint64 // 0 during the pre-vote
	highestTerm  uint64 // the highest seen so far
	granted      map[string]voteReply
	unanswered   int // calls without an answer
	ended        bool
}

func (g *group) startCampaign() {
	g.campaigning = &campaign{group: g, view: g.core.view, highestTerm: g.core.leaders.byGroup[g.name].Term}
	g.campaigning.startPreVote()
}

func (c *campaign) startPreVote() {
	c.preVoting = true
	c.requestVotes()
}

func (c *campaign) startVote() {
	c.preVoting = false
	c.term = max(c.highestTerm, c.group.replica.currentTerm) + 1
	c.requestVotes()
}

// requestVotes begins a phase: it asks all members, this one included.
func (c *campaign) requestVotes() {
	core := c.group.core
	c.phaseStarted = core.now
	c.granted = make(map[string]voteReply)
	c.unanswered = len(c.view.Members)
	request := voteRequest{
		Group: c.group.name, Term: c.term, Candidate: core.self,
		Position: c.group.replica.position, View: c.view.Version, PreVote: c.preVoting,
	}
	for _, address := range c.view.Members {
		if address != core.self {
			c.requestVote(address, request)
		}
	}
	c.group.replica.requestVote(request, func(reply voteReply) { c.countVote(core.self, request, reply, nil) })
}

func (c *campaign) requestVote(address string, request voteRequest) {
	core := c.group.core
	reply := new(voteReply)
	core.call(address, voteCall.Route(), core.timing.ReplyTimeout, request, reply, func(err error) {
		c.countVote(address, request, *reply, err)
	})
}

// countVote takes one member's answer. An answer to an earlier phase, or one that comes too late, counts for nothing.
func (c *campaign) countVote(address string, request voteRequest, reply voteReply, err error) {
	c.highestTerm = max(c.highestTerm, reply.Term)
	if c.ended || request.PreVote != c.preVoting {
		return
	}
	c.unanswered--
	if c.expired() {
		c.fail()
		return
	}
	if err == nil && reply.Granted {
		c.granted[address] = reply
	}
	c.advance()
}

func (c *campaign) expired() bool {
	return c.group.core.now-c.phaseStarted > c.group.core.timing.ReplyTimeout
}

func (c *campaign) advance() {
	_, own := c.granted[c.group.core.self]
	switch {
	case own && len(c.granted) >= c.view.Quorum():
		if c.preVoting {
			c.preVoteWon()
			return
		}
		c.win()
	case len(c.granted)+c.unanswered < c.view.Quorum():
		c.fail()
	}
}

// preVoteWon asks for the votes. Where a member has a newer state that does not fit into its vote, it first fetches that.
func (c *campaign) preVoteWon() {
	best, newest := "", c.group.replica.position
	for address, reply := range c.granted {
		if reply.StateOmitted && newest.Before(reply.Position) {
			best, newest = address, reply.Position
		}
	}
	if best == "" {
		c.startVote()
		return
	}
	c.abandon()
	c.group.startFetch(best, newest)
}

// fail ends the campaign; the next begins after a random backoff.
func (c *campaign) fail() {
	c.abandon()
	c.group.backOff()
}

// backOff lets the next campaign begin after a random backoff (the randomized timeouts of Ongaro's thesis, 3.4).
func (g *group) backOff() {
	timing := g.core.timing
	span := float64(timing.MaxCampaignBackoff - timing.MinCampaignBackoff)
	backoff := timing.MinCampaignBackoff + time.Duration(g.core.random.Unit()*span)
	g.campaignNotBefore = g.core.now + backoff
	g.core.tickEarlier = true
}

func (c *campaign) abandon() {
	if c.ended {
		return
	}
	c.ended = true
	c.group.campaigning = nil
}

// win adopts the newest state that the majority holds.
func (c *campaign) win() {
	c.abandon()
	if c.group.replica.currentTerm != c.term {
		return
	}
	newest := voteReply{Position: c.group.replica.position}
	for _, reply := range c.granted {
		if newest.Position.Before(reply.Position) {
			newest = reply
		}
	}
	if newest.StateOmitted { // it became newer than it was at the pre-vote; the next campaign fetches it
		c.group.backOff()
		return
	}
	c.group.startLeading(c.term, newest, c.granted)
}
