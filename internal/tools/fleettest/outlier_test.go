package fleettest

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/outlier"
)

// slowBackends delays the calls of one aggregator to some backends.
func (c *Cluster) delayBackends(aggregator *Aggregator, delay time.Duration, backends ...int) {
	for _, i := range backends {
		aggregator.backendRelays[i].SetFault(Fault{Delay: delay})
	}
}

// reportsIn are the reports that an aggregator shows to have received of others.
func outlierReports(status map[string]any) (reports []outlier.Summary) {
	text, _ := json.Marshal(status["reports"])
	json.Unmarshal(text, &reports)
	return reports
}

// recentCallWindow is for how long an aggregator that called a backend is a witness of it: calls seen fade over 10 s.
const recentCallWindow = 5 * time.Second

// A backend is slow, and two aggregators that have queries see it. A third that had none takes it for slow from their reports alone; one
// unhealthy aggregator, to which half of all backends are slow, is believed by nobody.
func TestSlowBackendIsDetectedFromPeerReports(t *testing.T) {
	t.Parallel()
	c := Start(t, Options{Aggregators: 5})
	c.awaitGranter()
	// Each of the two asks for shards 0 and 1, which s-1 in their zone holds, twice as often as for 3 and 4, which s-4 does; the unhealthy
	// one asks for others. So s-1 is the one that both call most.
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
		c.Await(aggregator.Name+" shows what it judges", func() bool { status = aggregator.FleetStatus(); return status != nil })
		return strings.TrimSpace(fmt.Sprint(status["judged"]))
	}
	// readReports reads what the third aggregator has received: whom the unhealthy one blames while no other has for as long as a judgement stands, and
	// whether both others have called s-1 of late without fault.
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
			if len(report.Bad) == 0 && report.Worst.Backend == "s-1" && report.Worst.Calls >= 10 { // without fault the one called most is named
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
	c.Await("two aggregators call the backend and find no fault", func() bool { _, _, healthyCalled := readReports(); return healthyCalled })
	c.delayBackends(c.Aggregators[3], 300*time.Millisecond, 0, 1, 4) // the unhealthy one, to which half of all backends are slow
	var firstBlamed time.Time                                        // that it alone found fault; what is received is judged within a second
	c.Await("the unhealthy aggregator alone finds fault", func() bool {
		status, onlyUnhealthyBlames, healthyCalled := readReports()
		for _, name := range onlyUnhealthyBlames {
			if firstBlamed.IsZero() {
				firstBlamed = time.Now()
			}
			if strings.Contains(fmt.Sprint(status["judged"]), string(name)) {
				t.Errorf("one unhealthy aggregator's report is believed: %s", status["judged"])
			}
		}
		return healthyCalled && len(onlyUnhealthyBlames) > 0 && time.Since(firstBlamed) > 2*time.Second
	})
	for _, i := range []int{1, 2, 4} { // s-1 stands in the zone of the first and the last of them, which have queries
		c.delayBackends(c.Aggregators[i], 200*time.Millisecond, 1)
	}
	began := time.Now()
	c.Await("the third has it from the two others", func() bool { return strings.Contains(judged(c.Aggregators[2]), "s-1") })
	t.Logf("a slow backend is known to an aggregator without queries after %.1f s", time.Since(began).Seconds())
	stop()
	before := c.Backends[1].Calls()
	for range 20 {
		c.Query(c.Aggregators[2], "cato", "reads", 0) // held by s-0 and s-1, both in other zones than the third aggregator's
	}
	calls := c.Backends[1].Calls() - before
	if t.Logf("of its first 20 queries of a shard that it holds %d go to it", calls); calls > 0 {
		t.Errorf("%d of 20 queries meet the backend that others called slow", calls)
	}
	if strings.Contains(judged(c.Aggregators[2]), "s-0") {
		t.Error("the unhealthy aggregator's report counts")
	}
	c.CheckInvariants()
}
