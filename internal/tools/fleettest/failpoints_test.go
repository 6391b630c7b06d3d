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

// allFailpoints plays every point with every fault, and not the sample that CI plays.
var allFailpoints = os.Getenv("PUFFINLINK_FAILPOINTS_ALL") != ""

var failpointFaults = []string{"kill", "stop", "drop", "delay", "double", "fail"}

// workload passes all points: it starts a fleet, spends a quota, narrows a contract, restarts an aggregator that keeps a directory.
func workload(t *testing.T, env func(aggregator int) []string) {
	table := strings.Replace(contracts, `["a", "b"]}]`, `["a", "b", "c"]}`, 1)
	table = strings.TrimSuffix(table, "}")
	var tenants []string
	for i := range 100 { // whose table does not fit a datagram
		tenants = append(tenants, fmt.Sprintf("tenant-%d", i))
		table += fmt.Sprintf(`, {"tenant": "tenant-%d", "zones": ["a", "b", "c"]}`, i)
	}
	c := Start(t, Options{Aggregators: 4, Quotas: quotas, Contracts: table + "]}", Tenants: tenants, Env: env, Supervised: true})
	c.awaitGranter()
	stops := []func(){c.Load(120, "acme", "reads", c.RoundRobin), c.Load(20, OrdersTenant, "orders", c.RoundRobin), c.Load(20, "cato", "reads", c.RoundRobin)}
	version := uint64(0)
	c.Await("the contract is accepted", func() bool {
		v, err := c.Aggregators[3].Command(map[string]any{"id": "narrow", "author": "t", "reason": "r", "tenant": "cato", "contract": map[string]any{"zones": []string{"a", "b"}}})
		if version = v; err != nil {
			time.Sleep(operatorCallInterval)
		}
		return err == nil
	})
	c.Await("it holds", func() bool { applied, _ := c.Aggregators[3].ContractApplied(version, "cato"); return applied })
	c.Checker.RequireZones("cato", "a", "b")
	time.Sleep(2 * time.Second)
	c.Await("tenants are served at every aggregator", func() bool {
		for _, m := range c.Aggregators {
			if !c.isServed(m, "acme") {
				return false
			}
			if !c.isServed(m, "cato") {
				return false
			}
		}
		return true
	})
	for _, stop := range stops {
		stop()
	}
	killed := c.StopSupervising()
	c.CheckQuota("acme", quotaRate, quotaBurst)
	c.CheckInvariants(killed...)
}

// Each numbered point goes wrong in turn, at whichever aggregator passes it first, and every promise holds: CI plays a fixed sample,
// PUFFINLINK_FAILPOINTS_ALL=1 all of them. Which points the workload passes is listed first.
func TestFailpointsInTurn(t *testing.T) {
	t.Parallel()
	type one struct {
		point failpoint.Point
		pass  int
		fault string
	}
	sample := []one{{failpoint.Spend, 40, "stop"}, {failpoint.RespondToGrantRequest, 25, "kill"}, {failpoint.ReceiveGrant, 12, "delay"}, {failpoint.SaveConsensus, 4, "fail"},
		{failpoint.ApplyContract, 2, "drop"}, {failpoint.Renew, 20, "stop"}, {failpoint.ConsensusSaved, 3, "kill"}, {failpoint.SendDatagram, 90, "double"}}
	if allFailpoints {
		sample = nil
		for p := failpoint.Point(1); int(p) < len(failpoint.Names); p++ {
			for _, f := range failpointFaults {
				sample = append(sample, one{p, 1 + int(p)%3, f})
			}
		}
	}
	list := filepath.Join(t.TempDir(), "points")
	t.Run("listed", func(t *testing.T) {
		t.Parallel()
		workload(t, func(int) []string { return []string{"PUFFINLINK_FAILPOINTS_LIST=" + list} })
		text, err := os.ReadFile(list)
		if err != nil {
			t.Fatal(err)
		}
		passed := map[string]bool{}
		for line := range strings.Lines(string(text)) {
			passed[strings.TrimSpace(line)] = true
		}
		for p := failpoint.Point(1); int(p) < len(failpoint.Names); p++ {
			if !passed[fmt.Sprint(p)] {
				t.Errorf("the workload does not pass point %d, %s", p, failpoint.Names[p])
			}
		}
	})
	for _, c := range sample {
		t.Run(fmt.Sprintf("%d %s %s", c.point, strings.ReplaceAll(failpoint.Names[c.point], " ", "-"), c.fault), func(t *testing.T) {
			t.Parallel()
			once := filepath.Join(t.TempDir(), "once")
			workload(t, func(int) []string {
				return []string{Arming(c.point, c.pass, c.fault), "PUFFINLINK_FAILPOINT_ONCE=" + once}
			})
			if _, err := os.Stat(once); err != nil {
				t.Errorf("the point was not passed %d times by any aggregator", c.pass)
			}
		})
	}
}
