package register

import (
	"math/bits"
	"strconv"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// Extent of the model. Member 3 is the joining member, which replaces member 0.
const (
	modelMembers     = 4
	modelProposers   = 2
	joiningMember    = 3
	replacedMember   = 0
	maxModelAttempts = 2 // of one change
	maxLateRequests  = 4 // requests of earlier rounds that are still in flight; older ones are dropped
	modelRegister    = "explored"
)

// modelViews are the views by version: none, the founders, and with the joining member.
var modelViews = [...]replicaset.View{
	{},
	{Version: 1, Members: []string{memberName(0), memberName(1), memberName(2)}},
	{Version: 2, Members: []string{memberName(1), memberName(2), memberName(joiningMember)}},
}

func memberName(member int) string { return "member-" + strconv.Itoa(member) }

func inView(view uint8, member int) bool { return modelViews[view].Has(memberName(member)) }

// memberSet is a set of members.
type memberSet uint8

func (s memberSet) has(member int) bool          { return s&(1<<member) != 0 }
func (s memberSet) with(member int) memberSet    { return s | 1<<member }
func (s memberSet) without(member int) memberSet { return s &^ (1 << member) }
func (s memberSet) count() int                   { return bits.OnesCount8(uint8(s)) }
func viewSet(view uint8) (members memberSet) {
	for member := range modelMembers {
		if inView(view, member) {
			members = members.with(member)
		}
	}
	return members
}

// textID stands for an encoded value in a world's interned texts; 0 is none.
type textID uint16

// storedTexts is what a member has stored of the register, encoded.
type storedTexts struct{ promised, accepted textID }

// memberModel is a core machine.
type memberModel struct {
	stored     storedTexts
	manager    textID // table of the real replicaset.Manager
	view       uint8
	absences   uint8
	complete   bool
	membership uint8     // for which it is complete
	copied     memberSet // members whose copies it has for its rebuild
	copies     [modelMembers]storedTexts
}

func (m *memberModel) ready() bool { return m.complete && m.absences == m.membership }

// proposerPhase is where a proposer is in its change.
type proposerPhase uint8

const (
	idle proposerPhase = iota
	preparing
	accepting
)

// proposerModel is a process that carries out its operations one after the other.
type proposerModel struct {
	operation      uint8 // number of the current or the next one
	phase          proposerPhase
	attempt        uint8
	counter        uint8     // highest seen in a proposal number
	proposalNumber uint8     // counter of the attempt
	view           uint8     // of the attempt
	called         memberSet // members that have taken the open round's request
	answered       memberSet // those whose answers arrived
	conflicts      uint8
	newer          uint8 // view
	grants         [3]textID
	granted        uint8
	diskLost       memberSet // members that lost their disks while the round is open
	proposed       textID    // what the accept round is to store
	proposals      [maxModelAttempts]textID
	proposalCount  uint8
	value          textID // outcome of the change if the accept round succeeds
	longestAtBegin textID // longest value that anybody had returned when the operation began
}

// lateRequest is a request of a round that is over, still in flight to some members.
type lateRequest struct {
	proposer       uint8
	phase          proposerPhase
	proposalNumber uint8
	view           uint8
	proposed       textID
	to             memberSet
}

// modelState is one state of all members, proposers and late requests. It can be compared and hashed.
type modelState struct {
	members         [modelMembers]memberModel
	proposers       [modelProposers]proposerModel
	late            [maxLateRequests]lateRequest
	committed       bool // the second view
	diskLosses      uint8
	restarts        uint8
	longestReturned textID    // value that was returned
	notExecuted     memberSet // proposers whose first change certainly is no part of any value
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
func tokenOf(proposer, operation int) byte { return byte('a' + proposer + operation*modelProposers) }

// Numbers of operations: one change, another one if the process was restarted during the first, and then reads.
const (
	firstRead = 2
	readsEach = 2
)
