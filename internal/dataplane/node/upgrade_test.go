package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/fakes"
	"puffinlink.example/puffinlink/internal/operators/operatorfile"
)

// layout is one of the two layouts of a deployment, with its aggregators and its load.
type layout struct {
	site           fakes.Site
	nodes          []*Node
	load           *fakes.Load
	queryStats     fakes.QueryStats
	satisfiedAlone float64 // share of satisfied queries without load on the other layout
}

// satisfied returns the share of satisfied queries since queryStats was last reset.
func (s *layout) satisfied() float64 {
	return float64(s.queryStats.Satisfied) / float64(s.queryStats.Sent)
}

// During a migration, aggregators of the old and of the new layout use the same backends. In the old layout shards are on two neighboring
// cells, each subquery has its own call, and answers are complete. In the new layout shards are in sets, subqueries share calls,
// answers may be partial, and subqueries are deduplicated by fingerprint.
//
// The backends are overloaded. One is killed and restarts cold, two hang and are killed, and one drains. The rules must hold for both
// layouts, and each layout must get at least a third of the share that it got alone.
//
// The test fails if draining backends count as ready, if once-only subqueries are sent again, if fingerprinted subqueries are sent again
// after their window, and if the aggregators of one layout reject all queries.
func TestOldAndNewLayoutsShareBackendsDuringAMigration(t *testing.T) {
	const cells = 6
	const service = 50 * time.Millisecond // of one subquery
	index := func(name, effect string, value, minimum float64) fakes.Index {
		return fakes.Index{Name: name, Effect: effect, SoftDeadlineSeconds: 1, HardDeadlineSeconds: 3, Value: value, MinAnswerShare: minimum, DeduplicationSeconds: 0.05}
	}
	registry, err := fakes.NewRegistry()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(registry.Close)
	layouts := map[string]*layout{
		"old": {site: fakes.Site{Zones: []string{"a", "b"}, Cells: cells, CellsPerShard: 2, Shards: 2 * cells, Aggregators: 4, SlowStartSeconds: 2,
			Indexes: []fakes.Index{index("reads", "repeatable", 1, 0), index("orders", "once", 3, 0)}}},
		"new": {site: fakes.Site{Zones: []string{"a", "b"}, Cells: cells, CellsPerShard: 1, Shards: 2 * cells, Aggregators: 4, SlowStartSeconds: 2, SubqueriesPerCall: 8, CallCostSeconds: 0.002,
			Indexes: []fakes.Index{index("maps", "repeatable", 5, 0.7), index("notes", "by_key", 1, 0)}}},
	}
	var backends []*fakes.Backend
	for i := range 2 * cells { // each cell in both locations, so that each shard has at least two backends in either layout
		s, err := fakes.NewBackend(fmt.Sprintf("s-%d", i), []string{"a", "b"}[i%2], i/2, 2, service)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Kill)
		backends = append(backends, s)
		registry.Set(s.Entry("SERVING", true))
	}
	for name, l := range layouts {
		var aggregators []string
		for i := range 2 {
			listen, err := fakes.FreeAddress()
			if err != nil {
				t.Fatal(err)
			}
			n, err := StartText(t.Context(), l.site.Config(fmt.Sprintf("%s-%d", name, i), listen, registry, i), operatorfile.Defaults(), zap.NewNop(), counters.New())
			if err != nil {
				t.Fatal(err)
			}
			aggregators, l.nodes = append(aggregators, listen), append(l.nodes, n)
		}
		var mixes []fakes.Mix
		for i, x := range l.site.Indexes {
			mixes = append(mixes, fakes.Mix{Index: x.Name, Share: []float64{0.6, 0.4}[i], Subqueries: []int{6, 2}[i], Deadline: 3 * time.Second})
		}
		// 12 backends with two slots of 50 ms serve 480 subqueries a second. Each layout sends 220, and for some time a fourth of
		// the backends is down.
		l.load = &fakes.Load{Aggregators: aggregators, Site: l.site, QueriesPerSecond: 50, Mixes: mixes, Retries: 1, MinBackoff: 50 * time.Millisecond}
	}
	collectLoad := func() {
		for _, l := range layouts {
			l.queryStats.Add(l.load.TakeStats())
		}
	}
	stop := func(name string, l *layout) {
		l.load.Stop()
		l.queryStats.Add(l.load.TakeStats())
		checkEachQueryAnswered(t, l.queryStats)
		t.Logf("%s: %+v", name, l.queryStats)
	}
	for name, l := range layouts {
		l.load.Run(t.Context())
		for deadline := time.Now().Add(waitTimeout); l.load.FinishedQueries() < 150; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s layout: %d of 150 queries answered while it has the only load", name, l.load.FinishedQueries())
			}
		}
		stop(name, l)
		l.satisfiedAlone, l.queryStats = l.satisfied(), fakes.QueryStats{}
	}
	for _, l := range layouts {
		l.load.Run(t.Context())
	}
	// waitForSatisfied waits until each layout has the given number of further satisfied queries.
	waitForSatisfied := func(each int64) {
		t.Helper()
		collectLoad()
		oldTarget, newTarget := layouts["old"].queryStats.Satisfied+each, layouts["new"].queryStats.Satisfied+each
		for deadline := time.Now().Add(waitTimeout); layouts["old"].queryStats.Satisfied < oldTarget || layouts["new"].queryStats.Satisfied < newTarget; time.Sleep(10 * time.Millisecond) {
			if collectLoad(); time.Now().After(deadline) {
				t.Fatalf("timed out waiting for satisfied queries of both layouts: old %+v, new %+v", layouts["old"].queryStats, layouts["new"].queryStats)
			}
		}
	}
	waitForSatisfied(100)
	for _, i := range []int{0, 10} { // they accept subqueries, answer probes, and are killed with work in progress
		backends[i].SetServiceTime(4 * time.Second)
	}
	waitForSatisfied(100)
	for _, i := range []int{0, 3, 10} {
		backends[i].Kill()
	}
	waitForSatisfied(60)
	if err := backends[3].Start(); err != nil {
		t.Fatal(err)
	}
	registry.Set(backends[3].Entry("SERVING", false))
	drained := backends[8]
	registry.SetState(drained.Name, "DRAINING")
	waitForSatisfied(60) // by now all aggregators know of the drain
	callsBefore := drained.Calls()
	waitForSatisfied(100)
	if more := drained.Calls() - callsBefore; more > 0 {
		t.Errorf("the draining backend got %d calls", more)
	}
	for name, l := range layouts {
		stop(name, l)
	}
	for name, l := range layouts {
		for _, n := range l.nodes {
			n.Stop()
		}
		if share := l.satisfied(); share < l.satisfiedAlone/3 {
			t.Errorf("%s layout: %.2f of the queries satisfied beside the other layout, want at least a third of %.2f, its share alone", name, share, l.satisfiedAlone)
		}
	}
	first, last := map[string]time.Time{}, map[string]time.Time{}
	for _, s := range backends {
		s.EachArrival(func(id string, from, to time.Time) {
			if was, seen := first[id]; !seen || from.Before(was) {
				first[id] = from
			}
			if to.After(last[id]) {
				last[id] = to
			}
		})
	}
	// A fingerprinted subquery may be sent again only within its window of 50 ms, which starts when it is first sent. The check allows
	// 150 ms more for delays on a busy machine. A client's own retry is not counted: it follows only if nothing may have been executed,
	// so no subquery of the first query was sent.
	var gaps []time.Duration
	for id, from := range first {
		if strings.HasPrefix(id, "notes-") && last[id].After(from) {
			gaps = append(gaps, last[id].Sub(from))
		}
	}
	slices.Sort(gaps)
	t.Logf("fingerprinted subqueries arrived again after %v", gaps)
	if n := len(gaps); n > 0 && gaps[n-1] > 200*time.Millisecond {
		t.Errorf("a fingerprinted subquery arrived again %v after its first arrival, want at most 50 ms plus 150 ms for a busy machine", gaps[n-1])
	}
	checkOnceOnlySubqueries(t, backends)
}
