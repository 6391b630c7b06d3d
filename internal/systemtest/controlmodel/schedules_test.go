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
	totals := &checkCounts{counts: map[string]int{}}
	seeds := scheduleSet{defaultSchedules, schedulesUnderRaceDetector, schedulesVariable, seedVariable}
	count := seeds.play(t, func(t *testing.T, seed uint64) { runSchedule(t, seed, totals) })
	t.Logf("%d schedules: %v", count, totals.counts)
}

// scheduleSet says how many schedules a test plays, and the environment variables that override it.
type scheduleSet struct {
	usual, underRaceDetector    uint64
	countVariable, seedVariable string
}

// play plays the schedules, several at a time, and returns their number.
func (s scheduleSet) play(t *testing.T, play func(t *testing.T, seed uint64)) (count uint64) {
	t.Helper()
	first, count := uint64(1), s.usual
	if raceflag.Enabled {
		count = s.underRaceDetector
	}
	if text := os.Getenv(s.countVariable); text != "" {
		count, _ = strconv.ParseUint(text, 10, 64)
	}
	if text := os.Getenv(s.seedVariable); text != "" {
		first, _ = strconv.ParseUint(text, 10, 64)
		count = 1
	}
	t.Run("seeds", func(t *testing.T) {
		shards := uint64(runtime.GOMAXPROCS(0))
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for seed := first + shard; seed < first+count && !t.Failed(); seed += shards {
					play(t, seed)
				}
			})
		}
	})
	return count
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
