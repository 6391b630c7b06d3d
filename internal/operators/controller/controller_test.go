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

const timeout = queuetest.WaitTimeout

// slowStore hands the callback of each save to the test, which calls it to complete the save.
type slowStore struct{ callbacks chan func(error) }

func (s slowStore) Save(_ []override.Change, done func(error)) { s.callbacks <- done }

type fixture struct {
	*testing.T
	*Controller
	forwarded *queuetest.Receiver[aggregator.Event]
}

func newFixture(t *testing.T, store Store) *fixture {
	limits := override.Defaults()
	limits.Indexes, limits.Shards, limits.Cells, limits.Width = []string{"reads"}, 4, 2, 2
	f := &fixture{T: t, forwarded: queuetest.New[aggregator.Event]()}
	f.Controller = New(limits, f.forwarded.Queue, store, "", zap.NewNop(), counters.New())
	f.putMembership(policy.Ready)
	f.ProcessPending()
	f.expectEvent(policy.ListChanged)
	go f.Controller.Run()
	t.Cleanup(f.Stop)
	return f
}

func (f *fixture) putMembership(phase policy.Phase) {
	e := aggregator.Event{Event: policy.Event{Kind: policy.ListChanged, List: policy.ListComplete}}
	for i := range 4 {
		entry := policy.Entry{Backend: policy.BackendID(i + 1), Cell: policy.CellID(i % 2)}
		if i == 0 {
			entry.Phase = phase
		}
		e.Entries = append(e.Entries, entry)
		e.Addresses, e.Names = append(e.Addresses, "x:1"), append(e.Names, aggregator.Name{Backend: fmt.Sprint("s-", i), Location: "north"})
	}
	f.Put(e)
}

func (f *fixture) expectEvent(kind policy.EventKind) aggregator.Event {
	f.Helper()
	e := f.forwarded.Next(f.T)
	if e.Kind != kind {
		f.Fatalf("got %+v, expected kind %d", e.Event, kind)
	}
	return e
}

func outOfServiceCommand(revision override.Revision) override.Command {
	return override.Command{ExpectedRevision: revision, Spec: override.Spec{Kind: override.OutOfService, Backend: "s-0", Author: "ann", Reason: "slow", ExpiresAt: float64(time.Now().Unix() + 60)}}
}

// While a command waits for the disk, membership updates still reach the decision module. A change that cannot be stored has
// no effect.
func TestSlowStoreDoesNotDelayMembershipUpdates(t *testing.T) {
	store := slowStore{make(chan func(error), 10)}
	f := newFixture(t, store)
	first, second := f.Submit(outOfServiceCommand(0)), f.Submit(outOfServiceCommand(0))
	done := <-store.callbacks
	f.putMembership(policy.Draining)
	if e := f.expectEvent(policy.ListChanged); e.Entries[0].Phase != policy.Draining {
		t.Fatalf("got %+v", e)
	}
	if v := f.View(); len(v.Overrides) > 0 || v.Revision != 1 {
		t.Fatalf("the override is live before it is stored: %+v", v)
	}
	done(errors.New("disk full"))
	if res := <-first; res.Err == nil || res.Err.Error() != "disk full" {
		t.Fatalf("got %+v", res)
	}
	if res := <-second; res.Err == nil { // it expects a revision that is no longer the current one
		t.Fatalf("got %+v", res)
	}
	third := f.Submit(outOfServiceCommand(1))
	(<-store.callbacks)(nil)
	if res := <-third; res.Err != nil || res.Change.Revision != 2 {
		t.Fatalf("got %+v", res)
	}
	if e := f.expectEvent(policy.OverridesChanged); len(e.Override.Backends) != 1 || !e.Override.Backends[0].Excluded {
		t.Fatalf("got %+v", e.Override)
	}
}

// A backend that is listed again has to reach the decision module together with its overrides. Otherwise the module could use
// it before it learns that the backend is out of service.
func TestRelistedBackendArrivesWithItsOverrides(t *testing.T) {
	f := newFixture(t, nil)
	if res := <-f.Submit(outOfServiceCommand(0)); res.Err != nil {
		t.Fatal(res.Err)
	}
	f.expectEvent(policy.OverridesChanged)
	f.putMembership(policy.Removed)
	f.expectEvent(policy.ListChanged)
	e := aggregator.Event{Event: policy.Event{Kind: policy.ListChanged, Entries: []policy.Entry{{Backend: 9}}}, Addresses: []string{"x:2"},
		Names: []aggregator.Name{{Backend: "s-0", Location: "north"}}}
	f.Put(e)
	f.expectEvent(policy.ListChanged)
	if len(f.forwarded.Remaining()) == 0 {
		t.Fatal("the membership update arrived without the overrides")
	}
	if e := f.expectEvent(policy.OverridesChanged); e.Override.Backends[0].Backend != 9 || !e.Override.Backends[0].Excluded {
		t.Fatalf("got %+v", e.Override)
	}
}

// A watcher that reads nothing is removed. A watcher that reads everything receives all changes in order.
func TestLaggingWatchersAreRemoved(t *testing.T) {
	f := newFixture(t, nil)
	idle, reading := f.Watch(0), f.Watch(0)
	received := make(chan override.Revision, 10)
	go func() {
		last := override.Revision(0)
		for c := range reading.C {
			if c.Revision != last+1 {
				received <- 0
			}
			if last = c.Revision; last >= maxRecentChanges+maxWatcherLag+10 {
				break
			}
		}
		received <- last
	}()
	for n := override.Revision(0); n < maxRecentChanges+maxWatcherLag+10; n++ {
		c := outOfServiceCommand(n)
		if n%2 == 1 {
			c = override.Command{ExpectedRevision: n, Op: override.Clear, ID: n, Author: "ann", Reason: "done"}
		}
		if res := <-f.Submit(c); res.Err != nil {
			t.Fatal(n, res.Err)
		}
	}
	select {
	case last := <-received:
		if last != maxRecentChanges+maxWatcherLag+10 {
			t.Fatalf("the last revision received is %d", last)
		}
	case <-time.After(timeout):
		t.Fatal("the reading watcher did not receive all changes")
	}
	n := 0
	for range idle.C { // reads what is buffered until the channel is closed
		n++
	}
	if n != maxRecentChanges+maxWatcherLag {
		t.Fatalf("the idle watcher has %d changes", n)
	}
	if got := f.History(3); len(got) != 3 || got[2].Revision != maxRecentChanges+maxWatcherLag+10 {
		t.Fatalf("got %+v", got)
	}
	f.Unwatch(reading)
	f.Unwatch(idle)
}
