package fleettest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
)

// allFailpoints reports whether to test every failpoint with every fault, instead of the sample that CI runs.
var allFailpoints = os.Getenv("PUFFINLINK_FAILPOINTS_ALL") != ""

// failpointFaults lists the faults that a failpoint can trigger.
var failpointFaults = []string{"kill", "stop", "drop", "delay", "double", "fail"}

// runWorkload runs a fleet under load and checks the quota and the invariants. It passes all failpoints: the fleet starts, spends a
// quota and narrows a contract, and the voters keep directories.
func runWorkload(t *testing.T, env func(aggregator int) []string) {
	table := strings.Replace(contractsJSON, `["a", "b"]}]`, `["a", "b", "c"]}`, 1)
	table = strings.TrimSuffix(table, "}")
	var tenants []string
	for i := range 100 { // so many that the contracts do not fit into one datagram
		tenants = append(tenants, fmt.Sprintf("tenant-%d", i))
		table += fmt.Sprintf(`, {"tenant": "tenant-%d", "zones": ["a", "b", "c"]}`, i)
	}
	c := Start(t, Options{Aggregators: 4, QuotasJSON: quotasJSON, ContractsJSON: table + "]}", ExtraTenants: tenants, Env: env, Supervised: true})
	c.awaitGranter()
	stopLoads := []func(){c.StartLoad(120, "acme", "reads", c.RoundRobin), c.StartLoad(20, OrdersTenant, "orders", c.RoundRobin), c.StartLoad(20, "cato", "reads", c.RoundRobin)}
	version := uint64(0)
	c.Await("the contract is accepted", func() bool {
		v, err := c.Aggregators[3].SendCommand(map[string]any{"id": "narrow", "author": "t", "reason": "r", "tenant": "cato", "contract": map[string]any{"zones": []string{"a", "b"}}})
		if version = v; err != nil {
			time.Sleep(operatorCallInterval)
		}
		return err == nil
	})
	c.Await("the contract is reported as applied", func() bool { applied, _ := c.Aggregators[3].ContractApplied(version, "cato"); return applied })
	c.Checker.RequireZones("cato", "a", "b")
	time.Sleep(2 * time.Second)
	c.Await("every aggregator serves both tenants", func() bool {
		for _, aggregator := range c.Aggregators {
			if !c.isServed(aggregator, "acme") {
				return false
			}
			if !c.isServed(aggregator, "cato") {
				return false
			}
		}
		return true
	})
	for _, stop := range stopLoads {
		stop()
	}
	killed := c.StopSupervising()
	c.CheckQuota("acme", quotaPerSecond, quotaBurst)
	c.CheckInvariants(killed...)
}

// TestInvariantsHoldAtEachFailpoint triggers a fault at one failpoint per run of the workload, at the first aggregator that reaches
// the given pass, and checks that quotas and invariants hold. CI runs a fixed sample; PUFFINLINK_FAILPOINTS_ALL=1 runs every fault
// at every failpoint. The subtest "listed" checks that the workload passes every failpoint.
func TestInvariantsHoldAtEachFailpoint(t *testing.T) {
	t.Parallel()
	type injectedFault struct {
		point failpoint.Point
		pass  int
		fault string
	}
	faults := []injectedFault{{failpoint.Spend, 40, "stop"}, {failpoint.RespondToGrantRequest, 25, "kill"}, {failpoint.ReceiveGrant, 12, "delay"}, {failpoint.SaveConsensus, 4, "fail"},
		{failpoint.ApplyContract, 2, "drop"}, {failpoint.Renew, 20, "stop"}, {failpoint.ConsensusSaved, 3, "kill"}, {failpoint.SendDatagram, 90, "double"}}
	if allFailpoints {
		faults = nil
		for p := failpoint.Point(1); int(p) < len(failpoint.Names); p++ {
			for _, f := range failpointFaults {
				faults = append(faults, injectedFault{p, 1 + int(p)%3, f})
			}
		}
	}
	listPath := filepath.Join(t.TempDir(), "points")
	t.Run("listed", func(t *testing.T) {
		t.Parallel()
		runWorkload(t, func(int) []string { return []string{"PUFFINLINK_FAILPOINTS_LIST=" + listPath} })
		text, err := os.ReadFile(listPath)
		if err != nil {
			t.Fatal(err)
		}
		passed := map[string]bool{}
		for line := range strings.Lines(string(text)) {
			passed[strings.TrimSpace(line)] = true
		}
		for p := failpoint.Point(1); int(p) < len(failpoint.Names); p++ {
			if !passed[fmt.Sprint(p)] {
				t.Errorf("the workload does not pass failpoint %d, %s", p, failpoint.Names[p])
			}
		}
	})
	for _, injected := range faults {
		t.Run(fmt.Sprintf("%d %s %s", injected.point, strings.ReplaceAll(failpoint.Names[injected.point], " ", "-"), injected.fault), func(t *testing.T) {
			t.Parallel()
			oncePath := filepath.Join(t.TempDir(), "once")
			runWorkload(t, func(int) []string {
				return []string{FailpointEnv(injected.point, injected.pass, injected.fault), "PUFFINLINK_FAILPOINT_ONCE=" + oncePath}
			})
			if _, err := os.Stat(oncePath); err != nil {
				t.Errorf("no aggregator passed the failpoint %d times", injected.pass)
			}
		})
	}
}
