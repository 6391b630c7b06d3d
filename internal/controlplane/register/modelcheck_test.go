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

// depthVariable names the environment variable that holds a number of steps to add to the depth of each model check.
const depthVariable = "EXPLORE_DEEPER"

// predecessor records how a state was reached for the first time.
type predecessor struct {
	fingerprint uint64 // fingerprint of the previous state; 0 for the initial state
	taken       step
}

// modelChecker visits, breadth first, every state that is reachable by any order of steps up to a depth. It identifies visited
// states by a 64-bit fingerprint.
type modelChecker struct {
	transitions *transitions
	seed        maphash.Seed
	visited     map[uint64]predecessor
	depth       int
	steps       int
	violation   string
	trace       []step
}

func checkModel(budget faultBudget, omitted omittedRules, depth int) *modelChecker {
	c := &modelChecker{
		transitions: &transitions{protocol: newProtocolRules(omitted, budget.writeOnce), budget: budget},
		seed:        maphash.MakeSeed(), visited: make(map[uint64]predecessor),
	}
	first := c.transitions.initial()
	c.visited[c.fingerprint(&first)] = predecessor{}
	for layer := []modelState{first}; len(layer) > 0 && c.depth < depth && c.violation == ""; c.depth++ {
		layer = c.nextLayer(layer)
	}
	return c
}

func (c *modelChecker) fingerprint(model *modelState) uint64 {
	return maphash.Comparable(c.seed, *model)
}

// nextLayer returns the states that are one step after a layer's states and were not visited before.
func (c *modelChecker) nextLayer(layer []modelState) (nextStates []modelState) {
	for i := range layer {
		before := c.fingerprint(&layer[i])
		c.transitions.eachStep(&layer[i], func(taken step, after *modelState, problem string) {
			c.steps++
			after.sortLateRequests()
			fingerprint := c.fingerprint(after)
			if _, found := c.visited[fingerprint]; found && problem == "" {
				return
			}
			c.visited[fingerprint] = predecessor{before, taken}
			nextStates = append(nextStates, *after)
			if problem != "" && c.violation == "" {
				c.violation, c.trace = problem, c.path(fingerprint, len(c.visited))
			}
		})
		if c.violation != "" {
			return nil
		}
	}
	return nextStates
}

// path returns the steps that lead to a state.
func (c *modelChecker) path(fingerprint uint64, limit int) (steps []step) {
	for via := c.visited[fingerprint]; via.fingerprint != 0 && len(steps) < limit; via = c.visited[via.fingerprint] {
		steps = append(steps, via.taken)
	}
	slices.Reverse(steps)
	return steps
}

// sortLateRequests sorts the late requests, so that states which differ only in their order are equal.
func (model *modelState) sortLateRequests() {
	slices.SortFunc(model.lateRequests[:], func(a, b lateRequest) int { return int(b.key()) - int(a.key()) })
}

func (l lateRequest) key() int64 {
	return int64(l.pendingMembers)<<48 | int64(l.proposer)<<40 | int64(l.phase)<<36 | int64(l.proposalNumber)<<28 | int64(l.view)<<24 | int64(l.proposed)
}

// modelChecks lists the combinations of faults and operations to check, each with its depth.
var modelChecks = []struct {
	name   string
	budget faultBudget
	depth  int
}{
	{"two changes, with lost and late answers", faultBudget{attempts: 2, lostAnswers: true}, 12},
	{"two changes of a write-once register", faultBudget{attempts: 2, writeOnce: true, lostAnswers: true}, 12},
	{"a change and reads", faultBudget{attempts: 2, lostAnswers: true, secondProposerReads: true}, 13},
	{"a restart and duplicate requests", faultBudget{attempts: 2, restarts: 1, duplicates: true, latePrepare: true}, 11},
	{"a restart, a change and reads", faultBudget{attempts: 1, restarts: 1, secondProposerReads: true}, 15},
	{"a lost disk between two rounds", faultBudget{attempts: 1, diskLosses: 1, losableDisks: 1 << 1}, 14},
	{"a lost disk", faultBudget{attempts: 2, diskLosses: 1, lostAnswers: true}, 10},
	{"a lost disk, a change and reads", faultBudget{attempts: 1, diskLosses: 1, secondProposerReads: true}, 13},
	{"a member replacement", faultBudget{attempts: 1, replacement: true}, 11},
	{"a member replacement, a change and reads", faultBudget{attempts: 1, replacement: true, secondProposerReads: true}, 12},
	{"a member replacement and a lost disk", faultBudget{attempts: 1, replacement: true, diskLosses: 1, secondProposerReads: true}, 11},
}

func extraDepth(t *testing.T) int {
	text := os.Getenv(depthVariable)
	if text == "" {
		return 0
	}
	extra, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return extra
}

// Checks every order of calls, lost answers, late requests, restarts, rebuilds and view changes up to a depth. All values that
// proposers return must belong to one history, which contains no change that a proposer reported as not executed.
func TestEveryInterleavingIsLinearizable(t *testing.T) {
	extra := extraDepth(t)
	for _, check := range modelChecks {
		t.Run(check.name, func(t *testing.T) {
			t.Parallel()
			depth := check.depth + extra
			if raceflag.Enabled {
				depth -= 4 // a model check is sequential, so the race detector finds nothing in deeper layers
			}
			began := time.Now()
			c := checkModel(check.budget, omittedRules{}, depth)
			t.Logf("%d states, %d steps, depth %d, %v", len(c.visited), c.steps, c.depth, time.Since(began).Round(time.Millisecond))
			if c.violation != "" || c.depth != depth {
				t.Errorf("violation at depth %d of %d: %s", c.depth, depth, c.violation)
			}
			for _, taken := range c.trace {
				t.Log(taken)
			}
		})
	}
}

// Each rule of the protocol is necessary. If a rule is omitted, the model checker must find a sequence of steps that violates
// linearizability.
func TestModelCheckingFindsOmittedRules(t *testing.T) {
	const depth = 14
	rules := []struct {
		name    string
		omitted omittedRules
		allowed faultBudget
	}{
		{"an acceptor keeps its promises", omittedRules{forgetsPromises: true}, faultBudget{attempts: 1}},
		{"an acceptor accepts nothing below its promise", omittedRules{ignoresPromises: true}, faultBudget{attempts: 1}},
		{"a state that a majority does not agree on is committed before it is returned", omittedRules{treatsAnyMajorityAsCommitted: true}, faultBudget{attempts: 1, secondProposerReads: true}},
		{"a proposer checks whether its change took effect before it applies it again", omittedRules{reappliesUnclearChange: true}, faultBudget{attempts: 2}},
		{"a member votes only after it is rebuilt", omittedRules{votesBeforeRebuilt: true}, faultBudget{attempts: 1, diskLosses: 1}},
		{"a member that lost its disk waits until open rounds have ended", omittedRules{copiesDuringOpenRounds: true}, faultBudget{attempts: 1, diskLosses: 1, secondProposerReads: true}},
		{"a rebuild needs a majority of the other members", omittedRules{rebuildsFromOneCopy: true}, faultBudget{attempts: 1, diskLosses: 1, secondProposerReads: true}},
		{"an acceptor answers only proposers of its own view", omittedRules{ignoresView: true}, faultBudget{attempts: 1, replacement: true, secondProposerReads: true}},
		{"a member learns the joining member's view before it gives that member a copy", omittedRules{copiesBeforeLearningView: true}, faultBudget{attempts: 1, replacement: true, secondProposerReads: true}},
	}
	for _, rule := range rules {
		if raceflag.Enabled && rule.allowed.replacement {
			continue // too slow with the race detector, and nothing is concurrent
		}
		began := time.Now()
		c := checkModel(rule.allowed, rule.omitted, depth)
		t.Logf("without %q: %d states, violation after %d steps, %v", rule.name, len(c.visited), len(c.trace), time.Since(began).Round(time.Millisecond))
		convey.Convey("A violation is found without the rule: "+rule.name, t, func() { convey.So(c.violation, convey.ShouldNotBeEmpty) })
		t.Log(c.violation, c.trace)
	}
}
