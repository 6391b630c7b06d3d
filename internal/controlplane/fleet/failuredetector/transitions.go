package failuredetector

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// event is an event that may change the status of a member.
type event uint8

// transition is a row of the transition table. A member in one of states changes to next on one of events, and
// action is called.
type transition struct {
	states Status
	events event
	next   Status
	action func(*Detector, *member)
}

// transitions is the state machine of a member. An event that is not listed for a state changes nothing.
var transitions = []transition{}

func init() {
	transitions = []transition{
		{Suspect | Dead, refuted, Alive, (*Detector).markAlive},
		{Alive, suspectedByPeer | probeFailed, Suspect, (*Detector).markSuspect},
		{Alive | Suspect, declaredDeadByPeer, Dead, (*Detector).markDead},
		{Suspect, suspicionTimedOut, Dead, (*Detector).markDead},
	}
}

func (d *Detector) apply(subject *member, on event) {
	for i := range transitions {
		if rule := &transitions[i]; rule.states&subject.status != 0 && rule.events&on != 0 {
			d.changes = append(d.changes, Change{subject.name, subject.status, rule.next})
			subject.status = rule.next
			rule.action(d, subject)
			return
		}
	}
}

func (d *Detector) markAlive(peer *member) { peer.confirmedBy = nil; d.broadcastStatus(peer, "") }

func (d *Detector) markSuspect(peer *member) {
	peer.suspectedAt, peer.confirmedBy = d.now, map[membership.Name]bool{}
	d.broadcastStatus(peer, peer.firstSuspectedBy)
}

func (d *Detector) markDead(peer *member) { peer.confirmedBy = nil; d.broadcastStatus(peer, "") }

// broadcastStatus queues an update with the status of a member. by is the node that suspects it, if it is suspected.
func (d *Detector) broadcastStatus(peer *member, by membership.Name) {
	d.broadcast(Update{peer.name, peer.status, peer.incarnation, by})
}

// broadcast queues an update to be sent, in place of an earlier one about the same node. Updates that were sent least often are
// sent first.
func (d *Detector) broadcast(update Update) {
	d.pendingUpdates = slices.DeleteFunc(d.pendingUpdates, func(pending pendingUpdate) bool { return pending.Name == update.Name })
	d.pendingUpdates = append(d.pendingUpdates, pendingUpdate{Update: update})
}

// logClusterSize returns log10 of the number of nodes, but at least 1. Suspicion time-outs and the number of transmissions grow
// with it.
func (d *Detector) logClusterSize() float64 {
	return math.Max(1, math.Log10(float64(len(d.members)+1)))
}

// suspicionTimeout returns how long a member stays suspect. The time is longest without confirmations, and shortest with
// maxConfirmations (Lifeguard, section IV-B).
func (d *Detector) suspicionTimeout(suspect *member) float64 {
	shortest := minSuspicionPeriods * d.logClusterSize() * d.settings.Period
	longest := maxSuspicionFactor * shortest
	confirmers := min(maxConfirmations, len(d.members)-1) // most confirmations that the suspicion can get
	if confirmers < 1 {
		return shortest
	}
	confirmed := math.Log(float64(len(suspect.confirmedBy))+1) / math.Log(float64(confirmers)+1)
	return math.Max(shortest, longest-(longest-shortest)*confirmed)
}

// scaleByHealth lengthens a time-out by the local health score.
func (d *Detector) scaleByHealth(seconds float64) float64 { return seconds * float64(1+d.localHealth) }
