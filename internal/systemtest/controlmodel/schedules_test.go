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
	defaultSchedules           = 2000
	schedulesUnderRaceDetector = 120                                 // fewer: a schedule takes ten times as long, and the aim is to find data races
	schedulesVariable          = "PUFFINLINK_CONTROLMODEL_SCHEDULES" // overrides the number of schedules
	seedVariable               = "PUFFINLINK_CONTROLMODEL_SEED"      // runs only the schedule with this seed
)

// TestSeededFaultSchedulesCauseNoViolation runs simulations with seeded fault schedules. A failure message contains the seed. Set
// the environment variable seedVariable to run only that schedule.
func TestSeededFaultSchedulesCauseNoViolation(t *testing.T) {
	first, count := uint64(1), uint64(defaultSchedules)
	if raceflag.Enabled {
		count = schedulesUnderRaceDetector
	}
	if text := os.Getenv(schedulesVariable); text != "" {
		count, _ = strconv.ParseUint(text, 10, 64)
	}
	if text := os.Getenv(seedVariable); text != "" {
		first, _ = strconv.ParseUint(text, 10, 64)
		count = 1
	}
	totals := &checkCounts{counts: map[string]int{}}
	t.Run("seeds", func(t *testing.T) {
		shards := uint64(runtime.GOMAXPROCS(0))
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for seed := first + shard; seed < first+count && !t.Failed(); seed += shards {
					runSchedule(t, seed, totals)
				}
			})
		}
	})
	t.Logf("%d schedules: %v", count, totals.counts)
}

func runSchedule(t *testing.T, seed uint64, totals *checkCounts) {
	virtualtime.Test(t, func(t *testing.T) {
		s := newSimulation(seed)
		for _, violation := range s.run() {
			t.Errorf("seed %d: %s\n%v", seed, violation, s)
		}
		totals.add(s.checker.checkCounts)
	})
}

// checkCounts counts the checks of each kind in all schedules. The log shows whether each kind was reached.
type checkCounts struct {
	mutex  sync.Mutex
	counts map[string]int
}

func (s *checkCounts) add(counts map[string]int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for kind, count := range counts {
		s.counts[kind] += count
	}
}
