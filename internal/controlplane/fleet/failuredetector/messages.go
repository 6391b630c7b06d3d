package failuredetector

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// News is what is passed on of a node.
type News struct {
	Name        membership.Name `cbor:"1,keyasint"`
	Status      Status          `cbor:"2,keyasint"`
	Incarnation Incarnation     `cbor:"3,keyasint"`
	By          membership.Name `cbor:"4,keyasint,omitempty"` // of a suspicion: whose
}

// What says what a message is.
type What uint8

// Message is what members say to each other.
type Message struct {
	What        What            `cbor:"1,keyasint"`
	Seq         Seq             `cbor:"2,keyasint"`
	Incarnation Incarnation     `cbor:"3,keyasint"` // the sender's own
	Target      membership.Name `cbor:"4,keyasint,omitempty"`
	News        []News          `cbor:"5,keyasint,omitempty"`
}

// Send is a message on its way out.
type Send struct {
	To membership.Name
	Message
}

// Change is what became of another node, to be counted and logged.
type Change struct {
	Name     membership.Name
	Was, Now Status
}

// Taken hands out what is to be sent and what changed since the last time.
func (m *Machine) Taken() (out []Send, changes []Change) {
	out, changes = m.out, m.changes
	m.out, m.changes = nil, nil
	return out, changes
}

// Heard notes a word of any kind: whoever speaks lives, though a suspicion is only ended by its own denial.
func (m *Machine) Heard(now float64, from membership.Name) {
	m.now = now
	if x := m.byName[from]; x != nil {
		x.heardAt, m.heard = now, now
	}
}

// Hear takes a message.
func (m *Machine) Hear(now float64, from membership.Name, msg *Message) {
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
				m.send(e.asker, Message{What: Ack, Seq: e.their, Target: e.to})
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

func (m *Machine) send(to membership.Name, msg Message) {
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
