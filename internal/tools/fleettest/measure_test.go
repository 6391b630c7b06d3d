package fleettest

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// requireMeasuring is for a machine that does nothing else: it prints the figures of docs/results.md.
func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv("PUFFINLINK_MEASURE") == "" {
		t.Skip("PUFFINLINK_MEASURE is not set")
	}
}

// cpuSeconds is what a process has used, in seconds.
func (a *Aggregator) cpuSeconds() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", a.command.Process.Pid))
	a.cluster.must(err)
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+2:])
	user, _ := strconv.ParseFloat(string(fields[11]), 64)
	system, _ := strconv.ParseFloat(string(fields[12]), 64)
	return (user + system) / 100
}

// memoryMB is what it has resident, in MB.
func (a *Aggregator) memoryMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", a.command.Process.Pid))
	a.cluster.must(err)
	pages, _ := strconv.ParseFloat(string(bytes.Fields(text)[1]), 64)
	return pages * 4096 / (1 << 20)
}

const highQuotasJSON = `{"version": 1, "tenants": [{"tenant": "acme", "per_s": 1e6, "burst": 1e6, "floor_share": 0.1}, {"tenant": "cato", "per_s": 1e6, "burst": 1e6}]}`

// The cost of a query with and without a fleet, by turns in one run, one aggregator of three asked by four clients one after the
// other; what the fleet itself costs at rest is subtracted and logged separately.
func TestMeasureCost(t *testing.T) {
	skipUnlessMeasuring(t)
	with := Start(t, Options{Aggregators: 3, WithoutFailpoints: true, QuotasJSON: highQuotasJSON, ContractsJSON: `{"version": 1, "strict": ["*"], "tenants": [{"tenant": "acme", "zones": ["a", "b"]}]}`, Backends: 12, ServiceTime: time.Millisecond})
	without := Start(t, Options{Aggregators: 3, WithoutFailpoints: true, NoFleet: true, Backends: 12, ServiceTime: time.Millisecond})
	with.awaitGranter()
	with.Await("acme is served", func() bool { return with.isServed(with.Aggregators[0], "acme") })
	idleCPU := func(c *Cluster) float64 {
		before := c.Aggregators[0].cpuSeconds()
		time.Sleep(5 * time.Second)
		return (c.Aggregators[0].cpuSeconds() - before) / 5
	}
	idleWith, idleWithout := idleCPU(with), idleCPU(without)
	runQueries := func(c *Cluster, n int) (cpu, took float64) {
		before, began := c.Aggregators[0].cpuSeconds(), time.Now()
		var waitGroup sync.WaitGroup
		for client := range 4 {
			waitGroup.Go(func() {
				for i := range n / 4 {
					c.Query(c.Aggregators[0], "acme", "reads", (client+3*i)%12, (client+3*i+4)%12)
				}
			})
		}
		waitGroup.Wait()
		took = time.Since(began).Seconds()
		return c.Aggregators[0].cpuSeconds() - before, took
	}
	var cpuWith, cpuWithout, secondsWith, secondsWithout float64
	for round := range 8 {
		roundCPUWith, roundSecondsWith := runQueries(with, 4000)
		roundCPUWithout, roundSecondsWithout := runQueries(without, 4000)
		if round > 0 { // the first warms up
			cpuWith, cpuWithout, secondsWith, secondsWithout = cpuWith+roundCPUWith-idleWith*roundSecondsWith, cpuWithout+roundCPUWithout-idleWithout*roundSecondsWithout, secondsWith+roundSecondsWith, secondsWithout+roundSecondsWithout
		}
	}
	t.Logf("CPU of a query: %.0f us without, %.0f with, %.3f; wall %.3f; at rest %.4f and %.4f of a core; memory %.1f and %.1f MB",
		cpuWithout/28000*1e6, cpuWith/28000*1e6, cpuWith/cpuWithout, secondsWith/secondsWithout, idleWithout, idleWith, without.Aggregators[0].memoryMB(), with.Aggregators[0].memoryMB())
}

// The traffic of an aggregator to others, by the fleet's size, with a tenant that uses its quota at all of them; how long a crash takes to be
// known, and who learns of a slow backend.
func TestMeasureTraffic(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, n := range []int{3, 9, 30} {
		c := Start(t, Options{Aggregators: n, WithoutFailpoints: true, Voters: min(n, 5),
			QuotasJSON: `{"version": 1, "tenants": [{"tenant": "acme", "per_s": 60, "burst": 90}]}`})
		c.awaitGranter()
		stop := c.StartLoad(120, "acme", "reads", c.RoundRobin)
		time.Sleep(2 * time.Second)
		sent, cpu := make([]float64, n), make([]float64, n)
		for i, aggregator := range c.Aggregators {
			sent[i], cpu[i] = aggregator.Counter("fleet_bytes.sent"), aggregator.cpuSeconds()
		}
		from := time.Now()
		time.Sleep(10 * time.Second)
		maximum, sum := 0.0, 0.0
		for i, aggregator := range c.Aggregators {
			bytesPerSecond := (aggregator.Counter("fleet_bytes.sent") - sent[i]) / time.Since(from).Seconds()
			maximum, sum = max(maximum, bytesPerSecond), sum+bytesPerSecond
		}
		rate := c.Checker.AdmittedRate("acme", "", from, time.Now())
		stop()
		victim := c.Aggregators[n-1]
		if c.Leader() == victim {
			victim = c.Aggregators[n-2]
		}
		victim.Kill()
		killed := time.Now()
		c.Await("all know", func() bool {
			for _, aggregator := range c.Aggregators {
				if aggregator == victim {
					continue
				}
				status := aggregator.FleetStatus()
				if status == nil {
					return false
				}
				for _, member := range status["members"].([]any) {
					if x := member.(map[string]any); x["mixer"] == victim.Name && x["status"] != "dead" {
						return false
					}
				}
			}
			return true
		})
		t.Logf("%d aggregators: %.0f bytes a second each, %.0f at the granter; %.1f of %.0f a second admitted; a crash known everywhere after %.1f s", n, sum/float64(n), maximum, rate, quotaPerSecond, time.Since(killed).Seconds())
		c.CheckQuota("acme", quotaPerSecond, quotaBurst)
		victim.Start()
	}
}

// How much of a quota is used by where a tenant's queries come: spread, at one aggregator, and in the first seconds at another.
func TestMeasureSkew(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, n := range []int{3, 9} {
		c := Start(t, Options{Aggregators: n, WithoutFailpoints: true, Voters: min(n, 5),
			QuotasJSON: `{"version": 1, "tenants": [{"tenant": "acme", "per_s": 60, "burst": 90}]}`})
		c.awaitGranter()
		measureUse := func(distribution string, skip, seconds int, pick func(int) *Aggregator) {
			stop := c.StartLoad(120, "acme", "reads", pick)
			time.Sleep(time.Duration(skip) * time.Second)
			from := time.Now()
			time.Sleep(time.Duration(seconds) * time.Second)
			t.Logf("%d aggregators, %s: %.3f of the quota", n, distribution, c.Checker.AdmittedRate("acme", "", from, time.Now())/quotaPerSecond)
			stop()
		}
		measureUse("spread", 3, 10, c.RoundRobin)
		measureUse("at one", 3, 10, func(int) *Aggregator { return c.Aggregators[0] })
		measureUse("moved to another a second ago", 1, 10, func(int) *Aggregator { return c.Aggregators[1] })
		c.CheckQuota("acme", quotaPerSecond, quotaBurst)
	}
}

// How many slow queries a slow backend costs a fleet of nine, each aggregator with few queries, with judgements and without.
func TestMeasureSlowBackend(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, withoutFleet := range []bool{true, false, true, false} {
		c := Start(t, Options{Aggregators: 9, WithoutFailpoints: true, NoFleet: withoutFleet})
		if !withoutFleet {
			c.awaitGranter()
		}
		for _, aggregator := range c.Aggregators {
			c.delayBackends(aggregator, 300*time.Millisecond, 1)
		}
		stop := c.StartLoad(18, "cato", "reads", func(n int) *Aggregator { return c.Aggregators[n*5%9] })
		time.Sleep(20 * time.Second)
		stop()
		slow, calls := 0, c.Backends[1].Calls()
		c.Checker.mu.Lock()
		for _, record := range c.Checker.queries {
			if record.ended.Sub(record.sent) > 100*time.Millisecond {
				slow++
			}
		}
		n := len(c.Checker.queries)
		c.Checker.mu.Unlock()
		t.Logf("judgements %t: %d of %d queries over 100 ms, %d subqueries at the slow backend", !withoutFleet, slow, n, calls)
		for _, aggregator := range c.Aggregators {
			aggregator.Signal(syscall.SIGKILL)
		}
	}
}
