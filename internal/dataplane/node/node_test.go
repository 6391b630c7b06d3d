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
const patience = time.Minute

// measure makes tests hold figures to their aims, for a machine that does nothing else; without it they check rules.
var measure = os.Getenv("PUFFINLINK_MEASURE") != ""

// cluster is a site on loopback: a register, backends, one aggregator with overrides, and a load on it.
type cluster struct {
	*testing.T
	site     fakes.Site
	register *fakes.Register
	fleet    []*fakes.Backend
	file     operatorfile.File
	listen   string
	node     *Node
	client   *api.Client
	load     *fakes.Load
	tally    fakes.Tally
}

func newCluster(t *testing.T, perS float64, service time.Duration) *cluster {
	w := &cluster{T: t, site: fakes.Site{Zones: []string{"a", "b"}, Cells: 8, Width: 2, Shards: 16, Aggregators: 1,
		Indexes: []fakes.Index{{Name: "reads", Effect: "repeatable", Soft: 2, Hard: 8, Value: 1}, {Name: "orders", Effect: "once", Soft: 2, Hard: 8, Value: 3}}}}
	var err error
	if w.register, err = fakes.NewRegister(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.register.Close)
	for i := range 8 {
		s, err := fakes.NewBackend(fmt.Sprintf("s-%d", i), w.site.Zones[i/2%2], i, 8, service)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Kill)
		w.fleet = append(w.fleet, s)
		w.register.Set(s.Entry("SERVING", true))
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
	w.load = &fakes.Load{Aggregators: []string{w.listen}, Site: w.site, PerS: perS, Mixes: []fakes.Mix{
		{Index: "reads", Share: 0.9, Subqueries: 4, Deadline: 8 * time.Second}, {Index: "orders", Share: 0.1, Subqueries: 2, Deadline: 8 * time.Second}}}
	if perS > 0 {
		w.load.Run(w.Context())
	}
	return w
}

func (w *cluster) start() {
	w.Helper()
	n, err := StartText(w.Context(), w.site.Config("n1", w.listen, w.register, 0), w.file, zap.NewNop(), counters.New())
	if err != nil {
		w.Fatal(err)
	}
	w.node = n
}

// take adds what came of the load.
func (w *cluster) take() fakes.Tally {
	t := w.load.Take()
	w.tally.Add(t)
	return t
}

// until waits for something that is to come.
func (w *cluster) until(what string, is func() bool) {
	w.Helper()
	for late := time.Now().Add(patience); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(late) {
			w.Fatalf("never: %s; %+v", what, w.take())
		}
	}
}

// calls sums the calls of all backends.
func (w *cluster) calls() (n int64) {
	for _, s := range w.fleet {
		n += s.Calls()
	}
	return n
}

// goesOn waits until so many more calls have been made.
func (w *cluster) goesOn(more int64) {
	w.Helper()
	from := w.calls()
	w.until("more part calls", func() bool { return w.calls() >= from+more })
}

func (w *cluster) view() (v api.View) {
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

func (w *cluster) set(c api.Command) api.Change {
	w.Helper()
	v := w.view()
	c.Revision, c.Author, c.Reason = &v.Revision, "ann", "slow"
	if c.For == 0 && c.Clear == 0 {
		c.For = 3600
	}
	made, err := w.client.Send(context.Background(), c)
	if err != nil {
		w.Fatal(err)
	}
	return made
}

func (w *cluster) clear(id uint64) { w.set(api.Command{Clear: id}) }

// checkLogEnds stops the load, and checks that each query had exactly one final answer and no once-only subquery ran twice.
func (w *cluster) checkLogEnds() {
	w.Helper()
	w.load.Stop()
	w.take()
	eachAnswered(w.T, w.tally)
	w.Logf("%+v; %d once-only parts ran", w.tally, executedOnce(w.T, w.fleet))
}

// eachAnswered checks that each query had exactly one final answer, and some of them what they asked for.
func eachAnswered(t *testing.T, a fakes.Tally) {
	t.Helper()
	if a.Lost > 0 || a.Sent != a.Satisfied+a.Nacked+a.Aborted || a.Satisfied == 0 {
		t.Fatalf("not each lookup had its answer: %+v", a)
	}
}

// executedOnce checks that no once-only subquery ran twice, and tells how many ran.
func executedOnce(t *testing.T, fleet []*fakes.Backend) int {
	t.Helper()
	ran := map[string]int64{}
	for _, s := range fleet {
		s.Executed(func(id string, times int64) {
			if strings.HasPrefix(id, "orders-") {
				ran[id] += times
			}
		})
	}
	for id, n := range ran {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	return len(ran)
}

// restartAggregator starts the aggregator anew in the same place, as a release does. What it then held is the clients' to ask again.
func (w *cluster) restartAggregator() {
	w.Helper()
	w.load.Stop()
	w.take()
	w.node.Stop()
	w.start()
	w.load.Run(w.Context())
}

// Out gives a backend no call, whatever becomes of the list, the registry, the backend and the aggregator.
func TestExclusionHoldsThroughRestartsAndFaults(t *testing.T) {
	w := newCluster(t, 150, 2*time.Millisecond)
	s := w.fleet[3]
	w.until("calls of the searcher", func() bool { return s.Calls() > 50 })
	w.set(api.Command{Kind: "out", Backend: s.Name})
	w.goesOn(100) // what was on its way has come
	was := s.Calls()
	for _, step := range []struct {
		name string
		do   func()
	}{
		{"whole list", w.register.SendFullList},
		{"patch", func() { w.register.Set(w.fleet[0].Entry("SERVING", true)) }},
		{"register out of reach", func() { w.register.Down(true) }},
		{"register back", func() { w.register.Down(false) }},
		{"it drains", func() { w.register.SetState(s.Name, "DRAINING") }},
		{"it leaves", func() { w.register.SetState(s.Name, "DELETED") }},
		{"it dies", s.Kill},
		{"it returns", func() {
			if err := s.Start(); err != nil {
				t.Fatal(err)
			}
			w.register.Set(s.Entry("SERVING", true))
		}},
		{"it restarts", func() { w.register.Set(s.Entry("SERVING", false)) }},
		{"the mixer restarts", w.restartAggregator},
	} {
		step.do()
		w.goesOn(300)
		if got := s.Calls(); got != was {
			t.Fatalf("%s: %d part calls went to a searcher that is out", step.name, got-was)
		}
	}
	v := w.view()
	if len(v.Overrides) != 1 || v.Overrides[0].State != "acts" || v.Storage == "memory" {
		t.Fatalf("got %+v", v)
	}
	w.clear(v.Overrides[0].ID)
	w.until("it takes part calls again", func() bool { return s.Calls() > was+50 })
	w.checkLogEnds()
}

// A pin takes all of its shard through the same; a drain wins over it within 2 s, and it comes back after.
func TestPinServesItsShardAndYieldsToADrain(t *testing.T) {
	w := newCluster(t, 150, 2*time.Millisecond)
	s, sibling := w.fleet[5], w.fleet[6] // shard 5 is held by cells 5 and 6
	w.set(api.Command{Kind: "pin", Backend: s.Name, From: 5, To: 5})
	w.goesOn(100)
	settled := func(name string) {
		t.Helper()
		w.goesOn(100)
		was, own := sibling.CallsOf(5), s.CallsOf(5)
		w.until("parts of the pinned shard", func() bool { return s.CallsOf(5) > own+20 })
		if got := sibling.CallsOf(5); got != was {
			t.Fatalf("%s: %d part calls of the pinned shard went to its sibling", name, got-was)
		}
	}
	settled("set")
	w.register.SendFullList()
	settled("whole list")
	w.register.Down(true)
	settled("register out of reach")
	w.register.Down(false)
	w.register.SetState(s.Name, "DRAINING")
	told := time.Now()
	w.until("the pin is suspended", func() bool { return strings.HasPrefix(w.view().Overrides[0].State, "suspended: its searcher drains") })
	w.goesOn(100)
	was, before := s.CallsOf(5), sibling.CallsOf(5)
	w.until("the sibling serves the shard", func() bool { return sibling.CallsOf(5) > before+20 })
	if got := s.CallsOf(5); got != was {
		t.Fatalf("%d part calls went to one that drains", got-was)
	}
	t.Logf("the drain had won %s after the list told of it, with 20 part calls of the shard served", time.Since(told).Round(time.Millisecond))
	if measure && time.Since(told) > 2*time.Second {
		t.Fatal("later than 2 s")
	}
	w.register.SetState(s.Name, "SERVING")
	w.until("the pin acts", func() bool { v := w.view(); return v.Overrides[0].State == "acts" && len(v.Recoveries) == 0 })
	settled("back")
	w.register.SetState(s.Name, "DELETED")
	w.until("the pin waits", func() bool { return strings.HasPrefix(w.view().Overrides[0].State, "waits") })
	w.register.Set(s.Entry("SERVING", true))
	acts := func() bool { v := w.view(); return v.Overrides[0].State == "acts" && len(v.Recoveries) == 0 }
	w.until("the pin acts after a return", acts)
	settled("returned")
	w.register.Set(s.Entry("SERVING", false))
	w.until("the pin acts after a restart", acts)
	settled("restarted")
	w.restartAggregator()
	settled("the mixer restarted")
	s.Kill() // not strict: its siblings take the shard
	before = sibling.CallsOf(5)
	w.until("the sibling serves the shard of the dead one", func() bool { return sibling.CallsOf(5) > before+20 })
	w.checkLogEnds()
}

// A strict pin to a backend that died is refused at once, not held to the deadline.
func TestStrictPinToAnUnreachableBackendIsRejectedAtOnce(t *testing.T) {
	w := newCluster(t, 100, 2*time.Millisecond)
	s := w.fleet[5]
	w.set(api.Command{Kind: "pin", Backend: s.Name, From: 0, To: 15, Strict: true, Force: true})
	w.goesOn(50)
	s.Kill()
	w.register.SetState(s.Name, "DELETED")
	w.take()
	w.until("nacks", func() bool { w.take(); return w.tally.Nacked > 20 })
	w.load.Stop()
	if w.take(); w.tally.Aborted+w.tally.Lost > 0 {
		t.Fatalf("got %+v", w.tally)
	}
}

// A weight of a quarter gives a quarter of the usual calls.
func TestWeightUnderLoad(t *testing.T) {
	perS, parts := 150.0, int64(2000)
	if measure {
		perS, parts = 300, 20000
	}
	w := newCluster(t, perS, 10*time.Millisecond)
	s := w.fleet[3]
	share := func() float64 {
		all, own := w.calls(), s.Calls()
		w.goesOn(parts)
		return float64(s.Calls()-own) / float64(w.calls()-all)
	}
	w.goesOn(parts / 4)
	usual := share()
	made := w.set(api.Command{Kind: "weight", Backend: s.Name, Weight: 0.25})
	w.goesOn(parts / 4)
	weighed := share()
	got := weighed / usual
	t.Logf("share of part calls %.4f, weighed by 0.25 %.4f: %.3f of the usual", usual, weighed, got)
	if got > 0.6 || measure && math.Abs(got-0.25) > 0.15*0.25 {
		t.Errorf("a weight of 0.25 gives %.3f of the usual part calls", got)
	}
	w.register.SendFullList()
	w.register.Down(true)
	w.register.Down(false)
	w.register.SetState(s.Name, "DRAINING")
	w.goesOn(20)
	w.register.SetState(s.Name, "DELETED")
	w.register.Set(s.Entry("SERVING", true))
	w.register.Set(w.fleet[0].Entry("SERVING", true))
	w.register.Set(s.Entry("SERVING", false)) // it has restarted
	w.restartAggregator()
	w.goesOn(parts / 4)
	if through := share() / usual; through > 0.6 || measure && math.Abs(through-0.25) > 0.15*0.25 {
		t.Errorf("after lists, a drain, a return and a restart a weight of 0.25 gives %.3f of the usual part calls", through)
	} else {
		t.Logf("after lists, a drain, a return and a restart %.3f of the usual", through)
	}
	w.clear(made.Override.ID)
	w.until("it is back", func() bool { return len(w.view().Recoveries) == 0 })
	w.goesOn(parts / 4)
	if back := share() / usual; back < 0.6 || measure && math.Abs(back-1) > 0.15 {
		t.Errorf("back at %.3f of the usual part calls", back)
	}
	w.checkLogEnds()
}

// At the end of an out the backend comes back by steps, and the tail of latencies stays.
func TestBackendReturnsWithoutOverload(t *testing.T) {
	if !measure {
		t.Skip("holds latencies to their aims: run alone, with PUFFINLINK_MEASURE=1")
	}
	w := newCluster(t, 300, 4*time.Millisecond)
	s := w.fleet[3]
	time.Sleep(3 * time.Second)
	w.set(api.Command{Kind: "out", Backend: s.Name, For: 10})
	time.Sleep(4900 * time.Millisecond)
	w.take()
	time.Sleep(5 * time.Second)
	before := w.take()
	time.Sleep(5 * time.Second)
	after := w.take()
	t.Logf("p99 %s before, %s after; p50 %s and %s", before.P99, after.P99, before.P50, after.P50)
	if float64(after.P99) > 1.5*float64(before.P99) {
		t.Errorf("the p99 of the 5 s after is %.2f times that of the 5 s before", float64(after.P99)/float64(before.P99))
	}
	w.checkLogEnds()
}

// Operators that hold all connections, say half a request or ask without end cost queries nothing.
func TestMisbehavingOperatorClientsDelayNoQuery(t *testing.T) {
	w := newCluster(t, 150, 4*time.Millisecond)
	queries := int64(300)
	if measure {
		queries = 1500
	}
	tail := func() fakes.Tally {
		w.take()
		w.until("lookups", func() bool { return w.load.Answered() >= queries })
		return w.take()
	}
	w.goesOn(200)
	calm := tail()
	stop := make(chan struct{})
	var rude sync.WaitGroup
	for i := range 24 { // more than the listener's connections
		rude.Go(func() {
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
	pressed := tail()
	close(stop)
	rude.Wait()
	t.Logf("p99 %s without, %s with rude operators; p50 %s and %s", calm.P99, pressed.P99, calm.P50, pressed.P50)
	if measure && float64(pressed.P99) > 1.1*float64(calm.P99) {
		t.Errorf("the p99 is %.2f times that without", float64(pressed.P99)/float64(calm.P99))
	}
	w.checkLogEnds()
}

// Without a directory overrides end with the process, and the answer says so. Of a directory that can't be used commands
// are refused and queries are served.
func TestOverridesNeedAWritableDirectory(t *testing.T) {
	w := newCluster(t, 0, time.Millisecond)
	w.node.Stop()
	w.file.Overrides.Directory = ""
	w.start()
	w.set(api.Command{Kind: "out", Backend: "s-1"})
	if v := w.view(); v.Storage != "memory" || len(v.Overrides) != 1 {
		t.Fatalf("got %+v", v)
	}
	w.node.Stop()
	blocked := filepath.Join(t.TempDir(), "file")
	os.WriteFile(blocked, nil, 0o600)
	w.file.Overrides.Directory = blocked
	w.start()
	v := w.view()
	_, err := w.client.Send(context.Background(), api.Command{Revision: &v.Revision, Kind: "out", Backend: "s-1", Author: "ann", Reason: "slow", For: 9})
	if e := (*api.Error)(nil); !errors.As(err, &e) || e.Code != "not_kept" || len(v.Overrides) > 0 {
		t.Fatalf("got %v, %+v", err, v)
	}
	w.load.Aggregators, w.load.PerS = []string{w.listen}, 100
	w.load.Run(t.Context())
	w.goesOn(50)
	w.checkLogEnds()
}
