package controlmodel

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"

	"puffinlink.example/puffinlink/internal/raceflag"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

const (
	schedules         = 2000
	underRaceDetector = 120                                 // which takes ten times as long, and looks for something else
	schedulesVariable = "PUFFINLINK_CONTROLMODEL_SCHEDULES" // how many instead
	seedVariable      = "PUFFINLINK_CONTROLMODEL_SEED"      // plays this one alone
)

// TestSchedules plays seeded schedules of faults. A failure names its seed; with seedVariable it is played alone.
func TestSchedules(t *testing.T) {
	first, count := uint64(1), uint64(schedules)
	if raceflag.Enabled {
		count = underRaceDetector
	}
	if text := os.Getenv(schedulesVariable); text != "" {
		count, _ = strconv.ParseUint(text, 10, 64)
	}
	if text := os.Getenv(seedVariable); text != "" {
		first, _ = strconv.ParseUint(text, 10, 64)
		count = 1
	}
	seen := &checkCounts{counts: map[string]int{}}
	t.Run("seeds", func(t *testing.T) {
		shards := uint64(runtime.GOMAXPROCS(0))
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for seed := first + shard; seed < first+count && !t.Failed(); seed += shards {
					playSeed(t, seed, seen)
				}
			})
		}
	})
	t.Logf("%d schedules: %v", count, seen.counts)
}

func playSeed(t *testing.T, seed uint64, seen *checkCounts) {
	virtualtime.Test(t, func(t *testing.T) {
		s := newSimulation(seed)
		for _, violation := range s.run() {
			t.Errorf("seed %d: %s\n%v", seed, violation, s)
		}
		seen.add(s.checker.counts)
	})
}

// checkCounts counts what was checked, to see that there was something to check.
type checkCounts struct {
	mutex  sync.Mutex
	counts map[string]int
}

func (s *checkCounts) add(seen map[string]int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for kind, count := range seen {
		s.counts[kind] += count
	}
}
