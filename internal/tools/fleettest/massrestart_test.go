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
func TestNineInTenServeSoonAfterMassRestart(t *testing.T) {
	t.Parallel()
	for name, reachable := range map[string]bool{"discovery in reach": true, "discovery out of reach": false} {
		t.Run(name, func(t *testing.T) {
			c := Start(t, Options{Aggregators: 10, NoFleet: true, WithoutFailpoints: true})
			stop := c.Load(50, OrdersTenant, "orders", c.RoundRobin)
			c.Await("queries are answered", func() bool { return c.Checker.StatusCounts(OrdersTenant, "", time.Time{})[200] > 20 })
			for _, m := range c.Aggregators {
				m.Kill()
				if !reachable {
					m.discovery.Close()
				}
			}
			took := c.restartAll()
			stop()
			t.Logf("serving again after %s", took)
			if most := took[len(took)*9/10-1]; most > restartTimeout {
				t.Errorf("nine in ten serve again after %s, expected %s at most", most, restartTimeout)
			}
			c.CheckInvariants(c.Aggregators...)
		})
	}
}

// restartAll starts all processes at once, and returns how long each took until it served, the shortest first.
func (c *Cluster) restartAll() (took []time.Duration) {
	began := time.Now()
	for _, m := range c.Aggregators {
		m.Start()
	}
	took = make([]time.Duration, len(c.Aggregators))
	var all sync.WaitGroup
	for i, m := range c.Aggregators {
		all.Go(func() {
			for late := began.Add(Timeout); !m.isServing() && time.Now().Before(late); {
				time.Sleep(5 * time.Millisecond)
			}
			took[i] = time.Since(began)
		})
	}
	all.Wait()
	slices.Sort(took)
	return took
}
