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

// exploration visits every state that some order of steps leads to, up to a depth. States are remembered by a
// fingerprint of 64 bits.
type exploration struct {
	explorer *explorer
	seed     maphash.Seed
	visited  map[uint64]reached
	depth    int
	steps    int
	problem  string
	trace    []step
}

func explore(allowed budget, broken brokenRules, depth int) *exploration {
	e := &exploration{
		explorer: &explorer{rules: newRules(broken, allowed.once), budget: allowed},
		seed:     maphash.MakeSeed(), visited: make(map[uint64]reached),
	}
	first := e.explorer.initial()
	e.visited[e.fingerprint(&first)] = reached{}
	for layer := []world{first}; len(layer) > 0 && e.depth < depth && e.problem == ""; e.depth++ {
		layer = e.next(layer)
	}
	return e
}

func (e *exploration) fingerprint(w *world) uint64 { return maphash.Comparable(e.seed, *w) }

// next lists the states that are one step further and were not visited before.
func (e *exploration) next(layer []world) (further []world) {
	for i := range layer {
		before := e.fingerprint(&layer[i])
		e.explorer.each(&layer[i], func(taken step, after *world, problem string) {
			e.steps++
			after.sortLate()
			print := e.fingerprint(after)
			if _, found := e.visited[print]; found && problem == "" {
				return
			}
			e.visited[print] = reached{before, taken}
			further = append(further, *after)
			if problem != "" && e.problem == "" {
				e.problem, e.trace = problem, e.path(print, len(e.visited))
			}
		})
		if e.problem != "" {
			return nil
		}
	}
	return further
}

// path lists the steps that lead to a state.
func (e *exploration) path(print uint64, most int) (steps []step) {
	for how := e.visited[print]; how.before != 0 && len(steps) < most; how = e.visited[how.before] {
		steps = append(steps, how.taken)
	}
	slices.Reverse(steps)
	return steps
}

// sortLate brings the late requests into one order, as their places mean nothing.
func (w *world) sortLate() {
	slices.SortFunc(w.late[:], func(a, b lateRequest) int { return int(b.key()) - int(a.key()) })
}

func (l lateRequest) key() int64 {
	return int64(l.to)<<48 | int64(l.proposer)<<40 | int64(l.phase)<<36 | int64(l.proposalNumber)<<28 | int64(l.view)<<24 | int64(l.proposed)
}

// explorations are the parts of the world that are visited, and how deep.
var explorations = []struct {
	name    string
	allowed budget
	depth   int
}{
	{"two changes, and answers that are lost or late", budget{attempts: 2, lostAnswers: true}, 12},
	{"two changes of a register that is written once", budget{attempts: 2, once: true, lostAnswers: true}, 12},
	{"a change and reads", budget{attempts: 2, lostAnswers: true, oneReads: true}, 13},
	{"a restart, and requests that come twice", budget{attempts: 2, restarts: 1, doubles: true, latePrepare: true}, 11},
	{"a restart, a change and reads", budget{attempts: 1, restarts: 1, oneReads: true}, 15},
	{"a lost disk between two rounds", budget{attempts: 1, losses: 1, losable: 1 << 1}, 14},
	{"a lost disk", budget{attempts: 2, losses: 1, lostAnswers: true}, 10},
	{"a lost disk, a change and reads", budget{attempts: 1, losses: 1, oneReads: true}, 13},
	{"a replacement", budget{attempts: 1, replacement: true}, 11},
	{"a replacement, a change and reads", budget{attempts: 1, replacement: true, oneReads: true}, 12},
	{"a replacement and a lost disk", budget{attempts: 1, replacement: true, losses: 1, oneReads: true}, 11},
}

func deeper(t *testing.T) int {
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
func TestEveryOrderOfStepsIsLinearizable(t *testing.T) {
	more := deeper(t)
	for _, chunk := range explorations {
		t.Run(chunk.name, func(t *testing.T) {
			t.Parallel()
			depth := chunk.depth + more
			if raceflag.On {
				depth -= 4 // nothing is concurrent within an exploration
			}
			began := time.Now()
			e := explore(chunk.allowed, brokenRules{}, depth)
			t.Logf("%d states, %d steps, depth %d, %v", len(e.visited), e.steps, e.depth, time.Since(began).Round(time.Millisecond))
			if e.problem != "" || e.depth != depth {
				t.Errorf("found at depth %d of %d: %s", e.depth, depth, e.problem)
			}
			for _, taken := range e.trace {
				t.Log(taken)
			}
		})
	}
}

// Each rule is needed: without it, some order of steps is found that ends in two histories.
func TestExplorationFindsBrokenRules(t *testing.T) {
	const depth = 14
	rules := []struct {
		name    string
		broken  brokenRules
		allowed budget
	}{
		{"an acceptor keeps its promises", brokenRules{forgetsPromises: true}, budget{attempts: 1}},
		{"an acceptor accepts nothing below its promise", brokenRules{ignoresPromises: true}, budget{attempts: 1}},
		{"a majority that disagrees is made to agree", brokenRules{anyIsCommitted: true}, budget{attempts: 1, oneReads: true}},
		{"a proposer asks whether its change took effect before it makes it again", brokenRules{appliesAgain: true}, budget{attempts: 2}},
		{"a member votes only after it is rebuilt", brokenRules{votesIncomplete: true}, budget{attempts: 1, losses: 1}},
		{"a member that lost its disk waits for the end of open rounds", brokenRules{copiesEarly: true}, budget{attempts: 1, losses: 1, oneReads: true}},
		{"a rebuild takes a majority of the others", brokenRules{oneCopy: true}, budget{attempts: 1, losses: 1, oneReads: true}},
		{"an acceptor answers proposers of its own view alone", brokenRules{ignoresTheView: true}, budget{attempts: 1, replacement: true, oneReads: true}},
		{"who gives a newcomer a copy has learned its view", brokenRules{rebuiltOfOldView: true}, budget{attempts: 1, replacement: true, oneReads: true}},
	}
	for _, rule := range rules {
		if raceflag.On && rule.allowed.replacement {
			continue // takes long there, and nothing is concurrent
		}
		began := time.Now()
		e := explore(rule.allowed, rule.broken, depth)
		t.Logf("without %q: %d states, found after %d steps, %v", rule.name, len(e.visited), len(e.trace), time.Since(began).Round(time.Millisecond))
		convey.Convey("Shown to be needed: "+rule.name, t, func() { convey.So(e.problem, convey.ShouldNotBeEmpty) })
		t.Log(e.problem, e.trace)
	}
}
