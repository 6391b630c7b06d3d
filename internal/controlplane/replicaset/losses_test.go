package replicaset_test

import (
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"puffinlink.example/puffinlink/internal/raceflag"
)

const (
	// schedulesVariable is the environment variable with the number of schedules to run. The default is scheduleCount.
	schedulesVariable   = "PUFFINLINK_MODEL_SCHEDULES"
	scheduleCount       = 2000
	scheduleCountRace   = 24 // default under the race detector, where each schedule takes many times as long
	scheduleWorkers     = 12
	schedulesUntilFound = 600 // number of schedules in which a defect must be found
	garbagePercent      = 800 // GC percentage; the schedules allocate much memory and retain little
)

var scheduleSeed = flag.Int64("modelseed", -1, "run only the schedule of this seed")

// scheduleSize returns the number of members in the schedule of a seed.
func scheduleSize(seed uint64) int { return []int{3, 5, 3, 4, 3, 5}[seed%6] }

// isLossy reports whether messages are lost and late in the schedule of a seed.
func isLossy(seed uint64) bool { return seed%4 == 3 }

// schedulesToRun returns the number of schedules to run.
func schedulesToRun(t *testing.T) uint64 {
	t.Helper()
	if set := os.Getenv(schedulesVariable); set != "" {
		count, err := strconv.ParseUint(set, 10, 32)
		if err != nil {
			t.Fatalf("%s: %v", schedulesVariable, err)
		}
		return count
	}
	if raceflag.Enabled {
		return scheduleCountRace
	}
	return scheduleCount
}

// report returns a description of the schedule with its violations, faults and logs.
func (s *faultSchedule) report() string {
	var logs []string
	for _, entry := range s.logged.All() {
		logs = append(logs, fmt.Sprintf("%v: %s %v", entry.Time.Sub(s.start), entry.Message, entry.ContextMap()))
	}
	return fmt.Sprintf("seed %d (-modelseed %d):\n%s\nFaults:\n%s\nLog:\n%s", s.seed, s.seed,
		strings.Join(s.violations, "\n"), strings.Join(s.events, "\n"), strings.Join(logs, "\n"))
}

// While at most the tolerated number of machines has failed, no acknowledged write is lost, each write succeeds within the
// catch-up time, and at most one view is active.
func TestLossesAndReplacements(t *testing.T) {
	if *scheduleSeed >= 0 {
		seed := uint64(*scheduleSeed)
		s := runSchedule(t, seed, scheduleSize(seed), ruleMutation{})
		t.Log(s.report())
		if len(s.violations) > 0 {
			t.Fail()
		}
		return
	}
	total := schedulesToRun(t)
	defer debug.SetGCPercent(debug.SetGCPercent(garbagePercent))
	var acknowledged, replaced atomic.Int64
	t.Run("schedules", func(t *testing.T) {
		for worker := range uint64(scheduleWorkers) {
			t.Run(strconv.FormatUint(worker, 10), func(t *testing.T) {
				t.Parallel()
				for seed := worker; seed < total; seed += scheduleWorkers {
					s := runSchedule(t, seed, scheduleSize(seed), ruleMutation{})
					if len(s.violations) > 0 {
						t.Error(s.report())
					}
					acknowledged.Add(int64(len(s.acknowledged) + len(s.groupAcknowledged)))
					replaced.Add(int64(s.seenViews.newest.Version - 1))
				}
			})
		}
	})
	t.Logf("%d schedules: %d writes acknowledged, %d members replaced", total, acknowledged.Load(), replaced.Load())
	if acknowledged.Load() < int64(total)*10 || replaced.Load() < int64(total)/4 {
		t.Error("too little happened in the schedules")
	}
}

// Each of these defects must be found by one of the first schedules. This shows that the schedules can detect violations.
// TestViolatingAnyRuleLosesDataOrConsistency covers defects that only a rare order of events reveals.
func TestFaultSchedulesFindDefects(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(garbagePercent))
	defects := []struct {
		mutation  ruleMutation
		firstSeed uint64 // the schedule of this seed found the defect; a replay is nearly identical
	}{
		{ruleMutation{name: "a departing member stops at once", stopsWithoutHandover: true}, 0},
		{ruleMutation{name: "a departing member refuses its own replacement", refusesOwnReplacement: true}, 0},
		{ruleMutation{name: "a replaced member gives no snapshot", replacedGivesNoSnapshot: true}, 0},
		{ruleMutation{name: "a joining member votes before it is rebuilt", votesBeforeRebuild: true}, 150},
	}
	t.Run("defects", func(t *testing.T) {
		for _, defect := range defects {
			t.Run(defect.mutation.name, func(t *testing.T) {
				t.Parallel()
				for seed := defect.firstSeed; seed < defect.firstSeed+schedulesUntilFound; seed++ {
					if isLossy(seed) {
						continue // on a lossy network, a violation may have another cause than the defect
					}
					if s := runSchedule(t, seed, scheduleSize(seed), defect.mutation); len(s.violations) > 0 {
						t.Logf("%s: seed %d: %s", defect.mutation.name, seed, s.violations[0])
						return
					}
				}
				t.Error("no schedule found it")
			})
		}
	})
}
