package failuredetector

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// input is what may happen to a member's status.
type input uint8

// rule is a row of the table: in one of these states, on one of these inputs, go to the next and do this.
type rule struct {
	state Status
	on    input
	next  Status
	do    func(*Machine, *member)
}

// What the table does not list changes nothing.
var table = []rule{}

func init() {
	table = []rule{
		{Suspect | Dead, denies, Alive, (*Machine).revive},
		{Alive, doubted | unanswer, Suspect, (*Machine).suspect},
		{Alive | Suspect, condemned, Dead, (*Machine).bury},
		{Suspect, ranOut, Dead, (*Machine).bury},
	}
}

func (m *Machine) act(x *member, on input) {
	for i := range table {
		if r := &table[i]; r.state&x.status != 0 && r.on&on != 0 {
			m.changes = append(m.changes, Change{x.name, x.status, r.next})
			x.status = r.next
			r.do(m, x)
			return
		}
	}
}

func (m *Machine) revive(x *member) { x.by = nil; m.tell(x, "") }

func (m *Machine) suspect(x *member) {
	x.since, x.by = m.now, map[membership.Name]bool{}
	m.tell(x, x.accuser)
}

func (m *Machine) bury(x *member) { x.by = nil; m.tell(x, "") }

// tell passes on what is held of a member.
func (m *Machine) tell(x *member, by membership.Name) {
	m.pass(News{x.name, x.status, x.incarnation, by})
}

// pass puts a piece of news first, in place of what was told of the same node.
func (m *Machine) pass(n News) {
	m.rumours = slices.DeleteFunc(m.rumours, func(r rumour) bool { return r.Name == n.Name })
	m.rumours = append(m.rumours, rumour{News: n})
}

func (m *Machine) size() float64 { return math.Max(1, math.Log10(float64(len(m.members)+1))) }

// patience is how long a member stays suspect: the longest for a suspicion that nobody shares, the least once enough do.
func (m *Machine) patience(x *member) float64 {
	least := leastMult * m.size() * m.set.Period
	most := longTimes * least
	others := min(confirms, len(m.members)-1) // that could share it
	if others < 1 {
		return least
	}
	shared := math.Log(float64(len(x.by))+1) / math.Log(float64(others)+1)
	return math.Max(least, most-(most-least)*shared)
}

// slow stretches times by the doubt in ourselves.
func (m *Machine) slow(s float64) float64 { return s * float64(1+m.doubt) }
