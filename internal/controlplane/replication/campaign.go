package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// campaign is one attempt to become leader. First it asks a majority whether they would vote, which disturbs no
// present leader; then it asks for their votes under a new epoch.
type campaign struct {
	group   *group
	view    replicaset.View
	started time.Duration // of the round under way
	probing bool
	epoch   uint64 // known from the second round on
	highest uint64 // epoch seen so far
	granted map[string]prepareReply
	waiting int // calls without an answer
	over    bool
}

func (g *group) campaign() {
	g.campaigning = &campaign{group: g, view: g.core.view, highest: g.core.leaders.byGroup[g.name].Epoch}
	g.campaigning.probe()
}

func (c *campaign) probe() {
	c.probing = true
	c.round()
}

func (c *campaign) stand() {
	c.probing = false
	c.epoch = max(c.highest, c.group.replica.promised) + 1
	c.round()
}

// round asks all members, this one included.
func (c *campaign) round() {
	core := c.group.core
	c.started = core.now
	c.granted = make(map[string]prepareReply)
	c.waiting = len(c.view.Members)
	request := prepareRequest{
		Group: c.group.name, Epoch: c.epoch, Candidate: core.self,
		Position: c.group.replica.position, View: c.view.Version, Probe: c.probing,
	}
	for _, address := range c.view.Members {
		if address != core.self {
			c.ask(address, request)
		}
	}
	c.group.replica.prepare(request, func(reply prepareReply) { c.take(core.self, request, reply, nil) })
}

func (c *campaign) ask(address string, request prepareRequest) {
	core := c.group.core
	reply := new(prepareReply)
	core.call(address, prepareCall.Route(), core.timing.Round, request, reply, func(err error) {
		c.take(address, request, *reply, err)
	})
}

// take counts one member's answer. An answer to an earlier round, or one that comes too late, counts for nothing.
func (c *campaign) take(address string, request prepareRequest, reply prepareReply, err error) {
	c.highest = max(c.highest, reply.Promised)
	if c.over || request.Probe != c.probing {
		return
	}
	c.waiting--
	if c.expired() {
		c.fail()
		return
	}
	if err == nil && reply.Granted {
		c.granted[address] = reply
	}
	c.advance()
}

func (c *campaign) expired() bool { return c.group.core.now-c.started > c.group.core.timing.Round }

func (c *campaign) advance() {
	_, own := c.granted[c.group.core.self]
	switch {
	case own && len(c.granted) >= c.view.Quorum():
		if c.probing {
			c.probed()
			return
		}
		c.win()
	case len(c.granted)+c.waiting < c.view.Quorum():
		c.fail()
	}
}

// probed stands, or where a member has a newer state that does not come with its vote, first fetches that.
func (c *campaign) probed() {
	best, newest := "", c.group.replica.position
	for address, reply := range c.granted {
		if reply.Large && newest.Before(reply.Position) {
			best, newest = address, reply.Position
		}
	}
	if best == "" {
		c.stand()
		return
	}
	c.abandon()
	c.group.fetch(best, newest)
}

// fail ends the campaign; the next begins after a random pause.
func (c *campaign) fail() {
	c.abandon()
	c.group.retryLater()
}

// retryLater lets the next campaign begin after a random pause.
func (g *group) retryLater() {
	timing := g.core.timing
	span := float64(timing.RetryLongest - timing.RetryShortest)
	pause := timing.RetryShortest + time.Duration(g.core.random.Unit()*span)
	g.retryAt = g.core.now + pause
	g.core.replan = true
}

func (c *campaign) abandon() {
	if c.over {
		return
	}
	c.over = true
	c.group.campaigning = nil
}

// win adopts the newest state that the majority holds.
func (c *campaign) win() {
	c.abandon()
	if c.group.replica.promised != c.epoch {
		return
	}
	newest := prepareReply{Position: c.group.replica.position}
	for _, reply := range c.granted {
		if newest.Position.Before(reply.Position) {
			newest = reply
		}
	}
	if newest.Large { // it became newer than it was at the probe; the next campaign fetches it
		c.group.retryLater()
		return
	}
	c.group.lead(c.epoch, newest, c.granted)
}
