package failuredetector

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// Update is a node's status as one node tells it another.
type Update struct {
	Name        membership.Name `cbor:"1,keyasint"`
	Status      Status          `cbor:"2,keyasint"`
	Incarnation Incarnation     `cbor:"3,keyasint"`
	By          membership.Name `cbor:"4,keyasint,omitempty"` // who suspects it, for a suspicion
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

// Message is what nodes send to each other, with the updates that it carries along.
type Message struct {
	Kind        MessageKind     `cbor:"1,keyasint"`
	Seq         Seq             `cbor:"2,keyasint"`
	Incarnation Incarnation     `cbor:"3,keyasint"` // the sender's own
	Target      membership.Name `cbor:"4,keyasint,omitempty"`
	Updates     []Update        `cbor:"5,keyasint,omitempty"`
}

// Outgoing is a message to send.
type Outgoing struct {
	To membership.Name
	Message
}

// Change is a change of another node's status, to be counted and logged.
type Change struct {
	Name     membership.Name
	Was, Now Status
}

// TakeOutput returns what is to be sent and what has changed since the last call.
func (m *Machine) TakeOutput() (out []Outgoing, changes []Change) {
	out, changes = m.out, m.changes
	m.out, m.changes = nil, nil
	return out, changes
}

// RecordContact notes a message of any kind, which shows that its sender is alive. Only a refutation ends a suspicion,
// though.
func (m *Machine) RecordContact(now float64, from membership.Name) {
	m.now = now
	if x := m.byName[from]; x != nil {
		x.receivedAt, m.receivedAt = now, now
	}
}

// Receive takes a message. One of no member changes nothing.
func (m *Machine) Receive(now float64, from membership.Name, msg *Message) {
	sender := m.byName[from]
	if sender == nil {
		return
	}
	m.RecordContact(now, from)
	m.receiveUpdate(Update{Name: from, Status: Alive, Incarnation: msg.Incarnation})
	for _, update := range msg.Updates {
		m.receiveUpdate(update)
	}
	switch msg.Kind {
	case Ping:
		m.send(from, Message{Kind: Ack, Seq: msg.Seq})
	case PingRequest:
		if target := m.byName[msg.Target]; target != nil && len(m.indirectProbes) < 4*len(m.members) {
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
		for i, indirect := range m.indirectProbes {
			if indirect.seq == msg.Seq && indirect.to == from {
				m.send(indirect.requester, Message{Kind: Ack, Seq: indirect.requesterSeq, Target: indirect.to})
				m.indirectProbes = slices.Delete(m.indirectProbes, i, i+1)
				return
			}
		}
	}
}

// receiveUpdate takes an update. One about an older incarnation changes nothing.
func (m *Machine) receiveUpdate(update Update) {
	if update.Name == m.self {
		if update.Status != Alive && update.Incarnation >= m.incarnation { // refute it; our answers were late, so that our health score rises
			m.incarnation = update.Incarnation + 1
			m.localHealth = min(maxLocalHealth, m.localHealth+1)
			m.broadcast(Update{Name: m.self, Status: Alive, Incarnation: m.incarnation})
		}
		return
	}
	subject := m.byName[update.Name]
	if subject == nil || update.Incarnation < subject.incarnation {
		return
	}
	newer := update.Incarnation > subject.incarnation
	subject.incarnation = update.Incarnation
	switch update.Status {
	case Alive:
		if newer {
			m.apply(subject, refuted)
		}
	case Suspect:
		if newer && subject.status == Dead {
			return // a suspicion of a process that is unknown here does not show that it is alive
		}
		if subject.status == Alive {
			subject.firstSuspectedBy = update.By
		}
		m.apply(subject, suspectedByPeer)
		if subject.status == Suspect && update.By != subject.firstSuspectedBy && update.By != "" && !subject.confirmedBy[update.By] && len(subject.confirmedBy) < maxConfirmations {
			subject.confirmedBy[update.By] = true
			m.broadcastStatus(subject, update.By)
		}
	case Dead:
		m.apply(subject, declaredDead)
	}
}

func (m *Machine) send(to membership.Name, msg Message) {
	msg.Incarnation = m.incarnation
	if recipient := m.byName[to]; recipient != nil && recipient.status != Alive { // tell it first, so that it can refute that
		msg.Updates = append(msg.Updates, Update{recipient.name, recipient.status, recipient.incarnation, m.self})
	}
	maxTransmissions := int(math.Ceil(retransmitFactor * m.logClusterSize()))
	slices.SortStableFunc(m.pendingUpdates, func(a, b pendingUpdate) int { return a.transmissions - b.transmissions })
	for i := range m.pendingUpdates {
		if r := &m.pendingUpdates[i]; len(msg.Updates) < maxUpdatesPerMessage && r.Name != to {
			msg.Updates = append(msg.Updates, r.Update)
			r.transmissions++
		}
	}
	m.pendingUpdates = slices.DeleteFunc(m.pendingUpdates, func(r pendingUpdate) bool { return r.transmissions >= maxTransmissions })
	m.out = append(m.out, Outgoing{to, msg})
}
