package replicaset_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// departureState is a state of a set of N members, of which one is to stop after its successor has started. The other N-1 are
// told apart only by what they are. Machines that are down stay down, which is the worst case.
type departureState struct {
	complete, rebuilding, down int // of the others

	departing departingState // of the member that is to stop
	second    departingState // of a second one, which has no successor and so counts as lost; always of the others
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
	waiting    successorState = iota // announces itself
	incomplete                       // has replaced the departing member
	rebuilt                          // may vote
	lost                             // failed after it joined
)

// departureExplorer plays all orders of faults, rebuilds, view changes, observations and stops of one size.
type departureExplorer struct {
	size, quorum, tolerated int
	mayStop                 func(replicaset.Departure) bool
	secondStopsFirst        bool // the order of the two departing members' addresses
	visited                 map[departureState]bool
	stuckState              *departureState // found first
}

func (e *departureExplorer) explore(state departureState) {
	if e.visited[state] || e.stuckState != nil {
		return
	}
	e.visited[state] = true
	if !e.recovers(state) {
		e.stuckState = &state
		return
	}
	for _, next := range e.steps(state) {
		e.explore(next)
	}
}

// failed counts the machines that count as lost. One with a successor does not.
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

// voters counts the complete members of the newest view.
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

// recovering are the steps that need no further fault: a view change, and rebuilds.
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

// recovers tells whether a quorum may vote once all that can be rebuilt has been.
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

// faults are a lost disk, a lost machine, a lost successor, and a second member that is told to stop.
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

// firstMayStop tells whether there is an observation with which the member that has a successor stops. Any replies may be missing;
// the successor's announcements are late at the member itself and at all others but N-Q, of which as many as possible do not reply.
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

// secondMayStop is the same for the member without a successor. It has heard of the other's successor in no case.
func (e *departureExplorer) secondMayStop(state departureState) bool {
	counts := state.complete + oneIf(state.successor == rebuilt) +
		oneIf(!state.replaced() && (state.departing == staying || state.departing == departing && e.secondStopsFirst))
	observed := replicaset.Departure{View: e.view(state), Self: "member-1", WasMember: true, Staying: counts, JoinedIncomplete: state.successor == incomplete}
	return e.mayStop(observed)
}

// exploreDepartures plays 3 to 9 members with one and two tolerated losses, and returns the number of states and the first that is
// stuck.
func exploreDepartures(mayStop func(replicaset.Departure) bool) (states int, stuck string) {
	for size := 3; size <= 9; size++ {
		for tolerated := 1; tolerated <= min(2, (size-1)/2); tolerated++ {
			for _, secondStopsFirst := range []bool{false, true} {
				e := &departureExplorer{
					size: size, quorum: size/2 + 1, tolerated: tolerated, mayStop: mayStop, secondStopsFirst: secondStopsFirst,
					visited: make(map[departureState]bool),
				}
				e.explore(departureState{complete: size - 1})
				states += len(e.visited)
				if e.stuckState != nil && stuck == "" {
					stuck = fmt.Sprintf("%d members, %d tolerated: %+v", size, tolerated, *e.stuckState)
				}
			}
		}
	}
	return states, stuck
}

// A departing member whose successor has had the time to catch up counts as lost no more, so up to the tolerated number of others
// may be lost, be rebuilt or stop around its departure, in any order, and a quorum must remain that may vote.
func TestDeparturesLeaveRecoverableQuorum(t *testing.T) {
	states, stuck := exploreDepartures(replicaset.Departure.MayStop)
	t.Logf("%d states", states)
	convey.Convey("Whatever is lost, late or rebuilt, a quorum that may vote remains or can be rebuilt", t, func() {
		convey.So(stuck, convey.ShouldBeEmpty)
		convey.So(states, convey.ShouldBeGreaterThan, 500)
	})
}

// Each part of the rule is needed: without it the exploration finds a set that is stuck.
func TestExplorationFindsEachMissingDepartureCondition(t *testing.T) {
	incompleteRules := map[string]func(d replicaset.Departure) bool{
		"a quorum of others stays": func(d replicaset.Departure) bool { d.Staying++; return d.MayStop() },
		"a joining member that any other knows of is waited for": func(d replicaset.Departure) bool {
			d.JoiningMember = false
			return d.MayStop()
		},
		"a member that joined is waited for": func(d replicaset.Departure) bool { d.JoinedIncomplete = false; return d.MayStop() },
	}
	for name, mayStop := range incompleteRules {
		_, stuck := exploreDepartures(mayStop)
		convey.Convey("Shown to be needed: "+name, t, func() { convey.So(stuck, convey.ShouldNotBeEmpty) })
	}
}

func TestMayStopWithTooFewOthersOrJoiningMembers(t *testing.T) {
	view := func(size int) replicaset.View { return replicaset.View{Version: 1, Members: addresses(size)} }
	convey.Convey("Where all members stop, none waits for the others", t, func() {
		convey.So(replicaset.Departure{View: view(3), Self: "core-0", WasMember: true, OthersDepart: true}.MayStop(), convey.ShouldBeTrue)
	})
	convey.Convey("Where the others are too few to be a quorum, staying keeps nothing up", t, func() {
		convey.So(replicaset.Departure{View: view(1), Self: "core-0", WasMember: true}.MayStop(), convey.ShouldBeTrue)
		convey.So(replicaset.Departure{View: view(2), Self: "core-0", WasMember: true, Staying: 1}.MayStop(), convey.ShouldBeTrue)
		convey.So(replicaset.Departure{View: view(3), Self: "core-0", WasMember: true, Staying: 1}.MayStop(), convey.ShouldBeFalse)
	})
	convey.Convey("A joining member that took another one's place is waited for as well", t, func() {
		d := replicaset.Departure{View: view(5), Self: "core-0", WasMember: true, Staying: 3, JoinedIncomplete: true}
		convey.So(d.MayStop(), convey.ShouldBeFalse)
		d.JoinedIncomplete = false
		convey.So(d.MayStop(), convey.ShouldBeTrue)
	})
	convey.Convey("Even then a joining member is waited for", t, func() {
		convey.So(replicaset.Departure{View: view(1), Self: "core-0", WasMember: true, JoiningMember: true}.MayStop(), convey.ShouldBeFalse)
		convey.So(replicaset.Departure{View: view(1), Self: "gone", WasMember: true, JoinedIncomplete: true}.MayStop(), convey.ShouldBeFalse)
	})
}
