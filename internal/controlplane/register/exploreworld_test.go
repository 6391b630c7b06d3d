package register

import (
	"math/bits"
	"strconv"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// Extent of the explored world. Member 3 is the joining member, which takes the place of member 0.
const (
	exploredMembers   = 4
	exploredProposers = 2
	joiningMember     = 3
	replacedMember    = 0
	mostAttempts      = 2 // of one change
	mostLate          = 4 // requests of earlier rounds that are still under way; older ones are dropped
	exploredName      = "explored"
)

// exploredViews are the views by version: none, the founders, and with the joining member.
var exploredViews = [...]replicaset.View{
	{},
	{Version: 1, Members: []string{memberName(0), memberName(1), memberName(2)}},
	{Version: 2, Members: []string{memberName(1), memberName(2), memberName(joiningMember)}},
}

func memberName(member int) string { return "member-" + strconv.Itoa(member) }

func inView(view uint8, member int) bool { return exploredViews[view].Has(memberName(member)) }

// set is a set of members.
type set uint8

func (s set) has(member int) bool    { return s&(1<<member) != 0 }
func (s set) with(member int) set    { return s | 1<<member }
func (s set) without(member int) set { return s &^ (1 << member) }
func (s set) count() int             { return bits.OnesCount8(uint8(s)) }
func viewSet(view uint8) (members set) {
	for member := range exploredMembers {
		if inView(view, member) {
			members = members.with(member)
		}
	}
	return members
}

// text stands for an encoded value in a world's interned texts; 0 is none.
type text uint16

// replicaState is what a member has stored of the register, encoded.
type replicaState struct{ promised, accepted text }

// memberState is a core machine.
type memberState struct {
	held       replicaState
	manager    text // table of the real replicaset.Manager
	view       uint8
	absences   uint8
	complete   bool
	membership uint8 // for which it is complete
	copied     set   // members whose copies it has for its rebuild
	copies     [exploredMembers]replicaState
}

func (m *memberState) ready() bool { return m.complete && m.absences == m.membership }

// phase is where a proposer is in its change.
type phase uint8

const (
	resting phase = iota
	preparing
	accepting
)

// proposerState is a process that carries out its operations one after the other.
type proposerState struct {
	operation      uint8 // number of the current or the next one
	phase          phase
	attempt        uint8
	counter        uint8 // highest seen in a proposal number
	proposalNumber uint8 // counter of the attempt
	view           uint8 // of the attempt
	called         set   // members that have taken the open round's request
	answered       set   // those whose answers arrived
	refused        uint8
	newer          uint8 // view
	grants         [3]text
	granted        uint8
	lost           set  // members that lost their disks while the round is open
	proposed       text // what the accept round is to store
	sent           [mostAttempts]text
	sents          uint8
	value          text // outcome of the change if the accept round succeeds
	floor          text // longest value that anybody had returned when the operation began
}

// lateRequest is a request of a round that is over, still under way to some members.
type lateRequest struct {
	proposer       uint8
	phase          phase
	proposalNumber uint8
	view           uint8
	proposed       text
	to             set
}

// world is one state of everything. It can be compared and hashed.
type world struct {
	members   [exploredMembers]memberState
	proposers [exploredProposers]proposerState
	late      [mostLate]lateRequest
	committed bool // the second view
	losses    uint8
	restarts  uint8
	longest   text // value that was returned
	notRun    set  // proposers whose first change certainly is no part of any value
}

func proposerName(proposer int) string { return memberName(proposerHome(proposer)) }

// proposerHome is the member in whose process a proposer is: the one that is replaced, and one that stays.
func proposerHome(proposer int) int {
	if proposer == 0 {
		return replacedMember
	}
	return 2
}

// operationOf is a proposer's change: it appends its token first, or sets the value to it where there is none yet, and
// reads then.
func operationOf(proposer, operation int, once bool) func([]byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		if operation >= firstRead || once && current != nil {
			return current, nil
		}
		return append([]byte(string(current)), tokenOf(proposer, operation)), nil
	}
}

// tokenOf is what a change appends; it differs after a restart.
func tokenOf(proposer, operation int) byte { return byte('a' + proposer + operation*exploredProposers) }

// Numbers of operations: one change, another one if the process was restarted during the first, and then reads.
const (
	firstRead = 2
	readsEach = 2
)
