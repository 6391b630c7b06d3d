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

// patience bounds what a test waits for, which comes soon unless something is broken.
const waitTimeout = time.Minute

// measure makes tests hold figures to their aims, for a machine that does nothing else; without it they check rules.
var measure = os.Getenv("PUFFINLINK_MEASURE") != ""

// cluster is a site on loopback: a register, backends, one aggregator with overrides, and a load on it.
type cluster struct {
	*testing.T
	site     fakes.Site
	registry *fakes.Register
	backends    []*fakes.Backend
	file     operatorfile.File
	listen   string
	node     *Node
	client   *api.Client
	load     *fakes.Load
	tally    fakes.Tally
}

func newCluster(t *testing.T, queriesPerS float64, service time.Duration) *cluster {
	w := &cluster{T: t, site: fakes.Site{Zones: []string{"a", "b"}, Cells: 8, Width: 2, Shards: 16, Aggregators: 1,
		Indexes: []fakes.Index{{Name: "reads", Effect: "repeatable", Soft: 2, Hard: 8, Value: 1}, {Name: "orders", Effect: "once", Soft: 2, Hard: 8, Value: 3}}}}
	var err error
	if w.registry, err = fakes.NewRegister(); err != nil {
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
	dir, err := os.MkdirTemp("", "pl") // a socket's path is short
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
	w.load = &fakes.Load{Aggregators: []string{w.listen}, Site: w.site, PerS: queriesPerS, Mixes: []fakes.Mix{
		{Index: "reads", Share: 0.9, Subqueries: 4, Deadline: 8 * time.Second}, {Index: "orders", Share: 0.1, Subqueries: 2, Deadline: 8 * time.Second}}}
	if queriesPerS > 0 {
		w.load.Run(w.Context())
	}
	return w
}

func (w *cluster) start() {
	w.Helper()
	n, err := StartText(w.Context(), w.site.Config("n1", w.listen, w.registry, 0), w.file, zap.NewNop(), counters.New())
	if err != nil {
		w.Fatal(err)
	}
	w.node = n
}

// take adds what came of the load.
func (w *cluster) collectLoad() fakes.Tally {
	t := w.load.Take()
	w.tally.Add(t)
	return t
}

// until waits for something that is to come.
func (w *cluster) waitUntil(description string, condition func() bool) {
	w.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			w.Fatalf("never: %s; %+v", description, w.collectLoad())
		}
	}
}

// calls sums the calls of all backends.
func (w *cluster) calls() (n int64) {
	for _, s := range w.backends {
		n += s.Calls()
	}
	return n
}

// goesOn waits until so many more calls have been made.
func (w *cluster) waitForCalls(count int64) {
	w.Helper()
	before := w.calls()
	w.waitUntil("more part calls", func() bool { return w.calls() >= before+count })
}

func (w *cluster) overrides() (v api.View) {
	w.Helper()
	for {
		err := w.client.Get(context.Background(), "/v1/overrides", &v)
		if e := (*api.Error)(nil); errors.As(err, &e) && e.Code == "rate" {
			time.Sleep(200 * time.Millisecond) // asked more often than operators may
			continue
		}
		if err != nil {
			w.Fatal(err)
		}
		return v
	}
}

func (w *cluster) command(c api.Command) api.Change {
	w.Helper()
	v := w.overrides()
	c.Revision, c.Author, c.Reason = &v.Revision, "ann", "slow"
	if c.For == 0 && c.Clear == 0 {
		c.For = 3600
	}
	change, err := w.client.Send(context.Background(), c)
	if err != nil {
		w.Fatal(err)
	}
	return change
}

func (w *cluster) clear(id uint64) { w.command(api.Command{Clear: id}) }

// checkLogEnds stops the load, and checks that each query had exactly one final answer and no once-only subquery ran twice.
func (w *cluster) checkOutcome() {
	w.Helper()
	w.load.Stop()
	w.collectLoad()
	checkEachQueryAnswered(w.T, w.tally)
	w.Logf("%+v; %d once-only parts ran", w.tally, checkOnceOnlySubqueries(w.T, w.backends))
}

// eachAnswered checks that each query had exactly one final answer, and some of them what they asked for.
func checkEachQueryAnswered(t *testing.T, a fakes.Tally) {
	t.Helper()
	if a.Lost > 0 || a.Sent != a.Satisfied+a.Nacked+a.Aborted || a.Satisfied == 0 {
		t.Fatalf("not each lookup had its answer: %+v", a)
	}
}

// executedOnce checks that no once-only subquery ran twice, and tells how many ran.
func checkOnceOnlySubqueries(t *testing.T, fleet []*fakes.Backend) int {
	t.Helper()
	executions := map[string]int64{}
	for _, s := range fleet {
		s.Executed(func(id string, times int64) {
			if strings.HasPrefix(id, "orders-") {
				executions[id] += times
			}
		})
	}
	for id, n := range executions {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	return len(executions)
}

// restartAggregator starts the aggregator anew in the same place, as a release does. What it then held is the clients' to ask again.
func (w *cluster) restartAggregator() {
	w.Helper()
	w.load.Stop()
	w.collectLoad()
	w.node.Stop()
	w.start()
	w.load.Run(w.Context())
}

// Out gives a backend no call, whatever becomes of the list, the registry, the backend and the aggregator.
func TestExclusionHoldsThroughRestartsAndFaults(t *testing.T) {
	w := newCluster(t, 150, 2*time.Millisecond)
	s := w.backends[3]
	w.waitUntil("calls of the searcher", func() bool { return s.Calls() > 50 })
	w.command(api.Command{Kind: "out", Backend: s.Name})
	w.waitForCalls(100) // what was on its way has come
	was := s.Calls()
	for _, step := range []struct {
		name string
		do   func()
	}{
		{"whole list", w.registry.SendFullList},
		{"patch", func() { w.registry.Set(w.backends[0].Entry("SERVING", true)) }},
		{"register out of reach", func() { w.registry.Down(true) }},
		{"register back", func() { w.registry.Down(false) }},
		{"it drains", func() { w.registry.SetState(s.Name, "DRAINING") }},
		{"it leaves", func() { w.registry.SetState(s.Name, "DELETED") }},
		{"it dies", s.Kill},
		{"it returns", func() {
			if err := s.Start(); err != nil {
				t.Fatal(err)
			}
			w.registry.Set(s.Entry("SERVING", true))
		}},
		{"it restarts", func() { w.registry.Set(s.Entry("SERVING", false)) }},
		{"the mixer restarts", w.restartAggregator},
	} {
		step.do()
		w.waitForCalls(300)
		if got := s.Calls(); got != was {
			t.Fatalf("%s: %d part calls went to a searcher that is out", step.name, got-was)
		}
	}
	v := w.overrides()
	if len(v.Overrides) != 1 || v.Overrides[0].State != "acts" || v.Storage == "memory" {
		t.Fatalf("got %+v", v)
	}
	w.clear(v.Overrides[0].ID)
	w.waitUntil("it takes part calls again", func() bool { return s.Calls() > was+50 })
	w.checkOutcome()
}

// A pin takes all of its shard through the same; a drain wins over it within 2 s, and it comes back after.
func TestPinServesItsShardAndYieldsToADrain(t *testing.T) {
	w := newCluster(t, 150, 2*time.Millisecond)
	s, sibling := w.backends[5], w.backends[6] // shard 5 is held by cells 5 and 6
	w.command(api.Command{Kind: "pin", Backend: s.Name, From: 5, To: 5})
	w.waitForCalls(100)
	checkPinned := func(name string) {
		t.Helper()
		w.waitForCalls(100)
		was, own := sibling.CallsOf(5), s.CallsOf(5)
		w.waitUntil("parts of the pinned shard", func() bool { return s.CallsOf(5) > own+20 })
		if got := sibling.CallsOf(5); got != was {
			t.Fatalf("%s: %d part calls of the pinned shard went to its sibling", name, got-was)
		}
	}
	checkPinned("set")
	w.registry.SendFullList()
	checkPinned("whole list")
	w.registry.Down(true)
	checkPinned("register out of reach")
	w.registry.Down(false)
	w.registry.SetState(s.Name, "DRAINING")
	drainedAt := time.Now()
	w.waitUntil("the pin is suspended", func() bool { return strings.HasPrefix(w.overrides().Overrides[0].State, "suspended: its searcher drains") })
	w.waitForCalls(100)
	was, before := s.CallsOf(5), sibling.CallsOf(5)
	w.waitUntil("the sibling serves the shard", func() bool { return sibling.CallsOf(5) > before+20 })
	if got := s.CallsOf(5); got != was {
		t.Fatalf("%d part calls went to one that drains", got-was)
	}
	t.Logf("the drain had won %s after the list told of it, with 20 part calls of the shard served", time.Since(drainedAt).Round(time.Millisecond))
	if measure && time.Since(drainedAt) > 2*time.Second {
		t.Fatal("later than 2 s")
	}
	w.registry.SetState(s.Name, "SERVING")
	w.waitUntil("the pin acts", func() bool { v := w.overrides(); return v.Overrides[0].State == "acts" && len(v.Recoveries) == 0 })
	checkPinned("back")
	w.registry.SetState(s.Name, "DELETED")
	w.waitUntil("the pin waits", func() bool { return strings.HasPrefix(w.overrides().Overrides[0].State, "waits") })
	w.registry.Set(s.Entry("SERVING", true))
	acts := func() bool { v := w.overrides(); return v.Overrides[0].State == "acts" && len(v.Recoveries) == 0 }
	w.waitUntil("the pin acts after a return", acts)
	checkPinned("returned")
	w.registry.Set(s.Entry("SERVING", false))
	w.waitUntil("the pin acts after a restart", acts)
	checkPinned("restarted")
	w.restartAggregator()
	checkPinned("the mixer restarted")
	s.Kill() // not strict: its siblings take the shard
	before = sibling.CallsOf(5)
	w.waitUntil("the sibling serves the shard of the dead one", func() bool { return sibling.CallsOf(5) > before+20 })
	w.checkOutcome()
}

// A strict pin to a backend that died is refused at once, not held to the deadline.
func TestStrictPinToAnUnreachableBackendIsRejectedAtOnce(t *testing.T) {
	w := newCluster(t, 100, 2*time.Millisecond)
	s := w.backends[5]
	w.command(api.Command{Kind: "pin", Backend: s.Name, From: 0, To: 15, Strict: true, Force: true})
	w.waitForCalls(50)
	s.Kill()
	w.registry.SetState(s.Name, "DELETED")
	w.collectLoad()
	w.waitUntil("nacks", func() bool { w.collectLoad(); return w.tally.Nacked > 20 })
	w.load.Stop()
	if w.collectLoad(); w.tally.Aborted+w.tally.Lost > 0 {
		t.Fatalf("got %+v", w.tally)
	}
}

// A weight of a quarter gives a quarter of the usual calls.
func TestWeightScalesTheShareOfCalls(t *testing.T) {
	queriesPerS, callCount := 150.0, int64(2000)
	if measure {
		queriesPerS, callCount = 300, 20000
	}
	w := newCluster(t, queriesPerS, 10*time.Millisecond)
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
	t.Logf("share of part calls %.4f, weighed by 0.25 %.4f: %.3f of the usual", usual, weighted, got)
	if got > 0.6 || measure && math.Abs(got-0.25) > 0.15*0.25 {
		t.Errorf("a weight of 0.25 gives %.3f of the usual part calls", got)
	}
	w.registry.SendFullList()
	w.registry.Down(true)
	w.registry.Down(false)
	w.registry.SetState(s.Name, "DRAINING")
	w.waitForCalls(20)
	w.registry.SetState(s.Name, "DELETED")
	w.registry.Set(s.Entry("SERVING", true))
	w.registry.Set(w.backends[0].Entry("SERVING", true))
	w.registry.Set(s.Entry("SERVING", false)) // it has restarted
	w.restartAggregator()
	w.waitForCalls(callCount / 4)
	if afterFaults := share() / usual; afterFaults > 0.6 || measure && math.Abs(afterFaults-0.25) > 0.15*0.25 {
		t.Errorf("after lists, a drain, a return and a restart a weight of 0.25 gives %.3f of the usual part calls", afterFaults)
	} else {
		t.Logf("after lists, a drain, a return and a restart %.3f of the usual", afterFaults)
	}
	w.clear(change.Override.ID)
	w.waitUntil("it is back", func() bool { return len(w.overrides().Recoveries) == 0 })
	w.waitForCalls(callCount / 4)
	if afterClear := share() / usual; afterClear < 0.6 || measure && math.Abs(afterClear-1) > 0.15 {
		t.Errorf("back at %.3f of the usual part calls", afterClear)
	}
	w.checkOutcome()
}

// At the end of an out the backend comes back by steps, and the tail of latencies stays.
func TestBackendReturnsWithoutOverload(t *testing.T) {
	if !measure {
		t.Skip("holds latencies to their aims: run alone, with PUFFINLINK_MEASURE=1")
	}
	w := newCluster(t, 300, 4*time.Millisecond)
	s := w.backends[3]
	time.Sleep(3 * time.Second)
	w.command(api.Command{Kind: "out", Backend: s.Name, For: 10})
	time.Sleep(4900 * time.Millisecond)
	w.collectLoad()
	time.Sleep(5 * time.Second)
	before := w.collectLoad()
	time.Sleep(5 * time.Second)
	after := w.collectLoad()
	t.Logf("p99 %s before, %s after; p50 %s and %s", before.P99, after.P99, before.P50, after.P50)
	if float64(after.P99) > 1.5*float64(before.P99) {
		t.Errorf("the p99 of the 5 s after is %.2f times that of the 5 s before", float64(after.P99)/float64(before.P99))
	}
	w.checkOutcome()
}

// Operators that hold all connections, say half a request or ask without end cost queries nothing.
func TestMisbehavingOperatorClientsDelayNoQuery(t *testing.T) {
	w := newCluster(t, 150, 4*time.Millisecond)
	queries := int64(300)
	if measure {
		queries = 1500
	}
	measureLoad := func() fakes.Tally {
		w.collectLoad()
		w.waitUntil("lookups", func() bool { return w.load.Answered() >= queries })
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
	t.Logf("p99 %s without, %s with rude operators; p50 %s and %s", undisturbed.P99, disturbed.P99, undisturbed.P50, disturbed.P50)
	if measure && float64(disturbed.P99) > 1.1*float64(undisturbed.P99) {
		t.Errorf("the p99 is %.2f times that without", float64(disturbed.P99)/float64(undisturbed.P99))
	}
	w.checkOutcome()
}

// Without a directory overrides end with the process, and the answer says so. Of a directory that can't be used commands
// are refused and queries are served.
func TestOverridesNeedAWritableDirectory(t *testing.T) {
	w := newCluster(t, 0, time.Millisecond)
	w.node.Stop()
	w.file.Overrides.Directory = ""
	w.start()
	w.command(api.Command{Kind: "out", Backend: "s-1"})
	if v := w.overrides(); v.Storage != "memory" || len(v.Overrides) != 1 {
		t.Fatalf("got %+v", v)
	}
	w.node.Stop()
	blocked := filepath.Join(t.TempDir(), "file")
	os.WriteFile(blocked, nil, 0o600)
	w.file.Overrides.Directory = blocked
	w.start()
	v := w.overrides()
	_, err := w.client.Send(context.Background(), api.Command{Revision: &v.Revision, Kind: "out", Backend: "s-1", Author: "ann", Reason: "slow", For: 9})
	if e := (*api.Error)(nil); !errors.As(err, &e) || e.Code != "not_kept" || len(v.Overrides) > 0 {
		t.Fatalf("got %v, %+v", err, v)
	}
	w.load.Aggregators, w.load.PerS = []string{w.listen}, 100
	w.load.Run(t.Context())
	w.waitForCalls(50)
	w.checkOutcome()
}
