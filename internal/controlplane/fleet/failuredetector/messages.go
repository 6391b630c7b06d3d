package failuredetector

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// News is what is passed on of a node.
type Update struct {
	Name        membership.Name `cbor:"1,keyasint"`
	Status      Status          `cbor:"2,keyasint"`
	Incarnation Incarnation     `cbor:"3,keyasint"`
	By          membership.Name `cbor:"4,keyasint,omitempty"` // of a suspicion: whose
}

// What says what a message is.
type MessageKind uint8

// Message is what members say to each other.
type Message struct {
	Kind        MessageKind     `cbor:"1,keyasint"`
	Seq         Seq             `cbor:"2,keyasint"`
	Incarnation Incarnation     `cbor:"3,keyasint"` // the sender's own
	Target      membership.Name `cbor:"4,keyasint,omitempty"`
	Updates     []Update        `cbor:"5,keyasint,omitempty"`
}

// Outgoing is a message on its way out.
type Outgoing struct {
	To membership.Name
	Message
}

// Change is what became of another node, to be counted and logged.
type Change struct {
	Name     membership.Name
	Was, Now Status
}

// TakeOutput hands out what is to be sent and what changed since the last time.
func (m *Machine) TakeOutput() (out []Outgoing, changes []Change) {
	out, changes = m.out, m.changes
	m.out, m.changes = nil, nil
	return out, changes
}

// RecordContact notes a word of any kind: whoever speaks lives, though a suspicion is only ended by its own denial.
func (m *Machine) RecordContact(now float64, from membership.Name) {
	m.now = now
	if x := m.byName[from]; x != nil {
		x.receivedAt, m.receivedAt = now, now
	}
}

// Receive takes a message.
func (m *Machine) Receive(now float64, from membership.Name, msg *Message) {
	x := m.byName[from]
	if x == nil {
		return
	}
	m.RecordContact(now, from)
	m.receiveUpdate(Update{Name: from, Status: Alive, Incarnation: msg.Incarnation})
	for _, n := range msg.Updates {
		m.receiveUpdate(n)
	}
	switch msg.Kind {
	case Ping:
		m.send(from, Message{Kind: Ack, Seq: msg.Seq})
	case PingRequest:
		if to := m.byName[msg.Target]; to != nil && len(m.indirectProbes) < 4*len(m.members) {
			m.seq++
			m.indirectProbes = append(m.indirectProbes, indirectProbe{m.seq, from, msg.Seq, msg.Target, now + nackTimeoutFactor*m.settings.Timeout, now + 2*m.settings.Period})
			m.send(msg.Target, Message{Kind: Ping, Seq: m.seq})
		}
	case Nack:
		if msg.Seq == m.probe.seq {
			m.probe.nacks++
		}
	case Ack:
		if msg.Seq == m.probe.seq && !m.probe.acknowledged {
			m.probe.acknowledged, m.localHealth = true, max(0, m.localHealth-1)
			return
		}
		for i, e := range m.indirectProbes {
			if e.seq == msg.Seq && e.to == from {
				m.send(e.requester, Message{Kind: Ack, Seq: e.requesterSeq, Target: e.to})
				m.indirectProbes = slices.Delete(m.indirectProbes, i, i+1)
				return
			}
		}
	}
}

// receiveUpdate takes a piece of news. What an older incarnation said counts no more.
func (m *Machine) receiveUpdate(n Update) {
	if n.Name == m.self {
		if n.Status != Alive && n.Incarnation >= m.incarnation { // deny it, and doubt ourselves: others did not hear us in time
			m.incarnation = n.Incarnation + 1
			m.localHealth = min(maxLocalHealth, m.localHealth+1)
			m.broadcast(Update{Name: m.self, Status: Alive, Incarnation: m.incarnation})
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
			m.apply(x, refuted)
		}
	case Suspect:
		if newer && x.status == Dead {
			return // a suspicion of a process that we have not heard of is no sign of its life
		}
		if x.status == Alive {
			x.accuser = n.By
		}
		m.apply(x, suspectedByPeer)
		if x.status == Suspect && n.By != x.accuser && n.By != "" && !x.confirmedBy[n.By] && len(x.confirmedBy) < maxConfirmations {
			x.confirmedBy[n.By] = true
			m.broadcastStatus(x, n.By)
		}
	case Dead:
		m.apply(x, declaredDead)
	}
}

func (m *Machine) send(to membership.Name, msg Message) {
	msg.Incarnation = m.incarnation
	if x := m.byName[to]; x != nil && x.status != Alive { // it first: so it can deny it
		msg.Updates = append(msg.Updates, Update{x.name, x.status, x.incarnation, m.self})
	}
	most := int(math.Ceil(retransmitFactor * m.logClusterSize()))
	slices.SortStableFunc(m.pendingUpdates, func(a, b pendingUpdate) int { return a.transmissions - b.transmissions })
	for i := range m.pendingUpdates {
		if r := &m.pendingUpdates[i]; len(msg.Updates) < maxUpdatesPerMessage && r.Name != to {
			msg.Updates = append(msg.Updates, r.Update)
			r.transmissions++
		}
	}
	m.pendingUpdates = slices.DeleteFunc(m.pendingUpdates, func(r pendingUpdate) bool { return r.transmissions >= most })
	m.out = append(m.out, Outgoing{to, msg})
}
