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
	chunks  int // of batches and snapshots in several chunks
	fetched int // chunks of states that candidates asked for
	largest int // bytes of entries in one message with more than one
	// snapshots counts the chunks of snapshots that were sent, by receiver
	snapshots map[string]map[Position]int
}

// checkSize notes a message, and that none carries more than a part.
func (s *simulation) checkSize(message any) {
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
			s.traffic.chunks++
		}
	case voteReply:
		add(entriesOf(m.State))
	case snapshotReply:
		add(m.Entries)
		s.traffic.fetched++
	}
	if count > 1 {
		s.traffic.largest = max(s.traffic.largest, sum)
	}
	if most := s.limits.withDefaults().ChunkBytes; count > 1 && sum > most {
		s.checker.failf("a %T carries %d bytes of entries, more than a part of %d", message, sum, most)
	}
}

// sent counts a part of a snapshot.
func (t *traffic) sent(receiver string, request any) {
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

// sentSnapshots counts the snapshots of which a receiver was sent more than one part. One part is sent of a snapshot whose
// first chunks came before the receiver went down: its answer tells that they are gone.
func (t *traffic) sentSnapshots(receiver string) (count int) {
	for _, chunks := range t.snapshots[receiver] {
		if chunks > 1 {
			count++
		}
	}
	return count
}

// narrow limits make every state and many batches need several chunks, and drop the batches that a replica lacks soon.
var narrow = Limits{ChunkBytes: 300, RetainedBatches: 3, RetainedBytes: 600, CatchUpBytes: 20_000}

// catchUp is how long a replica may take, once all troubles are over, until it is near a busy leader. Up to 2 s of it pass until
// a call whose answer was lost in a fault is given up.
const catchUp = 5 * time.Second

var (
	chunkSchedules = flag.Int("schedules", 0, "schedules of the model test of states in chunks; 0 for the usual number")
	chunkSeed      = flag.Int64("schedule", -1, "the one schedule of the model test of states in chunks to run; -1 for all")
)

// chunkScheduleCount is how many schedules there are; fewer under the race detector, which has little to find in them.
func chunkScheduleCount() uint64 {
	switch {
	case *chunkSchedules > 0:
		return uint64(*chunkSchedules)
	case raceflag.On || testing.Short():
		return 100
	}
	return 2000
}

// lagging lists the members that are behind the leader of a group by more than a few batches.
func (s *simulation) lagging(group string) []string {
	leader := s.leader(group)
	if leader == nil {
		return []string{"no leader"}
	}
	var behind []string
	newest := leader.core.group(group).replica.position
	for _, address := range s.view.Members {
		at := s.nodes[address].core.group(group).replica.position
		if at.Term != newest.Term || at.Index+10 < newest.Index {
			behind = append(behind, fmt.Sprintf("%s at %v of %v", address, at, newest))
		}
	}
	return behind
}

// chunksSchedule runs one schedule: faults under a busy leader, with every state in chunks and stores that rewrite their
// file every few writes, and then a time in which all must catch up.
func chunksSchedule(seed uint64, wrong defects, limits Limits) (traffic, error) {
	s := newSimulation(seed, 3, wrong, Timing{})
	s.limits, s.realStores, s.groups = limits, true, []string{"jobs/a"}
	s.checker = newChecker(s)
	defer s.close()
	s.start()
	if err := s.runUntil(3*time.Second, s.allGroupsLed); err != nil {
		return s.traffic, err
	}
	for range 6 {
		s.chunksFault()
		if err := s.run(s.randomBetween(0, 900*time.Millisecond)); err != nil {
			return s.traffic, err
		}
	}
	s.heal()
	if err := s.runUntil(10*time.Second, func() bool { return s.allGroupsLed() && s.allReady() }); err != nil {
		return s.traffic, err
	}
	if err := s.runUntil(catchUp, func() bool { return len(s.lagging("jobs/a")) == 0 }); err != nil {
		return s.traffic, err
	}
	if behind := s.lagging("jobs/a"); len(behind) > 0 {
		return s.traffic, fmt.Errorf("%v after the end of all faults: %v", catchUp, behind)
	}
	s.proposing = false
	if err := s.run(3 * time.Second); err != nil {
		return s.traffic, err
	}
	return s.traffic, s.sameEverywhere("jobs/a")
}

func (s *simulation) allReady() bool {
	for _, address := range s.view.Members {
		if n := s.nodes[address]; !n.up || !n.ready || n.frozenUntil > s.now {
			return false
		}
	}
	return true
}

func (s *simulation) sameEverywhere(group string) error {
	first := s.nodes[s.view.Members[0]].disk
	for _, address := range s.view.Members[1:] {
		if !reflect.DeepEqual(first.Table(stateTable(group)), s.nodes[address].disk.Table(stateTable(group))) {
			return fmt.Errorf("%s holds another state than %s once all is quiet: %v, not %v", address, s.view.Members[0],
				s.nodes[address].disk[metaTable(group)], first[metaTable(group)])
		}
	}
	return nil
}

// chunksFault prefers what leaves a replica behind.
func (s *simulation) chunksFault() {
	switch s.random.IntN(4) {
	case 0: // away for a while, and another one after it
		s.restart(s.randomNode(), s.randomBetween(0, 1500*time.Millisecond), false)
	case 1: // a leader goes while a replica lags behind it
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

// Replicas that lag behind a busy leader catch up, and candidates with an old state fetch the newest, in chunks, over links
// that lose, duplicate and reorder them and from leaders that are not in office any more; stores are rewritten all the
// time and lose power in the midst of a write.
func TestStatesInChunks(t *testing.T) {
	if *chunkSeed >= 0 {
		if _, err := chunksSchedule(uint64(*chunkSeed), defects{}, narrow); err != nil {
			t.Errorf("schedule %d: %v", *chunkSeed, err)
		}
		return
	}
	count := chunkScheduleCount()
	var mutex sync.Mutex
	var all traffic
	t.Run("schedules", func(t *testing.T) {
		const shards = 16
		for shard := range uint64(shards) {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				for seed := shard; seed < count; seed += shards {
					seen, err := chunksSchedule(seed, defects{}, narrow)
					if err != nil {
						t.Errorf("schedule %d (go test -run TestStatesInChunks -schedule=%d): %v", seed, seed, err)
					}
					mutex.Lock()
					all.chunks += seen.chunks
					all.fetched += seen.fetched
					mutex.Unlock()
				}
			})
		}
	})
	t.Logf("%d schedules: %d chunks sent, %d fetched", count, all.chunks, all.fetched)
	Convey("The schedules send and fetch states in chunks", t, func() {
		So(all.chunks, ShouldBeGreaterThan, count)
		So(all.fetched, ShouldBeGreaterThan, 0)
	})
}
