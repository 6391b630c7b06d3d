package fleettest

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The quota of most scenarios, and the floor of one of three aggregators.
const (
	quotaPerSecond, quotaBurst = 60.0, 90.0
	floorPerSecond             = 0.1 * quotaPerSecond / 3
	quotasJSON                 = `{"version": 1, "tenants": [{"tenant": "acme", "per_s": 60, "burst": 90, "floor_share": 0.1}]}`
	contractsJSON              = `{"version": 1, "strict": ["cato"], "tenants": [{"tenant": "cato", "zones": ["a", "b"]}]}`
	leaseDuration              = 8 * time.Second
	leaseWithMargin            = leaseDuration + 2*time.Second // a busy machine's
)

func TestMain(m *testing.M) { os.Exit(RunTests(m)) }

// awaitGranter waits until an aggregator grants, and returns it.
func (c *Cluster) awaitGranter() *Aggregator {
	c.Helper()
	var aggregator *Aggregator
	c.Await("somebody grants", func() bool { aggregator = c.Leader(); return aggregator != nil })
	return aggregator
}

// loadAllTenants sends queries of all three tenants: acme for well over its quota at every aggregator, orders of bolt, reads of cato.
func (c *Cluster) startAllTenantsLoad() (stop func()) {
	stopAcme := c.StartLoad(150, "acme", "reads", c.RoundRobin)
	stopOrders := c.StartLoad(20, OrdersTenant, "orders", c.RoundRobin)
	stopCato := c.StartLoad(20, "cato", "reads", c.RoundRobin)
	return func() { stopAcme(); stopOrders(); stopCato() }
}

// awaitFullUse waits until acme, which demands more than its quota, has nearly all of it, over two seconds at a time.
func (c *Cluster) awaitQuotaUsed(description string) {
	c.Helper()
	c.Await(description, func() bool {
		from := time.Now()
		time.Sleep(2 * time.Second)
		return c.Checker.AdmittedRate("acme", "", from, time.Now()) > 0.85*quotaPerSecond
	})
}

// requireStrictContracts waits until strict tenants are served everywhere, and from then on holds their subqueries to the contract.
func (c *Cluster) requireStrictContracts() {
	c.Helper()
	for _, aggregator := range c.Aggregators {
		c.Await("cato is served at "+aggregator.Name, func() bool { return c.isServed(aggregator, "cato") })
	}
	c.Checker.RequireZones("cato", "a", "b")
}

// An aggregator that is partitioned admits its floor and no more; the side that holds the majority has the rest of the quota within a
// lease of the partition, be it the granter that is partitioned or another. Strict tenants are refused where contracts are not sure.
func TestPartitionedAggregatorAdmitsOnlyItsFloor(t *testing.T) {
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
			c.Await("it receives nothing", func() bool { s := isolated.FleetStatus(); return s != nil && s["hears_nothing"] == true })
			detectionTime := time.Since(partitionedAt)
			time.Sleep(time.Until(partitionedAt.Add(leaseWithMargin)))
			from := time.Now()
			time.Sleep(5 * time.Second)
			to := time.Now()
			total, isolatedRate := c.Checker.AdmittedRate("acme", "", from, to), c.Checker.AdmittedRate("acme", isolated.Name, from, to)
			t.Logf("receives nothing after %.1f s; alone %.2f a second of a floor of %.2f, the others %.1f of %.1f", detectionTime.Seconds(), isolatedRate, floorPerSecond, total-isolatedRate, quotaPerSecond-floorPerSecond)
			if isolatedRate < 0.5*floorPerSecond || isolatedRate > 1.5*floorPerSecond+1 {
				t.Errorf("alone it admits %.2f a second, expected its floor of %.2f", isolatedRate, floorPerSecond)
			}
			if total-isolatedRate < 0.85*(quotaPerSecond-floorPerSecond) {
				t.Errorf("the majority admits %.1f a second a lease after the partition, expected nearly %.1f", total-isolatedRate, quotaPerSecond-floorPerSecond)
			}
			if n := c.Checker.StatusCounts("cato", isolated.Name, from); n[200] > 0 || n[429] == 0 {
				t.Errorf("a strict tenant where contracts are not sure: %v", n)
			}
			t.Logf("p99 of a tenant that is not concerned: %s before, %s after the partition", c.Checker.P99(OrdersTenant, began, partitionedAt), c.Checker.P99(OrdersTenant, partitionedAt, to))
			c.Partition()
			healed := time.Now()
			c.awaitQuotaUsed("the whole quota is used again")
			c.Await("the strict tenant is served again", func() bool { return c.isServed(isolated, "cato") })
			t.Logf("all is used and served again %.1f s after the partition has healed, 2 s of them measured", time.Since(healed).Seconds())
			stop()
			c.CheckQuota("acme", quotaPerSecond, quotaBurst)
			c.CheckInvariants()
		})
	}
}

// The granter is killed; the next one is stopped for longer than a lease and resumes, in the middle of spending; then all
// are killed together, and a voter comes back with an empty directory. The quota holds in every window through all of it.
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
	c.Await("another grants", func() bool { second = c.Leader(); return second != nil && second != first })
	t.Logf("another grants %.1f s after the kill; p99 of a tenant that is not concerned: %s before, %s after", time.Since(killed).Seconds(),
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
	c.Await("the voter whose directory was lost votes again", func() bool {
		s := c.Aggregators[1].FleetStatus()
		return s != nil && s["leader"] != nil && s["leader"] != "" && s["quotas_version"] != 0.0
	})
	from := time.Now()
	time.Sleep(4 * time.Second)
	if used := c.Checker.AdmittedRate("acme", "", from, time.Now()); used < 0.8*quotaPerSecond {
		t.Errorf("%.1f a second admitted after all came back, expected nearly %.0f", used, quotaPerSecond)
	}
	stop()
	c.CheckQuota("acme", quotaPerSecond, quotaBurst)
	c.CheckInvariants(c.Aggregators...)
}

// A contract is narrowed while one aggregator is partitioned, and again while a backend moves to another zone under its name. No
// subquery begins outside of it once it is reported as applied, and none later than a lease after it was accepted.
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
		c.Await("it is reported as applied", func() bool {
			applied := false
			applied, states = c.Aggregators[0].ContractApplied(version, "cato")
			return applied
		})
		return states
	}
	accepted, version := narrow("a", "b")
	awaitApplied(version)
	t.Logf("applied everywhere %.2f s after it was accepted", time.Since(accepted).Seconds())
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
	t.Logf("with %s partitioned reported as applied %.2f s after it was accepted: %v", isolated.Name, notified.Sub(accepted).Seconds(), states)
	if notified.Sub(accepted) > leaseWithMargin {
		t.Errorf("reported as applied %s after it was accepted, expected a lease at most", notified.Sub(accepted))
	}
	if states[isolated.Name] != "refuses" {
		t.Errorf("the aggregator that is partitioned is shown as %q", states[isolated.Name])
	}
	c.Checker.RequireZones("cato", "b")
	time.Sleep(time.Second)
	t.Logf("p99 of a tenant that is not concerned: %s before, %s after the partition", c.Checker.P99(OrdersTenant, began, partitionedAt), c.Checker.P99(OrdersTenant, partitionedAt, time.Now()))
	c.Partition()
	c.Await("it is served at the aggregator that was partitioned, by the new contract", func() bool { return c.isServed(isolated, "cato") })

	// s-1 and s-4 stand in b. s-1 now moves to c under its name: it is outside wherever the list calls it so.
	moved := c.Backends[1]
	for _, aggregator := range c.Aggregators {
		entry := moved.Entry("SERVING", true)
		entry.Zone, entry.Address = "c", aggregator.backendRelays[1].Address()
		aggregator.discovery.Set(entry)
	}
	c.Await("shards without another holder in b are refused", func() bool {
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
	if callsAfter > callsBefore+int64(len(c.Checker.admittedQueries(OrdersTenant, ""))) { // orders have no contract and may go there
		t.Errorf("%d subqueries to a backend that moved", callsAfter-callsBefore)
	}
	for _, s := range c.Backends {
		if s == moved {
			s.Zone = "c"
		}
	}
	c.CheckInvariants()
}

// A tenant demands twice its quota at all aggregators at once, while links drop a fifth of all messages, double and reorder
// others; then everything takes 2 s longer. The quota holds, and queries of other tenants are not delayed.
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
			t.Errorf("%s opened every message that came twice", aggregator.Name)
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
	t.Logf("with a fifth lost %.1f of %.0f a second are used; p99 of others %s without, %s with loss, %s with 2 s of delay", used, quotaPerSecond, p99(measuredFrom, lossBegan), p99(from, lossEnded), p99(lossEnded, to))
	if used < 0.6*quotaPerSecond {
		t.Errorf("with a fifth of the messages lost %.1f a second are used of %.0f", used, quotaPerSecond)
	}
	c.CheckQuota("acme", quotaPerSecond, quotaBurst)
	c.CheckInvariants()
}

// Two processes under one name: the second has neither floors nor leases until the first lets go of the address, as it does
// when it begins to stop; its successor then takes over.
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
			t.Fatal("a second process of one name admits queries of a quota")
		}
		if c.isServed(duplicate, "cato") {
			t.Fatal("a second process of one name serves a strict tenant")
		}
	}
	aggregator.Signal(syscall.SIGTERM)
	c.Await("the twin takes over", func() bool {
		acme, cato := c.isServed(duplicate, "acme"), c.isServed(duplicate, "cato")
		return acme && cato
	})
	<-aggregator.ended
	c.CheckQuota("acme", quotaPerSecond, quotaBurst)
	c.CheckInvariants()
}

// A voter's directory is restored from an old copy, which nothing can distinguish from a start: the voter may stop
// voting, but the aggregator continues, and so does the consensus group of the others.
func TestAggregatorServesAfterOldDirectoryIsRestored(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 3, QuotasJSON: quotasJSON})
	aggregator := c.Aggregators[(c.awaitGranter().index+1)%3]
	aggregator.Kill()
	c.must(os.CopyFS(aggregator.directory+"-copy", os.DirFS(aggregator.directory)))
	aggregator.Start()
	c.Await("it serves", aggregator.isServing)
	changeQuota := func(i int) {
		c.Await("the consensus group acts", func() bool {
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
	c.Await("it serves", aggregator.isServing)
	stop := c.StartLoad(40, OrdersTenant, "orders", c.RoundRobin)
	time.Sleep(3 * time.Second)
	changeQuota(9)
	stop()
	if aggregator.Ended() {
		t.Error("the aggregator ended")
	}
	text, _ := os.ReadFile(aggregator.logPath)
	t.Logf("the library panicked: %t", strings.Contains(string(text), "library panicked"))
	c.CheckInvariants()
}
