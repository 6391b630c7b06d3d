package replication

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// The simulation runs several cores on a virtual clock. Its network and disks fail according to the schedule of a test.

var (
	errTimeout = errors.New("request timed out")
	errRefused = errors.New("connection refused")
)

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// link is one direction of the connection between two nodes.
type link struct{ from, to string }

// defects are defects that a test can inject into the protocol. A run with one of them must fail.
type defects struct {
	forgetTerms             bool // terms are not written to disk
	forgeAcknowledgements   bool // followers that cannot be reached seem to have synced batches
	acceptStaleSnapshots    bool // replicas accept any snapshot of their leader, including old ones
	noRebuild               bool // a replica with a lost disk votes before it is rebuilt
	forgetLeasesOnRestart   bool // replicas vote immediately after a restart
	acceptMismatchedBatches bool // replicas accept a batch at any position
	ignoreViews             bool // replicas accept requests of older views than their own
}

type simulation struct {
	random     *rand.Rand
	now        time.Duration
	events     events
	eventCount int
	nodes      map[string]*simulatedNode
	view       replicaset.View // newest view
	machines   []string        // addresses of all current and former members
	timing     Timing
	limits     Limits
	defects    defects
	groups     []string

	partitions     map[link]bool
	lossRate       float64
	duplicateRate  float64
	slowDisks      map[string]time.Duration
	slowLinks      map[string]time.Duration // extra delay of messages to a member
	fullDisks      map[string]bool          // disks that reject writes
	stalledUntil   map[string]time.Duration // time until which a disk completes no write
	checker        *checker
	proposing      bool // leaders propose entries continuously
	proposeOften   bool // leaders propose every few milliseconds
	replaceMembers bool // members are replaced by new machines
	diskFaults     bool // disks may become full or stall for a while
	healed         bool // no further faults are injected
	realStores     bool // nodes use a FileStore on a disk that can lose power
	traffic        traffic
}

// Now implements Clock.
func (s *simulation) Now() time.Duration { return s.now }

func newSimulation(seed uint64, members int, injected defects, timing Timing) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*simulatedNode),
		timing: timing.withDefaults(), defects: injected, groups: []string{"jobs/a", "jobs/b"},
		partitions: make(map[link]bool), slowDisks: make(map[string]time.Duration), proposing: true,
		fullDisks: make(map[string]bool), stalledUntil: make(map[string]time.Duration),
	}
	s.now = time.Hour
	s.checker = newChecker(s)
	s.view.Version = 1
	for i := range members {
		s.view.Members = append(s.view.Members, fmt.Sprintf("10.0.0.%d:7000", i+1))
	}
	for _, address := range s.view.Members {
		s.addNode(address)
	}
	return s
}

// close closes the real stores.
func (s *simulation) close() {
	for _, n := range s.nodes {
		if n.realStore != nil {
			n.realStore.store.Close()
		}
	}
}

func (s *simulation) addNode(address string) *simulatedNode {
	n := &simulatedNode{simulation: s, address: address, disk: make(disk), view: s.view}
	s.nodes[address] = n
	s.machines = append(s.machines, address)
	return n
}

func (s *simulation) schedule(delay time.Duration, run func()) {
	s.eventCount++
	heap.Push(&s.events, event{s.now + delay, s.eventCount, run})
}

// run advances the virtual time by a span. It stops early and returns the error if a check fails.
func (s *simulation) run(span time.Duration) error {
	return s.runUntil(span, func() bool { return false })
}

// runUntil advances the virtual time until a condition holds, a check fails, or a span has passed.
func (s *simulation) runUntil(span time.Duration, condition func() bool) error {
	end := s.now + span
	for s.checker.err == nil && len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
		s.checker.checkLeases()
		if condition() {
			return s.checker.err
		}
	}
	s.now = end
	return s.checker.err
}

func (s *simulation) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *simulation) start() {
	for _, address := range s.view.Members {
		s.schedule(s.randomBetween(0, 300*time.Millisecond), func() { s.nodes[address].start() })
	}
}

func (s *simulation) heal() {
	clear(s.partitions)
	clear(s.slowDisks)
	clear(s.fullDisks)
	clear(s.stalledUntil)
	s.lossRate, s.duplicateRate, s.healed = 0, 0, true
	for _, address := range s.view.Members {
		if n := s.nodes[address]; !n.up {
			n.start()
		}
	}
}

// leader returns the node whose handler holds a valid term of a group, or nil if there is none.
func (s *simulation) leader(group string) *simulatedNode {
	for _, address := range s.machines {
		n := s.nodes[address]
		if n.up && n.holdsLease(group) {
			return n
		}
	}
	return nil
}

func (s *simulation) allGroupsLed() bool {
	return !slices.ContainsFunc(s.groups, func(group string) bool { return s.leader(group) == nil })
}

// disk is the synced content of a disk, by table and key.
type disk map[string]map[string][]byte

func (d disk) apply(changes []storage.Change, skipTerms bool) {
	for _, change := range changes {
		if skipTerms && change.Key == termKey {
			continue
		}
		if change.Value == nil && change.Key == "" {
			delete(d, change.Table)
			continue
		}
		if d[change.Table] == nil {
			d[change.Table] = make(map[string][]byte)
		}
		if change.Value == nil {
			delete(d[change.Table], change.Key)
			continue
		}
		d[change.Table][change.Key] = change.Value
	}
}

// Tables implements tableReader.
func (d disk) Tables() []string { return slices.Sorted(maps.Keys(d)) }

// Table implements tableReader.
func (d disk) Table(name string) map[string][]byte {
	table := make(map[string][]byte, len(d[name]))
	maps.Copy(table, d[name])
	return table
}

func (d disk) clone() map[string]map[string][]byte {
	tables := make(map[string]map[string][]byte, len(d))
	for name := range d {
		tables[name] = d.Table(name)
	}
	return tables
}
