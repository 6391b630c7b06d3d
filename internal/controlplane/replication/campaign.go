package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// campaign is one attempt to become leader. The first phase is a pre-vote, which asks the members whether they would grant a
// vote and does not disturb a current leader (Ongaro's thesis, 9.6). The second phase requests votes in a new term.
type campaign struct {
	group        *group
	view         replicaset.View
	phaseStarted time.Duration // start of the current phase
	preVoting    bool
	term         uint64 // 0 during the pre-vote
	highestTerm  uint64 // highest term seen so far
	granted      map[string]voteReply
	unanswered   int // number of members without a reply in this phase
	ended        bool
}

func (g *group) startCampaign() {
	g.campaign = &campaign{group: g, view: g.core.view, highestTerm: g.core.leaders.byGroup[g.name].Term}
	g.campaign.startPreVote()
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

// requestVotes starts a phase by sending a request to all members, including this one.
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

// countVote processes the reply of one member. It ignores replies to an earlier phase, and fails the campaign if a reply
// arrives after the timeout.
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
	_, selfGranted := c.granted[c.group.core.self]
	switch {
	case selfGranted && len(c.granted) >= c.view.Quorum():
		if c.preVoting {
			c.preVoteWon()
			return
		}
		c.win()
	case len(c.granted)+c.unanswered < c.view.Quorum():
		c.fail()
	}
}

// preVoteWon starts the vote. If a member has a newer state that does not fit into its vote, it starts a fetch of that state
// instead.
func (c *campaign) preVoteWon() {
	holder, newest := "", c.group.replica.position
	for address, reply := range c.granted {
		if reply.StateOmitted && newest.Before(reply.Position) {
			holder, newest = address, reply.Position
		}
	}
	if holder == "" {
		c.startVote()
		return
	}
	c.abandon()
	c.group.startFetch(holder, newest)
}

// fail ends the campaign. The next one starts after a random backoff.
func (c *campaign) fail() {
	c.abandon()
	c.group.backOff()
}

// backOff delays the next campaign by a random backoff (see the randomized timeouts in Ongaro's thesis, 3.4).
func (g *group) backOff() {
	timing := g.core.timing
	span := float64(timing.MaxCampaignBackoff - timing.MinCampaignBackoff)
	backoff := timing.MinCampaignBackoff + time.Duration(g.core.random.Unit()*span)
	g.campaignNotBefore = g.core.now + backoff
	g.core.tickRequested = true
}

func (c *campaign) abandon() {
	if c.ended {
		return
	}
	c.ended = true
	c.group.campaign = nil
}

// win starts a leadership with the newest state among the granted votes.
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
	if newest.StateOmitted { // that member got a newer state since the pre-vote; the next campaign fetches it
		c.group.backOff()
		return
	}
	c.group.startLeading(c.term, newest, c.granted)
}
