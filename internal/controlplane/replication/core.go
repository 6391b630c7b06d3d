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

// tableReader is the read access of the core to a store.
type tableReader interface {
	Tables() []string
	Table(name string) map[string][]byte
}

// core implements the protocol on one node as a state machine without goroutines or I/O. It runs in steps, one at a time.
// A step may request effects, which are calls and writes. The result of each effect is processed in a further step.
type core struct {
	self    string
	timing  Timing
	log     *zap.Logger
	store   tableReader
	handler Handler
	clock   Clock
	random  random.PCG
	// runStep runs a step; it must not be called within a step.
	runStep func(step func())
	// spawn runs a function on a new goroutine.
	spawn func(func())

	now                 time.Duration
	view                replicaset.View
	ready               bool
	failed              bool          // the store has failed permanently
	writesRejectedUntil time.Duration // end of the backoff after the disk rejected a write; no votes until then
	stopping            bool
	groups              map[string]*group
	leaders             *leaderTable
	members             *members
	nextHeartbeat       time.Duration
	limits              Limits
	receivingSnapshot   map[string]bool // members to which this node is sending a snapshot
	tickRequested       bool            // a deadline may have become earlier than the planned next tick
	effects             effects
}

// updateInputs updates the time, the view and the readiness of this node. Each step calls it first.
func (c *core) updateInputs(now time.Duration, view replicaset.View, ready bool) {
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

// restore loads all groups from the store. Leases granted before the restart are unknown, so this node grants no votes until
// they have expired.
func (c *core) restore() {
	for _, name := range storedGroups(c.store) {
		g := c.group(name)
		g.replica.load(c.now + c.timing.FollowerLease)
		g.lastContact = c.now
	}
	c.tickRequested = true
}

func (c *core) viewChanged() {
	c.members.retain(c.view)
	c.tickRequested = true
	for _, g := range c.sortedGroups() {
		if g.campaign != nil {
			g.campaign.fail()
		}
		if g.leadership != nil {
			g.leadership.checkLease()
		}
		if g.leadership != nil {
			g.leadership.updateFollowers()
		}
	}
}

// mayVote reports whether this node may vote, and follow leaders, in a view with the given version.
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

func (c *core) ensureGroup(name string) {
	g := c.group(name)
	if !g.ensured {
		g.ensured = true
		c.tickRequested = true
	}
}

// stop resigns all terms permanently.
func (c *core) stop() {
	c.stopping = true
	c.resignAll(true)
}

func (c *core) resignAll(stopping bool) {
	for _, g := range c.sortedGroups() {
		if g.campaign != nil {
			g.campaign.abandon()
		}
		if g.leadership != nil {
			g.leadership.resign(stopping)
		}
	}
}

// tick performs all actions that are due, and returns the time of the next tick.
func (c *core) tick() time.Duration {
	c.tickRequested = false
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

// tickGroup performs the actions that are due in one group, and returns the time of the next one.
func (c *core) tickGroup(g *group) time.Duration {
	switch {
	case g.leadership != nil:
		g.leadership.checkLease()
		if g.leadership == nil {
			return c.nextHeartbeat
		}
		g.leadership.advance()
		return g.leadership.deadline
	case g.campaign != nil:
		if g.campaign.expired() {
			g.campaign.fail()
		}
		return c.nextHeartbeat
	case g.fetch != nil, !c.mayCampaign(g):
		return c.nextHeartbeat
	}
	campaignDue := g.campaignDue()
	if c.now < campaignDue {
		return campaignDue
	}
	g.startCampaign()
	return c.nextHeartbeat
}

func (c *core) mayCampaign(g *group) bool {
	return c.ready && c.storeWritable() && c.view.Version > 0 && c.view.Has(c.self) && g.needsLeader()
}

// requestVote handles voteCall.
func (c *core) requestVote(request voteRequest, reply func(voteReply)) {
	c.group(request.Group).replica.requestVote(request, reply)
}

// append handles appendCall.
func (c *core) append(request appendRequest, reply func(appendReply)) {
	c.group(request.Group).replica.append(request, reply)
}

// serveSnapshot handles snapshotCall.
func (c *core) serveSnapshot(request snapshotRequest, reply func(snapshotReply)) {
	c.group(request.Group).replica.serveSnapshot(request, reply)
}

// handleResignation handles resignCall.
func (c *core) handleResignation(request resignRequest) {
	if request.Stopping {
		c.members.get(request.From).lastPing = never
	}
	c.group(request.Group).recordResignation(request.Term)
}
