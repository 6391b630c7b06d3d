package fleettest

import (
	"strings"
	"testing"
	"time"
)

// The checkers report violations on builds of the program with one rule removed. Built and run only where all failpoints are.
func TestCheckersDetectBrokenBuilds(t *testing.T) {
	if !allFailpoints {
		t.Skip("PUFFINLINK_FAILPOINTS_ALL is not set")
	}
	t.Run("floors not subtracted", func(t *testing.T) {
		t.Parallel()
		q := `{"version": 1, "tenants": [{"tenant": "acme", "per_s": 60, "burst": 60, "floor_share": 0.6}]}`
		for _, binary := range []string{"", BuildModified(t, "internal/controlplane/fleet/voter.go", "	return perS, burst\n}", "	return 0, 0\n}")} {
			w := Start(t, Options{Aggregators: 3, Quotas: q, Binary: binary})
			w.awaitGranter()
			stop := w.Load(180, "acme", "reads", w.RoundRobin)
			time.Sleep(8 * time.Second)
			stop()
			over, window := w.Checker.QuotaExcess("acme", 60, 60)
			if t.Logf("broken %t: %.1f over, %s", binary != "", over, window); (over > 0) != (binary != "") {
				t.Errorf("broken %t: %.1f queries over", binary != "", over)
			}
		}
	})
	t.Run("told as held before all hold it", func(t *testing.T) {
		t.Parallel()
		w := Start(t, Options{Aggregators: 3, Contracts: strings.Replace(contracts, `["a", "b"]`, `["a", "b", "c"]`, 1),
			Binary: BuildModified(t, "internal/controlplane/fleet/residency/residency.go", "			p.Held = false\n", "")})
		alone := w.Aggregators[(w.awaitGranter().index+1)%3]
		stop := w.Load(100, "cato", "reads", w.RoundRobin)
		w.Await("it is served", func() bool { return w.isServed(alone, "cato") })
		w.Partition(alone.index)
		version, err := w.Leader().Command(map[string]any{"author": "t", "reason": "r", "tenant": "cato", "contract": map[string]any{"zones": []string{"b"}}})
		w.must(err)
		w.Await("told", func() bool { applied, _ := w.Leader().ContractApplied(version, "cato"); return applied })
		w.Checker.RequireZones("cato", "b")
		time.Sleep(time.Second)
		stop()
		if wrong := w.Checker.ContractViolations(); len(wrong) == 0 {
			t.Error("nobody saw it")
		} else {
			t.Logf("%d subqueries outside, the first: %s", len(wrong), wrong[0])
		}
	})
	t.Run("a judgement of one sick witness", func(t *testing.T) {
		t.Parallel()
		w := Start(t, Options{Aggregators: 4, Binary: BuildModified(t, "internal/controlplane/fleet/outlier/outlier.go", "	witnesses  = 2 ", "	witnesses  = 1 ")})
		w.awaitGranter()
		stop := w.Load(60, "cato", "reads", func(int) *Aggregator { return w.Aggregators[3] })
		time.Sleep(1500 * time.Millisecond)
		w.slowBackends(w.Aggregators[3], 300*time.Millisecond, 0)
		w.Await("the word of one is believed", func() bool {
			s := w.Aggregators[2].FleetStatus()
			judged, _ := s["judged"].([]any)
			return len(judged) > 0
		})
		stop()
	})
}
