package register

import (
	"hash/maphash"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/raceflag"
)

// depthVariable adds a number of steps to the depth of each exploration.
const depthVariable = "EXPLORE_DEEPER"

// reached is how a state was reached first.
type reached struct {
	before uint64 // fingerprint of the state before
	taken  step
}

// modelChecker visits every state that some order of steps leads to, up to a depth. States are remembered by a
// fingerprint of 64 bits.
type modelChecker struct {
	transitions *transitions
	seed        maphash.Seed
	visited     map[uint64]reached
	depth       int
	steps       int
	violation   string
	trace       []step
}

func checkModel(allowed faultBudget, broken omittedRules, depth int) *modelChecker {
	e := &modelChecker{
		transitions: &transitions{protocol: newProtocolRules(broken, allowed.writeOnce), budget: allowed},
		seed:        maphash.MakeSeed(), visited: make(map[uint64]reached),
	}
	first := e.transitions.initial()
	e.visited[e.fingerprint(&first)] = reached{}
	for layer := []modelState{first}; len(layer) > 0 && e.depth < depth && e.violation == ""; e.depth++ {
		layer = e.next(layer)
	}
	return e
}

func (e *modelChecker) fingerprint(w *modelState) uint64 { return maphash.Comparable(e.seed, *w) }

// next lists the states that are one step further and were not visited before.
func (e *modelChecker) next(layer []modelState) (further []modelState) {
	for i := range layer {
		before := e.fingerprint(&layer[i])
		e.transitions.eachStep(&layer[i], func(taken step, after *modelState, problem string) {
			e.steps++
			after.sortLateRequests()
			fingerprint := e.fingerprint(after)
			if _, found := e.visited[fingerprint]; found && problem == "" {
				return
			}
			e.visited[fingerprint] = reached{before, taken}
			further = append(further, *after)
			if problem != "" && e.violation == "" {
				e.violation, e.trace = problem, e.path(fingerprint, len(e.visited))
			}
		})
		if e.violation != "" {
			return nil
		}
	}
	return further
}

// path lists the steps that lead to a state.
func (e *modelChecker) path(fingerprint uint64, limit int) (steps []step) {
	for came := e.visited[fingerprint]; came.before != 0 && len(steps) < limit; came = e.visited[came.before] {
		steps = append(steps, came.taken)
	}
	slices.Reverse(steps)
	return steps
}

// sortLateRequests brings the late requests into one order, as their places mean nothing.
func (w *modelState) sortLateRequests() {
	slices.SortFunc(w.late[:], func(a, b lateRequest) int { return int(b.key()) - int(a.key()) })
}

func (l lateRequest) key() int64 {
	return int64(l.to)<<48 | int64(l.proposer)<<40 | int64(l.phase)<<36 | int64(l.proposalNumber)<<28 | int64(l.view)<<24 | int64(l.proposed)
}

// modelChecks are the faults and operations whose state spaces are visited, and up to which depth.
var modelChecks = []struct {
	name    string
	allowed faultBudget
	depth   int
}{
	{"two changes, and answers that are lost or late", faultBudget{attempts: 2, lostAnswers: true}, 12},
	{"two changes of a register that is written once", faultBudget{attempts: 2, writeOnce: true, lostAnswers: true}, 12},
	{"a change and reads", faultBudget{attempts: 2, lostAnswers: true, secondProposerReads: true}, 13},
	{"a restart, and requests that come twice", faultBudget{attempts: 2, restarts: 1, duplicates: true, latePrepare: true}, 11},
	{"a restart, a change and reads", faultBudget{attempts: 1, restarts: 1, secondProposerReads: true}, 15},
	{"a lost disk between two rounds", faultBudget{attempts: 1, diskLosses: 1, losableDisks: 1 << 1}, 14},
	{"a lost disk", faultBudget{attempts: 2, diskLosses: 1, lostAnswers: true}, 10},
	{"a lost disk, a change and reads", faultBudget{attempts: 1, diskLosses: 1, secondProposerReads: true}, 13},
	{"a replacement", faultBudget{attempts: 1, replacement: true}, 11},
	{"a replacement, a change and reads", faultBudget{attempts: 1, replacement: true, secondProposerReads: true}, 12},
	{"a replacement and a lost disk", faultBudget{attempts: 1, replacement: true, diskLosses: 1, secondProposerReads: true}, 11},
}

func extraDepth(t *testing.T) int {
	text := os.Getenv(depthVariable)
	if text == "" {
		return 0
	}
	more, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return more
}

// In every order of calls, lost answers, late requests, restarts, rebuilds and changes of the view, up to a depth, what
// the proposers return is one history, and nothing is in it that they reported as not run.
func TestEveryInterleavingIsLinearizable(t *testing.T) {
	more := extraDepth(t)
	for _, chunk := range modelChecks {
		t.Run(chunk.name, func(t *testing.T) {
			t.Parallel()
			depth := chunk.depth + more
			if raceflag.On {
				depth -= 4 // nothing is concurrent within an exploration
			}
			began := time.Now()
			e := checkModel(chunk.allowed, omittedRules{}, depth)
			t.Logf("%d states, %d steps, depth %d, %v", len(e.visited), e.steps, e.depth, time.Since(began).Round(time.Millisecond))
			if e.violation != "" || e.depth != depth {
				t.Errorf("found at depth %d of %d: %s", e.depth, depth, e.violation)
			}
			for _, taken := range e.trace {
				t.Log(taken)
			}
		})
	}
}

// Each rule is needed: without it, some order of steps is found that ends in two histories.
func TestModelCheckingFindsOmittedRules(t *testing.T) {
	const depth = 14
	rules := []struct {
		name    string
		broken  omittedRules
		allowed faultBudget
	}{
		{"an acceptor keeps its promises", omittedRules{forgetsPromises: true}, faultBudget{attempts: 1}},
		{"an acceptor accepts nothing below its promise", omittedRules{ignoresPromises: true}, faultBudget{attempts: 1}},
		{"a majority that disagrees is made to agree", omittedRules{anyIsCommitted: true}, faultBudget{attempts: 1, secondProposerReads: true}},
		{"a proposer asks whether its change took effect before it makes it again", omittedRules{reappliesUnclearChange: true}, faultBudget{attempts: 2}},
		{"a member votes only after it is rebuilt", omittedRules{votesBeforeRebuilt: true}, faultBudget{attempts: 1, diskLosses: 1}},
		{"a member that lost its disk waits for the end of open rounds", omittedRules{copiesDuringOpenRounds: true}, faultBudget{attempts: 1, diskLosses: 1, secondProposerReads: true}},
		{"a rebuild takes a majority of the others", omittedRules{rebuildsFromOneCopy: true}, faultBudget{attempts: 1, diskLosses: 1, secondProposerReads: true}},
		{"an acceptor answers proposers of its own view alone", omittedRules{ignoresTheView: true}, faultBudget{attempts: 1, replacement: true, secondProposerReads: true}},
		{"a member that gives a joining member a copy has learned its view", omittedRules{copiesBeforeLearningView: true}, faultBudget{attempts: 1, replacement: true, secondProposerReads: true}},
	}
	for _, rule := range rules {
		if raceflag.On && rule.allowed.replacement {
			continue // takes long there, and nothing is concurrent
		}
		began := time.Now()
		e := checkModel(rule.allowed, rule.broken, depth)
		t.Logf("without %q: %d states, found after %d steps, %v", rule.name, len(e.visited), len(e.trace), time.Since(began).Round(time.Millisecond))
		convey.Convey("Shown to be needed: "+rule.name, t, func() { convey.So(e.violation, convey.ShouldNotBeEmpty) })
		t.Log(e.violation, e.trace)
	}
}
