package fleettest

import (
	"strings"
	"testing"
	"time"
)

// Each of these modifications removes one rule from the program.
var (
	minimumsNotReserved = modification{"internal/controlplane/fleet/leadership.go", "	return rate, burst\n}", "	return 0, 0\n}"}
	appliedTooEarly     = modification{"internal/controlplane/fleet/residency/residency.go", "			progress.Applied = false\n", ""}
	oneWitnessSuffices  = modification{"internal/controlplane/fleet/outlier/outlier.go", "	minWitnesses         = 2 ", "	minWitnesses         = 1 "}
)

// TestModificationsFitTheSource checks that each modification still applies to its source file. It runs even where the modified
// programs are not built.
func TestModificationsFitTheSource(t *testing.T) {
	for _, m := range []modification{minimumsNotReserved, appliedTooEarly, oneWitnessSuffices} {
		if _, text := m.apply(t); len(text) == 0 {
			t.Errorf("%s is empty after its modification", m.file)
		}
	}
}

// TestCheckersDetectBrokenBuilds checks that the checkers report a violation when a rule is removed from the program. It builds
// each modified program, and runs only if PUFFINLINK_FAILPOINTS_ALL is set.
func TestCheckersDetectBrokenBuilds(t *testing.T) {
	if !allFailpoints {
		t.Skip("PUFFINLINK_FAILPOINTS_ALL is not set")
	}
	t.Run("minimums not reserved", func(t *testing.T) {
		t.Parallel()
		quota := `{"version": 1, "tenants": [{"tenant": "acme", "per_s": 60, "burst": 60, "floor_share": 0.6}]}`
		for _, binary := range []string{"", BuildModifiedBinary(t, minimumsNotReserved)} {
			c := Start(t, Options{Aggregators: 3, QuotasJSON: quota, Binary: binary})
			c.awaitGranter()
			stop := c.StartLoad(180, "acme", "reads", c.RoundRobin)
			time.Sleep(8 * time.Second)
			stop()
			excess, window := c.Checker.QuotaExcess("acme", 60, 60)
			if t.Logf("rule removed %t: %.1f queries over the quota, %s", binary != "", excess, window); (excess > 0) != (binary != "") {
				t.Errorf("rule removed %t: %.1f queries over the quota", binary != "", excess)
			}
		}
	})
	t.Run("reported as applied before all apply it", func(t *testing.T) {
		t.Parallel()
		c := Start(t, Options{Aggregators: 3, ContractsJSON: strings.Replace(contractsJSON, `["a", "b"]`, `["a", "b", "c"]`, 1),
			Binary: BuildModifiedBinary(t, appliedTooEarly)})
		isolated := c.Aggregators[(c.awaitGranter().index+1)%3]
		stop := c.StartLoad(100, "cato", "reads", c.RoundRobin)
		c.Await("cato is served by the aggregator to be partitioned", func() bool { return c.isServed(isolated, "cato") })
		c.Partition(isolated.index)
		version, err := c.Leader().SendCommand(map[string]any{"author": "t", "reason": "r", "tenant": "cato", "contract": map[string]any{"zones": []string{"b"}}})
		c.must(err)
		c.Await("the contract is reported as applied", func() bool { applied, _ := c.Leader().ContractApplied(version, "cato"); return applied })
		c.Checker.RequireZones("cato", "b")
		time.Sleep(time.Second)
		stop()
		if violations := c.Checker.ContractViolations(); len(violations) == 0 {
			t.Error("the checker reported no subquery outside of the contract")
		} else {
			t.Logf("%d subqueries outside of the contract, the first: %s", len(violations), violations[0])
		}
	})
	t.Run("verdict from one unhealthy witness", func(t *testing.T) {
		t.Parallel()
		c := Start(t, Options{Aggregators: 4, Binary: BuildModifiedBinary(t, oneWitnessSuffices)})
		c.awaitGranter()
		stop := c.StartLoad(60, "cato", "reads", func(int) *Aggregator { return c.Aggregators[3] })
		time.Sleep(1500 * time.Millisecond)
		c.delayBackends(c.Aggregators[3], 300*time.Millisecond, 0)
		c.Await("the report of one witness leads to a verdict", func() bool {
			status := c.Aggregators[2].FleetStatus()
			judged, _ := status["judged"].([]any)
			return len(judged) > 0
		})
		stop()
	})
}
