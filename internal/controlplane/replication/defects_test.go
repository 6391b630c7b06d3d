package replication

import (
	"testing"
	"time"
)

// maxSchedules bounds the search for a defect. Most defects are found within the first fifty schedules.
const maxSchedules = 400

// TestRandomFaultsFindInjectedDefects checks that random faults detect a broken protocol. Otherwise a run without findings would
// prove nothing. Three defects that only a rare coincidence exposes are covered by TestVotesAndLeasesSurviveRestart instead.
func TestRandomFaultsFindInjectedDefects(t *testing.T) {
	cases := []struct {
		name           string
		injected       defects
		timing         Timing
		replaceMembers bool // members are replaced during the run
	}{
		{"a minority commits", defects{forgeAcknowledgements: true}, Timing{}, false},
		{"the leader's lease outlasts the followers' leases", defects{}, Timing{LeaderLease: 3 * time.Second}, false},
		{"batches are accepted at any position", defects{acceptMismatchedBatches: true}, Timing{}, false},
		{"a replica with a lost disk votes before its rebuild", defects{noRebuild: true}, Timing{}, false},
		{"replies from an old view count", defects{ignoreViews: true}, Timing{}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(maxSchedules) {
				s := newSimulation(seed, 3, test.injected, test.timing)
				s.replaceMembers = test.replaceMembers
				if err := s.randomFaults(faultDuration); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("no schedule found the defect")
		})
	}
}
