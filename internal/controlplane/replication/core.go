package replication

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/random"
)

// tableReader is what the core reads of a store.
type tableReader interface {
	Tables() []string
	Table(name string) map[string][]byte
}

// core is the whole protocol on one node, as a state machine without goroutines, input or output. It advances in steps, one
// at a time; a step may leave effects, whose results are steps again.
type core struct {
	self    string
	timing  Timing
	log     *zap.Logger
	store   tableReader
	handler Handler
	clock   Clock
	random  random.PCG
	// runStep runs a step from outside of all steps, and spawn a function on a goroutine of its own.
	runStep func(step func())
	spawn   func(func())

	now                 time.Duration
	view                replicaset.View
	ready               bool
	failed              bool          // the store has failed for good
	writesRejectedUntil time.Duration // the disk has rejected a write; no vote until then
	stopping            bool
	groups              map[string]*group
	leaders             *leaderTable
	members             *members
	nextHeartbeat       time.Duration
	limits              Limits
	receivingSnapshot   map[string]bool // members to which this node is sending a snapshot
	tickEarlier         bool            // something may be due earlier than planned
	effects             effects
}

// observe takes in the time and what others decide; it comes first in each step.
func (c *core) observe(now time.Duration, view replicaset.View, ready bool) {
	c.now = max(c.now, now)
	if ready && !c.ready {
		c.restore()
	}
	c.ready = ready
	if view.Version > c.view.Version {
		c.view = view
		c.viewChanged()
	}
}

// restore reads all groups from the store. Leases granted before are not known, so no vote is given until they have
// run out.
func (c *core) restore() {
	for _, name := range storedGroups(c.store) {
		g := c.group(name)
		g.replica.load(c.now + c.timing.FollowerLease)
		g.lastContact = c.now
	}
	c.tickEarlier = true
}

func (c *core) viewChanged() {
	c.members.retain(c.view)
	c.tickEarlier = true
	for _, g := range c.sortedGroups() {
		if g.campaigning != nil {
			g.campaigning.fail()
		}
		if g.leading != nil {
			g.leading.checkLease()
		}
		if g.leading != nil {
			g.leading.updateFollowers()
		}
	}
}

// mayVote tells whether this replica may vote on a request of a view's version.
func (c *core) mayVote(view uint64) bool {
	member := c.view.Version == 0 || c.view.Has(c.self)
	return member && c.ready && c.storeWritable() && !c.stopping && view >= c.view.Version
}

func (c *core) group(name string) *group {
	g := c.groups[name]
	if g == nil {
		g = newGroup(c, name)
		c.groups[name] = g
	}
	return g
}

func (c *core) sortedGroups() []*group {
	byName := func(a, b *group) int { return strings.Compare(a.name, b.name) }
	return slices.SortedFunc(maps.Values(c.groups), byName)
}

func (c *core) ensure(name string) {
	g := c.group(name)
	if !g.ensured {
		g.ensured = true
		c.tickEarlier = true
	}
}

// stop resigns all terms for good.
func (c *core) stop() {
	c.stopping = true
	c.resignAll(true)
}

func (c *core) resignAll(stopping bool) {
	for _, g := range c.sortedGroups() {
		if g.campaigning != nil {
			g.campaigning.abandon()
		}
		if g.leading != nil {
			g.leading.resign(stopping)
		}
	}
}

// tick does what is due and returns when the next tick is.
func (c *core) tick() time.Duration {
	c.tickEarlier = false
	if c.stopping {
		return c.now + c.timing.HeartbeatInterval
	}
	if c.now >= c.nextHeartbeat {
		c.nextHeartbeat = c.now + c.timing.HeartbeatInterval
		c.pingAll()
	}
	next := c.nextHeartbeat
	for _, g := range c.sortedGroups() {
		next = min(next, c.tickGroup(g))
	}
	return next
}

// tickGroup does what is due in one group and returns what is due next in it.
func (c *core) tickGroup(g *group) time.Duration {
	switch {
	case g.leading != nil:
		g.leading.checkLease()
		if g.leading == nil {
			return c.nextHeartbeat
		}
		g.leading.advance()
		return g.leading.deadline
	case g.campaigning != nil:
		if g.campaigning.expired() {
			g.campaigning.fail()
		}
		return c.nextHeartbeat
	case g.fetching != nil, !c.mayCampaign(g):
		return c.nextHeartbeat
	}
	due := g.campaignDue()
	if c.now < due {
		return due
	}
	g.startCampaign()
	return c.nextHeartbeat
}

func (c *core) mayCampaign(g *group) bool {
	return c.ready && c.storeWritable() && c.view.Version > 0 && c.view.Has(c.self) && g.exists()
}

// requestVote serves voteCall.
func (c *core) requestVote(request voteRequest, reply func(voteReply)) {
	c.group(request.Group).replica.requestVote(request, reply)
}

// append serves appendCall.
func (c *core) append(request appendRequest, reply func(appendReply)) {
	c.group(request.Group).replica.append(request, reply)
}

// serveSnapshot serves snapshotCall.
func (c *core) serveSnapshot(request snapshotRequest, reply func(snapshotReply)) {
	c.group(request.Group).replica.serveSnapshot(request, reply)
}

// leaderResigned serves resignCall.
func (c *core) leaderResigned(request resignRequest) {
	if request.Stopping {
		c.members.get(request.From).lastPing = never
	}
	c.group(request.Group).leaderResigned(request.Term)
}
