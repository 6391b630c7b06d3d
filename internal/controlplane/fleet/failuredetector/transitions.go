package failuredetector

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// event is what may change a member's status.
type event uint8

// transition is a row of the table: in one of these states, on one of these events, go to the next state and run the action.
type transition struct {
	state Status
	on    event
	next  Status
	do    func(*Machine, *member)
}

// transitions is the state machine of a member. An event that it does not list for a state changes nothing.
var transitions = []transition{}

func init() {
	transitions = []transition{
		{Suspect | Dead, refuted, Alive, (*Machine).markAlive},
		{Alive, suspectedByPeer | probeFailed, Suspect, (*Machine).markSuspect},
		{Alive | Suspect, declaredDead, Dead, (*Machine).markDead},
		{Suspect, suspicionTimedOut, Dead, (*Machine).markDead},
	}
}

func (m *Machine) apply(subject *member, on event) {
	for i := range transitions {
		if r := &transitions[i]; r.state&subject.status != 0 && r.on&on != 0 {
			m.changes = append(m.changes, Change{subject.name, subject.status, r.next})
			subject.status = r.next
			r.do(m, subject)
			return
		}
	}
}

func (m *Machine) markAlive(x *member) { x.confirmedBy = nil; m.broadcastStatus(x, "") }

func (m *Machine) markSuspect(x *member) {
	x.suspectedAt, x.confirmedBy = m.now, map[membership.Name]bool{}
	m.broadcastStatus(x, x.firstSuspectedBy)
}

func (m *Machine) markDead(x *member) { x.confirmedBy = nil; m.broadcastStatus(x, "") }

// broadcastStatus sends on what is believed of a member, and, for a suspicion, who suspects it.
func (m *Machine) broadcastStatus(x *member, by membership.Name) {
	m.broadcast(Update{x.name, x.status, x.incarnation, by})
}

// broadcast puts an update first in the queue, in place of an earlier one on the same node.
func (m *Machine) broadcast(update Update) {
	m.pendingUpdates = slices.DeleteFunc(m.pendingUpdates, func(pending pendingUpdate) bool { return pending.Name == update.Name })
	m.pendingUpdates = append(m.pendingUpdates, pendingUpdate{Update: update})
}

// logClusterSize is the logarithm that times and transmissions grow with, at least 1.
func (m *Machine) logClusterSize() float64 { return math.Max(1, math.Log10(float64(len(m.members)+1))) }

// suspicionTimeout is how long a member stays suspect: longest without a confirmation, shortest with maxConfirmations
// (Lifeguard, section IV-B).
func (m *Machine) suspicionTimeout(suspect *member) float64 {
	shortest := minSuspicionPeriods * m.logClusterSize() * m.settings.Period
	longest := maxSuspicionFactor * shortest
	confirmers := min(maxConfirmations, len(m.members)-1) // nodes that could confirm it
	if confirmers < 1 {
		return shortest
	}
	confirmed := math.Log(float64(len(suspect.confirmedBy))+1) / math.Log(float64(confirmers)+1)
	return math.Max(shortest, longest-(longest-shortest)*confirmed)
}

// stretch lengthens a time-out by the local health score.
func (m *Machine) stretch(seconds float64) float64 { return seconds * float64(1+m.localHealth) }
