// Package failuredetector knows which nodes of the roster live, as SWIM does it (Das, Gupta and Motivala, 2002): each period one
// other is asked, straight and then through some others; who does not answer is suspected before it is called dead, and
// who is suspected may say otherwise by a higher incarnation. Of Lifeguard (Dadgar, Phillips and Currey, 2018) come the
// doubt in oneself, suspicions that end sooner the more others share them, and telling the suspected one first. Unlike in
// both, the dead are asked on: the roster is fixed, so a cut that heals is seen without anybody joining.
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
	Ping    What = iota // answer me
	Ack                 // I live; or, with a Target, that one does
	Through             // ask Target for me
	Nack                // I asked Target for you, and have no answer yet
)

// Settings are times in seconds.
type Settings struct {
	Period  float64 // in which one other is asked
	Timeout float64 // after which others are asked to ask it
	DeafS   float64 // without a word from anybody: we hear nothing
}

// Defaults find a crash in a few seconds at a few hundred bytes a second: period and time-out are a tenth and a third of
// SWIM's own, for one data centre's network; deaf is after three periods, in which several others are asked.
func Defaults() Settings { return Settings{Period: 0.5, Timeout: 0.15, DeafS: 1.5} }

const (
	through    = 3 // others asked to ask; Das and others, section 3.2
	confirms   = 3 // suspicions by others that end one soonest; Lifeguard, section IV-B
	longTimes  = 3 // the longest suspicion against the least
	leastMult  = 3 // periods that the least suspicion lasts, times log10 of the fleet
	doubtMost  = 8 // of oneself, times which waits are longer; Lifeguard, section IV-A
	perMessage = 8 // pieces of news that a message takes along: with names of 64 bytes still a datagram
	retell     = 4 // times log10 of the fleet that one is passed on
	nackAfter  = 0.8
)

// member lives as long as the machine.
type member struct {
	name        membership.Name
	status      Status
	incarnation Incarnation
	heardAt     float64
	since       float64                  // suspected
	accuser     membership.Name          // who did so first
	by          map[membership.Name]bool // who suspects it
}

// probe is the one in hand.
type probe struct {
	seq     Seq
	to      *member
	at      float64
	asked   int // others, to ask it
	nacks   int
	ended   bool // answered
	through bool
}

// errand is a probe for another node.
type errand struct {
	seq   Seq // our own
	asker membership.Name
	their Seq
	to    membership.Name
	nack  float64 // when to say that there is no answer
	over  float64
}

type rumour struct {
	News
	told int
}

// Machine is one node's view.
type Machine struct {
	set     Settings
	self    membership.Name
	own     Incarnation
	now     float64
	chance  random.PCG
	members []*member
	byName  map[membership.Name]*member
	round   []*member // still to be asked in this round
	probe   probe
	next    float64 // when the next probe begins
	seq     Seq
	doubt   int
	heard   float64 // last word from anybody
	errands []errand
	rumours []rumour
	out     []Send
	changes []Change
}

// New makes a view in which all others live, as nothing else is known.
func New(set Settings, self membership.Name, own Incarnation, others []membership.Name, seed uint64, now float64) *Machine {
	m := &Machine{set: set, self: self, own: own, now: now, chance: random.PCG(seed), byName: map[membership.Name]*member{}, heard: now}
	for _, name := range others {
		x := &member{name: name, status: Alive, heardAt: now}
		m.members, m.byName[name] = append(m.members, x), x
	}
	m.next = now + set.Period*m.chance.Unit() // nodes started together must not ask together
	return m
}

const (
	denies    input = 1 << iota // it is said to live, by a higher incarnation
	doubted                     // somebody suspects it, by the incarnation that is known
	condemned                   // somebody calls it dead
	unanswer                    // our own probe had no answer
	ranOut                      // the suspicion was not denied in its time
)

// Deaf tells that nobody was heard for so long that it is we who are cut off. Nobody is called dead meanwhile.
func (m *Machine) Deaf() bool { return len(m.members) > 0 && m.now-m.heard >= m.set.DeafS }

// Status of a node; of ourselves Alive, and Dead for none of the roster.
func (m *Machine) Status(name membership.Name) Status {
	if name == m.self {
		return Alive
	}
	if x := m.byName[name]; x != nil {
		return x.status
	}
	return Dead
}

// HeardAt is when a node last said anything to us.
func (m *Machine) HeardAt(name membership.Name) float64 {
	if x := m.byName[name]; x != nil {
		return x.heardAt
	}
	return 0
}

// Doubt is that in ourselves: 0 for none.
func (m *Machine) Doubt() int { return m.doubt }

// Incarnation is our own.
func (m *Machine) Incarnation() Incarnation { return m.own }

// Tick does what is due, and tells when to come again.
func (m *Machine) Tick(now float64) (next float64) {
	m.now = now
	if len(m.members) == 0 {
		return now + m.set.Period
	}
	for i := range m.errands {
		if e := &m.errands[i]; e.nack <= now {
			m.send(e.asker, Message{What: Nack, Seq: e.their})
			e.nack = math.Inf(1)
		}
	}
	m.errands = slices.DeleteFunc(m.errands, func(e errand) bool { return e.over <= now })
	deaf := m.Deaf()
	for _, x := range m.members {
		switch {
		case x.status != Suspect:
		case deaf: // it may be us: the suspicion begins anew once we hear again
			x.since = now
		case now-x.since >= m.patience(x):
			m.act(x, ranOut)
		}
	}
	if p := &m.probe; p.to != nil && !p.ended && !p.through && now-p.at >= m.slow(m.set.Timeout) {
		p.through = true
		for _, x := range m.draw(through, p.to) {
			p.asked++
			m.send(x.name, Message{What: Through, Seq: p.seq, Target: p.to.name})
		}
	}
	if now >= m.next {
		m.close()
		m.begin()
		m.next = now + m.slow(m.set.Period)
	}
	return m.due()
}

func (m *Machine) due() float64 {
	next := m.next
	if p := &m.probe; p.to != nil && !p.ended && !p.through {
		next = min(next, p.at+m.slow(m.set.Timeout))
	}
	for _, e := range m.errands {
		next = min(next, e.nack)
	}
	return next
}

// close ends the probe in hand. Without an answer, and without a word from those that were to ask, it is rather we who
// are slow or cut off.
func (m *Machine) close() {
	p := &m.probe
	if p.to == nil || p.ended {
		return
	}
	if p.asked > p.nacks {
		m.doubt = min(doubtMost, m.doubt+1)
	}
	if !m.Deaf() {
		if p.to.status == Alive {
			p.to.accuser = m.self
		}
		m.act(p.to, unanswer)
	}
}

// begin asks the next one of a round in which each comes once, in an order drawn anew.
func (m *Machine) begin() {
	if len(m.round) == 0 {
		m.round = m.draw(len(m.members), nil)
	}
	m.seq++
	m.probe = probe{seq: m.seq, to: m.round[0], at: m.now}
	m.round = m.round[1:]
	m.send(m.probe.to.name, Message{What: Ping, Seq: m.seq})
}

// draw draws up to n others but one; the dead only where all are drawn.
func (m *Machine) draw(n int, not *member) (list []*member) {
	for _, x := range m.members {
		if x != not && (x.status != Dead || n >= len(m.members)) {
			list = append(list, x)
		}
	}
	for i := range list {
		j := i + int(m.chance.Unit()*float64(len(list)-i))
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}
