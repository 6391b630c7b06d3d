package replicaset_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// departureState is a state of a set of N members, one of which is stopped after its successor has started. The other N-1
// members are only counted by their condition. Machines that are down stay down, which is the worst case.
type departureState struct {
	complete, rebuilding, down int // numbers of the other members

	departing departingState // state of the member that has a successor
	second    departingState // state of a second departing member; it has no successor, so it counts as lost
	successor successorState
}

type departingState uint8

const (
	staying departingState = iota
	departing
	stopped
)

type successorState uint8

const (
	waiting    successorState = iota // announces itself as a joining member
	incomplete                       // has replaced the departing member, but may not vote yet
	rebuilt                          // may vote
	lost                             // failed after it replaced the departing member
)

// departureExplorer explores all orders of faults, rebuilds, view changes, observations and stops for one number of members.
// It searches for a state from which no quorum can be recovered.
type departureExplorer struct {
	size, quorum, tolerated int
	mayStop                 func(replicaset.Departure) bool
	secondStopsFirst        bool // whether the second departing member stops before the first, by the order of their addresses
	visited                 map[departureState]bool
	unrecoverableState      *departureState // first state found without a recoverable quorum
}

func (e *departureExplorer) explore(state departureState) {
	if e.visited[state] || e.unrecoverableState != nil {
		return
	}
	e.visited[state] = true
	if !e.recovers(state) {
		e.unrecoverableState = &state
		return
	}
	for _, next := range e.steps(state) {
		e.explore(next)
	}
}

// failed returns the number of machines that count as lost. A departing member with a successor does not count.
func (s departureState) failed() int {
	return s.rebuilding + s.down + oneIf(s.second != staying) + oneIf(s.successor == lost)
}

func oneIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

func (s departureState) replaced() bool { return s.successor != waiting }

// voters returns the number of members of the newest view that may vote.
func (s departureState) voters() int {
	return s.complete + oneIf(s.second == departing) + oneIf(s.departing != stopped && !s.replaced()) + oneIf(s.successor == rebuilt)
}

func (e *departureExplorer) view(state departureState) replicaset.View {
	view := replicaset.View{Version: 1}
	first := oneIf(state.replaced())
	for i := range e.size {
		view.Members = append(view.Members, fmt.Sprintf("member-%d", first+i))
	}
	return view
}

const departingAddress = "member-0"

// recoverySteps returns the states after one step of recovery: a view change or a rebuild.
func (e *departureExplorer) recoverySteps(state departureState) []departureState {
	var next []departureState
	view := e.view(state)
	if state.departing == departing && !state.replaced() && state.voters() >= e.quorum {
		after := state
		after.successor = incomplete
		next = append(next, after)
	}
	// A replaced member gives its snapshot to its successor alone.
	donors := state.complete + oneIf(state.second == departing) + oneIf(state.departing == departing)
	if state.successor == incomplete && donors >= rebuild.SnapshotsNeeded(view, 1) {
		after := state
		after.successor = rebuilt
		next = append(next, after)
	}
	if state.rebuilding > 0 && state.voters() >= rebuild.SnapshotsNeeded(view, 0) {
		after := state
		after.rebuilding--
		after.complete++
		next = append(next, after)
	}
	return next
}

// recovers reports whether a quorum may vote after all possible view changes and rebuilds.
func (e *departureExplorer) recovers(state departureState) bool {
	if state.voters() >= e.quorum {
		return true
	}
	for _, next := range e.recoverySteps(state) {
		if e.recovers(next) {
			return true
		}
	}
	return false
}

func (e *departureExplorer) steps(state departureState) []departureState {
	next := e.recoverySteps(state)
	if state.failed() < e.tolerated {
		next = append(next, e.faultSteps(state)...)
	}
	if state.departing == staying {
		after := state
		after.departing = departing
		next = append(next, after)
	}
	if state.departing == departing && e.firstMayStop(state) {
		after := state
		after.departing = stopped
		next = append(next, after)
	}
	if state.second == departing && e.secondMayStop(state) {
		after := state
		after.second = stopped
		next = append(next, after)
	}
	return next
}

// faultSteps returns the states after one fault: a lost disk, a lost machine, a lost successor, or a second member that is told
// to stop.
func (e *departureExplorer) faultSteps(state departureState) []departureState {
	var next []departureState
	if state.complete > 0 {
		lostDisk, down, second := state, state, state
		lostDisk.complete, lostDisk.rebuilding = state.complete-1, state.rebuilding+1
		down.complete, down.down = state.complete-1, state.down+1
		next = append(next, lostDisk, down)
		if state.second == staying {
			second.complete, second.second = state.complete-1, departing
			next = append(next, second)
		}
	}
	if state.successor == incomplete || state.successor == rebuilt {
		after := state
		after.successor = lost
		next = append(next, after)
	}
	return next
}

// firstMayStop reports whether any possible observation lets the member that has a successor stop. Any replies may be missing.
// The member itself has not received the successor's announcements. Only N-Q of the other members have, and as many of these as
// possible do not reply.
func (e *departureExplorer) firstMayStop(state departureState) bool {
	stayingVoters := state.complete + oneIf(state.second == departing && !e.secondStopsFirst) + oneIf(state.successor == rebuilt)
	uninformed := e.size - 1 - (e.size - e.quorum)
	for replied := range stayingVoters + 1 {
		observed := replicaset.Departure{
			View: e.view(state), Self: departingAddress, WasMember: true, Staying: replied,
			JoinedIncomplete: state.successor == incomplete || state.successor == lost,
			JoiningMember:    !state.replaced() && replied > uninformed,
		}
		if e.mayStop(observed) {
			return true
		}
	}
	return false
}

// secondMayStop reports whether the member without a successor may stop. It never receives an announcement of the other member's
// successor.
func (e *departureExplorer) secondMayStop(state departureState) bool {
	stayingVoters := state.complete + oneIf(state.successor == rebuilt) +
		oneIf(!state.replaced() && (state.departing == staying || state.departing == departing && e.secondStopsFirst))
	observed := replicaset.Departure{View: e.view(state), Self: "member-1", WasMember: true, Staying: stayingVoters, JoinedIncomplete: state.successor == incomplete}
	return e.mayStop(observed)
}

// exploreDepartures explores 3 to 9 members with one and two tolerated losses. It returns the number of states, and a description
// of the first state found without a recoverable quorum, or an empty one.
func exploreDepartures(mayStop func(replicaset.Departure) bool) (states int, unrecoverable string) {
	for size := 3; size <= 9; size++ {
		for tolerated := 1; tolerated <= min(2, (size-1)/2); tolerated++ {
			for _, secondStopsFirst := range []bool{false, true} {
				e := &departureExplorer{
					size: size, quorum: size/2 + 1, tolerated: tolerated, mayStop: mayStop, secondStopsFirst: secondStopsFirst,
					visited: make(map[departureState]bool),
				}
				e.explore(departureState{complete: size - 1})
				states += len(e.visited)
				if e.unrecoverableState != nil && unrecoverable == "" {
					unrecoverable = fmt.Sprintf("%d members, %d tolerated: %+v", size, tolerated, *e.unrecoverableState)
				}
			}
		}
	}
	return states, unrecoverable
}

// A departing member whose successor has had time to catch up does not count as lost. So while it departs, other members up to
// the tolerated number may be lost, be rebuilt or stop, in any order. A quorum that may vote must remain or be recoverable.
func TestDeparturesLeaveRecoverableQuorum(t *testing.T) {
	states, unrecoverable := exploreDepartures(replicaset.Departure.MayStop)
	t.Logf("%d states", states)
	convey.Convey("After any order of losses, delays and rebuilds, a quorum that may vote remains or can be rebuilt", t, func() {
		convey.So(unrecoverable, convey.ShouldBeEmpty)
		convey.So(states, convey.ShouldBeGreaterThan, 500)
	})
}

// Without any one condition of Departure.MayStop, the exploration finds a state without a recoverable quorum.
func TestExplorationFindsEachMissingDepartureCondition(t *testing.T) {
	incompleteRules := map[string]func(d replicaset.Departure) bool{
		"a quorum of others stays": func(d replicaset.Departure) bool { d.Staying++; return d.MayStop() },
		"the departing member waits for a joining member that another member knows": func(d replicaset.Departure) bool {
			d.JoiningMember = false
			return d.MayStop()
		},
		"the departing member waits until a member that joined may vote": func(d replicaset.Departure) bool { d.JoinedIncomplete = false; return d.MayStop() },
	}
	for name, mayStop := range incompleteRules {
		_, unrecoverable := exploreDepartures(mayStop)
		convey.Convey("The exploration finds the missing condition: "+name, t, func() { convey.So(unrecoverable, convey.ShouldNotBeEmpty) })
	}
}

func TestMayStopWithTooFewOthersOrJoiningMembers(t *testing.T) {
	view := func(size int) replicaset.View { return replicaset.View{Version: 1, Members: addresses(size)} }
	convey.Convey("If all members stop, none waits for the others", t, func() {
		convey.So(replicaset.Departure{View: view(3), Self: "core-0", WasMember: true, AllOthersDeparting: true}.MayStop(), convey.ShouldBeTrue)
	})
	convey.Convey("If the others are too few for a quorum, the member may stop", t, func() {
		convey.So(replicaset.Departure{View: view(1), Self: "core-0", WasMember: true}.MayStop(), convey.ShouldBeTrue)
		convey.So(replicaset.Departure{View: view(2), Self: "core-0", WasMember: true, Staying: 1}.MayStop(), convey.ShouldBeTrue)
		convey.So(replicaset.Departure{View: view(3), Self: "core-0", WasMember: true, Staying: 1}.MayStop(), convey.ShouldBeFalse)
	})
	convey.Convey("The member also waits until a joining member that replaced another member may vote", t, func() {
		d := replicaset.Departure{View: view(5), Self: "core-0", WasMember: true, Staying: 3, JoinedIncomplete: true}
		convey.So(d.MayStop(), convey.ShouldBeFalse)
		d.JoinedIncomplete = false
		convey.So(d.MayStop(), convey.ShouldBeTrue)
	})
	convey.Convey("The member waits for a joining member even if the others are too few for a quorum", t, func() {
		convey.So(replicaset.Departure{View: view(1), Self: "core-0", WasMember: true, JoiningMember: true}.MayStop(), convey.ShouldBeFalse)
		convey.So(replicaset.Departure{View: view(1), Self: "gone", WasMember: true, JoinedIncomplete: true}.MayStop(), convey.ShouldBeFalse)
	})
}
