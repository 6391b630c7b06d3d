package fleettest

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/outlier"
)

// delayBackends delays the calls of one aggregator to the given backends.
func (c *Cluster) delayBackends(aggregator *Aggregator, delay time.Duration, backends ...int) {
	for _, i := range backends {
		aggregator.backendRelays[i].SetFault(Fault{Delay: delay})
	}
}

// outlierReports returns the outlier reports of peers from the fleet status of an aggregator.
func outlierReports(status map[string]any) (reports []outlier.Summary) {
	text, _ := json.Marshal(status["reports"])
	json.Unmarshal(text, &reports)
	return reports
}

// recentCallWindow is how long the test counts an aggregator as a witness of a backend after its last report of calls. It is shorter
// than 10 s, the time constant with which aggregators decay the number of calls that they observed.
const recentCallWindow = 5 * time.Second

// TestSlowBackendIsDetectedFromPeerReports checks that an aggregator without queries detects a slow backend from the reports of two
// other aggregators, and avoids it. A report of only one aggregator must not count: an unhealthy aggregator, to which half of all
// backends are slow, must not change the verdicts of others.
func TestSlowBackendIsDetectedFromPeerReports(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 5})
	c.awaitGranter()
	// Aggregators 1 and 4 are the witnesses. They query shards 0 and 1, which s-1 in their zone holds, twice as often as shards 3 and
	// 4, which s-4 holds, so s-1 is the backend that both call most. The unhealthy aggregator 3 queries other shards.
	stopWitnesses := c.StartLoad(60, "cato", "reads", func(n int) *Aggregator {
		if n%3 != 0 {
			return nil
		}
		return []*Aggregator{c.Aggregators[1], c.Aggregators[1], c.Aggregators[1], nil, c.Aggregators[4], c.Aggregators[4], c.Aggregators[4], nil}[n/3%8]
	})
	stopUnhealthy := c.StartLoad(60, "cato", "reads", func(n int) *Aggregator {
		if n%3 != 2 {
			return nil
		}
		return c.Aggregators[3]
	})
	stop := func() { stopWitnesses(); stopUnhealthy() }
	judged := func(aggregator *Aggregator) string {
		var status map[string]any
		c.Await(aggregator.Name+" reports its verdicts", func() bool { status = aggregator.FleetStatus(); return status != nil })
		return strings.TrimSpace(fmt.Sprint(status["judged"]))
	}
	// readReports reads the reports that aggregator 2 has received. It returns the backends that only the unhealthy aggregator has
	// reported for the duration of a verdict, and whether both witnesses have recently called s-1 without finding it slow.
	othersBlamed, calledWithoutFault := map[outlier.Backend]time.Time{}, map[string]time.Time{}
	readReports := func() (status map[string]any, onlyUnhealthyBlames []outlier.Backend, healthyCalled bool) {
		if status = c.Aggregators[2].FleetStatus(); status == nil {
			return nil, nil, false
		}
		var unhealthy []outlier.Backend
		for _, report := range outlierReports(status) {
			if report.Origin == "m3" {
				unhealthy = report.Bad
				continue
			}
			for _, name := range report.Bad {
				othersBlamed[name] = time.Now()
			}
			if len(report.Bad) == 0 && report.Worst.Backend == "s-1" && report.Worst.Calls >= 10 { // a report without bad backends names the backend called most
				calledWithoutFault[string(report.Origin)] = time.Now()
			}
		}
		for _, name := range unhealthy {
			if time.Since(othersBlamed[name]).Seconds() > outlier.VerdictSeconds {
				onlyUnhealthyBlames = append(onlyUnhealthyBlames, name)
			}
		}
		return status, onlyUnhealthyBlames, time.Since(calledWithoutFault["m1"]) < recentCallWindow && time.Since(calledWithoutFault["m4"]) < recentCallWindow
	}
	c.Await("both witnesses call s-1 and report no slow backend", func() bool { _, _, healthyCalled := readReports(); return healthyCalled })
	c.delayBackends(c.Aggregators[3], 300*time.Millisecond, 0, 1, 4) // half of all backends are slow to the unhealthy aggregator
	// firstBlamed is when a backend was first reported by the unhealthy aggregator only. The check lasts 2 s from
	// then on, because a verdict would follow within a second.
	var firstBlamed time.Time
	c.Await("only the unhealthy aggregator reports a slow backend", func() bool {
		status, onlyUnhealthyBlames, healthyCalled := readReports()
		for _, name := range onlyUnhealthyBlames {
			if firstBlamed.IsZero() {
				firstBlamed = time.Now()
			}
			if strings.Contains(fmt.Sprint(status["judged"]), string(name)) {
				t.Errorf("the report of one unhealthy aggregator led to a verdict: %s", status["judged"])
			}
		}
		return healthyCalled && len(onlyUnhealthyBlames) > 0 && time.Since(firstBlamed) > 2*time.Second
	})
	for _, i := range []int{1, 2, 4} { // aggregators 1 and 4 have queries and are in the zone of s-1
		c.delayBackends(c.Aggregators[i], 200*time.Millisecond, 1)
	}
	began := time.Now()
	c.Await("the aggregator without queries has a verdict on s-1", func() bool { return strings.Contains(judged(c.Aggregators[2]), "s-1") })
	t.Logf("an aggregator without queries detected the slow backend after %.1f s", time.Since(began).Seconds())
	stop()
	before := c.Backends[1].Calls()
	for range 20 {
		c.Query(c.Aggregators[2], "cato", "reads", 0) // held by s-0 and s-1, neither of them in the zone of aggregator 2
	}
	calls := c.Backends[1].Calls() - before
	if t.Logf("%d of the first 20 queries of a shard on the slow backend go to it", calls); calls > 0 {
		t.Errorf("%d of 20 queries go to the backend that peers reported as slow", calls)
	}
	if strings.Contains(judged(c.Aggregators[2]), "s-0") {
		t.Error("the report of the unhealthy aggregator led to a verdict on s-0")
	}
	c.CheckInvariants()
}
