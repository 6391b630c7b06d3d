// Package failuredetector tells which nodes of the membership are alive. It is SWIM (Das, Gupta and Motivala, "SWIM: scalable
// weakly-consistent infection-style process group membership protocol", 2002): each period one other node is pinged, and, if
// it does not answer, through some others; who does not answer is suspected before it is declared dead, and may refute that
// by a higher incarnation. From Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: local health awareness for more accurate
// failure detection", 2018) come the local health score, suspicions that time out sooner the more nodes confirm them, and
// telling a suspect first. Unlike in both, dead nodes are still pinged: the membership is fixed, so that nobody has to join
// again after a partition.
//
// It does no I/O, reads no clock and starts no goroutine; times are in seconds.
package failuredetector

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/random"
)

// Status is what is held of another node.
type Status uint8

// The statuses.
const (
	Alive Status = 1 << iota
	Suspect
	Dead
)

// String is the status as counters and logs name it.
func (s Status) String() string {
	return map[Status]string{Alive: "alive", Suspect: "suspect", Dead: "dead"}[s]
}

// Incarnation orders what is said of one node; it starts with its process's and rises as it refutes suspicions.
type Incarnation uint64

// Seq identifies a probe.
type Seq uint64

// The kinds of messages.
const (
	Ping        MessageKind = iota // asks for an Ack
	Ack                            // the sender is alive; or, with a Target, that one is
	PingRequest                    // asks to ping Target
	Nack                           // Target, which the recipient asked to ping, has not answered yet
)

// Settings are times in seconds.
type Settings struct {
	Period           float64 // between two probes
	Timeout          float64 // of a ping, after which others are asked to ping too
	IsolationTimeout float64 // without any message, after which we count as isolated
}

// Defaults detect a crash in a few seconds at a few hundred bytes a second: period and time-out are a tenth and a third of
// SWIM's own, for the network of one data centre; isolation takes three periods, in which several others are pinged.
func Defaults() Settings { return Settings{Period: 0.5, Timeout: 0.15, IsolationTimeout: 1.5} }

const (
	indirectProbes       = 3 // nodes asked to ping; Das and others, section 3.2
	maxConfirmations     = 3 // confirmations that shorten a suspicion most; Lifeguard, section IV-B
	maxSuspicionFactor   = 3 // the longest suspicion, as a multiple of the shortest
	minSuspicionPeriods  = 3 // periods of the shortest suspicion, times log10 of the fleet's size
	maxLocalHealth       = 8 // Lifeguard, section IV-A
	maxUpdatesPerMessage = 8 // with names of 64 bytes still a datagram
	retransmitFactor     = 4 // times log10 of the fleet's size that an update is sent
	// nackTimeoutFactor is the part of Timeout after which a Nack is sent.
	nackTimeoutFactor = 0.8
)

// member is another node, as long as the machine exists.
type member struct {
	name             membership.Name
	status           Status
	incarnation      Incarnation
	receivedAt       float64
	suspectedAt      float64                  // while it is Suspect
	firstSuspectedBy membership.Name          // who suspected it first
	confirmedBy      map[membership.Name]bool // the others who suspect it
}

// probe is the one in progress.
type probe struct {
	seq          Seq
	to           *member
	at           float64
	indirectSent int // nodes that were asked to ping
	nacks        int
	acknowledged bool
	indirect     bool
}

// indirectProbe is a ping on another node's request.
type indirectProbe struct {
	seq          Seq // our own
	requester    membership.Name
	requesterSeq Seq
	to           membership.Name
	nackAt       float64 // infinite once the Nack is sent
	expiresAt    float64
}

// pendingUpdate is an update that is still to be sent.
type pendingUpdate struct {
	Update
	transmissions int
}

// Machine is one node's view of the others. One goroutine uses it.
type Machine struct {
	settings       Settings
	self           membership.Name
	incarnation    Incarnation
	now            float64
	random         random.PCG
	members        []*member
	byName         map[membership.Name]*member
	round          []*member // still to be pinged in this round
	probe          probe
	nextProbeAt    float64
	seq            Seq
	localHealth    int
	receivedAt     float64 // the last message of any node
	indirectProbes []indirectProbe
	pendingUpdates []pendingUpdate
	out            []Outgoing
	changes        []Change
}

// New makes a view in which all others are alive, as nothing else is known.
func New(set Settings, self membership.Name, own Incarnation, others []membership.Name, seed uint64, now float64) *Machine {
	m := &Machine{settings: set, self: self, incarnation: own, now: now, random: random.PCG(seed), byName: map[membership.Name]*member{}, receivedAt: now}
	for _, name := range others {
		x := &member{name: name, status: Alive, receivedAt: now}
		m.members, m.byName[name] = append(m.members, x), x
	}
	m.nextProbeAt = now + set.Period*m.random.Unit() // nodes that start together must not ping together
	return m
}

const (
	refuted           event = 1 << iota // it is alive, by a higher incarnation
	suspectedByPeer                     // another node suspects it
	declaredDead                        // another node declares it dead
	probeFailed                         // our own probe was not answered
	suspicionTimedOut                   // the suspicion was not refuted in time
)

// Isolated tells that no message has come for so long that it is rather this node that is partitioned. It declares nobody
// dead meanwhile.
func (m *Machine) Isolated() bool {
	return len(m.members) > 0 && m.now-m.receivedAt >= m.settings.IsolationTimeout
}

// Status of a node: Alive for this one, and Dead for none of the membership.
func (m *Machine) Status(name membership.Name) Status {
	if name == m.self {
		return Alive
	}
	if x := m.byName[name]; x != nil {
		return x.status
	}
	return Dead
}

// ReceivedAt is when the last message of a node came.
func (m *Machine) ReceivedAt(name membership.Name) float64 {
	if x := m.byName[name]; x != nil {
		return x.receivedAt
	}
	return 0
}

// LocalHealth is Lifeguard's score of this node: 0 is healthy, maxLocalHealth the worst. It stretches the time-outs.
func (m *Machine) LocalHealth() int { return m.localHealth }

// Incarnation is this node's.
func (m *Machine) Incarnation() Incarnation { return m.incarnation }

// Tick does what is due, and returns when to call it next.
func (m *Machine) Tick(now float64) (next float64) {
	m.now = now
	if len(m.members) == 0 {
		return now + m.settings.Period
	}
	for i := range m.indirectProbes {
		if request := &m.indirectProbes[i]; request.nackAt <= now {
			m.send(request.requester, Message{Kind: Nack, Seq: request.requesterSeq})
			request.nackAt = math.Inf(1)
		}
	}
	m.indirectProbes = slices.DeleteFunc(m.indirectProbes, func(request indirectProbe) bool { return request.expiresAt <= now })
	isolated := m.Isolated()
	for _, suspect := range m.members {
		switch {
		case suspect.status != Suspect:
		case isolated: // the fault may be ours: the suspicion starts again once messages come
			suspect.suspectedAt = now
		case now-suspect.suspectedAt >= m.suspicionTimeout(suspect):
			m.apply(suspect, suspicionTimedOut)
		}
	}
	if probe := &m.probe; probe.to != nil && !probe.acknowledged && !probe.indirect && now-probe.at >= m.stretch(m.settings.Timeout) {
		probe.indirect = true
		for _, suspect := range m.sample(indirectProbes, probe.to) {
			probe.indirectSent++
			m.send(suspect.name, Message{Kind: PingRequest, Seq: probe.seq, Target: probe.to.name})
		}
	}
	if now >= m.nextProbeAt {
		m.finishProbe()
		m.startProbe()
		m.nextProbeAt = now + m.stretch(m.settings.Period)
	}
	return m.nextDue()
}

func (m *Machine) nextDue() float64 {
	next := m.nextProbeAt
	if p := &m.probe; p.to != nil && !p.acknowledged && !p.indirect {
		next = min(next, p.at+m.stretch(m.settings.Timeout))
	}
	for _, e := range m.indirectProbes {
		next = min(next, e.nackAt)
	}
	return next
}

// finishProbe ends the probe in progress. If neither its target nor all of the nodes that were asked to ping it answered, it
// is rather this node that is slow or partitioned.
func (m *Machine) finishProbe() {
	p := &m.probe
	if p.to == nil || p.acknowledged {
		return
	}
	if p.indirectSent > p.nacks {
		m.localHealth = min(maxLocalHealth, m.localHealth+1)
	}
	if !m.Isolated() {
		if p.to.status == Alive {
			p.to.firstSuspectedBy = m.self
		}
		m.apply(p.to, probeFailed)
	}
}

// startProbe pings the next node of a round. In each round every node is pinged once, in a new random order (SWIM, section
// 4.3).
func (m *Machine) startProbe() {
	if len(m.round) == 0 {
		m.round = m.sample(len(m.members), nil)
	}
	m.seq++
	m.probe = probe{seq: m.seq, to: m.round[0], at: m.now}
	m.round = m.round[1:]
	m.send(m.probe.to.name, Message{Kind: Ping, Seq: m.seq})
}

// sample draws up to n others but one; dead ones only where all are drawn.
func (m *Machine) sample(n int, excluded *member) (candidates []*member) {
	for _, candidate := range m.members {
		if candidate != excluded && (candidate.status != Dead || n >= len(m.members)) {
			candidates = append(candidates, candidate)
		}
	}
	for i := range candidates {
		j := i + int(m.random.Unit()*float64(len(candidates)-i))
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:min(n, len(candidates))]
}
