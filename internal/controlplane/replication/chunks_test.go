package replication

import (
	"flag"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/raceflag"
)

// traffic counts what the messages of a simulation carried.
type traffic struct {
	sentChunks     int // number of chunks of batches and snapshots that have several chunks
	fetchedChunks  int // number of chunks of states that candidates fetched
	largestMessage int // largest size of the entries in a message with more than one entry, in bytes
	// snapshots is the number of chunks sent of each snapshot, by receiver and position.
	snapshots map[string]map[Position]int
}

// recordMessage records the size of a message, and checks that it does not exceed the size of a chunk.
func (s *simulation) recordMessage(message any) {
	sum, count := 0, 0
	add := func(entries []Entry) {
		count += len(entries)
		for _, entry := range entries {
			sum += entry.bytes()
		}
	}
	switch m := message.(type) {
	case appendRequest:
		add(m.Entries)
		if m.Chunks > 1 {
			s.traffic.sentChunks++
		}
	case voteReply:
		add(sortedEntries(m.State))
	case snapshotReply:
		add(m.Entries)
		s.traffic.fetchedChunks++
	}
	if count > 1 {
		s.traffic.largestMessage = max(s.traffic.largestMessage, sum)
	}
	if limit := s.limits.withDefaults().ChunkBytes; count > 1 && sum > limit {
		s.checker.failf("a %T carries %d bytes of entries, more than a chunk of %d", message, sum, limit)
	}
}

// recordSnapshotChunk counts a chunk of a snapshot.
func (t *traffic) recordSnapshotChunk(receiver string, request any) {
	m, isAppend := request.(appendRequest)
	if !isAppend || !m.Snapshot {
		return
	}
	if t.snapshots == nil {
		t.snapshots = make(map[string]map[Position]int)
	}
	if t.snapshots[receiver] == nil {
		t.snapshots[receiver] = make(map[Position]int)
	}
	t.snapshots[receiver][m.Position]++
}

// countSnapshots returns the number of snapshots of which more than one chunk was sent to a receiver. If a receiver went down
// during a transfer, one more chunk of that snapshot is sent, and the reply shows that the earlier chunks are lost.
func (t *traffic) countSnapshots(receiver string) (count int) {
	for _, chunks := range t.snapshots[receiver] {
		if chunks > 1 {
			count++
		}
	}
	return count
}

// smallLimits makes every state and many batches need several chunks. The leader soon discards batches that a lagging replica
// needs.
var smallLimits = Limits{ChunkBytes: 300, RetainedBatches: 3, RetainedBytes: 600, CatchUpBytes: 20_000}

// catchUpLimit is the maximum time from the end of all faults until every replica has caught up with a busy leader. Up to 2 s of it
// pass until a call whose reply was lost times out.
const catchUpLimit = 5 * time.Second

var (
	chunkSchedules = flag.Int("schedules", 0, "schedules of the model test of states in chunks; 0 for the usual number")
	chunkSeed      = flag.Int64("schedule", -1, "the one schedule of the model test of states in chunks to run; -1 for all")
)

// scheduleCount returns the number of schedules to run. It is lower in short mode, and under the race detector, which finds little
// in them.
func scheduleCount() uint64 {
	switch {
	case *chunkSchedules > 0:
		return uint64(*chunkSchedules)
	case raceflag.Enabled || testing.Short():
		return 100
	}
	return 2000
}

// laggingMembers lists the members that are in another term than the leader of a group, or more than 10 batches behind it.
func (s *simulation) laggingMembers(group string) []string {
	leader := s.leader(group)
	if leader == nil {
		return []string{"no leader"}
	}
	var behind []string
	newest := leader.core.group(group).replica.position
	for _, address := range s.view.Members {
		position := s.nodes[address].core.group(group).replica.position
		if position.Term != newest.Term || position.Index+10 < newest.Index {
			behind = append(behind, fmt.Sprintf("%s at %v of %v", address, position, newest))
		}
	}
	return behind
}

// runChunkSchedule runs one schedule. It injects faults under a busy leader, with every state in chunks, and with stores that
// rewrite their file every few writes. After the faults, all replicas must catch up.
func runChunkSchedule(seed uint64, injected defects, limits Limits) (traffic, error) {
	s := newSimulation(seed, 3, injected, Timing{})
	s.limits, s.realStores, s.groups = limits, true, []string{"jobs/a"}
	s.checker = newChecker(s)
	defer s.close()
	s.start()
	if err := s.runUntil(3*time.Second, s.allGroupsLed); err != nil {
		return s.traffic, err
	}
	for range 6 {
		s.injectLagFault()
		if err := s.run(s.randomBetween(0, 900*time.Millisecond)); err != nil {
			return s.traffic, err
		}
	}
	s.heal()
	if err := s.runUntil(10*time.Second, func() bool { return s.allGroupsLed() && s.allReady() }); err != nil {
		return s.traffic, err
	}
	if err := s.runUntil(catchUpLimit, func() bool { return len(s.laggingMembers("jobs/a")) == 0 }); err != nil {
		return s.traffic, err
	}
	if behind := s.laggingMembers("jobs/a"); len(behind) > 0 {
		return s.traffic, fmt.Errorf("%v after the end of all faults: %v", catchUpLimit, behind)
	}
	s.proposing = false
	if err := s.run(3 * time.Second); err != nil {
		return s.traffic, err
	}
	return s.traffic, s.checkStatesEqual("jobs/a")
}

func (s *simulation) allReady() bool {
	for _, address := range s.view.Members {
		if n := s.nodes[address]; !n.up || !n.ready || n.frozenUntil > s.now {
			return false
		}
	}
	return true
}

// checkStatesEqual returns an error if the members store different states of a group.
func (s *simulation) checkStatesEqual(group string) error {
	first := s.nodes[s.view.Members[0]].disk
	for _, address := range s.view.Members[1:] {
		if !reflect.DeepEqual(first.Table(stateTable(group)), s.nodes[address].disk.Table(stateTable(group))) {
			return fmt.Errorf("%s holds another state than %s after the last proposal was replicated: %v, not %v", address, s.view.Members[0],
				s.nodes[address].disk[metaTable(group)], first[metaTable(group)])
		}
	}
	return nil
}

// injectLagFault injects a random fault, and prefers those after which a replica lags behind.
func (s *simulation) injectLagFault() {
	switch s.random.IntN(4) {
	case 0: // a node restarts after up to 1.5 s
		s.restart(s.randomNode(), s.randomBetween(0, 1500*time.Millisecond), false)
	case 1: // a leader restarts while a replica lags behind it
		if leader := s.leader("jobs/a"); leader != nil {
			other := s.randomNode()
			s.partitions[link{leader.address, other.address}] = true
			s.schedule(s.randomBetween(0, 2*time.Second), func() { delete(s.partitions, link{leader.address, other.address}) })
			s.schedule(s.randomBetween(0, time.Second), func() {
				if !s.healed {
					s.restart(leader, s.randomBetween(0, time.Second), false)
				}
			})
		}
	default:
		s.injectFault()
	}
}

// Replicas that lag behind a busy leader must catch up, and candidates with an old state must fetch the newest one, in chunks. The
// links lose, duplicate and reorder the chunks, and some chunks come from leaders of earlier terms. The stores are rewritten
// often, and lose power during a write.
func TestReplicasCatchUpInChunksUnderRandomFaults(t *testing.T) {
	if *chunkSeed >= 0 {
		if _, err := runChunkSchedule(uint64(*chunkSeed), defects{}, smallLimits); err != nil {
			t.Errorf("schedule %d: %v", *chunkSeed, err)
		}
		return
	}
	count := scheduleCount()
	var mutex sync.Mutex
	var total traffic
	t.Run("schedules", func(t *testing.T) {
		const shards = 16
		for shard := range uint64(shards) {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				for seed := shard; seed < count; seed += shards {
					result, err := runChunkSchedule(seed, defects{}, smallLimits)
					if err != nil {
						t.Errorf("schedule %d (go test -run TestReplicasCatchUpInChunksUnderRandomFaults -schedule=%d): %v", seed, seed, err)
					}
					mutex.Lock()
					total.sentChunks += result.sentChunks
					total.fetchedChunks += result.fetchedChunks
					mutex.Unlock()
				}
			})
		}
	})
	t.Logf("%d schedules: %d chunks sent, %d fetched", count, total.sentChunks, total.fetchedChunks)
	Convey("The schedules include chunks that were sent and fetched", t, func() {
		So(total.sentChunks, ShouldBeGreaterThan, count)
		So(total.fetchedChunks, ShouldBeGreaterThan, 0)
	})
}
