package fleettest

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// restartTimeout is the time within which 90% of the aggregators must serve again after a mass restart.
const restartTimeout = 6 * time.Second

// TestNinetyPercentServeSoonAfterMassRestart kills and restarts all aggregators under load. 90% of them must serve again within
// restartTimeout, even if the discovery service is unreachable, and the invariants must hold.
func TestNinetyPercentServeSoonAfterMassRestart(t *testing.T) {
	t.Parallel()
	for name, reachable := range map[string]bool{"discovery reachable": true, "discovery unreachable": false} {
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
				t.Errorf("90%% of the aggregators serve again after %s, expected %s at most", ninetieth, restartTimeout)
			}
			c.CheckInvariants(c.Aggregators...)
		})
	}
}

// restartAll starts all processes at once and returns the times until each of them served, in ascending order.
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
