package fleettest

import (
	"strings"
	"testing"
	"time"
)

// Modifications of the program that remove one rule each.
var (
	minimumsNotReserved = modification{"internal/controlplane/fleet/leadership.go", "	return rate, burst\n}", "	return 0, 0\n}"}
	appliedTooEarly     = modification{"internal/controlplane/fleet/residency/residency.go", "			progress.Applied = false\n", ""}
	oneWitnessSuffices  = modification{"internal/controlplane/fleet/outlier/outlier.go", "	minWitnesses         = 2 ", "	minWitnesses         = 1 "}
)

// The modifications fit the source files as they are, also where the builds are not made.
func TestModificationsFitTheSource(t *testing.T) {
	for _, m := range []modification{minimumsNotReserved, appliedTooEarly, oneWitnessSuffices} {
		if _, text := m.apply(t); len(text) == 0 {
			t.Errorf("%s is empty after its modification", m.file)
		}
	}
}

// The checkers report violations on builds of the program with one rule removed. Built and run only where all failpoints are.
func TestCheckersDetectBrokenBuilds(t *testing.T) {
	if !allFailpoints {
		t.Skip("PUFFINLINK_FAILPOINTS_ALL is not set")
	}
	t.Run("minimums not reserved", func(t *testing.T) {
		t.Parallel()
		q := `{"version": 1, "tenants": [{"tenant": "acme", "per_s": 60, "burst": 60, "floor_share": 0.6}]}`
		for _, binary := range []string{"", BuildModified(t, minimumsNotReserved)} {
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
	t.Run("reported as applied before all apply it", func(t *testing.T) {
		t.Parallel()
		c := Start(t, Options{Aggregators: 3, Contracts: strings.Replace(contracts, `["a", "b"]`, `["a", "b", "c"]`, 1),
			Binary: BuildModified(t, appliedTooEarly)})
		alone := c.Aggregators[(c.awaitGranter().index+1)%3]
		stop := c.Load(100, "cato", "reads", c.RoundRobin)
		c.Await("it is served", func() bool { return c.isServed(alone, "cato") })
		c.Partition(alone.index)
		version, err := c.Leader().Command(map[string]any{"author": "t", "reason": "r", "tenant": "cato", "contract": map[string]any{"zones": []string{"b"}}})
		c.must(err)
		c.Await("it is reported as applied", func() bool { applied, _ := c.Leader().ContractApplied(version, "cato"); return applied })
		c.Checker.RequireZones("cato", "b")
		time.Sleep(time.Second)
		stop()
		if wrong := c.Checker.ContractViolations(); len(wrong) == 0 {
			t.Error("the checker saw no subquery outside of the contract")
		} else {
			t.Logf("%d subqueries outside, the first: %s", len(wrong), wrong[0])
		}
	})
	t.Run("a verdict of one unhealthy witness", func(t *testing.T) {
		t.Parallel()
		c := Start(t, Options{Aggregators: 4, Binary: BuildModified(t, oneWitnessSuffices)})
		c.awaitGranter()
		stop := c.Load(60, "cato", "reads", func(int) *Aggregator { return c.Aggregators[3] })
		time.Sleep(1500 * time.Millisecond)
		c.slowBackends(c.Aggregators[3], 300*time.Millisecond, 0)
		c.Await("the report of one witness makes a verdict", func() bool {
			s := c.Aggregators[2].FleetStatus()
			judged, _ := s["judged"].([]any)
			return len(judged) > 0
		})
		stop()
	})
}
