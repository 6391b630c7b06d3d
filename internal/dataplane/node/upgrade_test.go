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

// shape is one of two shapes of a deployment: its site, the aggregators that run in it, and the clients before those.
type layout struct {
	site  fakes.Site
	nodes []*Node
	load  *fakes.Load
	tally fakes.Tally
	satisfiedAlone float64 // share satisfied while the other shape was asked for nothing
}

// satisfied is the share of what was asked since the tally was last cleared.
func (s *layout) satisfied() float64 { return float64(s.tally.Satisfied) / float64(s.tally.Sent) }

// During a move aggregators of the old shape (shards on two neighbouring cells, a call for each subquery, whole answers) and of the
// new one (sets, calls that subqueries share, answers in subquery, subqueries that a fingerprint guards) run before the same backends.
// With more asked of these than they can do, one of them killed and back cold, two that hang and are killed, and one drained,
// the rules hold for both kinds, and neither gets less than a third of what it got alone just before. Seen to fail where draining
// backends count as ready, where once-only subqueries go again, where fingerprinted ones go again after their window, and where
// the aggregators of one shape turn all away.
func TestOldAndNewLayoutShareBackendsDuringAMigration(t *testing.T) {
	const cells, service = 6, 50 * time.Millisecond
	index := func(name, effect string, value, minimum float64) fakes.Index {
		return fakes.Index{Name: name, Effect: effect, Soft: 1, Hard: 3, Value: value, Minimum: minimum, DedupS: 0.05}
	}
	registry, err := fakes.NewRegister()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(registry.Close)
	layouts := map[string]*layout{
		"old": {site: fakes.Site{Zones: []string{"a", "b"}, Cells: cells, Width: 2, Shards: 2 * cells, Aggregators: 4, SlowStartS: 2,
			Indexes: []fakes.Index{index("reads", "repeatable", 1, 0), index("orders", "once", 3, 0)}}},
		"new": {site: fakes.Site{Zones: []string{"a", "b"}, Cells: cells, Width: 1, Shards: 2 * cells, Aggregators: 4, SlowStartS: 2, CallSubqueries: 8, CallCostS: 0.002,
			Indexes: []fakes.Index{index("maps", "repeatable", 5, 0.7), index("notes", "by_key", 1, 0)}}},
	}
	var backends []*fakes.Backend
	for i := range 2 * cells { // each cell in both locations, so that either shape has two holders at the least
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
		// 12 backends with two slots of 50 ms do 480 subqueries a second: each shape asks for 220, and for a while a fourth of them is gone.
		l.load = &fakes.Load{Aggregators: aggregators, Site: l.site, PerS: 50, Mixes: mixes, Retries: 1, Backoff: 50 * time.Millisecond}
	}
	collectLoad := func() {
		for _, l := range layouts {
			l.tally.Add(l.load.Take())
		}
	}
	stop := func(name string, l *layout) {
		l.load.Stop()
		l.tally.Add(l.load.Take())
		checkEachQueryAnswered(t, l.tally)
		t.Logf("%s: %+v", name, l.tally)
	}
	for name, l := range layouts {
		l.load.Run(t.Context())
		for deadline := time.Now().Add(waitTimeout); l.load.Answered() < 150; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: %d of 150 lookups answered while it is alone", name, l.load.Answered())
			}
		}
		stop(name, l)
		l.satisfiedAlone, l.tally = l.satisfied(), fakes.Tally{}
	}
	for _, l := range layouts {
		l.load.Run(t.Context())
	}
	waitForSatisfied := func(each int64) {
		t.Helper()
		collectLoad()
		old, fresh := layouts["old"].tally.Satisfied+each, layouts["new"].tally.Satisfied+each
		for deadline := time.Now().Add(waitTimeout); layouts["old"].tally.Satisfied < old || layouts["new"].tally.Satisfied < fresh; time.Sleep(10 * time.Millisecond) {
			if collectLoad(); time.Now().After(deadline) {
				t.Fatalf("one starves: old %+v, new %+v", layouts["old"].tally, layouts["new"].tally)
			}
		}
	}
	waitForSatisfied(100)
	for _, i := range []int{0, 10} { // they take subqueries, answer probes, and are killed with what they hold
		backends[i].SetService(4 * time.Second)
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
	waitForSatisfied(60) // by now all have heard
	callsBefore := drained.Calls()
	waitForSatisfied(100)
	if more := drained.Calls() - callsBefore; more > 0 {
		t.Errorf("%d part calls went to a searcher that drains", more)
	}
	for name, l := range layouts {
		stop(name, l)
	}
	for name, l := range layouts {
		for _, n := range l.nodes {
			n.Stop()
		}
		if share := l.satisfied(); share < l.satisfiedAlone/3 {
			t.Errorf("%s is starved: %.2f satisfied beside the other shape, expected a third of %.2f, its share alone", name, share, l.satisfiedAlone)
		}
	}
	first, last := map[string]time.Time{}, map[string]time.Time{}
	for _, s := range backends {
		s.Arrivals(func(id string, from, to time.Time) {
			if was, seen := first[id]; !seen || from.Before(was) {
				first[id] = from
			}
			if to.After(last[id]) {
				last[id] = to
			}
		})
	}
	// A fingerprinted subquery goes again only within its window, which begins as it is first sent; the rest is a busy machine's.
	// A client's own retry is another query, but these come only where nothing may have run, so no part of them was sent.
	var gaps []time.Duration
	for id, from := range first {
		if strings.HasPrefix(id, "notes-") && last[id].After(from) {
			gaps = append(gaps, last[id].Sub(from))
		}
	}
	slices.Sort(gaps)
	t.Logf("fingerprinted parts came again after %v", gaps)
	if n := len(gaps); n > 0 && gaps[n-1] > 200*time.Millisecond {
		t.Errorf("a fingerprinted part came again %v after it first did, expected at most 50 ms and a busy machine's 150", gaps[n-1])
	}
	checkOnceOnlySubqueries(t, backends)
}
