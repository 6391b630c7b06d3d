package register

import (
	"math/bits"
	"strconv"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// Extent of the model. Member 3 joins and replaces member 0.
const (
	modelMembers     = 4
	modelProposers   = 2
	joiningMember    = 3
	replacedMember   = 0
	maxModelAttempts = 2 // of one change
	maxLateRequests  = 4 // requests of ended rounds that are still in flight; the model drops further ones
	modelRegister    = "explored"
)

// modelViews lists the views by version: no view, the founders, and the view with the joining member.
var modelViews = [...]replicaset.View{
	{},
	{Version: 1, Members: []string{memberName(0), memberName(1), memberName(2)}},
	{Version: 2, Members: []string{memberName(1), memberName(2), memberName(joiningMember)}},
}

func memberName(member int) string { return "member-" + strconv.Itoa(member) }

func inView(view uint8, member int) bool { return modelViews[view].Has(memberName(member)) }

// memberSet is a bit set of members.
type memberSet uint8

func (s memberSet) has(member int) bool          { return s&(1<<member) != 0 }
func (s memberSet) with(member int) memberSet    { return s | 1<<member }
func (s memberSet) without(member int) memberSet { return s &^ (1 << member) }
func (s memberSet) count() int                   { return bits.OnesCount8(uint8(s)) }
func membersOfView(view uint8) (members memberSet) {
	for member := range modelMembers {
		if inView(view, member) {
			members = members.with(member)
		}
	}
	return members
}

// internedID identifies an encoded value that protocolRules has interned. 0 means no value.
type internedID uint16

// storedIDs identifies the encoded promise and accepted state that a member has stored.
type storedIDs struct{ promised, accepted internedID }

// memberModel is the state of a member in the model.
type memberModel struct {
	stored            storedIDs
	manager           internedID // encoded table of the real replicaset.Manager
	view              uint8
	absences          uint8
	rebuilt           bool
	rebuiltAtAbsences uint8     // value of absences for which the member is rebuilt
	copySources       memberSet // members whose copies it has received for its rebuild
	copies            [modelMembers]storedIDs
}

func (m *memberModel) ready() bool { return m.rebuilt && m.absences == m.rebuiltAtAbsences }

// proposerPhase is the phase of a proposer's change.
type proposerPhase uint8

const (
	idle proposerPhase = iota
	preparing
	accepting
)

// proposerModel is the state of a proposer, which executes its operations one after another.
type proposerModel struct {
	operation              uint8 // number of the current or the next operation
	phase                  proposerPhase
	attempt                uint8
	counter                uint8     // highest counter seen in a proposal number
	proposalNumber         uint8     // counter of the current attempt
	view                   uint8     // view of the current attempt
	delivered              memberSet // members that have received the request of the open round
	answered               memberSet // members whose answers have arrived
	conflicts              uint8
	newerView              uint8 // version of a newer view that a member has reported
	grants                 [3]internedID
	grantCount             uint8
	diskLost               memberSet  // members that lost their disks since the round's first call
	proposed               internedID // state that the accept round proposes
	proposals              [maxModelAttempts]internedID
	proposalCount          uint8
	value                  internedID // result of the change if the accept round succeeds
	longestReturnedAtBegin internedID // longest value that any operation had returned when this one began
}

// lateRequest is a request of a round that has ended. It is still in flight to some members.
type lateRequest struct {
	proposer       uint8
	phase          proposerPhase
	proposalNumber uint8
	view           uint8
	proposed       internedID
	pendingMembers memberSet
}

// modelState is one state of all members, proposers and late requests. It is comparable and can be hashed.
type modelState struct {
	members             [modelMembers]memberModel
	proposers           [modelProposers]proposerModel
	lateRequests        [maxLateRequests]lateRequest
	secondViewCommitted bool // whether view 2 is committed
	diskLosses          uint8
	restarts            uint8
	longestReturned     internedID // longest value that an operation has returned
	notExecuted         memberSet  // proposers whose first change was certainly not executed
}

func proposerName(proposer int) string { return memberName(hostingMember(proposer)) }

// hostingMember returns the member in whose process a proposer runs: the replaced member, or one that remains.
func hostingMember(proposer int) int {
	if proposer == 0 {
		return replacedMember
	}
	return 2
}

// operationOf returns a proposer's operation. The first operations append a token to the value; for a write-once register they set
// the value only if there is none. Later operations are reads.
func operationOf(proposer, operation int, onlyOneWrite bool) func([]byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		if operation >= firstRead || onlyOneWrite && current != nil {
			return current, nil
		}
		return append([]byte(string(current)), tokenOf(proposer, operation)), nil
	}
}

// tokenOf returns the token that a change appends. Each change of each proposer has its own token.
func tokenOf(proposer, operation int) byte { return byte('a' + proposer + operation*modelProposers) }

// Operations of a proposer. The first is a change. If the process is restarted during it, the second is a change as well. The
// others are reads.
const (
	firstRead        = 2 // number of the first operation that is a read
	readsPerProposer = 2
)
