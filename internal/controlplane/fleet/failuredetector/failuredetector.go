// Package failuredetector knows which nodes of the membership live, as SWIM does it (Das, Gupta and Motivala, 2002): each period one
// other is asked, straight and then through some others; who does not answer is suspected before it is called dead, and
// who is suspected may say otherwise by a higher incarnation. Of Lifeguard (Dadgar, Phillips and Currey, 2018) come the
// doubt in oneself, suspicions that end sooner the more others share them, and telling the suspected one first. Unlike in
// both, the dead are asked on: the membership is fixed, so a cut that heals is seen without anybody joining.
//
// It does no I/O, reads no clock and starts no goroutine.
package failuredetector

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/random"
)

// Status is what is held of another node.
type Status uint8

// The states of a member.
const (
	Alive Status = 1 << iota
	Suspect
	Dead
)

func (s Status) String() string {
	return map[Status]string{Alive: "alive", Suspect: "suspect", Dead: "dead"}[s]
}

// Incarnation orders what is said of one node; it begins at its process's and rises as it denies suspicions.
type Incarnation uint64

// Seq names a probe.
type Seq uint64

// The kinds of messages.
const (
	Ping        MessageKind = iota // answer me
	Ack                            // I live; or, with a Target, that one does
	PingRequest                    // ask Target for me
	Nack                           // I asked Target for you, and have no answer yet
)

// Settings are times in seconds.
type Settings struct {
	Period           float64 // in which one other is asked
	Timeout          float64 // after which others are asked to ask it
	IsolationTimeout float64 // without a word from anybody: we hear nothing
}

// Defaults find a crash in a few seconds at a few hundred bytes a second: period and time-out are a tenth and a third of
// SWIM's own, for one data centre's network; deaf is after three periods, in which several others are asked.
func Defaults() Settings { return Settings{Period: 0.5, Timeout: 0.15, IsolationTimeout: 1.5} }

const (
	indirectProbes       = 3 // others asked to ask; Das and others, section 3.2
	maxConfirmations     = 3 // suspicions by others that end one soonest; Lifeguard, section IV-B
	maxSuspicionFactor   = 3 // the longest suspicion against the least
	minSuspicionPeriods  = 3 // periods that the least suspicion lasts, times log10 of the fleet
	maxLocalHealth       = 8 // of oneself, times which waits are longer; Lifeguard, section IV-A
	maxUpdatesPerMessage = 8 // pieces of news that a message takes along: with names of 64 bytes still a datagram
	retransmitFactor     = 4 // times log10 of the fleet that one is passed on
	nackTimeoutFactor    = 0.8
)

// member lives as long as the machine.
type member struct {
	name        membership.Name
	status      Status
	incarnation Incarnation
	receivedAt  float64
	suspectedAt float64                  // suspected
	accuser     membership.Name          // who did so first
	confirmedBy map[membership.Name]bool // who suspects it
}

// probe is the one in hand.
type probe struct {
	seq          Seq
	to           *member
	at           float64
	indirectSent int // others, to ask it
	nacks        int
	acknowledged bool // answered
	indirect     bool
}

// indirectProbe is a probe for another node.
type indirectProbe struct {
	seq          Seq // our own
	requester    membership.Name
	requesterSeq Seq
	to           membership.Name
	nackAt       float64 // when to say that there is no answer
	expiresAt    float64
}

type pendingUpdate struct {
	Update
	transmissions int
}

// Machine is one node's view.
type Machine struct {
	settings       Settings
	self           membership.Name
	incarnation    Incarnation
	now            float64
	random         random.PCG
	members        []*member
	byName         map[membership.Name]*member
	round          []*member // still to be asked in this round
	probe          probe
	nextProbeAt    float64 // when the next probe begins
	seq            Seq
	localHealth    int
	receivedAt     float64 // last word from anybody
	indirectProbes []indirectProbe
	pendingUpdates []pendingUpdate
	out            []Outgoing
	changes        []Change
}

// New makes a view in which all others live, as nothing else is known.
func New(set Settings, self membership.Name, own Incarnation, others []membership.Name, seed uint64, now float64) *Machine {
	m := &Machine{settings: set, self: self, incarnation: own, now: now, random: random.PCG(seed), byName: map[membership.Name]*member{}, receivedAt: now}
	for _, name := range others {
		x := &member{name: name, status: Alive, receivedAt: now}
		m.members, m.byName[name] = append(m.members, x), x
	}
	m.nextProbeAt = now + set.Period*m.random.Unit() // nodes started together must not ask together
	return m
}

const (
	refuted           event = 1 << iota // it is said to live, by a higher incarnation
	suspectedByPeer                     // somebody suspects it, by the incarnation that is known
	declaredDead                        // somebody calls it dead
	probeFailed                         // our own probe had no answer
	suspicionTimedOut                   // the suspicion was not denied in its time
)

// Isolated tells that nobody was heard for so long that it is we who are cut off. Nobody is called dead meanwhile.
func (m *Machine) Isolated() bool {
	return len(m.members) > 0 && m.now-m.receivedAt >= m.settings.IsolationTimeout
}

// Status of a node; of ourselves Alive, and Dead for none of the membership.
func (m *Machine) Status(name membership.Name) Status {
	if name == m.self {
		return Alive
	}
	if x := m.byName[name]; x != nil {
		return x.status
	}
	return Dead
}

// ReceivedAt is when a node last said anything to us.
func (m *Machine) ReceivedAt(name membership.Name) float64 {
	if x := m.byName[name]; x != nil {
		return x.receivedAt
	}
	return 0
}

// LocalHealth is that in ourselves: 0 for none.
func (m *Machine) LocalHealth() int { return m.localHealth }

// Incarnation is our own.
func (m *Machine) Incarnation() Incarnation { return m.incarnation }

// Tick does what is due, and tells when to come again.
func (m *Machine) Tick(now float64) (next float64) {
	m.now = now
	if len(m.members) == 0 {
		return now + m.settings.Period
	}
	for i := range m.indirectProbes {
		if e := &m.indirectProbes[i]; e.nackAt <= now {
			m.send(e.requester, Message{Kind: Nack, Seq: e.requesterSeq})
			e.nackAt = math.Inf(1)
		}
	}
	m.indirectProbes = slices.DeleteFunc(m.indirectProbes, func(e indirectProbe) bool { return e.expiresAt <= now })
	deaf := m.Isolated()
	for _, x := range m.members {
		switch {
		case x.status != Suspect:
		case deaf: // it may be us: the suspicion begins anew once we hear again
			x.suspectedAt = now
		case now-x.suspectedAt >= m.suspicionTimeout(x):
			m.apply(x, suspicionTimedOut)
		}
	}
	if p := &m.probe; p.to != nil && !p.acknowledged && !p.indirect && now-p.at >= m.stretch(m.settings.Timeout) {
		p.indirect = true
		for _, x := range m.sample(indirectProbes, p.to) {
			p.indirectSent++
			m.send(x.name, Message{Kind: PingRequest, Seq: p.seq, Target: p.to.name})
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

// finishProbe ends the probe in hand. Without an answer, and without a word from those that were to ask, it is rather we who
// are slow or cut off.
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
			p.to.accuser = m.self
		}
		m.apply(p.to, probeFailed)
	}
}

// startProbe asks the next one of a round in which each comes once, in an order drawn anew.
func (m *Machine) startProbe() {
	if len(m.round) == 0 {
		m.round = m.sample(len(m.members), nil)
	}
	m.seq++
	m.probe = probe{seq: m.seq, to: m.round[0], at: m.now}
	m.round = m.round[1:]
	m.send(m.probe.to.name, Message{Kind: Ping, Seq: m.seq})
}

// sample draws up to n others but one; the dead only where all are drawn.
func (m *Machine) sample(n int, not *member) (list []*member) {
	for _, x := range m.members {
		if x != not && (x.status != Dead || n >= len(m.members)) {
			list = append(list, x)
		}
	}
	for i := range list {
		j := i + int(m.random.Unit()*float64(len(list)-i))
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}
