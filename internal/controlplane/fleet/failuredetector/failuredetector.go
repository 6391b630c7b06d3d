// Package failuredetector determines which nodes of the membership are alive. It implements SWIM (Das, Gupta and Motivala,
// "SWIM: scalable weakly-consistent infection-style process group membership protocol", 2002). In each period a node pings one
// other node. If that node does not answer, some others are asked to ping it. A node that does not answer either way is
// suspected before it is declared dead. It may refute the suspicion with a higher incarnation.
//
// The package also uses Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: local health awareness for more accurate failure
// detection", 2018). From it come the local health score, suspicions that time out sooner if more nodes confirm them, and
// messages that tell a suspected node of the suspicion first. Unlike in both papers, dead nodes are still pinged. The
// membership is fixed, so that nodes need not join again after a partition.
//
// The package does no I/O, reads no clock and starts no goroutine. Times are in seconds.
package failuredetector

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/random"
)

// Status is the state of another node as this node sees it.
type Status uint8

// The statuses.
const (
	Alive Status = 1 << iota
	Suspect
	Dead
)

// String returns the name of the status in counters and logs.
func (s Status) String() string {
	return map[Status]string{Alive: "alive", Suspect: "suspect", Dead: "dead"}[s]
}

// Incarnation orders the updates about one node. It starts at the incarnation of the process, and increases when the node refutes
// a suspicion.
type Incarnation uint64

// Seq identifies a probe.
type Seq uint64

// The kinds of messages.
const (
	Ping        MessageKind = iota // asks for an Ack
	Ack                            // confirms that the sender is alive or, with a Target, that Target is
	PingRequest                    // asks to ping Target
	Nack                           // reports that the node that the recipient asked to ping has not answered yet
)

// Settings are the periods and time-outs, in seconds.
type Settings struct {
	Period           float64 // time between two probes
	PingTimeout      float64 // time-out of a ping, after which other nodes are asked to ping as well
	IsolationTimeout float64 // time without any message after which this node considers itself isolated
}

// DefaultSettings returns settings that detect a crash in a few seconds, at a few hundred bytes a second for each node. They are
// made for the network of one data centre: the period is a tenth and the time-out a third of those of SWIM. IsolationTimeout is
// three periods, in which several other nodes are pinged.
func DefaultSettings() Settings {
	return Settings{Period: 0.5, PingTimeout: 0.15, IsolationTimeout: 1.5}
}

const (
	indirectProbeCount   = 3 // nodes that are asked to ping (Das and others, section 3.2)
	maxConfirmations     = 3 // confirmations that shorten a suspicion the most (Lifeguard, section IV-B)
	maxSuspicionFactor   = 3 // longest suspicion as a multiple of the shortest
	minSuspicionPeriods  = 3 // shortest suspicion in periods, per log10 of the fleet size
	maxLocalHealth       = 8 // worst local health score (Lifeguard, section IV-A)
	maxUpdatesPerMessage = 8 // a message still fits into a datagram with names of 64 bytes
	retransmitFactor     = 4 // how often an update is sent, per log10 of the fleet size
	// nackTimeoutFactor is the fraction of PingTimeout after which a Nack is sent.
	nackTimeoutFactor = 0.8
)

// member is the state of another node.
type member struct {
	name             membership.Name
	status           Status
	incarnation      Incarnation
	lastReceivedAt   float64
	suspectedAt      float64                  // valid while it is Suspect
	firstSuspectedBy membership.Name          // the node that suspected it first
	confirmedBy      map[membership.Name]bool // other nodes that suspect it too
}

// probe is the probe in progress. Its to is nil before the first one.
type probe struct {
	seq          Seq
	to           *member
	sentAt       float64
	indirectSent int // nodes that were asked to ping
	nacks        int
	acknowledged bool
	indirect     bool
}

// indirectProbe is a ping on behalf of another node.
type indirectProbe struct {
	seq          Seq // of the ping that this node sent
	requester    membership.Name
	requesterSeq Seq
	to           membership.Name
	nackAt       float64 // infinite after the Nack was sent
	expiresAt    float64
}

// pendingUpdate is an update that is still to be sent.
type pendingUpdate struct {
	Update
	transmissions int
}

// Detector is the view that one node has of the others. It must be used by one goroutine only.
type Detector struct {
	settings       Settings
	self           membership.Name
	incarnation    Incarnation
	now            float64
	random         random.PCG
	members        []*member
	byName         map[membership.Name]*member
	unprobed       []*member // members still to be pinged in this round
	probe          probe
	nextProbeAt    float64
	seq            Seq
	localHealth    int
	lastReceivedAt float64 // time of the last message from any node
	indirectProbes []indirectProbe
	pendingUpdates []pendingUpdate
	outgoing       []Outgoing
	changes        []Change
}

// New returns a detector that considers all other nodes alive at first.
func New(settings Settings, self membership.Name, incarnation Incarnation, others []membership.Name, seed uint64, now float64) *Detector {
	d := &Detector{settings: settings, self: self, incarnation: incarnation, now: now, random: random.PCG(seed), byName: map[membership.Name]*member{}, lastReceivedAt: now}
	for _, name := range others {
		peer := &member{name: name, status: Alive, lastReceivedAt: now}
		d.members, d.byName[name] = append(d.members, peer), peer
	}
	d.nextProbeAt = now + settings.Period*d.random.Unit() // nodes that start at the same time must not all ping at the same time
	return d
}

const (
	refuted            event = 1 << iota // an update with a higher incarnation shows that the member is alive
	suspectedByPeer                      // another node suspects it
	declaredDeadByPeer                   // another node declares it dead
	probeFailed                          // our own probe was not answered
	suspicionTimedOut                    // the suspicion was not refuted in time
)

// Isolated reports whether this node has received no message for IsolationTimeout, so that probably this node itself is partitioned.
// An isolated node declares no other node dead.
func (d *Detector) Isolated() bool {
	return len(d.members) > 0 && d.now-d.lastReceivedAt >= d.settings.IsolationTimeout
}

// Status returns the status of a node. It is Alive for this node, and Dead for a node outside of the membership.
func (d *Detector) Status(name membership.Name) Status {
	if name == d.self {
		return Alive
	}
	if peer := d.byName[name]; peer != nil {
		return peer.status
	}
	return Dead
}

// ReceivedAt returns when the last message from a node was received, or 0 for a node outside of the membership.
func (d *Detector) ReceivedAt(name membership.Name) float64 {
	if peer := d.byName[name]; peer != nil {
		return peer.lastReceivedAt
	}
	return 0
}

// LocalHealth returns the local health score of this node, as in Lifeguard: 0 is healthy and maxLocalHealth the worst. A higher
// score lengthens the time-outs.
func (d *Detector) LocalHealth() int { return d.localHealth }

// Incarnation returns the current incarnation of this node.
func (d *Detector) Incarnation() Incarnation { return d.incarnation }

// Tick sends what is due and processes time-outs. It returns when to call it next.
func (d *Detector) Tick(now float64) (next float64) {
	d.now = now
	if len(d.members) == 0 {
		return now + d.settings.Period
	}
	for i := range d.indirectProbes {
		if indirect := &d.indirectProbes[i]; indirect.nackAt <= now {
			d.send(indirect.requester, Message{Kind: Nack, Seq: indirect.requesterSeq})
			indirect.nackAt = math.Inf(1)
		}
	}
	d.indirectProbes = slices.DeleteFunc(d.indirectProbes, func(request indirectProbe) bool { return request.expiresAt <= now })
	isolated := d.Isolated()
	for _, peer := range d.members {
		switch {
		case peer.status != Suspect:
		case isolated: // the fault may be at this node: the suspicion starts again once messages arrive
			peer.suspectedAt = now
		case now-peer.suspectedAt >= d.suspicionTimeout(peer):
			d.apply(peer, suspicionTimedOut)
		}
	}
	if probe := &d.probe; probe.to != nil && !probe.acknowledged && !probe.indirect && now-probe.sentAt >= d.scaleByHealth(d.settings.PingTimeout) {
		probe.indirect = true
		for _, helper := range d.sample(indirectProbeCount, probe.to) {
			probe.indirectSent++
			d.send(helper.name, Message{Kind: PingRequest, Seq: probe.seq, Target: probe.to.name})
		}
	}
	if now >= d.nextProbeAt {
		d.finishProbe()
		d.startProbe()
		d.nextProbeAt = now + d.scaleByHealth(d.settings.Period)
	}
	return d.nextDeadline()
}

func (d *Detector) nextDeadline() float64 {
	next := d.nextProbeAt
	if p := &d.probe; p.to != nil && !p.acknowledged && !p.indirect {
		next = min(next, p.sentAt+d.scaleByHealth(d.settings.PingTimeout))
	}
	for _, indirect := range d.indirectProbes {
		next = min(next, indirect.nackAt)
	}
	return next
}

// finishProbe ends the probe in progress. If its target did not answer, it is suspected, unless this node is isolated. If some of the nodes that were asked to
// ping the target sent no Nack either, this node is probably slow or partitioned itself. Its local health score then rises.
func (d *Detector) finishProbe() {
	p := &d.probe
	if p.to == nil || p.acknowledged {
		return
	}
	if p.indirectSent > p.nacks {
		d.localHealth = min(maxLocalHealth, d.localHealth+1)
	}
	if !d.Isolated() {
		if p.to.status == Alive {
			p.to.firstSuspectedBy = d.self
		}
		d.apply(p.to, probeFailed)
	}
}

// startProbe pings the next node of the round. Each round pings every node once, in a new random order (SWIM, section 4.3).
func (d *Detector) startProbe() {
	if len(d.unprobed) == 0 {
		d.unprobed = d.sample(len(d.members), nil)
	}
	d.seq++
	d.probe = probe{seq: d.seq, to: d.unprobed[0], sentAt: d.now}
	d.unprobed = d.unprobed[1:]
	d.send(d.probe.to.name, Message{Kind: Ping, Seq: d.seq})
}

// sample returns up to n random members other than excluded. It returns dead members only if n covers all members.
func (d *Detector) sample(n int, excluded *member) (candidates []*member) {
	for _, candidate := range d.members {
		if candidate != excluded && (candidate.status != Dead || n >= len(d.members)) {
			candidates = append(candidates, candidate)
		}
	}
	for i := range candidates {
		j := i + int(d.random.Unit()*float64(len(candidates)-i))
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:min(n, len(candidates))]
}
