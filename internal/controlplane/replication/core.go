package replication

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/random"
	"puffinlink.example/puffinlink/internal/transport"
)

// maxPendingPings is how many pings may wait for one member's answer.
const maxPendingPings = 3

// tableReader is what the core reads of a store.
type tableReader interface {
	Tables() []string
	Table(name string) map[string][]byte
}

// rpc is a request that the core wants sent. done runs within a step.
type rpc struct {
	address        string
	route          transport.Route
	timeout        time.Duration
	request, reply any
	done           func(err error)
}

// storeWrite is a change that the core wants synced. done runs within a step.
type storeWrite struct {
	changes []storage.Change
	done    func(err error)
}

// effects are what a step of the core asks for.
type effects struct {
	calls  []rpc
	writes []storeWrite
}

// core is the whole protocol on one node, free of goroutines and input or output. It advances in steps, one at a
// time; a step may leave effects, whose results are steps again.
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
	failed              bool          // the store has ended
	writesRejectedUntil time.Duration // the disk has refused a write; no vote until then
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

// mayVote tells whether this replica may vote in a round of a view's version.
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

func (c *core) call(address string, route transport.Route, limit time.Duration, request, reply any, done func(err error)) {
	c.effects.calls = append(c.effects.calls, rpc{address, route, limit, request, reply, done})
}

// offload does work outside of the steps, which would be held up by it, and then runs a step. The work must not use the core.
func (c *core) offload(work, done func()) {
	c.spawn(func() {
		work()
		c.runStep(done)
	})
}

func (c *core) write(changes []storage.Change, done func(err error)) {
	c.effects.writes = append(c.effects.writes, storeWrite{changes, func(err error) {
		if err != nil {
			c.writeFailed(err)
		}
		done(err)
	}})
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

func (c *core) takeEffects() effects {
	taken := c.effects
	c.effects = effects{}
	return taken
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

// ping serves pingCall.
func (c *core) ping(request pingRequest, reply func(pingReply)) {
	sender := c.members.get(request.From)
	sender.lastPing, sender.ready = c.now, request.Ready
	answer := pingReply{Heartbeats: make([]appendReply, len(request.Heartbeats))}
	if request.LeadersChecksum != c.leaders.checksum {
		answer.Leaders = c.leaders.byGroup
	}
	missing := len(request.Heartbeats)
	if missing == 0 {
		reply(answer)
		return
	}
	for i, one := range request.Heartbeats {
		c.group(one.Group).replica.heartbeat(one.Term, request.From, request.View, func(result appendReply) {
			answer.Heartbeats[i] = result
			if missing--; missing == 0 {
				reply(answer)
			}
		})
	}
}

// pingAll sends each other member a ping with the heartbeats of all groups led here.
func (c *core) pingAll() {
	request := pingRequest{From: c.self, Ready: c.ready && c.storeWritable(), View: c.view.Version, LeadersChecksum: c.leaders.checksum}
	for _, g := range c.sortedGroups() {
		if g.leading != nil {
			request.Heartbeats = append(request.Heartbeats, heartbeat{Group: g.name, Term: g.leading.termNumber})
		}
	}
	for _, address := range c.view.Members {
		if address != c.self {
			c.pingOne(address, request)
		}
	}
}

func (c *core) pingOne(address string, request pingRequest) {
	peer := c.members.get(address)
	if peer.pendingPings >= maxPendingPings {
		return
	}
	peer.pendingPings++
	sent := c.now
	reply := new(pingReply)
	c.call(address, pingCall.Route(), c.timing.LeaderLease, request, reply, func(err error) {
		peer.pendingPings--
		if err == nil {
			peer.lastAnswered = max(peer.lastAnswered, sent)
			c.pingAnswered(address, request, *reply, sent)
		}
	})
}

func (c *core) pingAnswered(address string, request pingRequest, reply pingReply, sent time.Duration) {
	c.leaders.update(reply.Leaders)
	if len(reply.Heartbeats) != len(request.Heartbeats) {
		return
	}
	for i, one := range request.Heartbeats {
		leading := c.groups[one.Group].leading
		if leading != nil && leading.termNumber == one.Term {
			leading.heartbeatAnswered(address, reply.Heartbeats[i], sent)
		}
	}
}
