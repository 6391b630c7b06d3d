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
	SuspectedBy membership.Name `cbor:"4,keyasint,omitempty"` // the node that suspects it, for a suspicion
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
func (d *Detector) TakeOutput() (out []Outgoing, changes []Change) {
	out, changes = d.outgoing, d.changes
	d.outgoing, d.changes = nil, nil
	return out, changes
}

// RecordContact records that a message of any protocol was received from a node. It does not end a suspicion; only a refutation
// does.
func (d *Detector) RecordContact(now float64, from membership.Name) {
	d.now = now
	if sender := d.byName[from]; sender != nil {
		sender.lastReceivedAt, d.lastReceivedAt = now, now
	}
}

// Receive processes a message. A message from a node outside of the membership is ignored.
func (d *Detector) Receive(now float64, from membership.Name, msg *Message) {
	sender := d.byName[from]
	if sender == nil {
		return
	}
	d.RecordContact(now, from)
	d.receiveUpdate(Update{Name: from, Status: Alive, Incarnation: msg.Incarnation})
	for _, update := range msg.Updates {
		d.receiveUpdate(update)
	}
	switch msg.Kind {
	case Ping:
		d.send(from, Message{Kind: Ack, Seq: msg.Seq})
	case PingRequest:
		if target := d.byName[msg.Target]; target != nil && len(d.indirectProbes) < 4*len(d.members) {
			d.seq++
			d.indirectProbes = append(d.indirectProbes, indirectProbe{d.seq, from, msg.Seq, msg.Target, now + nackTimeoutFactor*d.settings.PingTimeout, now + 2*d.settings.Period})
			d.send(msg.Target, Message{Kind: Ping, Seq: d.seq})
		}
	case Nack:
		if msg.Seq == d.probe.seq {
			d.probe.nacks++
		}
	case Ack:
		if msg.Seq == d.probe.seq && !d.probe.acknowledged {
			d.probe.acknowledged, d.localHealth = true, max(0, d.localHealth-1)
			return
		}
		for i, indirect := range d.indirectProbes {
			if indirect.seq == msg.Seq && indirect.to == from {
				d.send(indirect.requester, Message{Kind: Ack, Seq: indirect.requesterSeq, Target: indirect.to})
				d.indirectProbes = slices.Delete(d.indirectProbes, i, i+1)
				return
			}
		}
	}
}

// receiveUpdate processes an update. An update about an older incarnation changes nothing.
func (d *Detector) receiveUpdate(update Update) {
	if update.Name == d.self {
		if update.Status != Alive && update.Incarnation >= d.incarnation { // refute it; the answers of this node were late, so its health score rises
			d.incarnation = update.Incarnation + 1
			d.localHealth = min(maxLocalHealth, d.localHealth+1)
			d.broadcast(Update{Name: d.self, Status: Alive, Incarnation: d.incarnation})
		}
		return
	}
	subject := d.byName[update.Name]
	if subject == nil || update.Incarnation < subject.incarnation {
		return
	}
	newer := update.Incarnation > subject.incarnation
	subject.incarnation = update.Incarnation
	switch update.Status {
	case Alive:
		if newer {
			d.apply(subject, refuted)
		}
	case Suspect:
		if newer && subject.status == Dead {
			return // a suspicion of a newer process does not show that the process is alive
		}
		if subject.status == Alive {
			subject.firstSuspectedBy = update.SuspectedBy
		}
		d.apply(subject, suspectedByPeer)
		if subject.status == Suspect && update.SuspectedBy != subject.firstSuspectedBy && update.SuspectedBy != "" && !subject.confirmedBy[update.SuspectedBy] && len(subject.confirmedBy) < maxConfirmations {
			subject.confirmedBy[update.SuspectedBy] = true
			d.broadcastStatus(subject, update.SuspectedBy)
		}
	case Dead:
		d.apply(subject, declaredDeadByPeer)
	}
}

func (d *Detector) send(to membership.Name, msg Message) {
	msg.Incarnation = d.incarnation
	if recipient := d.byName[to]; recipient != nil && recipient.status != Alive { // send the recipient its own status first, so that it can refute it
		msg.Updates = append(msg.Updates, Update{recipient.name, recipient.status, recipient.incarnation, d.self})
	}
	maxTransmissions := int(math.Ceil(retransmitFactor * d.logClusterSize()))
	slices.SortStableFunc(d.pendingUpdates, func(a, b pendingUpdate) int { return a.transmissions - b.transmissions })
	for i := range d.pendingUpdates {
		if pending := &d.pendingUpdates[i]; len(msg.Updates) < maxUpdatesPerMessage && pending.Name != to {
			msg.Updates = append(msg.Updates, pending.Update)
			pending.transmissions++
		}
	}
	d.pendingUpdates = slices.DeleteFunc(d.pendingUpdates, func(pending pendingUpdate) bool { return pending.transmissions >= maxTransmissions })
	d.outgoing = append(d.outgoing, Outgoing{to, msg})
}
