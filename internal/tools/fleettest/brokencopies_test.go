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
			c := Start(t, Options{Aggregators: 3, Quotas: q, Binary: binary})
			c.awaitGranter()
			stop := c.Load(180, "acme", "reads", c.RoundRobin)
			time.Sleep(8 * time.Second)
			stop()
			over, window := c.Checker.QuotaExcess("acme", 60, 60)
			if t.Logf("broken %t: %.1f over, %s", binary != "", over, window); (over > 0) != (binary != "") {
				t.Errorf("broken %t: %.1f queries over", binary != "", over)
			}
		}
	})
	t.Run("told as held before all hold it", func(t *testing.T) {
		t.Parallel()
		c := Start(t, Options{Aggregators: 3, Contracts: strings.Replace(contracts, `["a", "b"]`, `["a", "b", "c"]`, 1),
			Binary: BuildModified(t, "internal/controlplane/fleet/residency/residency.go", "			p.Held = false\n", "")})
		alone := c.Aggregators[(c.awaitGranter().index+1)%3]
		stop := c.Load(100, "cato", "reads", c.RoundRobin)
		c.Await("it is served", func() bool { return c.isServed(alone, "cato") })
		c.Partition(alone.index)
		version, err := c.Leader().Command(map[string]any{"author": "t", "reason": "r", "tenant": "cato", "contract": map[string]any{"zones": []string{"b"}}})
		c.must(err)
		c.Await("told", func() bool { applied, _ := c.Leader().ContractApplied(version, "cato"); return applied })
		c.Checker.RequireZones("cato", "b")
		time.Sleep(time.Second)
		stop()
		if wrong := c.Checker.ContractViolations(); len(wrong) == 0 {
			t.Error("nobody saw it")
		} else {
			t.Logf("%d subqueries outside, the first: %s", len(wrong), wrong[0])
		}
	})
	t.Run("a judgement of one sick witness", func(t *testing.T) {
		t.Parallel()
		c := Start(t, Options{Aggregators: 4, Binary: BuildModified(t, "internal/controlplane/fleet/outlier/outlier.go", "	witnesses  = 2 ", "	witnesses  = 1 ")})
		c.awaitGranter()
		stop := c.Load(60, "cato", "reads", func(int) *Aggregator { return c.Aggregators[3] })
		time.Sleep(1500 * time.Millisecond)
		c.slowBackends(c.Aggregators[3], 300*time.Millisecond, 0)
		c.Await("the word of one is believed", func() bool {
			s := c.Aggregators[2].FleetStatus()
			judged, _ := s["judged"].([]any)
			return len(judged) > 0
		})
		stop()
	})
}
