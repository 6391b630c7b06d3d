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

// skipUnlessMeasuring skips a test that measures the figures of docs/results.md, unless PUFFINLINK_MEASURE is set. Such a test needs
// an otherwise idle machine.
func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv("PUFFINLINK_MEASURE") == "" {
		t.Skip("PUFFINLINK_MEASURE is not set")
	}
}

// cpuSeconds returns the CPU time that the process has used, in seconds.
func (a *Aggregator) cpuSeconds() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", a.command.Process.Pid))
	a.cluster.must(err)
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+2:])
	user, _ := strconv.ParseFloat(string(fields[11]), 64)
	system, _ := strconv.ParseFloat(string(fields[12]), 64)
	return (user + system) / 100
}

// memoryMB returns the resident memory of the process, in MB.
func (a *Aggregator) memoryMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", a.command.Process.Pid))
	a.cluster.must(err)
	pages, _ := strconv.ParseFloat(string(bytes.Fields(text)[1]), 64)
	return pages * 4096 / (1 << 20)
}

// highQuotasJSON holds quotas that the measured load never reaches.
const highQuotasJSON = `{"version": 1, "tenants": [{"tenant": "acme", "per_s": 1e6, "burst": 1e6, "floor_share": 0.1}, {"tenant": "cato", "per_s": 1e6, "burst": 1e6}]}`

// TestMeasureCost measures the CPU time of a query with and without a fleet, in alternating rounds. Four clients send their queries
// one after the other to one of three aggregators. The CPU time of the idle process is subtracted and logged separately.
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
		if round > 0 { // the first round is a warm-up
			cpuWith, cpuWithout, secondsWith, secondsWithout = cpuWith+roundCPUWith-idleWith*roundSecondsWith, cpuWithout+roundCPUWithout-idleWithout*roundSecondsWithout, secondsWith+roundSecondsWith, secondsWithout+roundSecondsWithout
		}
	}
	t.Logf("CPU time of a query: %.0f us without a fleet, %.0f us with one, ratio %.3f; ratio of elapsed time %.3f; idle %.4f and %.4f of a core; memory %.1f and %.1f MB",
		cpuWithout/28000*1e6, cpuWith/28000*1e6, cpuWith/cpuWithout, secondsWith/secondsWithout, idleWithout, idleWith, without.Aggregators[0].memoryMB(), with.Aggregators[0].memoryMB())
}

// TestMeasureTraffic measures the traffic between aggregators for several fleet sizes, while a tenant uses its quota at all of them.
// It also measures how long it takes until all other aggregators know that one has crashed.
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
		c.Await("all other aggregators know of the crash", func() bool {
			for _, aggregator := range c.Aggregators {
				if aggregator == victim {
					continue
				}
				status := aggregator.FleetStatus()
				if status == nil {
					return false
				}
				for _, member := range status["members"].([]any) {
					if fields := member.(map[string]any); fields["mixer"] == victim.Name && fields["status"] != "dead" {
						return false
					}
				}
			}
			return true
		})
		t.Logf("%d aggregators: %.0f bytes per second on average, %.0f at most; %.1f of %.0f queries per second admitted; a crash known to all after %.1f s", n, sum/float64(n), maximum, rate, quotaPerSecond, time.Since(killed).Seconds())
		c.CheckQuota("acme", quotaPerSecond, quotaBurst)
		victim.Start()
	}
}

// TestMeasureSkew measures the used share of a quota for three distributions of a tenant's queries: over all aggregators, at one
// aggregator, and at another aggregator from 1 s to 11 s after the queries moved there.
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
		measureUse("at all aggregators", 3, 10, c.RoundRobin)
		measureUse("at one aggregator", 3, 10, func(int) *Aggregator { return c.Aggregators[0] })
		measureUse("1 s after the move to another aggregator", 1, 10, func(int) *Aggregator { return c.Aggregators[1] })
		c.CheckQuota("acme", quotaPerSecond, quotaBurst)
	}
}

// TestMeasureSlowBackend measures how many queries a slow backend delays in a fleet of nine aggregators with few queries each. It
// compares a fleet, whose aggregators share verdicts on outliers, with aggregators that form no fleet.
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
		t.Logf("shared verdicts %t: %d of %d queries took over 100 ms, %d subqueries at the slow backend", !withoutFleet, slow, n, calls)
		for _, aggregator := range c.Aggregators {
			aggregator.Signal(syscall.SIGKILL)
		}
	}
}
