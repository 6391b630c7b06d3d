package fleettest

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Settings that most scenarios share.
const (
	quotaPerSecond   = 60.0                     // of acme in quotasJSON
	quotaBurst       = 90.0                     // of acme in quotasJSON
	minimumPerSecond = 0.1 * quotaPerSecond / 3 // guaranteed to each of three aggregators: 10% of the quota in equal shares
	quotasJSON       = `{"version": 1, "tenants": [{"tenant": "acme", "per_s": 60, "burst": 90, "floor_share": 0.1}]}`
	contractsJSON    = `{"version": 1, "strict": ["cato"], "tenants": [{"tenant": "cato", "zones": ["a", "b"]}]}`
	leaseDuration    = 8 * time.Second
	leaseWithMargin  = leaseDuration + 2*time.Second // the margin is for a busy machine
)

func TestMain(m *testing.M) { os.Exit(RunTests(m)) }

// awaitGranter waits until an aggregator grants leases and returns it.
func (c *Cluster) awaitGranter() *Aggregator {
	c.Helper()
	var aggregator *Aggregator
	c.Await("an aggregator grants leases", func() bool { aggregator = c.Leader(); return aggregator != nil })
	return aggregator
}

// startAllTenantsLoad sends queries of three tenants to all aggregators until stop is called: reads of acme far above its quota,
// orders of bolt, and reads of cato.
func (c *Cluster) startAllTenantsLoad() (stop func()) {
	stopAcme := c.StartLoad(150, "acme", "reads", c.RoundRobin)
	stopOrders := c.StartLoad(20, OrdersTenant, "orders", c.RoundRobin)
	stopCato := c.StartLoad(20, "cato", "reads", c.RoundRobin)
	return func() { stopAcme(); stopOrders(); stopCato() }
}

// awaitQuotaUsed waits until acme, whose load exceeds its quota, uses over 85% of the quota for two seconds.
func (c *Cluster) awaitQuotaUsed(description string) {
	c.Helper()
	c.Await(description, func() bool {
		from := time.Now()
		time.Sleep(2 * time.Second)
		return c.Checker.AdmittedRate("acme", "", from, time.Now()) > 0.85*quotaPerSecond
	})
}

// requireStrictContracts waits until every aggregator serves the strict tenant cato. From then on the checker requires that its
// subqueries begin within the contract.
func (c *Cluster) requireStrictContracts() {
	c.Helper()
	for _, aggregator := range c.Aggregators {
		c.Await("cato is served at "+aggregator.Name, func() bool { return c.isServed(aggregator, "cato") })
	}
	c.Checker.RequireZones("cato", "a", "b")
}

// TestPartitionedAggregatorAdmitsOnlyItsMinimum checks that a partitioned aggregator admits its guaranteed minimum and no more. The
// majority must have the rest of the quota within a lease of the partition, whether the granter or another aggregator is partitioned.
// The partitioned aggregator must reject strict tenants, because it cannot know whether their contracts are current.
func TestPartitionedAggregatorAdmitsOnlyItsMinimum(t *testing.T) {
	t.Parallel()
	for _, granter := range []bool{false, true} {
		t.Run(fmt.Sprintf("granter=%t", granter), func(t *testing.T) {
			t.Parallel()
			c := Start(t, Options{Aggregators: 3, QuotasJSON: quotasJSON, ContractsJSON: contractsJSON})
			isolated := c.awaitGranter()
			c.requireStrictContracts()
			if !granter {
				isolated = c.Aggregators[(isolated.index+1)%3]
			}
			stop := c.startAllTenantsLoad()
			began := time.Now()
			c.awaitQuotaUsed("the whole quota is used")
			partitionedAt := time.Now()
			c.Partition(isolated.index)
			c.Await("the partitioned aggregator reports that it receives nothing", func() bool { s := isolated.FleetStatus(); return s != nil && s["hears_nothing"] == true })
			detectionTime := time.Since(partitionedAt)
			time.Sleep(time.Until(partitionedAt.Add(leaseWithMargin)))
			from := time.Now()
			time.Sleep(5 * time.Second)
			to := time.Now()
			total, isolatedRate := c.Checker.AdmittedRate("acme", "", from, to), c.Checker.AdmittedRate("acme", isolated.Name, from, to)
			t.Logf("partition detected after %.1f s; the partitioned aggregator admits %.2f queries per second of a minimum of %.2f, the others %.1f of %.1f", detectionTime.Seconds(), isolatedRate, minimumPerSecond, total-isolatedRate, quotaPerSecond-minimumPerSecond)
			if isolatedRate < 0.5*minimumPerSecond || isolatedRate > 1.5*minimumPerSecond+1 {
				t.Errorf("the partitioned aggregator admits %.2f queries per second, expected its minimum of %.2f", isolatedRate, minimumPerSecond)
			}
			if total-isolatedRate < 0.85*(quotaPerSecond-minimumPerSecond) {
				t.Errorf("the majority admits %.1f queries per second a lease after the partition, expected nearly %.1f", total-isolatedRate, quotaPerSecond-minimumPerSecond)
			}
			if n := c.Checker.StatusCounts("cato", isolated.Name, from); n[200] > 0 || n[429] == 0 {
				t.Errorf("answers to a strict tenant at the partitioned aggregator, by status: %v, expected 429 and no 200", n)
			}
			t.Logf("p99 of a tenant without a quota: %s before, %s after the partition", c.Checker.P99(OrdersTenant, began, partitionedAt), c.Checker.P99(OrdersTenant, partitionedAt, to))
			c.Partition()
			healed := time.Now()
			c.awaitQuotaUsed("the whole quota is used again")
			c.Await("the strict tenant is served again", func() bool { return c.isServed(isolated, "cato") })
			t.Logf("the quota is used and the strict tenant served %.1f s after the partition healed, including 2 s of measurement", time.Since(healed).Seconds())
			stop()
			c.CheckQuota("acme", quotaPerSecond, quotaBurst)
			c.CheckInvariants()
		})
	}
}

// TestQuotaHoldsWhenGranterIsKilledOrPaused checks that the quota holds in every window through a series of failures under load. The
// granter is killed. Its successor is paused for longer than a lease and resumed. All aggregators are killed at once, and one voter
// restarts with an empty directory.
func TestQuotaHoldsWhenGranterIsKilledOrPaused(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 3, QuotasJSON: quotasJSON, ContractsJSON: contractsJSON, DirectoryForAll: true})
	first := c.awaitGranter()
	c.requireStrictContracts()
	stop := c.startAllTenantsLoad()
	began := time.Now()
	c.awaitQuotaUsed("the whole quota is used")
	killed := time.Now()
	first.Kill()
	var second *Aggregator
	c.Await("another aggregator grants leases", func() bool { second = c.Leader(); return second != nil && second != first })
	t.Logf("another aggregator grants leases %.1f s after the kill; p99 of a tenant without a quota: %s before, %s after", time.Since(killed).Seconds(),
		c.Checker.P99(OrdersTenant, began, killed), c.Checker.P99(OrdersTenant, killed, time.Now()))
	first.Start()
	time.Sleep(2 * time.Second)
	second.Signal(syscall.SIGSTOP)
	time.Sleep(leaseWithMargin)
	second.Signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	c.CheckQuota("acme", quotaPerSecond, quotaBurst)
	for _, aggregator := range c.Aggregators {
		aggregator.Kill()
	}
	for i, aggregator := range c.Aggregators {
		if i == 1 {
			c.must(os.RemoveAll(aggregator.directory))
		}
		aggregator.Start()
	}
	c.awaitAllServing()
	c.awaitGranter()
	c.Await("the voter whose directory was lost knows the leader and the quotas", func() bool {
		s := c.Aggregators[1].FleetStatus()
		return s != nil && s["leader"] != nil && s["leader"] != "" && s["quotas_version"] != 0.0
	})
	from := time.Now()
	time.Sleep(4 * time.Second)
	if used := c.Checker.AdmittedRate("acme", "", from, time.Now()); used < 0.8*quotaPerSecond {
		t.Errorf("%.1f queries per second admitted after all restarted, expected nearly %.0f", used, quotaPerSecond)
	}
	stop()
	c.CheckQuota("acme", quotaPerSecond, quotaBurst)
	c.CheckInvariants(c.Aggregators...)
}

// TestNarrowedContractHoldsWithinALease checks that no subquery begins outside of a narrowed contract once the contract is reported as
// applied, and none later than a lease after it was accepted. The contract is narrowed with all links up, and again while one
// aggregator is partitioned. Then a backend moves to another zone under the same name.
func TestNarrowedContractHoldsWithinALease(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 3, ContractsJSON: strings.Replace(contractsJSON, `["a", "b"]`, `["a", "b", "c"]`, 1)})
	c.awaitGranter()
	stop := c.StartLoad(60, "cato", "reads", c.RoundRobin)
	stopOrders := c.StartLoad(20, OrdersTenant, "orders", c.RoundRobin)
	narrow := func(zones ...string) (accepted time.Time, version uint64) {
		t.Helper()
		requested := time.Now()
		version, err := c.Aggregators[0].SendCommand(map[string]any{"author": "t", "reason": "r", "tenant": "cato", "contract": map[string]any{"zones": zones}})
		if err != nil {
			t.Fatal(err)
		}
		return requested, version
	}
	awaitApplied := func(version uint64) (states map[string]string) {
		c.Await("the contract is reported as applied", func() bool {
			applied := false
			applied, states = c.Aggregators[0].ContractApplied(version, "cato")
			return applied
		})
		return states
	}
	accepted, version := narrow("a", "b")
	awaitApplied(version)
	t.Logf("the contract was applied at all nodes %.2f s after it was accepted", time.Since(accepted).Seconds())
	c.Checker.RequireZones("cato", "a", "b")
	time.Sleep(time.Second)

	isolated := c.Aggregators[2]
	if c.awaitGranter() == isolated {
		isolated = c.Aggregators[1]
	}
	began, partitionedAt := accepted, time.Now()
	c.Partition(isolated.index)
	accepted, version = narrow("b")
	c.Checker.RequireZonesFrom(accepted.Add(leaseWithMargin), "cato", "b")
	states := awaitApplied(version)
	notified := time.Now()
	t.Logf("with %s partitioned, the contract was reported as applied %.2f s after it was accepted: %v", isolated.Name, notified.Sub(accepted).Seconds(), states)
	if notified.Sub(accepted) > leaseWithMargin {
		t.Errorf("the contract was reported as applied %s after it was accepted, expected a lease at most", notified.Sub(accepted))
	}
	if states[isolated.Name] != "refuses" {
		t.Errorf("the state of the partitioned aggregator is %q, expected refuses", states[isolated.Name])
	}
	c.Checker.RequireZones("cato", "b")
	time.Sleep(time.Second)
	t.Logf("p99 of a tenant without a quota: %s before, %s after the partition", c.Checker.P99(OrdersTenant, began, partitionedAt), c.Checker.P99(OrdersTenant, partitionedAt, time.Now()))
	c.Partition()
	c.Await("the aggregator that was partitioned serves cato", func() bool { return c.isServed(isolated, "cato") })

	// s-1 and s-4 are in zone b. s-1 now moves to zone c under the same name, so it is outside of the contract at each aggregator as
	// soon as its list of backends shows the move.
	moved := c.Backends[1]
	for _, aggregator := range c.Aggregators {
		entry := moved.Entry("SERVING", true)
		entry.Zone, entry.Address = "c", aggregator.backendRelays[1].Address()
		aggregator.discovery.Set(entry)
	}
	c.Await("queries of a shard without another backend in zone b are rejected", func() bool {
		for _, aggregator := range c.Aggregators {
			if status, _ := c.Query(aggregator, "cato", "reads", 1); status != 429 {
				return false
			}
		}
		return true
	})
	callsBefore := moved.CallsOf(0) + moved.CallsOf(1)
	for range 50 {
		c.Query(c.Aggregators[0], "cato", "reads", 0, 1)
	}
	callsAfter := moved.CallsOf(0) + moved.CallsOf(1)
	stop()
	stopOrders()
	if callsAfter > callsBefore+int64(len(c.Checker.admittedQueries(OrdersTenant, ""))) { // orders have no contract, so their subqueries may go there
		t.Errorf("%d subqueries to the backend that moved out of the contract", callsAfter-callsBefore)
	}
	for _, s := range c.Backends {
		if s == moved {
			s.Zone = "c"
		}
	}
	c.CheckInvariants()
}

// TestQuotaHoldsOnLossyAndSlowLinks checks that the quota holds while a tenant sends twice its quota over all aggregators and links
// between aggregators are faulty. First they drop a fifth of all messages, and duplicate and reorder others; then they delay all
// messages by 2 s. The test logs the latency of another tenant for comparison.
func TestQuotaHoldsOnLossyAndSlowLinks(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 3, QuotasJSON: quotasJSON})
	c.awaitGranter()
	stop := c.StartLoad(2*quotaPerSecond, "acme", "reads", c.RoundRobin)
	stopOrders := c.StartLoad(40, OrdersTenant, "orders", c.RoundRobin)
	measuredFrom := time.Now()
	c.awaitQuotaUsed("the whole quota is used")
	lossBegan := time.Now()
	c.SetLinkFaults(Fault{Drop: 0.2, Duplicate: 0.1, Jitter: 30 * time.Millisecond}, func(int, int) bool { return true })
	time.Sleep(time.Second)
	from := time.Now()
	time.Sleep(6 * time.Second)
	lossEnded := time.Now()
	used := c.Checker.AdmittedRate("acme", "", from, lossEnded)
	for _, aggregator := range c.Aggregators {
		if aggregator.Counter("fleet_dropped.replayed") == 0 {
			t.Errorf("%s counted no duplicate message as replayed", aggregator.Name)
		}
	}
	c.SetLinkFaults(Fault{Delay: 2 * time.Second}, func(int, int) bool { return true })
	time.Sleep(leaseWithMargin)
	to := time.Now()
	stop()
	stopOrders()
	p99 := func(a, b time.Time) time.Duration {
		return c.Checker.P99(OrdersTenant, a, b).Round(100 * time.Microsecond)
	}
	t.Logf("with a fifth of the messages lost, %.1f of %.0f queries per second are admitted; p99 of another tenant: %s without faults, %s with loss, %s with 2 s of delay", used, quotaPerSecond, p99(measuredFrom, lossBegan), p99(from, lossEnded), p99(lossEnded, to))
	if used < 0.6*quotaPerSecond {
		t.Errorf("with a fifth of the messages lost, %.1f of %.0f queries per second are admitted", used, quotaPerSecond)
	}
	c.CheckQuota("acme", quotaPerSecond, quotaBurst)
	c.CheckInvariants()
}

// TestSecondProcessOfOneNameAdmitsNothing checks that a second process with the name of a running one admits no queries of tenants
// with a quota or a strict contract. It has neither minimums nor leases until the first process begins to stop and releases the fleet
// address. Then the second process must take over.
func TestSecondProcessOfOneNameAdmitsNothing(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 3, QuotasJSON: quotasJSON, ContractsJSON: contractsJSON, DirectoryForAll: true})
	c.awaitGranter()
	c.requireStrictContracts()
	aggregator := c.Aggregators[2]
	if c.Leader() == aggregator {
		aggregator = c.Aggregators[1]
	}
	duplicate := aggregator.StartDuplicate()
	for range 20 {
		if c.isServed(duplicate, "acme") {
			t.Fatal("the second process with the name admits queries of a tenant with a quota")
		}
		if c.isServed(duplicate, "cato") {
			t.Fatal("the second process with the name serves a strict tenant")
		}
	}
	aggregator.Signal(syscall.SIGTERM)
	c.Await("the duplicate takes over", func() bool {
		acme, cato := c.isServed(duplicate, "acme"), c.isServed(duplicate, "cato")
		return acme && cato
	})
	<-aggregator.ended
	c.CheckQuota("acme", quotaPerSecond, quotaBurst)
	c.CheckInvariants()
}

// TestAggregatorServesAfterOldDirectoryIsRestored checks the restart of a voter whose directory was restored from an old copy. The
// voter cannot distinguish that from an ordinary restart. It may stop voting, but its aggregator must continue to serve, and the other
// voters must continue to accept commands.
func TestAggregatorServesAfterOldDirectoryIsRestored(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 3, QuotasJSON: quotasJSON})
	aggregator := c.Aggregators[(c.awaitGranter().index+1)%3]
	aggregator.Kill()
	c.must(os.CopyFS(aggregator.directory+"-copy", os.DirFS(aggregator.directory)))
	aggregator.Start()
	c.Await("the restarted aggregator serves", aggregator.isServing)
	changeQuota := func(i int) {
		c.Await("the consensus group accepts a command", func() bool {
			_, err := c.Aggregators[aggregator.index].SendCommand(map[string]any{"id": fmt.Sprint("c", i), "author": "t", "reason": "r", "tenant": "cato", "quota": map[string]any{"per_s": 100 + i, "burst": 100}})
			return err == nil
		})
	}
	for i := range 5 {
		changeQuota(i)
	}
	aggregator.Kill()
	c.must(os.RemoveAll(aggregator.directory))
	c.must(os.Rename(aggregator.directory+"-copy", aggregator.directory))
	aggregator.Start()
	c.Await("the restarted aggregator serves", aggregator.isServing)
	stop := c.StartLoad(40, OrdersTenant, "orders", c.RoundRobin)
	time.Sleep(3 * time.Second)
	changeQuota(9)
	stop()
	if aggregator.Ended() {
		t.Error("the aggregator ended")
	}
	text, _ := os.ReadFile(aggregator.logPath)
	t.Logf("the consensus library panicked: %t", strings.Contains(string(text), "library panicked"))
	c.CheckInvariants()
}
