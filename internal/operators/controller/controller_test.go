package controller

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/eventqueue/queuetest"
	"puffinlink.example/puffinlink/internal/operators/override"
	"puffinlink.example/puffinlink/policy"
)

const patience = queuetest.Patience

// slowStore keeps nothing until it is told to.
type slowStore struct{ asked chan func(error) }

func (k slowStore) Save(_ []override.Change, done func(error)) { k.asked <- done }

type fixture struct {
	*testing.T
	*Controller
	told *queuetest.Ear[aggregator.Event]
}

func newFixture(t *testing.T, keeper Store) *fixture {
	lim := override.Defaults()
	lim.Indexes, lim.Shards, lim.Cells, lim.Width = []string{"reads"}, 4, 2, 2
	r := &fixture{T: t, told: queuetest.New[aggregator.Event]()}
	r.Controller = New(lim, r.told.Queue, keeper, "", zap.NewNop(), counters.New())
	r.list(policy.Ready)
	r.ProcessPending()
	r.event(policy.ListChanged)
	go r.Controller.Run()
	t.Cleanup(r.Stop)
	return r
}

func (r *fixture) list(phase policy.Phase) {
	e := aggregator.Event{Event: policy.Event{Kind: policy.ListChanged, List: policy.ListComplete}}
	for i := range 4 {
		entry := policy.Entry{Backend: policy.BackendID(i + 1), Cell: policy.CellID(i % 2)}
		if i == 0 {
			entry.Phase = phase
		}
		e.Entries = append(e.Entries, entry)
		e.Addresses, e.Names = append(e.Addresses, "x:1"), append(e.Names, aggregator.Name{Backend: fmt.Sprint("s-", i), Location: "north"})
	}
	r.Put(e)
}

func (r *fixture) event(kind policy.EventKind) aggregator.Event {
	r.Helper()
	e := r.told.Next(r.T)
	if e.Kind != kind {
		r.Fatalf("got %+v, expected kind %d", e.Event, kind)
	}
	return e
}

func out(revision override.Revision) override.Command {
	return override.Command{ExpectedRevision: revision, Spec: override.Spec{Kind: override.OutOfService, Backend: "s-0", Author: "ann", Reason: "slow", ExpiresAt: float64(time.Now().Unix() + 60)}}
}

// While a disk keeps a command waiting, the list goes on to the module; what the disk refuses does not hold.
func TestASlowDiskHoldsUpNoList(t *testing.T) {
	k := slowStore{make(chan func(error), 10)}
	r := newFixture(t, k)
	first, second := r.Do(out(0)), r.Do(out(0))
	done := <-k.asked
	r.list(policy.Draining)
	if e := r.event(policy.ListChanged); e.Entries[0].Phase != policy.Draining {
		t.Fatalf("got %+v", e)
	}
	if v := r.View(); len(v.Overrides) > 0 || v.Revision != 1 {
		t.Fatalf("holds before it is kept: %+v", v)
	}
	done(errors.New("disk full"))
	if res := <-first; res.Err == nil || res.Err.Error() != "disk full" {
		t.Fatalf("got %+v", res)
	}
	if res := <-second; res.Err == nil { // made for a revision that has been taken
		t.Fatalf("got %+v", res)
	}
	third := r.Do(out(1))
	(<-k.asked)(nil)
	if res := <-third; res.Err != nil || res.Change.Revision != 2 {
		t.Fatalf("got %+v", res)
	}
	if e := r.event(policy.OverridesChanged); len(e.Override.Backends) != 1 || !e.Override.Backends[0].Excluded {
		t.Fatalf("got %+v", e.Override)
	}
}

// What the list names and what is overridden of it come to the module together.
func TestAReturnIsOutBeforeItIsKnown(t *testing.T) {
	r := newFixture(t, nil)
	if res := <-r.Do(out(0)); res.Err != nil {
		t.Fatal(res.Err)
	}
	r.event(policy.OverridesChanged)
	r.list(policy.Removed)
	r.event(policy.ListChanged)
	e := aggregator.Event{Event: policy.Event{Kind: policy.ListChanged, Entries: []policy.Entry{{Backend: 9}}}, Addresses: []string{"x:2"},
		Names: []aggregator.Name{{Backend: "s-0", Location: "north"}}}
	r.Put(e)
	r.event(policy.ListChanged)
	if len(r.told.Rest()) == 0 {
		t.Fatal("the list came alone")
	}
	if e := r.event(policy.OverridesChanged); e.Override.Backends[0].Backend != 9 || !e.Override.Backends[0].Excluded {
		t.Fatalf("got %+v", e.Override)
	}
}

// A watcher that takes nothing is let go; one that takes all hears all, in order.
func TestWatchersThatLagAreLetGo(t *testing.T) {
	r := newFixture(t, nil)
	lazy, eager := r.Watch(0), r.Watch(0)
	heard := make(chan override.Revision, 10)
	go func() {
		last := override.Revision(0)
		for c := range eager.C {
			if c.Revision != last+1 {
				heard <- 0
			}
			if last = c.Revision; last >= recent+watcherLag+10 {
				break
			}
		}
		heard <- last
	}()
	for n := override.Revision(0); n < recent+watcherLag+10; n++ {
		c := out(n)
		if n%2 == 1 {
			c = override.Command{ExpectedRevision: n, Op: override.Clear, ID: n, Author: "ann", Reason: "done"}
		}
		if res := <-r.Do(c); res.Err != nil {
			t.Fatal(n, res.Err)
		}
	}
	select {
	case last := <-heard:
		if last != recent+watcherLag+10 {
			t.Fatalf("heard up to %d", last)
		}
	case <-time.After(patience):
		t.Fatal("the eager one heard not all")
	}
	n := 0
	for range lazy.C { // what it has, and then its end
		n++
	}
	if n != recent+watcherLag {
		t.Fatalf("the lazy one was left with %d", n)
	}
	if got := r.History(3); len(got) != 3 || got[2].Revision != recent+watcherLag+10 {
		t.Fatalf("got %+v", got)
	}
	r.Unwatch(eager)
	r.Unwatch(lazy)
}
