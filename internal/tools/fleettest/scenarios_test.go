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
	quotaRate, quotaBurst = 60.0, 90.0
	minimumRate           = 0.1 * quotaRate / 3
	quotas                = `{"version": 1, "tenants": [{"tenant": "acme", "per_s": 60, "burst": 90, "floor_share": 0.1}]}`
	contracts             = `{"version": 1, "strict": ["cato"], "tenants": [{"tenant": "cato", "zones": ["a", "b"]}]}`
	lease                 = 8 * time.Second
	leaseAndSlack         = lease + 2*time.Second // a busy machine's
)

func TestMain(m *testing.M) { os.Exit(Main(m)) }

// awaitGranter waits until an aggregator grants, and returns it.
func (c *Cluster) awaitGranter() *Aggregator {
	c.Helper()
	var m *Aggregator
	c.Await("somebody grants", func() bool { m = c.Leader(); return m != nil })
	return m
}

// loadAllTenants sends queries of all three tenants: acme for well over its quota at every aggregator, orders of bolt, reads of cato.
func (c *Cluster) loadAllTenants() (stop func()) {
	acme := c.Load(150, "acme", "reads", c.RoundRobin)
	orders := c.Load(20, OrdersTenant, "orders", c.RoundRobin)
	cato := c.Load(20, "cato", "reads", c.RoundRobin)
	return func() { acme(); orders(); cato() }
}

// awaitFullUse waits until acme, which demands more than its quota, has nearly all of it, over two seconds at a time.
func (c *Cluster) awaitFullUse(what string) {
	c.Helper()
	c.Await(what, func() bool {
		from := time.Now()
		time.Sleep(2 * time.Second)
		return c.Checker.Rate("acme", "", from, time.Now()) > 0.85*quotaRate
	})
}

// requireStrictContracts waits until strict tenants are served everywhere, and from then on holds their subqueries to the contract.
func (c *Cluster) requireStrictContracts() {
	c.Helper()
	for _, m := range c.Aggregators {
		c.Await("cato is served at "+m.Name, func() bool { return c.isServed(m, "cato") })
	}
	c.Checker.RequireZones("cato", "a", "b")
}

// An aggregator that is partitioned admits its floor and no more; the side that holds the majority has the rest of the quota within a
// lease of the partition, be it the granter that is partitioned or another. Strict tenants are refused where contracts are not sure.
func TestPartitionedAggregatorKeepsToItsFloor(t *testing.T) {
	t.Parallel()
	for _, granter := range []bool{false, true} {
		t.Run(fmt.Sprintf("granter=%t", granter), func(t *testing.T) {
			t.Parallel()
			c := Start(t, Options{Aggregators: 3, Quotas: quotas, Contracts: contracts})
			alone := c.awaitGranter()
			c.requireStrictContracts()
			if !granter {
				alone = c.Aggregators[(alone.index+1)%3]
			}
			stop := c.loadAllTenants()
			began := time.Now()
			c.awaitFullUse("the whole quota is used")
			partitionedAt := time.Now()
			c.Partition(alone.index)
			c.Await("it receives nothing", func() bool { s := alone.FleetStatus(); return s != nil && s["hears_nothing"] == true })
			isolated := time.Since(partitionedAt)
			time.Sleep(time.Until(partitionedAt.Add(leaseAndSlack)))
			from := time.Now()
			time.Sleep(5 * time.Second)
			to := time.Now()
			all, own := c.Checker.Rate("acme", "", from, to), c.Checker.Rate("acme", alone.Name, from, to)
			t.Logf("receives nothing after %.1f s; alone %.2f a second of a floor of %.2f, the others %.1f of %.1f", isolated.Seconds(), own, minimumRate, all-own, quotaRate-minimumRate)
			if own < 0.5*minimumRate || own > 1.5*minimumRate+1 {
				t.Errorf("alone it admits %.2f a second, expected its floor of %.2f", own, minimumRate)
			}
			if all-own < 0.85*(quotaRate-minimumRate) {
				t.Errorf("the majority admits %.1f a second a lease after the partition, expected nearly %.1f", all-own, quotaRate-minimumRate)
			}
			if n := c.Checker.StatusCounts("cato", alone.Name, from); n[200] > 0 || n[429] == 0 {
				t.Errorf("a strict tenant where contracts are not sure: %v", n)
			}
			t.Logf("p99 of a tenant that is not concerned: %s before, %s after the partition", c.Checker.P99(OrdersTenant, began, partitionedAt), c.Checker.P99(OrdersTenant, partitionedAt, to))
			c.Partition()
			healed := time.Now()
			c.awaitFullUse("the whole quota is used again")
			c.Await("the strict tenant is served again", func() bool { return c.isServed(alone, "cato") })
			t.Logf("all is used and served again %.1f s after the partition has healed, 2 s of them measured", time.Since(healed).Seconds())
			stop()
			c.CheckQuota("acme", quotaRate, quotaBurst)
			c.CheckInvariants()
		})
	}
}

// The granter is killed; the next one is stopped for longer than a lease and resumes, in the middle of spending; then all
// are killed together, and a voter comes back with an empty directory. The quota holds in every window through all of it.
func TestQuotaHoldsWhenGranterIsKilledOrPaused(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 3, Quotas: quotas, Contracts: contracts, DirectoryForAll: true})
	first := c.awaitGranter()
	c.requireStrictContracts()
	stop := c.loadAllTenants()
	began := time.Now()
	c.awaitFullUse("the whole quota is used")
	killed := time.Now()
	first.Kill()
	var second *Aggregator
	c.Await("another grants", func() bool { second = c.Leader(); return second != nil && second != first })
	t.Logf("another grants %.1f s after the kill; p99 of a tenant that is not concerned: %s before, %s after", time.Since(killed).Seconds(),
		c.Checker.P99(OrdersTenant, began, killed), c.Checker.P99(OrdersTenant, killed, time.Now()))
	first.Start()
	time.Sleep(2 * time.Second)
	second.Signal(syscall.SIGSTOP)
	time.Sleep(leaseAndSlack)
	second.Signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	c.CheckQuota("acme", quotaRate, quotaBurst)
	for _, m := range c.Aggregators {
		m.Kill()
	}
	for i, m := range c.Aggregators {
		if i == 1 {
			c.must(os.RemoveAll(m.dir))
		}
		m.Start()
	}
	c.awaitAllServing()
	c.awaitGranter()
	c.Await("the voter whose directory was lost votes again", func() bool {
		s := c.Aggregators[1].FleetStatus()
		return s != nil && s["leader"] != nil && s["leader"] != "" && s["quotas_version"] != 0.0
	})
	from := time.Now()
	time.Sleep(4 * time.Second)
	if used := c.Checker.Rate("acme", "", from, time.Now()); used < 0.8*quotaRate {
		t.Errorf("%.1f a second admitted after all came back, expected nearly %.0f", used, quotaRate)
	}
	stop()
	c.CheckQuota("acme", quotaRate, quotaBurst)
	c.CheckInvariants(c.Aggregators...)
}

// A contract is narrowed while one aggregator is partitioned, and again while a backend moves to another zone under its name. No
// subquery begins outside of it once it is reported as applied, and none later than a lease after it was accepted.
func TestNarrowedContractHoldsWithinALease(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 3, Contracts: strings.Replace(contracts, `["a", "b"]`, `["a", "b", "c"]`, 1)})
	c.awaitGranter()
	stop := c.Load(60, "cato", "reads", c.RoundRobin)
	orders := c.Load(20, OrdersTenant, "orders", c.RoundRobin)
	narrow := func(zones ...string) (accepted time.Time, version uint64) {
		t.Helper()
		requested := time.Now()
		version, err := c.Aggregators[0].Command(map[string]any{"author": "t", "reason": "r", "tenant": "cato", "contract": map[string]any{"zones": zones}})
		if err != nil {
			t.Fatal(err)
		}
		return requested, version
	}
	awaitApplied := func(version uint64) (states map[string]string) {
		c.Await("it is reported as applied", func() bool {
			is := false
			is, states = c.Aggregators[0].ContractApplied(version, "cato")
			return is
		})
		return states
	}
	accepted, version := narrow("a", "b")
	awaitApplied(version)
	t.Logf("applied everywhere %.2f s after it was accepted", time.Since(accepted).Seconds())
	c.Checker.RequireZones("cato", "a", "b")
	time.Sleep(time.Second)

	alone := c.Aggregators[2]
	if c.awaitGranter() == alone {
		alone = c.Aggregators[1]
	}
	began, partitionedAt := accepted, time.Now()
	c.Partition(alone.index)
	accepted, version = narrow("b")
	c.Checker.RequireZonesFrom(accepted.Add(leaseAndSlack), "cato", "b")
	states := awaitApplied(version)
	notified := time.Now()
	t.Logf("with %s partitioned reported as applied %.2f s after it was accepted: %v", alone.Name, notified.Sub(accepted).Seconds(), states)
	if notified.Sub(accepted) > leaseAndSlack {
		t.Errorf("reported as applied %s after it was accepted, expected a lease at most", notified.Sub(accepted))
	}
	if states[alone.Name] != "refuses" {
		t.Errorf("the aggregator that is partitioned is shown as %q", states[alone.Name])
	}
	c.Checker.RequireZones("cato", "b")
	time.Sleep(time.Second)
	t.Logf("p99 of a tenant that is not concerned: %s before, %s after the partition", c.Checker.P99(OrdersTenant, began, partitionedAt), c.Checker.P99(OrdersTenant, partitionedAt, time.Now()))
	c.Partition()
	c.Await("it is served at the aggregator that was partitioned, by the new contract", func() bool { return c.isServed(alone, "cato") })

	// s-1 and s-4 stand in b. s-1 now moves to c under its name: it is outside wherever the list calls it so.
	moved := c.Backends[1]
	for _, m := range c.Aggregators {
		e := moved.Entry("SERVING", true)
		e.Zone, e.Address = "c", m.backendRelays[1].Address()
		m.discovery.Set(e)
	}
	c.Await("shards without another holder in b are refused", func() bool {
		for _, m := range c.Aggregators {
			if status, _ := c.Query(m, "cato", "reads", 1); status != 429 {
				return false
			}
		}
		return true
	})
	was := moved.CallsOf(0) + moved.CallsOf(1)
	for range 50 {
		c.Query(c.Aggregators[0], "cato", "reads", 0, 1)
	}
	now := moved.CallsOf(0) + moved.CallsOf(1)
	stop()
	orders()
	if now > was+int64(len(c.Checker.admitted(OrdersTenant, ""))) { // orders have no contract and may go there
		t.Errorf("%d subqueries to a backend that moved", now-was)
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
	c := Start(t, Options{Aggregators: 3, Quotas: quotas})
	c.awaitGranter()
	stop := c.Load(2*quotaRate, "acme", "reads", c.RoundRobin)
	calm := c.Load(40, OrdersTenant, "orders", c.RoundRobin)
	measuredFrom := time.Now()
	c.awaitFullUse("the whole quota is used")
	quiet := time.Now()
	c.SetLinkFaults(Fault{Drop: 0.2, Duplicate: 0.1, Jitter: 30 * time.Millisecond}, func(int, int) bool { return true })
	time.Sleep(time.Second)
	from := time.Now()
	time.Sleep(6 * time.Second)
	lossy := time.Now()
	used := c.Checker.Rate("acme", "", from, lossy)
	for _, m := range c.Aggregators {
		if m.Counter("fleet_dropped.replayed") == 0 {
			t.Errorf("%s opened every message that came twice", m.Name)
		}
	}
	c.SetLinkFaults(Fault{Delay: 2 * time.Second}, func(int, int) bool { return true })
	time.Sleep(leaseAndSlack)
	to := time.Now()
	stop()
	calm()
	p99 := func(a, b time.Time) time.Duration {
		return c.Checker.P99(OrdersTenant, a, b).Round(100 * time.Microsecond)
	}
	t.Logf("with a fifth lost %.1f of %.0f a second are used; p99 of others %s without, %s with loss, %s with 2 s of delay", used, quotaRate, p99(measuredFrom, quiet), p99(from, lossy), p99(lossy, to))
	if used < 0.6*quotaRate {
		t.Errorf("with a fifth of the messages lost %.1f a second are used of %.0f", used, quotaRate)
	}
	c.CheckQuota("acme", quotaRate, quotaBurst)
	c.CheckInvariants()
}

// Two processes under one name: the second has neither floors nor leases until the first lets go of the address, as it does
// when it begins to stop; its successor then takes over.
func TestSecondProcessOfOneNameStaysPassive(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 3, Quotas: quotas, Contracts: contracts, DirectoryForAll: true})
	c.awaitGranter()
	c.requireStrictContracts()
	m := c.Aggregators[2]
	if c.Leader() == m {
		m = c.Aggregators[1]
	}
	twin := m.StartTwin()
	for range 20 {
		if c.isServed(twin, "acme") {
			t.Fatal("a second process of one name admits queries of a quota")
		}
		if c.isServed(twin, "cato") {
			t.Fatal("a second process of one name serves a strict tenant")
		}
	}
	m.Signal(syscall.SIGTERM)
	c.Await("the twin takes over", func() bool {
		acme, cato := c.isServed(twin, "acme"), c.isServed(twin, "cato")
		return acme && cato
	})
	<-m.ended
	c.CheckQuota("acme", quotaRate, quotaBurst)
	c.CheckInvariants()
}

// A voter's directory is restored from an old copy, which nothing can distinguish from a start: the voter may stop
// voting, but the aggregator continues, and so does the consensus group of the others.
func TestAggregatorServesAfterOldDirectoryIsRestored(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 3, Quotas: quotas})
	m := c.Aggregators[(c.awaitGranter().index+1)%3]
	m.Kill()
	c.must(os.CopyFS(m.dir+"-copy", os.DirFS(m.dir)))
	m.Start()
	c.Await("it serves", m.isServing)
	change := func(i int) {
		c.Await("the consensus group acts", func() bool {
			_, err := c.Aggregators[m.index].Command(map[string]any{"id": fmt.Sprint("c", i), "author": "t", "reason": "r", "tenant": "cato", "quota": map[string]any{"per_s": 100 + i, "burst": 100}})
			return err == nil
		})
	}
	for i := range 5 {
		change(i)
	}
	m.Kill()
	c.must(os.RemoveAll(m.dir))
	c.must(os.Rename(m.dir+"-copy", m.dir))
	m.Start()
	c.Await("it serves", m.isServing)
	stop := c.Load(40, OrdersTenant, "orders", c.RoundRobin)
	time.Sleep(3 * time.Second)
	change(9)
	stop()
	if m.Ended() {
		t.Error("the aggregator ended")
	}
	text, _ := os.ReadFile(m.log)
	t.Logf("the library panicked: %t", strings.Contains(string(text), "library panicked"))
	c.CheckInvariants()
}
