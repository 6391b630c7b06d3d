package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/fakes"
	"puffinlink.example/puffinlink/internal/operators/api"
	"puffinlink.example/puffinlink/internal/operators/operatorfile"
)

// waitTimeout limits the waits of the tests. A wait usually ends much sooner.
const waitTimeout = time.Minute

// measure makes the tests also compare measurements with their targets, which needs an otherwise idle machine. Without it, they
// check only behavior that holds on a busy machine too.
var measure = os.Getenv("PUFFINLINK_MEASURE") != ""

// cluster is a site on the loopback interface: a registry, backends, one aggregator with overrides, and a load generator.
type cluster struct {
	*testing.T
	site       fakes.Site
	registry   *fakes.Registry
	backends   []*fakes.Backend
	file       operatorfile.File
	listen     string
	node       *Node
	client     *api.Client
	load       *fakes.Load
	queryStats fakes.QueryStats
}

// newCluster starts a cluster whose backends take the given service time for a subquery. queriesPerSecond is the rate of the load; at 0
// the load is not started.
func newCluster(t *testing.T, queriesPerSecond float64, service time.Duration) *cluster {
	w := &cluster{T: t, site: fakes.Site{Zones: []string{"a", "b"}, Cells: 8, CellsPerShard: 2, Shards: 16, Aggregators: 1,
		Indexes: []fakes.Index{{Name: "reads", Effect: "repeatable", SoftDeadlineSeconds: 2, HardDeadlineSeconds: 8, Value: 1}, {Name: "orders", Effect: "once", SoftDeadlineSeconds: 2, HardDeadlineSeconds: 8, Value: 3}}}}
	var err error
	if w.registry, err = fakes.NewRegistry(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.registry.Close)
	for i := range 8 {
		s, err := fakes.NewBackend(fmt.Sprintf("s-%d", i), w.site.Zones[i/2%2], i, 8, service)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Kill)
		w.backends = append(w.backends, s)
		w.registry.Set(s.Entry("SERVING", true))
	}
	if w.listen, err = fakes.FreeAddress(); err != nil {
		t.Fatal(err)
	}
	w.file = operatorfile.Defaults()
	w.file.Overrides.On, w.file.Overrides.Directory = true, t.TempDir()
	w.file.Overrides.Limits.SlowStart = 2
	dir, err := os.MkdirTemp("", "pl") // the path of a Unix socket must be short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	w.file.Operators.Listen = "unix:" + filepath.Join(dir, "s")
	w.start()
	t.Cleanup(func() { w.node.Stop() })
	if w.client, err = api.NewClient(w.file.Operators.Listen, ""); err != nil {
		t.Fatal(err)
	}
	w.load = &fakes.Load{Aggregators: []string{w.listen}, Site: w.site, QueriesPerSecond: queriesPerSecond, Mixes: []fakes.Mix{
		{Index: "reads", Share: 0.9, Subqueries: 4, Deadline: 8 * time.Second}, {Index: "orders", Share: 0.1, Subqueries: 2, Deadline: 8 * time.Second}}}
	if queriesPerSecond > 0 {
		w.load.Run(w.Context())
	}
	return w
}

// start starts the aggregator.
func (w *cluster) start() {
	w.Helper()
	n, err := StartText(w.Context(), w.site.Config("n1", w.listen, w.registry, 0), w.file, zap.NewNop(), counters.New())
	if err != nil {
		w.Fatal(err)
	}
	w.node = n
}

// collectLoad returns the results of the load since the previous call, and adds them to queryStats.
func (w *cluster) collectLoad() fakes.QueryStats {
	t := w.load.TakeStats()
	w.queryStats.Add(t)
	return t
}

// waitUntil waits for a condition, and fails the test after waitTimeout.
func (w *cluster) waitUntil(description string, condition func() bool) {
	w.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.Fatalf("timed out waiting for: %s; load: %+v", description, w.collectLoad())
		}
	}
}

// calls returns the number of calls of all backends.
func (w *cluster) calls() (n int64) {
	for _, s := range w.backends {
		n += s.Calls()
	}
	return n
}

// waitForCalls waits until the backends have received count more calls.
func (w *cluster) waitForCalls(count int64) {
	w.Helper()
	before := w.calls()
	w.waitUntil("more calls", func() bool { return w.calls() >= before+count })
}

// overrides returns the aggregator's overrides and recoveries.
func (w *cluster) overrides() (v api.View) {
	w.Helper()
	for {
		err := w.client.Get(context.Background(), "/v1/overrides", &v)
		if e := (*api.Error)(nil); errors.As(err, &e) && e.Code == "rate" {
			time.Sleep(200 * time.Millisecond) // the limit of operators' requests is reached
			continue
		}
		if err != nil {
			w.Fatal(err)
		}
		return v
	}
}

// command sends an operator's command based on the current revision. An override without a duration lasts 3600 s.
func (w *cluster) command(c api.Command) api.Change {
	w.Helper()
	v := w.overrides()
	c.Revision, c.Author, c.Reason = &v.Revision, "ann", "slow"
	if c.DurationSeconds == 0 && c.Clear == 0 {
		c.DurationSeconds = 3600
	}
	change, err := w.client.Send(context.Background(), c)
	if err != nil {
		w.Fatal(err)
	}
	return change
}

// clear removes an override.
func (w *cluster) clear(id uint64) { w.command(api.Command{Clear: id}) }

// checkOutcome stops the load, and checks that each query had exactly one final answer and no once-only subquery ran twice.
func (w *cluster) checkOutcome() {
	w.Helper()
	w.load.Stop()
	w.collectLoad()
	checkEachQueryAnswered(w.T, w.queryStats)
	w.Logf("load: %+v; %d once-only subqueries executed", w.queryStats, checkOnceOnlySubqueries(w.T, w.backends))
}

// checkEachQueryAnswered checks that each query had exactly one final answer, and that some queries were satisfied.
func checkEachQueryAnswered(t *testing.T, a fakes.QueryStats) {
	t.Helper()
	if a.Lost > 0 || a.Sent != a.Satisfied+a.Nacked+a.Aborted || a.Satisfied == 0 {
		t.Fatalf("not every query had exactly one final answer: %+v", a)
	}
}

// checkOnceOnlySubqueries checks that no once-only subquery ran twice, and returns how many ran.
func checkOnceOnlySubqueries(t *testing.T, fleet []*fakes.Backend) int {
	t.Helper()
	executions := map[string]int64{}
	for _, s := range fleet {
		s.EachExecuted(func(id string, times int64) {
			if strings.HasPrefix(id, "orders-") {
				executions[id] += times
			}
		})
	}
	for id, n := range executions {
		if n > 1 {
			t.Errorf("once-only subquery %s ran %d times", id, n)
		}
	}
	return len(executions)
}

// restartAggregator restarts the aggregator at the same address, as a release does. The load is stopped meanwhile.
func (w *cluster) restartAggregator() {
	w.Helper()
	w.load.Stop()
	w.collectLoad()
	w.node.Stop()
	w.start()
	w.load.Run(w.Context())
}

// An excluded backend (override "out") gets no call, even after changes of the list, registry outages, and restarts of the backend and
// the aggregator.
func TestExclusionHoldsThroughRestartsAndFaults(t *testing.T) {
	w := newCluster(t, 150, 2*time.Millisecond)
	s := w.backends[3]
	w.waitUntil("calls of the backend", func() bool { return s.Calls() > 50 })
	w.command(api.Command{Kind: "out", Backend: s.Name})
	w.waitForCalls(100) // calls sent before the command have arrived
	was := s.Calls()
	for _, step := range []struct {
		name string
		do   func()
	}{
		{"complete list", w.registry.SendCompleteList},
		{"patch", func() { w.registry.Set(w.backends[0].Entry("SERVING", true)) }},
		{"registry outage", func() { w.registry.SetDown(true) }},
		{"end of the registry outage", func() { w.registry.SetDown(false) }},
		{"drain of the backend", func() { w.registry.SetState(s.Name, "DRAINING") }},
		{"removal of the backend", func() { w.registry.SetState(s.Name, "DELETED") }},
		{"failure of the backend", s.Kill},
		{"return of the backend", func() {
			if err := s.Start(); err != nil {
				t.Fatal(err)
			}
			w.registry.Set(s.Entry("SERVING", true))
		}},
		{"restart of the backend", func() { w.registry.Set(s.Entry("SERVING", false)) }},
		{"restart of the aggregator", w.restartAggregator},
	} {
		step.do()
		w.waitForCalls(300)
		if got := s.Calls(); got != was {
			t.Fatalf("after %s: the excluded backend got %d calls", step.name, got-was)
		}
	}
	v := w.overrides()
	if len(v.Overrides) != 1 || v.Overrides[0].State != "acts" || v.Storage == "memory" {
		t.Fatalf("got %+v, want one persistent override that acts", v)
	}
	w.clear(v.Overrides[0].ID)
	w.waitUntil("calls of the backend after the exclusion", func() bool { return s.Calls() > was+50 })
	w.checkOutcome()
}

// A pinned backend gets all calls of its shard through list changes, registry outages and restarts. A drain of the backend suspends the
// pin within 2 s, and the pin acts again after the drain. If the backend fails, siblings serve the shard, as the pin is not
// strict.
func TestPinServesItsShardAndYieldsToADrain(t *testing.T) {
	w := newCluster(t, 150, 2*time.Millisecond)
	s, sibling := w.backends[5], w.backends[6] // cells 5 and 6 serve shard 5
	w.command(api.Command{Kind: "pin", Backend: s.Name, From: 5, To: 5})
	w.waitForCalls(100)
	// checkPinned checks that the backend gets all calls of the pinned shard.
	checkPinned := func(name string) {
		t.Helper()
		w.waitForCalls(100)
		was, own := sibling.CallsOf(5), s.CallsOf(5)
		w.waitUntil("calls of the pinned shard", func() bool { return s.CallsOf(5) > own+20 })
		if got := sibling.CallsOf(5); got != was {
			t.Fatalf("after %s: the sibling got %d calls of the pinned shard", name, got-was)
		}
	}
	checkPinned("the command")
	w.registry.SendCompleteList()
	checkPinned("complete list")
	w.registry.SetDown(true)
	checkPinned("registry outage")
	w.registry.SetDown(false)
	w.registry.SetState(s.Name, "DRAINING")
	drainedAt := time.Now()
	w.waitUntil("the pin is suspended", func() bool {
		return strings.HasPrefix(w.overrides().Overrides[0].State, "suspended: its searcher drains")
	})
	w.waitForCalls(100)
	was, before := s.CallsOf(5), sibling.CallsOf(5)
	w.waitUntil("the sibling serves the shard", func() bool { return sibling.CallsOf(5) > before+20 })
	if got := s.CallsOf(5); got != was {
		t.Fatalf("the draining backend got %d calls", got-was)
	}
	t.Logf("the drain took effect %s after the list reported it, with 20 calls of the shard served", time.Since(drainedAt).Round(time.Millisecond))
	if measure && time.Since(drainedAt) > 2*time.Second {
		t.Fatal("the drain took effect after more than 2 s")
	}
	w.registry.SetState(s.Name, "SERVING")
	w.waitUntil("the pin acts", func() bool { v := w.overrides(); return v.Overrides[0].State == "acts" && len(v.Recoveries) == 0 })
	checkPinned("the drain")
	w.registry.SetState(s.Name, "DELETED")
	w.waitUntil("the pin waits", func() bool { return strings.HasPrefix(w.overrides().Overrides[0].State, "waits") })
	w.registry.Set(s.Entry("SERVING", true))
	acts := func() bool { v := w.overrides(); return v.Overrides[0].State == "acts" && len(v.Recoveries) == 0 }
	w.waitUntil("the pin acts after a return", acts)
	checkPinned("return of the backend")
	w.registry.Set(s.Entry("SERVING", false))
	w.waitUntil("the pin acts after a restart", acts)
	checkPinned("restart of the backend")
	w.restartAggregator()
	checkPinned("restart of the aggregator")
	s.Kill() // the pin is not strict: siblings serve the shard
	before = sibling.CallsOf(5)
	w.waitUntil("the sibling serves the shard of the failed backend", func() bool { return sibling.CallsOf(5) > before+20 })
	w.checkOutcome()
}

// Queries of a strict pin to a failed backend are rejected at once and do not wait until their deadline.
func TestStrictPinToAnUnreachableBackendIsRejectedAtOnce(t *testing.T) {
	w := newCluster(t, 100, 2*time.Millisecond)
	s := w.backends[5]
	w.command(api.Command{Kind: "pin", Backend: s.Name, From: 0, To: 15, Strict: true, Force: true})
	w.waitForCalls(50)
	s.Kill()
	w.registry.SetState(s.Name, "DELETED")
	w.collectLoad()
	w.waitUntil("rejected queries", func() bool { w.collectLoad(); return w.queryStats.Nacked > 20 })
	w.load.Stop()
	if w.collectLoad(); w.queryStats.Aborted+w.queryStats.Lost > 0 {
		t.Fatalf("got %+v, want no aborted or lost queries", w.queryStats)
	}
}

// A weight of 0.25 gives a backend a quarter of its usual share of calls.
func TestWeightScalesTheShareOfCalls(t *testing.T) {
	queriesPerSecond, callCount := 150.0, int64(2000)
	if measure {
		queriesPerSecond, callCount = 300, 20000
	}
	w := newCluster(t, queriesPerSecond, 10*time.Millisecond)
	s := w.backends[3]
	share := func() float64 {
		all, own := w.calls(), s.Calls()
		w.waitForCalls(callCount)
		return float64(s.Calls()-own) / float64(w.calls()-all)
	}
	w.waitForCalls(callCount / 4)
	usual := share()
	change := w.command(api.Command{Kind: "weight", Backend: s.Name, Weight: 0.25})
	w.waitForCalls(callCount / 4)
	weighted := share()
	got := weighted / usual
	t.Logf("share of calls %.4f, with weight 0.25 %.4f: %.3f of the usual", usual, weighted, got)
	if got > 0.6 || measure && math.Abs(got-0.25) > 0.15*0.25 {
		t.Errorf("a weight of 0.25 gives %.3f of the usual calls", got)
	}
	w.registry.SendCompleteList()
	w.registry.SetDown(true)
	w.registry.SetDown(false)
	w.registry.SetState(s.Name, "DRAINING")
	w.waitForCalls(20)
	w.registry.SetState(s.Name, "DELETED")
	w.registry.Set(s.Entry("SERVING", true))
	w.registry.Set(w.backends[0].Entry("SERVING", true))
	w.registry.Set(s.Entry("SERVING", false)) // the backend has restarted
	w.restartAggregator()
	w.waitForCalls(callCount / 4)
	if afterFaults := share() / usual; afterFaults > 0.6 || measure && math.Abs(afterFaults-0.25) > 0.15*0.25 {
		t.Errorf("after lists, a drain, a return and a restart a weight of 0.25 gives %.3f of the usual calls", afterFaults)
	} else {
		t.Logf("after lists, a drain, a return and a restart: %.3f of the usual calls", afterFaults)
	}
	w.clear(change.Override.ID)
	w.waitUntil("the end of the backend's recovery", func() bool { return len(w.overrides().Recoveries) == 0 })
	w.waitForCalls(callCount / 4)
	if afterClear := share() / usual; afterClear < 0.6 || measure && math.Abs(afterClear-1) > 0.15 {
		t.Errorf("without the override: %.3f of the usual calls", afterClear)
	}
	w.checkOutcome()
}

// At the end of an exclusion the backend's load grows step by step, and the p99 latency doesn't rise.
func TestBackendReturnsWithoutOverload(t *testing.T) {
	if !measure {
		t.Skip("compares latencies with their targets: run alone, with PUFFINLINK_MEASURE=1")
	}
	w := newCluster(t, 300, 4*time.Millisecond)
	s := w.backends[3]
	time.Sleep(3 * time.Second)
	w.command(api.Command{Kind: "out", Backend: s.Name, DurationSeconds: 10})
	time.Sleep(4900 * time.Millisecond)
	w.collectLoad()
	time.Sleep(5 * time.Second)
	before := w.collectLoad()
	time.Sleep(5 * time.Second)
	after := w.collectLoad()
	t.Logf("p99 %s before, %s after; p50 %s and %s", before.P99, after.P99, before.P50, after.P50)
	if float64(after.P99) > 1.5*float64(before.P99) {
		t.Errorf("the p99 of the 5 s after the exclusion is %.2f times that of the 5 s before", float64(after.P99)/float64(before.P99))
	}
	w.checkOutcome()
}

// Operators' clients that use up all connections, send partial requests or send requests without pause do not delay queries.
func TestMisbehavingOperatorClientsDelayNoQuery(t *testing.T) {
	w := newCluster(t, 150, 4*time.Millisecond)
	queries := int64(300)
	if measure {
		queries = 1500
	}
	measureLoad := func() fakes.QueryStats {
		w.collectLoad()
		w.waitUntil("answered queries", func() bool { return w.load.FinishedQueries() >= queries })
		return w.collectLoad()
	}
	w.waitForCalls(200)
	undisturbed := measureLoad()
	stop := make(chan struct{})
	var misbehaving sync.WaitGroup
	for i := range 24 { // more than the listener's connections
		misbehaving.Go(func() {
			for {
				c, err := net.Dial("unix", strings.TrimPrefix(w.file.Operators.Listen, "unix:"))
				if err != nil {
					return
				}
				c.SetDeadline(time.Now().Add(time.Second))
				if i%2 == 0 {
					io.WriteString(c, "POST /v1/overrides HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n{")
				} else {
					io.WriteString(c, "GET /v1/overrides HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
				}
				io.Copy(io.Discard, c)
				c.Close()
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	disturbed := measureLoad()
	close(stop)
	misbehaving.Wait()
	t.Logf("p99 %s without, %s with misbehaving operators' clients; p50 %s and %s", undisturbed.P99, disturbed.P99, undisturbed.P50, disturbed.P50)
	if measure && float64(disturbed.P99) > 1.1*float64(undisturbed.P99) {
		t.Errorf("the p99 is %.2f times the p99 without misbehaving clients", float64(disturbed.P99)/float64(undisturbed.P99))
	}
	w.checkOutcome()
}

// Without a directory, overrides are lost with the process, and the answer reports that. With a directory that can't be used, commands
// are rejected and queries are served.
func TestOverridesNeedAWritableDirectory(t *testing.T) {
	w := newCluster(t, 0, time.Millisecond)
	w.node.Stop()
	w.file.Overrides.Directory = ""
	w.start()
	w.command(api.Command{Kind: "out", Backend: "s-1"})
	if v := w.overrides(); v.Storage != "memory" || len(v.Overrides) != 1 {
		t.Fatalf("got %+v, want one override in memory", v)
	}
	w.node.Stop()
	blocked := filepath.Join(t.TempDir(), "file")
	os.WriteFile(blocked, nil, 0o600)
	w.file.Overrides.Directory = blocked
	w.start()
	v := w.overrides()
	_, err := w.client.Send(context.Background(), api.Command{Revision: &v.Revision, Kind: "out", Backend: "s-1", Author: "ann", Reason: "slow", DurationSeconds: 9})
	if e := (*api.Error)(nil); !errors.As(err, &e) || e.Code != "not_kept" || len(v.Overrides) > 0 {
		t.Fatalf("got error %v with %+v, want code not_kept and no overrides", err, v)
	}
	w.load.Aggregators, w.load.QueriesPerSecond = []string{w.listen}, 100
	w.load.Run(t.Context())
	w.waitForCalls(50)
	w.checkOutcome()
}
