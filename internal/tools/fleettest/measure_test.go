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
func requireMeasuring(t *testing.T) {
	if os.Getenv("PUFFINLINK_MEASURE") == "" {
		t.Skip("PUFFINLINK_MEASURE is not set")
	}
}

// cpuSeconds is what a process has used, in seconds.
func (m *Aggregator) cpuSeconds() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.cmd.Process.Pid))
	m.cluster.must(err)
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+2:])
	user, _ := strconv.ParseFloat(string(fields[11]), 64)
	system, _ := strconv.ParseFloat(string(fields[12]), 64)
	return (user + system) / 100
}

// memoryMB is what it has resident, in MB.
func (m *Aggregator) memoryMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
	m.cluster.must(err)
	pages, _ := strconv.ParseFloat(string(bytes.Fields(text)[1]), 64)
	return pages * 4096 / (1 << 20)
}

const wideQuotas = `{"version": 1, "tenants": [{"tenant": "acme", "per_s": 1e6, "burst": 1e6, "floor_share": 0.1}, {"tenant": "cato", "per_s": 1e6, "burst": 1e6}]}`

// The cost of a query with and without a fleet, by turns in one run, one aggregator of three asked by four clients one after the
// other; what the fleet itself costs at rest is subtracted and logged separately.
func TestMeasureCost(t *testing.T) {
	requireMeasuring(t)
	with := Start(t, Options{Aggregators: 3, WithoutFailpoints: true, Quotas: wideQuotas, Contracts: `{"version": 1, "strict": ["*"], "tenants": [{"tenant": "acme", "zones": ["a", "b"]}]}`, Backends: 12, Service: time.Millisecond})
	without := Start(t, Options{Aggregators: 3, WithoutFailpoints: true, NoFleet: true, Backends: 12, Service: time.Millisecond})
	with.awaitGranter()
	with.Await("acme is served", func() bool { return with.isServed(with.Aggregators[0], "acme") })
	idleCPU := func(c *Cluster) float64 {
		was := c.Aggregators[0].cpuSeconds()
		time.Sleep(5 * time.Second)
		return (c.Aggregators[0].cpuSeconds() - was) / 5
	}
	idleWith, idleWithout := idleCPU(with), idleCPU(without)
	play := func(c *Cluster, n int) (cpu, took float64) {
		was, began := c.Aggregators[0].cpuSeconds(), time.Now()
		var all sync.WaitGroup
		for client := range 4 {
			all.Go(func() {
				for i := range n / 4 {
					c.Query(c.Aggregators[0], "acme", "reads", (client+3*i)%12, (client+3*i+4)%12)
				}
			})
		}
		all.Wait()
		took = time.Since(began).Seconds()
		return c.Aggregators[0].cpuSeconds() - was, took
	}
	var on, off, onTook, offTook float64
	for round := range 8 {
		a, at := play(with, 4000)
		b, bt := play(without, 4000)
		if round > 0 { // the first warms up
			on, off, onTook, offTook = on+a-idleWith*at, off+b-idleWithout*bt, onTook+at, offTook+bt
		}
	}
	t.Logf("CPU of a query: %.0f us without, %.0f with, %.3f; wall %.3f; at rest %.4f and %.4f of a core; memory %.1f and %.1f MB",
		off/28000*1e6, on/28000*1e6, on/off, onTook/offTook, idleWithout, idleWith, without.Aggregators[0].memoryMB(), with.Aggregators[0].memoryMB())
}

// The traffic of an aggregator to others, by the fleet's size, with a tenant that uses its quota at all of them; how long a crash takes to be
// known, and who learns of a slow backend.
func TestMeasureTraffic(t *testing.T) {
	requireMeasuring(t)
	for _, n := range []int{3, 9, 30} {
		c := Start(t, Options{Aggregators: n, WithoutFailpoints: true, Voters: min(n, 5),
			Quotas: `{"version": 1, "tenants": [{"tenant": "acme", "per_s": 60, "burst": 90}]}`})
		c.awaitGranter()
		stop := c.Load(120, "acme", "reads", c.RoundRobin)
		time.Sleep(2 * time.Second)
		sent, cpu := make([]float64, n), make([]float64, n)
		for i, m := range c.Aggregators {
			sent[i], cpu[i] = m.Counter("fleet_bytes.sent"), m.cpuSeconds()
		}
		from := time.Now()
		time.Sleep(10 * time.Second)
		most, sum := 0.0, 0.0
		for i, m := range c.Aggregators {
			b := (m.Counter("fleet_bytes.sent") - sent[i]) / time.Since(from).Seconds()
			most, sum = max(most, b), sum+b
		}
		rate := c.Checker.Rate("acme", "", from, time.Now())
		stop()
		victim := c.Aggregators[n-1]
		if c.Leader() == victim {
			victim = c.Aggregators[n-2]
		}
		victim.Kill()
		killed := time.Now()
		c.Await("all know", func() bool {
			for _, m := range c.Aggregators {
				if m == victim {
					continue
				}
				s := m.FleetStatus()
				if s == nil {
					return false
				}
				for _, x := range s["members"].([]any) {
					if x := x.(map[string]any); x["mixer"] == victim.Name && x["status"] != "dead" {
						return false
					}
				}
			}
			return true
		})
		t.Logf("%d aggregators: %.0f bytes a second each, %.0f at the granter; %.1f of %.0f a second admitted; a crash known everywhere after %.1f s", n, sum/float64(n), most, rate, quotaRate, time.Since(killed).Seconds())
		c.CheckQuota("acme", quotaRate, quotaBurst)
		victim.Start()
	}
}

// How much of a quota is used by where a tenant's queries come: spread, at one aggregator, and in the first seconds at another.
func TestMeasureSkew(t *testing.T) {
	requireMeasuring(t)
	for _, n := range []int{3, 9} {
		c := Start(t, Options{Aggregators: n, WithoutFailpoints: true, Voters: min(n, 5),
			Quotas: `{"version": 1, "tenants": [{"tenant": "acme", "per_s": 60, "burst": 90}]}`})
		c.awaitGranter()
		play := func(what string, skip, seconds int, pick func(int) *Aggregator) {
			stop := c.Load(120, "acme", "reads", pick)
			time.Sleep(time.Duration(skip) * time.Second)
			from := time.Now()
			time.Sleep(time.Duration(seconds) * time.Second)
			t.Logf("%d aggregators, %s: %.3f of the quota", n, what, c.Checker.Rate("acme", "", from, time.Now())/quotaRate)
			stop()
		}
		play("spread", 3, 10, c.RoundRobin)
		play("at one", 3, 10, func(int) *Aggregator { return c.Aggregators[0] })
		play("moved to another a second ago", 1, 10, func(int) *Aggregator { return c.Aggregators[1] })
		c.CheckQuota("acme", quotaRate, quotaBurst)
	}
}

// How many slow queries a slow backend costs a fleet of nine, each aggregator with few queries, with judgements and without.
func TestMeasureSlowBackend(t *testing.T) {
	requireMeasuring(t)
	for _, alone := range []bool{true, false, true, false} {
		c := Start(t, Options{Aggregators: 9, WithoutFailpoints: true, NoFleet: alone})
		if !alone {
			c.awaitGranter()
		}
		for _, m := range c.Aggregators {
			c.slowBackends(m, 300*time.Millisecond, 1)
		}
		stop := c.Load(18, "cato", "reads", func(n int) *Aggregator { return c.Aggregators[n*5%9] })
		time.Sleep(20 * time.Second)
		stop()
		slow, calls := 0, c.Backends[1].Calls()
		c.Checker.mu.Lock()
		for _, l := range c.Checker.queries {
			if l.ended.Sub(l.sent) > 100*time.Millisecond {
				slow++
			}
		}
		n := len(c.Checker.queries)
		c.Checker.mu.Unlock()
		t.Logf("judgements %t: %d of %d queries over 100 ms, %d subqueries at the slow backend", !alone, slow, n, calls)
		for _, m := range c.Aggregators {
			m.Signal(syscall.SIGKILL)
		}
	}
}
