package failuredetector

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// Update is the status of a node, as one node sends it to another.
type Update struct {
	Name        membership.Name `cbor:"1,keyasint"`
	Status      Status          `cbor:"2,keyasint"`
	Incarnation Incarnation     `cbor:"3,keyasint"`
	By          membership.Name `cbor:"4,keyasint,omitempty"` // the node that suspects it, for a suspicion
}

// MessageKind is the kind of a message.
type MessageKind uint8

// Message is a message between two nodes. It also carries updates about other nodes.
type Message struct {
	Kind        MessageKind     `cbor:"1,keyasint"`
	Seq         Seq             `cbor:"2,keyasint"`
	Incarnation Incarnation     `cbor:"3,keyasint"` // of the sender
	Target      membership.Name `cbor:"4,keyasint,omitempty"`
	Updates     []Update        `cbor:"5,keyasint,omitempty"`
}

// Outgoing is a message to send.
type Outgoing struct {
	To membership.Name
	Message
}

// Change is a change in the status of another node. The caller counts and logs it.
type Change struct {
	Name     membership.Name
	Old, New Status
}

// TakeOutput returns the messages to send and the status changes since the last call.
func (m *Detector) TakeOutput() (out []Outgoing, changes []Change) {
	out, changes = m.outgoing, m.changes
	m.outgoing, m.changes = nil, nil
	return out, changes
}

// RecordContact records that a message of any protocol was received from a node. It does not end a suspicion; only a refutation
// does.
func (m *Detector) RecordContact(now float64, from membership.Name) {
	m.now = now
	if sender := m.byName[from]; sender != nil {
		sender.lastReceivedAt, m.lastReceivedAt = now, now
	}
}

// Receive processes a message. A message from a node outside of the membership is ignored.
func (m *Detector) Receive(now float64, from membership.Name, msg *Message) {
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

// receiveUpdate processes an update. An update about an older incarnation changes nothing.
func (m *Detector) receiveUpdate(update Update) {
	if update.Name == m.self {
		if update.Status != Alive && update.Incarnation >= m.incarnation { // refute it; the answers of this node were late, so its health score rises
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
			return // a suspicion of a newer process does not show that the process is alive
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
		m.apply(subject, declaredDeadByPeer)
	}
}

func (m *Detector) send(to membership.Name, msg Message) {
	msg.Incarnation = m.incarnation
	if recipient := m.byName[to]; recipient != nil && recipient.status != Alive { // send the recipient its own status first, so that it can refute it
		msg.Updates = append(msg.Updates, Update{recipient.name, recipient.status, recipient.incarnation, m.self})
	}
	maxTransmissions := int(math.Ceil(retransmitFactor * m.logClusterSize()))
	slices.SortStableFunc(m.pendingUpdates, func(a, b pendingUpdate) int { return a.transmissions - b.transmissions })
	for i := range m.pendingUpdates {
		if pending := &m.pendingUpdates[i]; len(msg.Updates) < maxUpdatesPerMessage && pending.Name != to {
			msg.Updates = append(msg.Updates, pending.Update)
			pending.transmissions++
		}
	}
	m.pendingUpdates = slices.DeleteFunc(m.pendingUpdates, func(pending pendingUpdate) bool { return pending.transmissions >= maxTransmissions })
	m.outgoing = append(m.outgoing, Outgoing{to, msg})
}
