package replication

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"puffinlink.example/puffinlink/internal/raceflag"
)

var exploreDepth = flag.Int("depth", 0, "maximum number of consecutive actions that the exploration of elections and batches covers; 0 for the default")

// explorationStart describes the state of a cluster from which an exploration starts.
type explorationStart struct {
	name               string
	limits             Limits
	snapshotInTransfer bool // the third member has missed a batch and receives a snapshot in chunks
	budget             budget
	depth              int // default depth, which takes some seconds
}

var explorationStarts = []explorationStart{
	{"batches under way, one restart", DefaultLimits, false, budget{crashes: 1, leaseExpiries: 1, campaigns: 1}, 10},
	{"batches under way, nothing fails", DefaultLimits, false, budget{leaseExpiries: 1, campaigns: 1}, 11},
	{"batches under way, one restart and one loss", DefaultLimits, false, budget{drops: 1, crashes: 1, leaseExpiries: 1, campaigns: 1}, 7},
	{"a snapshot in chunks under way, one restart", Limits{ChunkBytes: 70, RetainedBatches: 1}, true,
		budget{drops: 1, crashes: 1, leaseExpiries: 1, campaigns: 1}, 7},
}

// newCluster returns a cluster with the member "a" as leader and a second batch proposed.
func (s explorationStart) newCluster(injected explorerDefects) *exploredCluster {
	c := newExploredCluster(s.limits, explorerDefects{})
	a := c.members[0]
	a.event(startCampaign, 0, a.campaign)
	c.runUntilIdle(-1)
	a.event(sendHeartbeats, 0, a.core.pingAll) // so that the leader learns the positions of both followers
	c.runUntilIdle(-1)
	leader := a.core.group(exploredGroup).leadership
	propose := func(key string) {
		a.event(startCampaign, 1, func() { leader.propose([]Entry{{key, []byte{1}}, {versionKey, []byte(key)}}, nil) })
	}
	if s.snapshotInTransfer {
		for _, key := range []string{"k1", "k2", "k3"} {
			propose(key)
			c.runUntilIdle(2)
		}
		c.inFlight = nil
		third := leader.followers["c"]
		third.sending, third.transfer, third.positionKnown = false, nil, true
		third.position = c.members[2].core.group(exploredGroup).replica.position
	}
	propose("x")
	propose("y")
	c.remaining, c.defects = s.budget, injected
	return c
}

// runUntilIdle delivers all messages and syncs all writes in order, except for messages to the excluded member.
func (c *exploredCluster) runUntilIdle(excluded int) {
	for progressed := true; progressed; {
		progressed = false
		for i, m := range c.members {
			if len(m.writes) > 0 {
				c.perform(action{syncDisk, uint8(i)})
				progressed = true
			}
		}
		for i, message := range c.inFlight {
			if message.to != excluded {
				c.perform(action{deliver, uint8(i)})
				progressed = true
				break
			}
		}
	}
}

// path is a sequence of actions from the start of an exploration.
type path []action

// replay returns the cluster after the actions of a path.
func (s explorationStart) replay(actions path, injected explorerDefects) *exploredCluster {
	c := s.newCluster(injected)
	for _, step := range actions {
		c.perform(step)
	}
	return c
}

// exploration visits all states up to a depth, breadth first.
type exploration struct {
	start       explorationStart
	defects     explorerDefects
	mu          sync.Mutex
	visited     map[uint64]struct{}
	next        []path
	failingPath path
	err         error
}

// run explores up to a depth. It stops after the first level with a failed check, and records the path and the error.
func (e *exploration) run(depth int) {
	start := e.start.newCluster(e.defects)
	e.visited = map[uint64]struct{}{start.histories().hash(): {}}
	frontier := []path{nil}
	for level := 0; level <= depth && e.err == nil && len(frontier) > 0; level++ {
		e.next = nil
		e.exploreLevel(frontier, level < depth)
		frontier = e.next
	}
}

func (e *exploration) exploreLevel(frontier []path, expandNext bool) {
	paths := make(chan path)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for actions := range paths {
				e.expand(actions, expandNext)
			}
		})
	}
	for _, actions := range frontier {
		paths <- actions
	}
	close(paths)
	workers.Wait()
}

// expand checks the state after a path, and adds all unvisited states that are one action further.
func (e *exploration) expand(actions path, expandNext bool) {
	c := e.start.replay(actions, e.defects)
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.err != nil && e.err == nil {
		e.err, e.failingPath = c.err, actions
	}
	if !expandNext {
		return
	}
	for _, next := range c.actions() {
		hash := c.historiesAfter(next).hash()
		if _, known := e.visited[hash]; !known {
			e.visited[hash] = struct{}{}
			e.next = append(e.next, append(actions[:len(actions):len(actions)], next))
		}
	}
}

func (e *exploration) String() string { return fmt.Sprintf("%v after %v", e.err, e.failingPath) }

// explorationDepth returns the depth to explore. It is lower under the race detector, which takes ten times as long and has
// nothing to find, as cores are not concurrent.
func explorationDepth(defaultDepth int) int {
	switch {
	case *exploreDepth > 0:
		return *exploreDepth
	case raceflag.Enabled || testing.Short():
		return defaultDepth - 4
	}
	return defaultDepth
}

// TestEveryInterleavingKeepsCommittedState explores every order in which messages arrive or are lost, writes are synced, and a
// process crashes and restarts, up to a number of actions. Each new leader must start with all committed batches, and all
// replicas at the same position must have the same state.
func TestEveryInterleavingKeepsCommittedState(t *testing.T) {
	for _, start := range explorationStarts {
		t.Run(start.name, func(t *testing.T) {
			e := &exploration{start: start}
			depth := explorationDepth(start.depth)
			e.run(depth)
			t.Logf("%d states to a depth of %d", len(e.visited), depth)
			if e.err != nil {
				t.Error(e)
			}
		})
	}
}

// TestExplorationFindsInjectedDefects checks that the exploration detects a broken protocol within a few actions. Otherwise a run
// without findings would prove nothing.
func TestExplorationFindsInjectedDefects(t *testing.T) {
	cases := []struct {
		name     string
		injected explorerDefects
		start    int
	}{
		{"replicas reply before their write is synced", explorerDefects{answersBeforeSync: true}, 0},
		{"a candidate adopts its own state and not the newest", explorerDefects{hidesNewerState: true}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			e := &exploration{start: explorationStarts[test.start], defects: test.injected}
			e.run(explorationStarts[test.start].depth)
			if e.err == nil {
				t.Errorf("exploration did not find the defect in %d states", len(e.visited))
			}
			t.Log(e)
		})
	}
}
