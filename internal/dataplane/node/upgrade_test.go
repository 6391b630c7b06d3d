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
type shape struct {
	site  fakes.Site
	nodes []*Node
	load  *fakes.Load
	tally fakes.Tally
	alone float64 // share satisfied while the other shape was asked for nothing
}

// satisfied is the share of what was asked since the tally was last cleared.
func (s *shape) satisfied() float64 { return float64(s.tally.Satisfied) / float64(s.tally.Sent) }

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
	register, err := fakes.NewRegister()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(register.Close)
	shapes := map[string]*shape{
		"old": {site: fakes.Site{Zones: []string{"a", "b"}, Cells: cells, Width: 2, Shards: 2 * cells, Aggregators: 4, SlowStartS: 2,
			Indexes: []fakes.Index{index("reads", "repeatable", 1, 0), index("orders", "once", 3, 0)}}},
		"new": {site: fakes.Site{Zones: []string{"a", "b"}, Cells: cells, Width: 1, Shards: 2 * cells, Aggregators: 4, SlowStartS: 2, CallSubqueries: 8, CallCostS: 0.002,
			Indexes: []fakes.Index{index("maps", "repeatable", 5, 0.7), index("notes", "by_key", 1, 0)}}},
	}
	var fleet []*fakes.Backend
	for i := range 2 * cells { // each cell in both locations, so that either shape has two holders at the least
		s, err := fakes.NewBackend(fmt.Sprintf("s-%d", i), []string{"a", "b"}[i%2], i/2, 2, service)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Kill)
		fleet = append(fleet, s)
		register.Set(s.Entry("SERVING", true))
	}
	for name, sh := range shapes {
		var aggregators []string
		for i := range 2 {
			listen, err := fakes.FreeAddress()
			if err != nil {
				t.Fatal(err)
			}
			n, err := StartText(t.Context(), sh.site.Config(fmt.Sprintf("%s-%d", name, i), listen, register, i), operatorfile.Defaults(), zap.NewNop(), counters.New())
			if err != nil {
				t.Fatal(err)
			}
			aggregators, sh.nodes = append(aggregators, listen), append(sh.nodes, n)
		}
		var mixes []fakes.Mix
		for i, x := range sh.site.Indexes {
			mixes = append(mixes, fakes.Mix{Index: x.Name, Share: []float64{0.6, 0.4}[i], Subqueries: []int{6, 2}[i], Deadline: 3 * time.Second})
		}
		// 12 backends with two slots of 50 ms do 480 subqueries a second: each shape asks for 220, and for a while a fourth of them is gone.
		sh.load = &fakes.Load{Aggregators: aggregators, Site: sh.site, PerS: 50, Mixes: mixes, Retries: 1, Backoff: 50 * time.Millisecond}
	}
	take := func() {
		for _, sh := range shapes {
			sh.tally.Add(sh.load.Take())
		}
	}
	stop := func(name string, sh *shape) {
		sh.load.Stop()
		sh.tally.Add(sh.load.Take())
		eachAnswered(t, sh.tally)
		t.Logf("%s: %+v", name, sh.tally)
	}
	for name, sh := range shapes {
		sh.load.Run(t.Context())
		for late := time.Now().Add(patience); sh.load.Answered() < 150; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(late) {
				t.Fatalf("%s: %d of 150 lookups answered while it is alone", name, sh.load.Answered())
			}
		}
		stop(name, sh)
		sh.alone, sh.tally = sh.satisfied(), fakes.Tally{}
	}
	for _, sh := range shapes {
		sh.load.Run(t.Context())
	}
	answered := func(each int64) {
		t.Helper()
		take()
		old, fresh := shapes["old"].tally.Satisfied+each, shapes["new"].tally.Satisfied+each
		for late := time.Now().Add(patience); shapes["old"].tally.Satisfied < old || shapes["new"].tally.Satisfied < fresh; time.Sleep(10 * time.Millisecond) {
			if take(); time.Now().After(late) {
				t.Fatalf("one starves: old %+v, new %+v", shapes["old"].tally, shapes["new"].tally)
			}
		}
	}
	answered(100)
	for _, i := range []int{0, 10} { // they take subqueries, answer probes, and are killed with what they hold
		fleet[i].SetService(4 * time.Second)
	}
	answered(100)
	for _, i := range []int{0, 3, 10} {
		fleet[i].Kill()
	}
	answered(60)
	if err := fleet[3].Start(); err != nil {
		t.Fatal(err)
	}
	register.Set(fleet[3].Entry("SERVING", false))
	drained := fleet[8]
	register.SetState(drained.Name, "DRAINING")
	answered(60) // by now all have heard
	was := drained.Calls()
	answered(100)
	if more := drained.Calls() - was; more > 0 {
		t.Errorf("%d part calls went to a searcher that drains", more)
	}
	for name, sh := range shapes {
		stop(name, sh)
	}
	for name, sh := range shapes {
		for _, n := range sh.nodes {
			n.Stop()
		}
		if share := sh.satisfied(); share < sh.alone/3 {
			t.Errorf("%s is starved: %.2f satisfied beside the other shape, expected a third of %.2f, its share alone", name, share, sh.alone)
		}
	}
	first, last := map[string]time.Time{}, map[string]time.Time{}
	for _, s := range fleet {
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
	executedOnce(t, fleet)
}
