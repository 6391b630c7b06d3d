package replication

import (
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/random"
)

// The explored world is three cores without any chance: each message, write, crash and lapse of time is an action that a
// test chooses. What a member does follows from what it has gone through, so its history stands for its state, and the
// three histories for the state of the world.

const exploredGroup = "jobs/a"

var errLost = errors.New("the message or its answer was lost")

// actionKind is what can happen next in an explored world.
type actionKind uint8

const (
	deliver        actionKind = iota // a message arrives
	drop                             // a message is lost, and its caller learns that there is no answer
	syncDisk                         // a write reaches the disk and is answered
	crash                            // a process ends with its write under way lost, and starts again
	crashAfterSync                   // the same, but the write has reached the disk
	expireLeases                     // so much time passes that every lease has run out
	startCampaign                    // the second candidate asks for votes
	sendHeartbeats                   // the first leader sends heartbeats
)

// action is one step; at counts messages or members.
type action struct {
	kind actionKind
	at   uint8
}

// explorerDefects make the protocol wrong in ways that an exploration must find.
type explorerDefects struct {
	answersEarly bool // replicas answer before their write is synced
	hidesNewer   bool // a vote does not tell of a newer position, so that the candidate adopts its own state
}

// budget bounds what can happen beside messages and writes.
type budget struct{ drops, crashes, leaseExpiries, campaigns, heartbeats int }

type inFlightMessage struct {
	id          uint64
	from        int // the caller
	to          int
	incarnation int // of the caller's process
	call        rpc
	reply       func() // hands an answer to the caller; nil for a request
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
	writes      []storeWrite // under way
	offloaded   []func()
}

type exploredCluster struct {
	clock     time.Duration
	members   [3]*exploredMember
	inFlight  []inFlightMessage
	remaining budget
	defects   explorerDefects
	view      replicaset.View

	committed map[uint64]uint64   // newest sequence by term
	bases     map[uint64]Position // adopted by term
	states    map[Position]uint64 // hash of the state at a position
	err       error
}

// Now implements Clock.
func (w *exploredCluster) Now() time.Duration { return w.clock }

func newExploredCluster(limits Limits, wrong explorerDefects) *exploredCluster {
	w := &exploredCluster{
		clock: time.Hour, defects: wrong, view: replicaset.View{Version: 1, Members: []string{"a", "b", "c"}},
		committed: make(map[uint64]uint64), bases: make(map[uint64]Position), states: make(map[Position]uint64),
	}
	for i, address := range w.view.Members {
		w.members[i] = &exploredMember{cluster: w, index: i, address: address, disk: make(disk)}
		w.members[i].start(limits)
	}
	return w
}

// start begins a process on what the disk holds. Rounds have no limit in time here: how late an answer may count matters
// only for lost disks.
func (m *exploredMember) start(limits Limits) {
	m.incarnation++
	m.core = newCore(Config{
		Self: m.address, Handler: m, Log: zap.NewNop(), Clock: m.cluster, Limits: limits,
		Timing: Timing{ReplyTimeout: 24 * time.Hour, ChunkTimeout: 24 * time.Hour}.withDefaults(),
	}, random.PCG(1))
	m.core.store = m.disk
	m.core.runStep = m.step
	m.core.spawn = func(task func()) { m.offloaded = append(m.offloaded, task) }
	m.core.observe(m.cluster.clock, m.cluster.view, true)
	m.core.group(exploredGroup).ensured = true
}

// Elected implements Handler.
func (m *exploredMember) Elected(*Term, map[string][]byte) {}

// Deposed implements Handler.
func (m *exploredMember) Deposed(*Term) {}

func mix(hash uint64, values ...uint64) uint64 {
	for _, value := range values {
		hash = (hash ^ value) * 0x9e3779b97f4a7c15
		hash ^= hash >> 29
	}
	return hash
}

// histories are what the members have gone through, as hashes.
type histories [3]uint64

func (h histories) hash() uint64 { return mix(1, h[0], h[1], h[2]) }

func (w *exploredCluster) histories() histories {
	return histories{w.members[0].hash, w.members[1].hash, w.members[2].hash}
}

func historyWith(hash uint64, kind actionKind, what uint64) uint64 {
	return mix(hash, uint64(kind)+1, what)
}

// after returns the histories that an action would lead to.
func (w *exploredCluster) after(one action) histories {
	next := w.histories()
	member, what := int(one.at), uint64(0)
	switch one.kind {
	case expireLeases:
		for i := range next {
			next[i] = historyWith(next[i], expireLeases, 0)
		}
		return next
	case deliver, drop:
		message := w.inFlight[one.at]
		member, what = message.from, message.id
		if one.kind == deliver && message.reply == nil {
			member = message.to
		} else if w.members[member].incarnation != message.incarnation {
			return next
		}
	}
	next[member] = historyWith(next[member], one.kind, what)
	return next
}

// event is an action at one member, which its history takes in.
func (m *exploredMember) event(kind actionKind, what uint64, step func()) {
	m.hash = historyWith(m.hash, kind, what)
	m.step(step)
}

func (m *exploredMember) step(step func()) {
	m.core.observe(m.cluster.clock, m.cluster.view, true)
	step()
	effects := m.core.takeEffects()
	for _, one := range effects.writes {
		m.write(one)
	}
	for _, one := range effects.calls {
		m.calls++
		id := mix(m.hash, m.calls)
		m.cluster.inFlight = append(m.cluster.inFlight, inFlightMessage{id: id, from: m.index, to: m.cluster.indexOf(one.address), incarnation: m.incarnation, call: one})
	}
	for len(m.offloaded) > 0 {
		task := m.offloaded[0]
		m.offloaded = m.offloaded[1:]
		task()
	}
	m.cluster.check(m)
}

func (w *exploredCluster) indexOf(address string) int { return slices.Index(w.view.Members, address) }

func (m *exploredMember) write(one storeWrite) {
	if m.cluster.defects.answersEarly && m.index != 0 {
		m.writes = append(m.writes, storeWrite{changes: one.changes, done: func(error) {}})
		m.step(func() { one.done(nil) })
		return
	}
	m.writes = append(m.writes, one)
}

// actions lists what can happen next.
func (w *exploredCluster) actions() []action {
	var all []action
	for i := range w.inFlight {
		all = append(all, action{deliver, uint8(i)})
		if w.remaining.drops > 0 {
			all = append(all, action{drop, uint8(i)})
		}
	}
	for i, m := range w.members {
		if len(m.writes) > 0 {
			all = append(all, action{syncDisk, uint8(i)})
		}
		if w.remaining.crashes > 0 {
			all = append(all, action{crash, uint8(i)})
			if len(m.writes) > 0 {
				all = append(all, action{crashAfterSync, uint8(i)})
			}
		}
	}
	if w.remaining.leaseExpiries > 0 {
		all = append(all, action{expireLeases, 0})
	}
	if w.remaining.campaigns > 0 && w.remaining.leaseExpiries == 0 && w.members[1].idle() {
		all = append(all, action{startCampaign, 1})
	}
	if w.remaining.heartbeats > 0 && w.members[0].core.group(exploredGroup).leading != nil {
		all = append(all, action{sendHeartbeats, 0})
	}
	return all
}

func (m *exploredMember) idle() bool {
	g := m.core.group(exploredGroup)
	return g.campaigning == nil && g.leading == nil
}

// do carries out an action.
func (w *exploredCluster) do(one action) {
	m := w.members[one.at%3]
	switch one.kind {
	case deliver, drop:
		next := w.inFlight[one.at]
		w.inFlight = slices.Delete(w.inFlight, int(one.at), int(one.at)+1)
		if one.kind == drop {
			w.remaining.drops--
			w.answer(next, func() { next.call.done(errLost) }, drop)
			return
		}
		if next.reply != nil {
			w.answer(next, next.reply, deliver)
			return
		}
		w.members[next.to].event(deliver, next.id, func() { w.serve(next) })
	case syncDisk:
		w.syncOne(m)
	case crash, crashAfterSync:
		w.remaining.crashes--
		w.restart(m, one.kind)
	case expireLeases:
		w.remaining.leaseExpiries--
		w.clock += 2 * DefaultTiming.FollowerLease
		for _, m := range w.members {
			m.hash = historyWith(m.hash, expireLeases, 0)
		}
	case startCampaign:
		w.remaining.campaigns--
		m.event(startCampaign, 0, func() { m.campaign() })
	case sendHeartbeats:
		w.remaining.heartbeats--
		m.event(sendHeartbeats, 0, m.core.pingAll)
	}
}

// campaign asks for votes, as a candidate does that has won its pre-vote.
func (m *exploredMember) campaign() {
	g := m.core.group(exploredGroup)
	g.campaigning = &campaign{group: g, view: m.core.view}
	g.campaigning.startVote()
}

func (w *exploredCluster) answer(next inFlightMessage, step func(), kind actionKind) {
	if m := w.members[next.from]; m.incarnation == next.incarnation {
		m.event(kind, next.id, step)
	}
}

func (w *exploredCluster) syncOne(m *exploredMember) {
	one := m.writes[0]
	m.writes = m.writes[1:]
	m.disk.apply(one.changes, false)
	m.event(syncDisk, 0, func() {
		one.done(nil)
		w.checkState(m)
	})
}

func (w *exploredCluster) restart(m *exploredMember, kind actionKind) {
	if kind == crashAfterSync {
		m.disk.apply(m.writes[0].changes, false)
	}
	m.writes, m.offloaded = nil, nil
	w.inFlight = slices.DeleteFunc(w.inFlight, func(f inFlightMessage) bool { return f.from == m.index && f.reply != nil })
	m.start(m.core.limits)
	m.event(kind, 0, func() { w.checkState(m) })
}

// serve handles a request, whose answer is a message as well.
func (w *exploredCluster) serve(next inFlightMessage) {
	m := w.members[next.to]
	reply := func(fill func()) {
		m.calls++
		answered := next
		answered.id = mix(m.hash, m.calls, 7)
		answered.reply = func() {
			fill()
			next.call.done(nil)
		}
		w.inFlight = append(w.inFlight, answered)
	}
	switch request := next.call.request.(type) {
	case voteRequest:
		m.core.requestVote(request, func(answer voteReply) {
			if w.defects.hidesNewer {
				answer.Position, answer.State = request.Position, nil
			}
			reply(func() { *next.call.reply.(*voteReply) = answer })
		})
	case appendRequest:
		m.core.append(request, func(answer appendReply) { reply(func() { *next.call.reply.(*appendReply) = answer }) })
	case pingRequest:
		m.core.ping(request, func(answer pingReply) {
			answer.Leaders = nil
			reply(func() { *next.call.reply.(*pingReply) = answer })
		})
	case resignRequest:
		m.core.leaderResigned(request)
	}
}
