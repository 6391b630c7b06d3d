package replication

import (
	"flag"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"puffinlink.example/puffinlink/internal/raceflag"
)

var exploreDepth = flag.Int("depth", 0, "actions in a row that the explorer of elections and batches goes through; 0 for the usual number")

// explorationStart is a state from which a world is explored.
type explorationStart struct {
	name               string
	limits             Limits
	snapshotInTransfer bool // the third member has missed a batch and gets a snapshot, in chunks
	budget             budget
	depth              int // that takes some seconds
}

var explorationStarts = []explorationStart{
	{"batches under way, one restart", DefaultLimits, false, budget{crashes: 1, leaseExpiries: 1, campaigns: 1}, 10},
	{"batches under way, nothing fails", DefaultLimits, false, budget{leaseExpiries: 1, campaigns: 1}, 11},
	{"batches under way, one restart and one loss", DefaultLimits, false, budget{drops: 1, crashes: 1, leaseExpiries: 1, campaigns: 1}, 7},
	{"a snapshot in chunks under way, one restart", Limits{ChunkBytes: 70, RetainedBatches: 1}, true,
		budget{drops: 1, crashes: 1, leaseExpiries: 1, campaigns: 1}, 7},
}

// prepared is a world with the member "a" as leader and its second batch proposed.
func (b explorationStart) prepared(wrong explorerDefects) *exploredCluster {
	w := newExploredCluster(b.limits, explorerDefects{})
	a := w.members[0]
	a.event(startCampaign, 0, a.campaign)
	w.completeAppends(-1)
	a.event(sendHeartbeats, 0, a.core.pingAll) // so that it knows where both others are
	w.completeAppends(-1)
	leading := a.core.group(exploredGroup).leading
	propose := func(key string) {
		a.event(startCampaign, 1, func() { leading.propose([]Entry{{key, []byte{1}}, {versionKey, []byte(key)}}, nil) })
	}
	if b.snapshotInTransfer {
		for _, key := range []string{"k1", "k2", "k3"} {
			propose(key)
			w.completeAppends(2)
		}
		w.inFlight = nil
		third := leading.followers["c"]
		third.sending, third.transfer, third.known = false, nil, true
		third.position = w.members[2].core.group(exploredGroup).replica.position
	}
	propose("x")
	propose("y")
	w.remaining, w.defects = b.budget, wrong
	return w
}

// completeAppends lets everything happen in order, but for messages to one member.
func (w *exploredCluster) completeAppends(without int) {
	for moved := true; moved; {
		moved = false
		for i, m := range w.members {
			if len(m.writes) > 0 {
				w.do(action{syncDisk, uint8(i)})
				moved = true
			}
		}
		for i, next := range w.inFlight {
			if next.to != without {
				w.do(action{deliver, uint8(i)})
				moved = true
				break
			}
		}
	}
}

// path is a way through a world.
type path []action

// replay makes the world that a path leads to.
func (b explorationStart) replay(way path, wrong explorerDefects) *exploredCluster {
	w := b.prepared(wrong)
	for _, one := range way {
		w.do(one)
	}
	return w
}

// exploration goes through all states up to a depth, nearest first.
type exploration struct {
	start   explorationStart
	defects explorerDefects
	mutex   sync.Mutex
	visited map[uint64]struct{}
	next    []path
	found   path
	err     error
}

// run returns the way to the first fault; nil where there is none.
func (e *exploration) run(depth int) {
	start := e.start.prepared(e.defects)
	e.visited = map[uint64]struct{}{start.histories().hash(): {}}
	frontier := []path{nil}
	for level := 0; level <= depth && e.err == nil && len(frontier) > 0; level++ {
		e.next = nil
		e.level(frontier, level < depth)
		frontier = e.next
	}
}

func (e *exploration) level(frontier []path, further bool) {
	ways := make(chan path)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for way := range ways {
				e.expand(way, further)
			}
		})
	}
	for _, way := range frontier {
		ways <- way
	}
	close(ways)
	workers.Wait()
}

// expand judges a state, and notes all that one more action leads to.
func (e *exploration) expand(way path, further bool) {
	w := e.start.replay(way, e.defects)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if w.err != nil && e.err == nil {
		e.err, e.found = w.err, way
	}
	if !further {
		return
	}
	for _, one := range w.actions() {
		hash := w.after(one).hash()
		if _, known := e.visited[hash]; !known {
			e.visited[hash] = struct{}{}
			e.next = append(e.next, append(way[:len(way):len(way)], one))
		}
	}
}

func (e *exploration) String() string { return fmt.Sprintf("%v after %v", e.err, e.found) }

// exploreTo is the depth for a beginning. The race detector takes ten times as long, and has nothing to find in cores.
func exploreTo(usual int) int {
	switch {
	case *exploreDepth > 0:
		return *exploreDepth
	case raceflag.On || testing.Short():
		return usual - 4
	}
	return usual
}

// Each order in which messages arrive or are lost, disks sync, and a process ends and starts again, up to a number of
// actions in a row: nothing committed is missing where a later leader begins, and all that are at one position hold the
// same state.
func TestEveryInterleaving(t *testing.T) {
	for _, begin := range explorationStarts {
		t.Run(begin.name, func(t *testing.T) {
			e := &exploration{start: begin}
			depth := exploreTo(begin.depth)
			e.run(depth)
			t.Logf("%d states to a depth of %d", len(e.visited), depth)
			if e.err != nil {
				t.Error(e)
			}
		})
	}
}

// The exploration finds what is wrong by a few actions; so it means something that it finds nothing.
func TestExplorationFindsDefects(t *testing.T) {
	cases := []struct {
		name  string
		wrong explorerDefects
		begin int
	}{
		{"replicas answer before their write is synced", explorerDefects{answersEarly: true}, 0},
		{"a candidate adopts its own state and not the newest", explorerDefects{hidesNewer: true}, 1},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			e := &exploration{start: explorationStarts[one.begin], defects: one.wrong}
			e.run(explorationStarts[one.begin].depth)
			if e.err == nil {
				t.Errorf("%d states and nothing found", len(e.visited))
			}
			t.Log(e)
		})
	}
}
