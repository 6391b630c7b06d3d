// Package members knows which mixers of the roster live, as SWIM does it (Das, Gupta and Motivala, 2002): each period one
// other is asked, straight and then through some others; who does not answer is suspected before it is called dead, and
// who is suspected may say otherwise by a higher incarnation. Of Lifeguard (Dadgar, Phillips and Currey, 2018) come the
// doubt in oneself, suspicions that end sooner the more others share them, and telling the suspected one first. Unlike in
// both, the dead are asked on: the roster is fixed, so a cut that heals is seen without anybody joining.
//
// It does no I/O, reads no clock and starts no goroutine.
package members

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/chance"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/roster"
)

// Status is what is held of another mixer.
type Status uint8

const (
	Alive Status = 1 << iota
	Suspect
	Dead
)

func (s Status) String() string {
	return map[Status]string{Alive: "alive", Suspect: "suspect", Dead: "dead"}[s]
}

// Incarnation orders what is said of one mixer; it begins at its process's and rises as it denies suspicions.
type Incarnation uint64

// Seq names a probe.
type Seq uint64

// News is what is passed on of a mixer.
type News struct {
	Name        roster.Name `cbor:"1,keyasint"`
	Status      Status      `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
	By          roster.Name `cbor:"4,keyasint,omitempty"` // of a suspicion: whose
}

// What says what a message is.
type What uint8

const (
	Ping    What = iota // answer me
	Ack                 // I live; or, with a Target, that one does
	Through             // ask Target for me
	Nack                // I asked Target for you, and have no answer yet
)

// Message is what members say to each other.
type Message struct {
	What        What        `cbor:"1,keyasint"`
	Seq         Seq         `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"` // the sender's own
	Target      roster.Name `cbor:"4,keyasint,omitempty"`
	News        []News      `cbor:"5,keyasint,omitempty"`
}

// Send is a message on its way out.
type Send struct {
	To roster.Name
	Message
}

// Change is what became of another mixer, to be counted and logged.
type Change struct {
	Name     roster.Name
	Was, Now Status
}

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
	name        roster.Name
	status      Status
	incarnation Incarnation
	heardAt     float64
	since       float64              // suspected
	accuser     roster.Name          // who did so first
	by          map[roster.Name]bool // who suspects it
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

// errand is a probe for another mixer.
type errand struct {
	seq   Seq // our own
	for_  roster.Name
	their Seq
	to    roster.Name
	nack  float64 // when to say that there is no answer
	over  float64
}

type rumour struct {
	News
	told int
}

// Machine is one mixer's view.
type Machine struct {
	set     Settings
	self    roster.Name
	own     Incarnation
	now     float64
	chance  chance.PCG
	members []*member
	byName  map[roster.Name]*member
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
func New(set Settings, self roster.Name, own Incarnation, others []roster.Name, seed uint64, now float64) *Machine {
	m := &Machine{set: set, self: self, own: own, now: now, chance: chance.PCG(seed), byName: map[roster.Name]*member{}, heard: now}
	for _, name := range others {
		x := &member{name: name, status: Alive, heardAt: now}
		m.members, m.byName[name] = append(m.members, x), x
	}
	m.next = now + set.Period*m.chance.Unit() // mixers started together must not ask together
	return m
}

// input is what may happen to a member's status.
type input uint8

const (
	denies    input = 1 << iota // it is said to live, by a higher incarnation
	doubted                     // somebody suspects it, by the incarnation that is known
	condemned                   // somebody calls it dead
	unanswer                    // our own probe had no answer
	ranOut                      // the suspicion was not denied in its time
)

// rule is a row of the table: in one of these states, on one of these inputs, go to the next and do this.
type rule struct {
	state Status
	on    input
	next  Status
	do    func(*Machine, *member)
}

// What the table does not list changes nothing.
var table = []rule{}

func init() {
	table = []rule{
		{Suspect | Dead, denies, Alive, (*Machine).revive},
		{Alive, doubted | unanswer, Suspect, (*Machine).suspect},
		{Alive | Suspect, condemned, Dead, (*Machine).bury},
		{Suspect, ranOut, Dead, (*Machine).bury},
	}
}

func (m *Machine) act(x *member, on input) {
	for i := range table {
		if r := &table[i]; r.state&x.status != 0 && r.on&on != 0 {
			m.changes = append(m.changes, Change{x.name, x.status, r.next})
			x.status = r.next
			r.do(m, x)
			return
		}
	}
}

func (m *Machine) revive(x *member) { x.by = nil; m.tell(x, "") }
func (m *Machine) suspect(x *member) {
	x.since, x.by = m.now, map[roster.Name]bool{}
	m.tell(x, x.accuser)
}
func (m *Machine) bury(x *member) { x.by = nil; m.tell(x, "") }

// tell passes on what is held of a member.
func (m *Machine) tell(x *member, by roster.Name) {
	m.pass(News{x.name, x.status, x.incarnation, by})
}

// pass puts a piece of news first, in place of what was told of the same mixer.
func (m *Machine) pass(n News) {
	m.rumours = slices.DeleteFunc(m.rumours, func(r rumour) bool { return r.Name == n.Name })
	m.rumours = append(m.rumours, rumour{News: n})
}

func (m *Machine) size() float64 { return math.Max(1, math.Log10(float64(len(m.members)+1))) }

// patience is how long a member stays suspect: the longest for a suspicion that nobody shares, the least once enough do.
func (m *Machine) patience(x *member) float64 {
	least := leastMult * m.size() * m.set.Period
	most := longTimes * least
	others := min(confirms, len(m.members)-1) // that could share it
	if others < 1 {
		return least
	}
	shared := math.Log(float64(len(x.by))+1) / math.Log(float64(others)+1)
	return math.Max(least, most-(most-least)*shared)
}

// slow stretches times by the doubt in ourselves.
func (m *Machine) slow(s float64) float64 { return s * float64(1+m.doubt) }

// Deaf tells that nobody was heard for so long that it is we who are cut off. Nobody is called dead meanwhile.
func (m *Machine) Deaf() bool { return len(m.members) > 0 && m.now-m.heard >= m.set.DeafS }

// Status of a mixer; of ourselves Alive, and Dead for none of the roster.
func (m *Machine) Status(name roster.Name) Status {
	if name == m.self {
		return Alive
	}
	if x := m.byName[name]; x != nil {
		return x.status
	}
	return Dead
}

// HeardAt is when a mixer last said anything to us.
func (m *Machine) HeardAt(name roster.Name) float64 {
	if x := m.byName[name]; x != nil {
		return x.heardAt
	}
	return 0
}

// Doubt is that in ourselves: 0 for none.
func (m *Machine) Doubt() int { return m.doubt }

// Incarnation is our own.
func (m *Machine) Incarnation() Incarnation { return m.own }

// Taken hands out what is to be sent and what changed since the last time.
func (m *Machine) Taken() (out []Send, changes []Change) {
	out, changes = m.out, m.changes
	m.out, m.changes = nil, nil
	return out, changes
}

// Heard notes a word of any kind: whoever speaks lives, though a suspicion is only ended by its own denial.
func (m *Machine) Heard(now float64, from roster.Name) {
	m.now = now
	if x := m.byName[from]; x != nil {
		x.heardAt, m.heard = now, now
	}
}

// Hear takes a message.
func (m *Machine) Hear(now float64, from roster.Name, msg *Message) {
	x := m.byName[from]
	if x == nil {
		return
	}
	m.Heard(now, from)
	m.learn(News{Name: from, Status: Alive, Incarnation: msg.Incarnation})
	for _, n := range msg.News {
		m.learn(n)
	}
	switch msg.What {
	case Ping:
		m.send(from, Message{What: Ack, Seq: msg.Seq})
	case Through:
		if to := m.byName[msg.Target]; to != nil && len(m.errands) < 4*len(m.members) {
			m.seq++
			m.errands = append(m.errands, errand{m.seq, from, msg.Seq, msg.Target, now + nackAfter*m.set.Timeout, now + 2*m.set.Period})
			m.send(msg.Target, Message{What: Ping, Seq: m.seq})
		}
	case Nack:
		if msg.Seq == m.probe.seq {
			m.probe.nacks++
		}
	case Ack:
		if msg.Seq == m.probe.seq && !m.probe.ended {
			m.probe.ended, m.doubt = true, max(0, m.doubt-1)
			return
		}
		for i, e := range m.errands {
			if e.seq == msg.Seq && e.to == from {
				m.send(e.for_, Message{What: Ack, Seq: e.their, Target: e.to})
				m.errands = slices.Delete(m.errands, i, i+1)
				return
			}
		}
	}
}

// learn takes a piece of news. What an older incarnation said counts no more.
func (m *Machine) learn(n News) {
	if n.Name == m.self {
		if n.Status != Alive && n.Incarnation >= m.own { // deny it, and doubt ourselves: others did not hear us in time
			m.own = n.Incarnation + 1
			m.doubt = min(doubtMost, m.doubt+1)
			m.pass(News{Name: m.self, Status: Alive, Incarnation: m.own})
		}
		return
	}
	x := m.byName[n.Name]
	if x == nil || n.Incarnation < x.incarnation {
		return
	}
	newer := n.Incarnation > x.incarnation
	x.incarnation = n.Incarnation
	switch n.Status {
	case Alive:
		if newer {
			m.act(x, denies)
		}
	case Suspect:
		if newer && x.status == Dead {
			return // a suspicion of a process that we have not heard of is no sign of its life
		}
		if x.status == Alive {
			x.accuser = n.By
		}
		m.act(x, doubted)
		if x.status == Suspect && n.By != x.accuser && n.By != "" && !x.by[n.By] && len(x.by) < confirms {
			x.by[n.By] = true
			m.tell(x, n.By)
		}
	case Dead:
		m.act(x, condemned)
	}
}

func (m *Machine) send(to roster.Name, msg Message) {
	msg.Incarnation = m.own
	if x := m.byName[to]; x != nil && x.status != Alive { // it first: so it can deny it
		msg.News = append(msg.News, News{x.name, x.status, x.incarnation, m.self})
	}
	most := int(math.Ceil(retell * m.size()))
	slices.SortStableFunc(m.rumours, func(a, b rumour) int { return a.told - b.told })
	for i := range m.rumours {
		if r := &m.rumours[i]; len(msg.News) < perMessage && r.Name != to {
			msg.News = append(msg.News, r.News)
			r.told++
		}
	}
	m.rumours = slices.DeleteFunc(m.rumours, func(r rumour) bool { return r.told >= most })
	m.out = append(m.out, Send{to, msg})
}

// Tick does what is due, and tells when to come again.
func (m *Machine) Tick(now float64) (next float64) {
	m.now = now
	if len(m.members) == 0 {
		return now + m.set.Period
	}
	for i := range m.errands {
		if e := &m.errands[i]; e.nack <= now {
			m.send(e.for_, Message{What: Nack, Seq: e.their})
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
