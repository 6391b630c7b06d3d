package failuredetector

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// event is an event that may change the status of a member.
type event uint8

// transition is a row of the transition table. A member in one of the states in state changes to next on one of the events, and
// action is called.
type transition struct {
	state  Status
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

func (m *Detector) apply(subject *member, on event) {
	for i := range transitions {
		if rule := &transitions[i]; rule.state&subject.status != 0 && rule.events&on != 0 {
			m.changes = append(m.changes, Change{subject.name, subject.status, rule.next})
			subject.status = rule.next
			rule.action(m, subject)
			return
		}
	}
}

func (m *Detector) markAlive(peer *member) { peer.confirmedBy = nil; m.broadcastStatus(peer, "") }

func (m *Detector) markSuspect(peer *member) {
	peer.suspectedAt, peer.confirmedBy = m.now, map[membership.Name]bool{}
	m.broadcastStatus(peer, peer.firstSuspectedBy)
}

func (m *Detector) markDead(peer *member) { peer.confirmedBy = nil; m.broadcastStatus(peer, "") }

// broadcastStatus queues an update with the status of a member. by is the node that suspects it, if it is suspected.
func (m *Detector) broadcastStatus(peer *member, by membership.Name) {
	m.broadcast(Update{peer.name, peer.status, peer.incarnation, by})
}

// broadcast queues an update to be sent, in place of an earlier one about the same node. Updates that were sent least often are
// sent first.
func (m *Detector) broadcast(update Update) {
	m.pendingUpdates = slices.DeleteFunc(m.pendingUpdates, func(pending pendingUpdate) bool { return pending.Name == update.Name })
	m.pendingUpdates = append(m.pendingUpdates, pendingUpdate{Update: update})
}

// logClusterSize returns log10 of the number of nodes, but at least 1. Suspicion time-outs and the number of transmissions grow
// with it.
func (m *Detector) logClusterSize() float64 {
	return math.Max(1, math.Log10(float64(len(m.members)+1)))
}

// suspicionTimeout returns how long a member stays suspect. The time is longest without confirmations, and shortest with
// maxConfirmations (Lifeguard, section IV-B).
func (m *Detector) suspicionTimeout(suspect *member) float64 {
	shortest := minSuspicionPeriods * m.logClusterSize() * m.settings.Period
	longest := maxSuspicionFactor * shortest
	confirmers := min(maxConfirmations, len(m.members)-1) // most confirmations that the suspicion can get
	if confirmers < 1 {
		return shortest
	}
	confirmed := math.Log(float64(len(suspect.confirmedBy))+1) / math.Log(float64(confirmers)+1)
	return math.Max(shortest, longest-(longest-shortest)*confirmed)
}

// scaleByHealth lengthens a time-out by the local health score.
func (m *Detector) scaleByHealth(seconds float64) float64 { return seconds * float64(1+m.localHealth) }
