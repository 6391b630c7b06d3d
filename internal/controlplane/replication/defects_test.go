package replication

import (
	"testing"
	"time"
)

// maxSchedules bounds the search for a defect. Most are found by one of the first fifty schedules.
const maxSchedules = 400

// Each defect that breaks the protocol is found by some schedule of random faults; so the schedules that find nothing mean something. Three
// defects that take a rare coincidence are brought about by TestVotesAndLeasesSurviveARestart instead.
func TestRandomFaultsFindDefects(t *testing.T) {
	cases := []struct {
		name      string
		wrong     defects
		timing    Timing
		exchanges bool // of members
	}{
		{"a minority commits", defects{forgeAcknowledgements: true}, Timing{}, false},
		{"the leader's lease outlasts its followers'", defects{}, Timing{LeaderLease: 3 * time.Second}, false},
		{"batches are accepted on any state", defects{acceptMismatch: true}, Timing{}, false},
		{"a lost disk votes without a rebuild", defects{noRebuild: true}, Timing{}, false},
		{"answers of an old view count", defects{ignoreViews: true}, Timing{}, true},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			for seed := range uint64(maxSchedules) {
				s := newSimulation(seed, 3, one.wrong, one.timing)
				s.replacements = one.exchanges
				if err := s.randomFaults(faultSpan); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no schedule found it")
		})
	}
}
