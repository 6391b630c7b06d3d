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

// maxPings is how many pings may wait for one member's answer.
const maxPings = 3

// tables is what the core reads of a store.
type tables interface {
	Tables() []string
	Table(name string) map[string][]byte
}

// call is a request that the core wants sent. done runs within a step.
type call struct {
	address        string
	route          transport.Route
	limit          time.Duration
	request, reply any
	done           func(err error)
}

// write is a change that the core wants synced. done runs within a step.
type write struct {
	changes []storage.Change
	done    func(err error)
}

// effects are what a step of the core asks for.
type effects struct {
	calls  []call
	writes []write
}

// core is the whole protocol on one node, free of goroutines and input or output. It advances in steps, one at a
// time; a step may leave effects, whose results are steps again.
type core struct {
	self    string
	timing  Timing
	log     *zap.Logger
	store   tables
	handler Handler
	clock   Clock
	random  random.PCG
	// enter runs a step from outside of all steps, and spawn a function on a goroutine of its own.
	enter func(step func())
	spawn func(func())

	now          time.Duration
	view         replicaset.View
	ready        bool
	failed       bool          // the store has ended
	refusedUntil time.Duration // the disk has refused a write; no vote until then
	stopping     bool
	groups       map[string]*group
	leaders      *leaderTable
	members      *members
	nextBeat     time.Duration
	limits       Limits
	receiving    map[string]bool // members to which this node is sending a snapshot
	replan       bool            // something may be due earlier than planned
	effects      effects
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
		g.replica.load(c.now + c.timing.ReplicaLease)
		g.heardAt = c.now
	}
	c.replan = true
}

func (c *core) viewChanged() {
	c.members.keep(c.view)
	c.replan = true
	for _, g := range c.sortedGroups() {
		if g.campaigning != nil {
			g.campaigning.fail()
		}
		if g.leading != nil {
			g.leading.check()
		}
		if g.leading != nil {
			g.leading.matchView()
		}
	}
}

// serves tells whether this replica may vote in a round of a view's version.
func (c *core) serves(view uint64) bool {
	member := c.view.Version == 0 || c.view.Has(c.self)
	return member && c.ready && c.writes() && !c.stopping && view >= c.view.Version
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
		c.replan = true
	}
}

func (c *core) call(address string, route transport.Route, limit time.Duration, request, reply any, done func(err error)) {
	c.effects.calls = append(c.effects.calls, call{address, route, limit, request, reply, done})
}

// aside does work outside of the steps, which would be held up by it, and then runs a step. The work must not use the core.
func (c *core) aside(work, done func()) {
	c.spawn(func() {
		work()
		c.enter(done)
	})
}

func (c *core) write(changes []storage.Change, done func(err error)) {
	c.effects.writes = append(c.effects.writes, write{changes, func(err error) {
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

func (c *core) resignAll(leaving bool) {
	for _, g := range c.sortedGroups() {
		if g.campaigning != nil {
			g.campaigning.abandon()
		}
		if g.leading != nil {
			g.leading.resign(leaving)
		}
	}
}

func (c *core) take() effects {
	taken := c.effects
	c.effects = effects{}
	return taken
}

// tick does what is due and returns when the next tick is.
func (c *core) tick() time.Duration {
	c.replan = false
	if c.stopping {
		return c.now + c.timing.Beat
	}
	if c.now >= c.nextBeat {
		c.nextBeat = c.now + c.timing.Beat
		c.pingAll()
	}
	next := c.nextBeat
	for _, g := range c.sortedGroups() {
		next = min(next, c.tickGroup(g))
	}
	return next
}

// tickGroup does what is due in one group and returns what is due next in it.
func (c *core) tickGroup(g *group) time.Duration {
	switch {
	case g.leading != nil:
		g.leading.check()
		if g.leading == nil {
			return c.nextBeat
		}
		g.leading.pump()
		return g.leading.deadline
	case g.campaigning != nil:
		if g.campaigning.expired() {
			g.campaigning.fail()
		}
		return c.nextBeat
	case g.fetching != nil, !c.mayCampaign(g):
		return c.nextBeat
	}
	due := g.due()
	if c.now < due {
		return due
	}
	g.campaign()
	return c.nextBeat
}

func (c *core) mayCampaign(g *group) bool {
	return c.ready && c.writes() && c.view.Version > 0 && c.view.Has(c.self) && g.exists()
}

// prepare serves prepareCall.
func (c *core) prepare(request prepareRequest, reply func(prepareReply)) {
	c.group(request.Group).replica.prepare(request, reply)
}

// append serves appendCall.
func (c *core) append(request appendRequest, reply func(appendReply)) {
	c.group(request.Group).replica.append(request, reply)
}

// state serves stateCall.
func (c *core) state(request stateRequest, reply func(stateReply)) {
	c.group(request.Group).replica.give(request, reply)
}

// resigned serves resignCall.
func (c *core) resigned(request resignRequest) {
	if request.Leaving {
		c.members.at(request.From).heard = never
	}
	c.group(request.Group).resigned(request.Epoch)
}

// ping serves pingCall.
func (c *core) ping(request pingRequest, reply func(pingReply)) {
	sender := c.members.at(request.From)
	sender.heard, sender.ready = c.now, request.Ready
	answer := pingReply{Beats: make([]appendReply, len(request.Beats))}
	if request.Sum != c.leaders.sum {
		answer.Leaders = c.leaders.byGroup
	}
	missing := len(request.Beats)
	if missing == 0 {
		reply(answer)
		return
	}
	for i, one := range request.Beats {
		c.group(one.Group).replica.beat(one.Epoch, request.From, request.View, func(result appendReply) {
			answer.Beats[i] = result
			if missing--; missing == 0 {
				reply(answer)
			}
		})
	}
}

// pingAll sends each other member a ping with the heartbeats of all groups led here.
func (c *core) pingAll() {
	request := pingRequest{From: c.self, Ready: c.ready && c.writes(), View: c.view.Version, Sum: c.leaders.sum}
	for _, g := range c.sortedGroups() {
		if g.leading != nil {
			request.Beats = append(request.Beats, beat{Group: g.name, Epoch: g.leading.epoch})
		}
	}
	for _, address := range c.view.Members {
		if address != c.self {
			c.pingOne(address, request)
		}
	}
}

func (c *core) pingOne(address string, request pingRequest) {
	peer := c.members.at(address)
	if peer.pings >= maxPings {
		return
	}
	peer.pings++
	sent := c.now
	reply := new(pingReply)
	c.call(address, pingCall.Route(), c.timing.LeaderLease, request, reply, func(err error) {
		peer.pings--
		if err == nil {
			peer.answered = max(peer.answered, sent)
			c.pingAnswered(address, request, *reply, sent)
		}
	})
}

func (c *core) pingAnswered(address string, request pingRequest, reply pingReply, sent time.Duration) {
	c.leaders.learn(reply.Leaders)
	if len(reply.Beats) != len(request.Beats) {
		return
	}
	for i, one := range request.Beats {
		leading := c.groups[one.Group].leading
		if leading != nil && leading.epoch == one.Epoch {
			leading.heartbeatAnswered(address, reply.Beats[i], sent)
		}
	}
}
