package failuredetector

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// event is what may happen to a member's status.
type event uint8

// transition is a row of the table: in one of these states, on one of these inputs, go to the next and do this.
type transition struct {
	state Status
	on    event
	next  Status
	do    func(*Machine, *member)
}

// What the table does not list changes nothing.
var transitions = []transition{}

func init() {
	transitions = []transition{
		{Suspect | Dead, refuted, Alive, (*Machine).markAlive},
		{Alive, suspectedByPeer | probeFailed, Suspect, (*Machine).markSuspect},
		{Alive | Suspect, declaredDead, Dead, (*Machine).markDead},
		{Suspect, suspicionTimedOut, Dead, (*Machine).markDead},
	}
}

func (m *Machine) apply(x *member, on event) {
	for i := range transitions {
		if r := &transitions[i]; r.state&x.status != 0 && r.on&on != 0 {
			m.changes = append(m.changes, Change{x.name, x.status, r.next})
			x.status = r.next
			r.do(m, x)
			return
		}
	}
}

func (m *Machine) markAlive(x *member) { x.confirmedBy = nil; m.broadcastStatus(x, "") }

func (m *Machine) markSuspect(x *member) {
	x.suspectedAt, x.confirmedBy = m.now, map[membership.Name]bool{}
	m.broadcastStatus(x, x.accuser)
}

func (m *Machine) markDead(x *member) { x.confirmedBy = nil; m.broadcastStatus(x, "") }

// broadcastStatus passes on what is held of a member.
func (m *Machine) broadcastStatus(x *member, by membership.Name) {
	m.broadcast(Update{x.name, x.status, x.incarnation, by})
}

// broadcast puts a piece of news first, in place of what was told of the same node.
func (m *Machine) broadcast(n Update) {
	m.pendingUpdates = slices.DeleteFunc(m.pendingUpdates, func(r pendingUpdate) bool { return r.Name == n.Name })
	m.pendingUpdates = append(m.pendingUpdates, pendingUpdate{Update: n})
}

func (m *Machine) logClusterSize() float64 { return math.Max(1, math.Log10(float64(len(m.members)+1))) }

// suspicionTimeout is how long a member stays suspect: the longest for a suspicion that nobody shares, the least once enough do.
func (m *Machine) suspicionTimeout(x *member) float64 {
	least := minSuspicionPeriods * m.logClusterSize() * m.settings.Period
	most := maxSuspicionFactor * least
	others := min(maxConfirmations, len(m.members)-1) // that could share it
	if others < 1 {
		return least
	}
	shared := math.Log(float64(len(x.confirmedBy))+1) / math.Log(float64(others)+1)
	return math.Max(least, most-(most-least)*shared)
}

// stretch stretches times by the doubt in ourselves.
func (m *Machine) stretch(s float64) float64 { return s * float64(1+m.localHealth) }
