package fleettest

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// restartTimeout is the longest time that nine in ten aggregators may take until they serve again.
const restartTimeout = 6 * time.Second

// All aggregators are killed at once under load and restarted: nine in ten serve within the bound, also where no list can be had, and none breaks a rule.
func TestNinetyPercentServeSoonAfterMassRestart(t *testing.T) {
	t.Parallel()
	for name, reachable := range map[string]bool{"discovery in reach": true, "discovery out of reach": false} {
		t.Run(name, func(t *testing.T) {
			c := Start(t, Options{Aggregators: 10, NoFleet: true, WithoutFailpoints: true})
			stop := c.StartLoad(50, OrdersTenant, "orders", c.RoundRobin)
			c.Await("queries are answered", func() bool { return c.Checker.StatusCounts(OrdersTenant, "", time.Time{})[200] > 20 })
			for _, aggregator := range c.Aggregators {
				aggregator.Kill()
				if !reachable {
					aggregator.discovery.Close()
				}
			}
			times := c.restartAll()
			stop()
			t.Logf("serving again after %s", times)
			if ninetieth := times[len(times)*9/10-1]; ninetieth > restartTimeout {
				t.Errorf("nine in ten serve again after %s, expected %s at most", ninetieth, restartTimeout)
			}
			c.CheckInvariants(c.Aggregators...)
		})
	}
}

// restartAll starts all processes at once, and returns how long each took until it served, the shortest first.
func (c *Cluster) restartAll() (times []time.Duration) {
	began := time.Now()
	for _, aggregator := range c.Aggregators {
		aggregator.Start()
	}
	times = make([]time.Duration, len(c.Aggregators))
	var waitGroup sync.WaitGroup
	for i, aggregator := range c.Aggregators {
		waitGroup.Go(func() {
			for deadline := began.Add(Timeout); !aggregator.isServing() && time.Now().Before(deadline); {
				time.Sleep(5 * time.Millisecond)
			}
			times[i] = time.Since(began)
		})
	}
	waitGroup.Wait()
	slices.Sort(times)
	return times
}
