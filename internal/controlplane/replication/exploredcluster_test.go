package replication

import (
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/random"
)

// An explored cluster consists of three deterministic cores. Each message, write, crash and passage of time is an action that a
// test selects. The state of a member depends only on the actions that it has processed. The hash of this history therefore
// identifies its state, and the three hashes identify the state of the cluster.

const exploredGroup = "jobs/a"

var errLost = errors.New("the request or its reply was lost")

// actionKind is a kind of action in an explored cluster.
type actionKind uint8

const (
	deliver        actionKind = iota // a message arrives
	drop                             // a message is lost, and its caller gets an error
	syncDisk                         // a write is synced, and its callback runs
	crash                            // a process loses its write in progress and restarts
	crashAfterSync                   // a process syncs its write in progress and restarts without running the callback
	expireLeases                     // enough time passes for all leases to expire
	startCampaign                    // the second member requests votes
	sendHeartbeats                   // the first member sends heartbeats as leader
)

// action is one step of an exploration. Its index selects a message or a member, depending on the kind.
type action struct {
	kind  actionKind
	index uint8
}

// explorerDefects are defects of the protocol that an exploration must find.
type explorerDefects struct {
	answersBeforeSync bool // replicas reply before their write is synced
	hidesNewerState   bool // votes do not contain newer positions, so a candidate adopts its own state
}

// budget bounds the number of actions other than deliveries and syncs.
type budget struct{ drops, crashes, leaseExpiries, campaigns, heartbeats int }

// inFlightMessage is a request or a reply that has not arrived yet.
type inFlightMessage struct {
	id          uint64
	from        int // the caller
	to          int
	incarnation int // incarnation of the caller's process
	call        rpc
	reply       func() // delivers the reply to the caller; nil for a request
}

type exploredMember struct {
	cluster     *exploredCluster
	index       int
	address     string
	incarnation int
	disk        disk
	core        *core
	hash        uint64
	calls       uint64
	writes      []storeWrite // in progress
	offloaded   []func()
}

type exploredCluster struct {
	clock     time.Duration
	members   [3]*exploredMember
	inFlight  []inFlightMessage
	remaining budget
	defects   explorerDefects
	view      replicaset.View

	committed   map[uint64]uint64   // commit index by term
	adopted     map[uint64]Position // position that the leader of a term adopted, by term
	stateHashes map[Position]uint64 // hash of the state at a position
	err         error
}

// Now implements Clock.
func (c *exploredCluster) Now() time.Duration { return c.clock }

func newExploredCluster(limits Limits, injected explorerDefects) *exploredCluster {
	c := &exploredCluster{
		clock: time.Hour, defects: injected, view: replicaset.View{Version: 1, Members: []string{"a", "b", "c"}},
		committed: make(map[uint64]uint64), adopted: make(map[uint64]Position), stateHashes: make(map[Position]uint64),
	}
	for i, address := range c.view.Members {
		c.members[i] = &exploredMember{cluster: c, index: i, address: address, disk: make(disk)}
		c.members[i].start(limits)
	}
	return c
}

// start starts a process with the state on the disk. Replies do not time out here, as late replies only matter together with
// lost disks.
func (m *exploredMember) start(limits Limits) {
	m.incarnation++
	m.core = newCore(Config{
		Self: m.address, Handler: m, Log: zap.NewNop(), Clock: m.cluster, Limits: limits,
		Timing: Timing{ReplyTimeout: 24 * time.Hour, ChunkTimeout: 24 * time.Hour}.withDefaults(),
	}, random.PCG(1))
	m.core.store = m.disk
	m.core.runStep = m.step
	m.core.spawn = func(task func()) { m.offloaded = append(m.offloaded, task) }
	m.core.updateInputs(m.cluster.clock, m.cluster.view, true)
	m.core.group(exploredGroup).ensured = true
}

// Elected implements Handler.
func (m *exploredMember) Elected(*Term, map[string][]byte) {}

// Deposed implements Handler.
func (m *exploredMember) Deposed(*Term) {}

func combineHash(hash uint64, values ...uint64) uint64 {
	for _, value := range values {
		hash = (hash ^ value) * 0x9e3779b97f4a7c15
		hash ^= hash >> 29
	}
	return hash
}

// histories are the hashes of the actions that each member has processed.
type histories [3]uint64

func (h histories) hash() uint64 { return combineHash(1, h[0], h[1], h[2]) }

func (c *exploredCluster) histories() histories {
	return histories{c.members[0].hash, c.members[1].hash, c.members[2].hash}
}

func extendHistory(hash uint64, kind actionKind, detail uint64) uint64 {
	return combineHash(hash, uint64(kind)+1, detail)
}

// historiesAfter returns the histories that would result from an action.
func (c *exploredCluster) historiesAfter(step action) histories {
	next := c.histories()
	member, detail := int(step.index), uint64(0)
	switch step.kind {
	case expireLeases:
		for i := range next {
			next[i] = extendHistory(next[i], expireLeases, 0)
		}
		return next
	case deliver, drop:
		message := c.inFlight[step.index]
		member, detail = message.from, message.id
		if step.kind == deliver && message.reply == nil {
			member = message.to
		} else if c.members[member].incarnation != message.incarnation {
			return next
		}
	}
	next[member] = extendHistory(next[member], step.kind, detail)
	return next
}

// event adds an action to the history of a member and runs its step.
func (m *exploredMember) event(kind actionKind, detail uint64, step func()) {
	m.hash = extendHistory(m.hash, kind, detail)
	m.step(step)
}

func (m *exploredMember) step(step func()) {
	m.core.updateInputs(m.cluster.clock, m.cluster.view, true)
	step()
	effects := m.core.takeEffects()
	for _, write := range effects.writes {
		m.write(write)
	}
	for _, call := range effects.calls {
		m.calls++
		id := combineHash(m.hash, m.calls)
		m.cluster.inFlight = append(m.cluster.inFlight, inFlightMessage{id: id, from: m.index, to: m.cluster.indexOf(call.address), incarnation: m.incarnation, call: call})
	}
	for len(m.offloaded) > 0 {
		task := m.offloaded[0]
		m.offloaded = m.offloaded[1:]
		task()
	}
	m.cluster.check(m)
}

func (c *exploredCluster) indexOf(address string) int { return slices.Index(c.view.Members, address) }

func (m *exploredMember) write(write storeWrite) {
	if m.cluster.defects.answersBeforeSync && m.index != 0 {
		m.writes = append(m.writes, storeWrite{changes: write.changes, done: func(error) {}})
		m.step(func() { write.done(nil) })
		return
	}
	m.writes = append(m.writes, write)
}

// actions returns all actions that are possible in the current state.
func (c *exploredCluster) actions() []action {
	var all []action
	for i := range c.inFlight {
		all = append(all, action{deliver, uint8(i)})
		if c.remaining.drops > 0 {
			all = append(all, action{drop, uint8(i)})
		}
	}
	for i, m := range c.members {
		if len(m.writes) > 0 {
			all = append(all, action{syncDisk, uint8(i)})
		}
		if c.remaining.crashes > 0 {
			all = append(all, action{crash, uint8(i)})
			if len(m.writes) > 0 {
				all = append(all, action{crashAfterSync, uint8(i)})
			}
		}
	}
	if c.remaining.leaseExpiries > 0 {
		all = append(all, action{expireLeases, 0})
	}
	if c.remaining.campaigns > 0 && c.remaining.leaseExpiries == 0 && c.members[1].idle() {
		all = append(all, action{startCampaign, 1})
	}
	if c.remaining.heartbeats > 0 && c.members[0].core.group(exploredGroup).leadership != nil {
		all = append(all, action{sendHeartbeats, 0})
	}
	return all
}

func (m *exploredMember) idle() bool {
	g := m.core.group(exploredGroup)
	return g.campaign == nil && g.leadership == nil
}

// perform applies an action to the cluster.
func (c *exploredCluster) perform(step action) {
	m := c.members[step.index%3]
	switch step.kind {
	case deliver, drop:
		message := c.inFlight[step.index]
		c.inFlight = slices.Delete(c.inFlight, int(step.index), int(step.index)+1)
		if step.kind == drop {
			c.remaining.drops--
			c.answer(message, func() { message.call.done(errLost) }, drop)
			return
		}
		if message.reply != nil {
			c.answer(message, message.reply, deliver)
			return
		}
		c.members[message.to].event(deliver, message.id, func() { c.serve(message) })
	case syncDisk:
		c.syncOne(m)
	case crash, crashAfterSync:
		c.remaining.crashes--
		c.restart(m, step.kind)
	case expireLeases:
		c.remaining.leaseExpiries--
		c.clock += 2 * DefaultTiming.FollowerLease
		for _, m := range c.members {
			m.hash = extendHistory(m.hash, expireLeases, 0)
		}
	case startCampaign:
		c.remaining.campaigns--
		m.event(startCampaign, 0, func() { m.campaign() })
	case sendHeartbeats:
		c.remaining.heartbeats--
		m.event(sendHeartbeats, 0, m.core.pingAll)
	}
}

// campaign requests votes like a candidate that has won its pre-vote.
func (m *exploredMember) campaign() {
	g := m.core.group(exploredGroup)
	g.campaign = &campaign{group: g, view: m.core.view}
	g.campaign.startVote()
}

func (c *exploredCluster) answer(message inFlightMessage, step func(), kind actionKind) {
	if m := c.members[message.from]; m.incarnation == message.incarnation {
		m.event(kind, message.id, step)
	}
}

func (c *exploredCluster) syncOne(m *exploredMember) {
	write := m.writes[0]
	m.writes = m.writes[1:]
	m.disk.apply(write.changes, false)
	m.event(syncDisk, 0, func() {
		write.done(nil)
		c.checkState(m)
	})
}

func (c *exploredCluster) restart(m *exploredMember, kind actionKind) {
	if kind == crashAfterSync {
		m.disk.apply(m.writes[0].changes, false)
	}
	m.writes, m.offloaded = nil, nil
	c.inFlight = slices.DeleteFunc(c.inFlight, func(f inFlightMessage) bool { return f.from == m.index && f.reply != nil })
	m.start(m.core.limits)
	m.event(kind, 0, func() { c.checkState(m) })
}

// serve handles a request and sends the reply as a message.
func (c *exploredCluster) serve(message inFlightMessage) {
	m := c.members[message.to]
	reply := func(fill func()) {
		m.calls++
		response := message
		response.id = combineHash(m.hash, m.calls, 7)
		response.reply = func() {
			fill()
			message.call.done(nil)
		}
		c.inFlight = append(c.inFlight, response)
	}
	switch request := message.call.request.(type) {
	case voteRequest:
		m.core.requestVote(request, func(answer voteReply) {
			if c.defects.hidesNewerState {
				answer.Position, answer.State = request.Position, nil
			}
			reply(func() { *message.call.reply.(*voteReply) = answer })
		})
	case appendRequest:
		m.core.append(request, func(answer appendReply) { reply(func() { *message.call.reply.(*appendReply) = answer }) })
	case pingRequest:
		m.core.ping(request, func(answer pingReply) {
			answer.Leaders = nil
			reply(func() { *message.call.reply.(*pingReply) = answer })
		})
	case resignRequest:
		m.core.handleResignation(request)
	}
}
