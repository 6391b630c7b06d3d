package workerclient

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// budgetFixture is a set of workers with a link to each of them, all within one budget.
type budgetFixture struct {
	t           *testing.T
	connections *Connections
	cluster     *cluster.Cluster
	workers     []*cluster.Worker
	links       []*Link
	events      *recorder
	maxOpen     atomic.Int64 // highest observed number of open connections
	shutdown    func()
}

const (
	budgetMaxLease  = 3 * time.Second
	budgetedTimeout = 2 * time.Second // minimum timeout of a call, long because the machine may be busy
)

func newBudgetFixture(t *testing.T, workers int, limits Limits) *budgetFixture {
	f := &budgetFixture{
		t: t, connections: NewConnections(limits), events: newRecorder(),
		cluster: cluster.New(cluster.RealClock{}, cluster.Settings{MaxLease: budgetMaxLease}),
	}
	f.events.onListing = func(Listing) { f.observeUsage() }
	client := f.connections.HTTPClient()
	ctx, cancel := context.WithCancel(context.Background())
	returned := make(chan struct{}, workers)
	for i := range workers {
		worker := f.cluster.AddWorker(cluster.WorkerConfig{ID: fmt.Sprint("i-", i)})
		link := NewLink(Config{
			Instance:     Instance{ID: WorkerID(worker.ID()), Address: worker.Address()},
			FencingToken: 1, MaxLease: budgetMaxLease, LeaderLeaseValid: func() bool { return true },
			Events: sharedRecorder{f.events}, HTTP: client, Connections: f.connections, MinTimeout: budgetedTimeout,
		})
		f.workers, f.links = append(f.workers, worker), append(f.links, link)
		go func() { link.Run(ctx); returned <- struct{}{} }()
	}
	f.shutdown = func() {
		cancel()
		for range workers {
			<-returned
		}
		client.CloseIdleConnections()
		f.cluster.Close()
	}
	return f
}

// sharedRecorder receives the reports of several links.
type sharedRecorder struct{ *recorder }

func (f *budgetFixture) observeUsage() {
	open := int64(f.connections.Usage().Open)
	for {
		if seen := f.maxOpen.Load(); open <= seen || f.maxOpen.CompareAndSwap(seen, open) {
			return
		}
	}
}

func (f *budgetFixture) awaitEach(condition func(i int, l Listing) bool) {
	f.t.Helper()
	for i := range f.workers {
		id := WorkerID(fmt.Sprint("i-", i))
		awaitEvent(f.t, f.events, func(l Listing) bool { return l.Worker == id && condition(i, l) })
	}
}

func TestWorkersOutnumberingConnectionsShareThem(t *testing.T) {
	const workers = 40
	const maxConnections = 9
	convey.Convey("Given far fewer connections than workers", t, func() {
		f := newBudgetFixture(t, workers, Limits{Connections: maxConnections, DialsPerSecond: math.Inf(1), PollsPerSecond: 1000})
		defer f.shutdown()
		convey.Convey("links take turns to renew leases, starts are sent and completions are received", func() {
			f.awaitEach(func(int, Listing) bool { return true })
			for i, link := range f.links {
				link.Start(startCommand(i, 1))
			}
			for i := range f.links {
				result := awaitEvent(t, f.events, func(r StartResult) bool { return r.Command.Task == task(i) })
				convey.So(result.Outcome, convey.ShouldEqual, Started)
			}
			started := time.Now()
			f.awaitEach(func(_ int, l Listing) bool {
				return l.SentAt.Sub(started) > budgetMaxLease+budgetMaxLease/2 && len(l.Running) == 1
			})
			for i, worker := range f.workers {
				convey.So(worker.Finish(task(i), job.OutcomeDone), convey.ShouldBeNil)
			}
			f.awaitEach(func(_ int, l Listing) bool { return len(l.Finished) == 1 && l.Finished[0].Outcome == job.OutcomeDone })
			for _, link := range f.links {
				link.Acknowledge(1)
			}
			acknowledged := time.Now()
			f.awaitEach(func(_ int, l Listing) bool { return l.SentAt.After(acknowledged) && len(l.Finished) == 0 })
			for _, record := range f.cluster.Attempts() {
				convey.So(record.Acknowledged, convey.ShouldBeTrue)
			}
			convey.So(f.maxOpen.Load(), convey.ShouldBeBetweenOrEqual, maxConnections/2, maxConnections)
			convey.So(eventsOf[ReachabilityChange](f.events), convey.ShouldHaveLength, workers) // each worker became reachable and stayed reachable
			convey.So(f.connections.Usage().LongPolls, convey.ShouldBeZeroValue)
		})
	})
}

func TestIdleWorkerUsesOneConnection(t *testing.T) {
	const workers = 20
	convey.Convey("Given too many workers for a long poll at each of them, an idle worker uses one connection", t, func() {
		f := newBudgetFixture(t, workers, Limits{Connections: 30, DialsPerSecond: math.Inf(1), PollsPerSecond: 1000})
		defer f.shutdown()
		began := time.Now()
		f.awaitEach(func(_ int, l Listing) bool { return l.SentAt.Sub(began) > budgetMaxLease })
		convey.So(f.maxOpen.Load(), convey.ShouldEqual, workers)
		convey.Convey("and a worker with an attempt has a long poll", func() {
			f.links[0].Start(startCommand(0, 1))
			awaitEvent(t, f.events, func(l Listing) bool { return len(l.Running) == 1 })
			for f.connections.Usage().LongPolls != 1 {
				awaitEventAfter(t, f.events, len(eventsOf[Listing](f.events)), anyEvent[Listing])
			}
			for _, worker := range f.workers {
				convey.So(worker.Connections(), convey.ShouldBeLessThanOrEqualTo, 2)
			}
		})
	})
}

// awaitState waits until a budget meets a condition.
func awaitState(t *testing.T, c *Connections, condition func(*Connections) bool) {
	t.Helper()
	for limit := time.Now().Add(eventTimeout); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		met := condition(c)
		c.mu.Unlock()
		if met {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("%+v", c.Usage())
		}
	}
}

// allIdle returns a condition that is met if each of the workers has exactly one connection, and it is idle.
func allIdle(workers int) func(*Connections) bool {
	return func(c *Connections) bool { return len(c.soleIdlePools) == workers }
}

func TestCommandReusesConnectionOfIdleWorker(t *testing.T) {
	const workers = 20
	convey.Convey("Given workers that use one connection each while idle", t, func() {
		f := newBudgetFixture(t, workers, Limits{Connections: 2 * workers, DialsPerSecond: math.Inf(1), PollsPerSecond: 1})
		defer f.shutdown()
		f.awaitEach(func(_ int, l Listing) bool { return !l.First })
		awaitState(t, f.connections, allIdle(workers))
		for i, link := range f.links {
			link.Start(startCommand(i, 1))
		}
		f.awaitEach(func(_ int, l Listing) bool { return len(l.Running) == 1 })
		convey.Convey("a start and the renewal after it share that connection", func() {
			convey.So(f.connections.Usage().TotalOpened, convey.ShouldEqual, workers)
		})
		convey.Convey("no long poll is sent after all completions are acknowledged", func() {
			for i, worker := range f.workers {
				convey.So(worker.Finish(task(i), job.OutcomeDone), convey.ShouldBeNil)
			}
			var renewals uint64
			for i, link := range f.links {
				id := WorkerID(f.workers[i].ID())
				awaitEvent(t, f.events, func(l Listing) bool { return l.Worker == id && len(l.Finished) == 1 })
				renewals += link.Counts().Renewals
				link.Acknowledge(1)
			}
			awaitState(t, f.connections, func(c *Connections) bool { return c.longPolls == 0 })
			awaitState(t, f.connections, allIdle(workers))
			after := uint64(0)
			for _, link := range f.links {
				after += link.Counts().Renewals
			}
			convey.So(after-renewals, convey.ShouldBeLessThan, workers)
		})
	})
}

func TestDialRateLimit(t *testing.T) {
	convey.Convey("New connections are rate limited", t, func() {
		virtualtime.Test(t, func(t *testing.T) {
			const dials = 40
			c := NewConnections(Limits{Connections: dials, DialsPerSecond: 10, DialBurst: 5})
			var admitted atomic.Int64
			done := make(chan struct{})
			for i := range dials {
				l := c.addLink(fmt.Sprint(i))
				go func() {
					if l.awaitSlot(done) {
						admitted.Add(1)
					}
				}()
			}
			synctest.Wait()
			if n := admitted.Load(); n != 6 {
				t.Errorf("%d calls admitted at once, want 6: the first one and a burst of five", n)
			}
			time.Sleep(time.Second)
			synctest.Wait()
			if n := admitted.Load(); n != 16 {
				t.Errorf("%d calls admitted after a second, want 16", n)
			}
			close(done)
			synctest.Wait()
			if usage := c.Usage(); usage.Waiting != 0 || usage.Open != 16 {
				t.Errorf("usage after the waiting calls were cancelled: %+v, want 0 waiting and 16 open", usage)
			}
		})
	})
}

func TestConnectionSlots(t *testing.T) {
	never := make(chan struct{})
	alreadyClosed := make(chan struct{})
	close(alreadyClosed)
	convey.Convey("A budget of two connections", t, func() {
		c := NewConnections(Limits{Connections: 2, DialsPerSecond: math.Inf(1)})
		first, second, third := c.addLink("1"), c.addLink("2"), c.addLink("3")
		convey.So(first.awaitSlot(never), convey.ShouldBeTrue)
		convey.So(second.awaitSlot(never), convey.ShouldBeTrue)
		convey.Convey("admits no third call", func() {
			convey.So(third.awaitSlot(alreadyClosed), convey.ShouldBeFalse)
			convey.So(c.Usage(), convey.ShouldResemble, Usage{Open: 2, Links: 3})
		})
		convey.Convey("reuses the slot of a connection that was never opened", func() {
			first.releaseSlot()
			convey.So(third.awaitSlot(alreadyClosed), convey.ShouldBeTrue)
			convey.So(c.Usage().Open, convey.ShouldEqual, 2)
		})
		convey.Convey("opens no connection without a slot", func() {
			c.concurrency = nil
			_, err := c.dial("3", func() (net.Conn, error) { return nil, io.EOF })
			convey.So(err, convey.ShouldEqual, errNoConnectionSlot)
		})
		convey.Convey("deletes the pool of an unused address", func() {
			first.releaseSlot()
			first.removeLink()
			convey.So(c.pools, convey.ShouldHaveLength, 2)
		})
	})
	convey.Convey("An idle connection of a worker with two is closed before the only connection of a worker", t, func() {
		const workers = 40
		c := NewConnections(Limits{Connections: workers + 1, DialsPerSecond: math.Inf(1)})
		c.concurrency = nil
		var pools []*hostPool
		for i := range workers {
			l := c.addLink(fmt.Sprint(i))
			for range 1 + i/(workers-1) { // two connections for the last worker
				convey.So(l.awaitSlot(never), convey.ShouldBeTrue)
				l.reserved--
				l.idle = append(l.idle, &connection{Conn: stubConnection{}, pool: l})
			}
			for l.calls > 0 {
				l.releaseSlot()
			}
			pools = append(pools, l)
		}
		newPool := c.addLink("another")
		convey.So(newPool.awaitSlot(alreadyClosed), convey.ShouldBeTrue)
		for _, l := range pools {
			convey.So(l.slots, convey.ShouldEqual, 1)
		}
		convey.Convey("which is closed if there is no other", func() {
			convey.So(newPool.awaitSlot(alreadyClosed), convey.ShouldBeTrue)
			convey.So(c.slotsTaken, convey.ShouldEqual, workers+1)
		})
	})
	convey.Convey("Long polls are allowed only while there is a connection for each worker and some for commands", t, func() {
		c := NewConnections(Limits{Connections: 40, DialsPerSecond: math.Inf(1), MaxLongPolls: 10})
		var pools []*hostPool
		for i := range 36 {
			pools = append(pools, c.addLink(fmt.Sprint(i)))
		}
		convey.So(pools[0].beginLongPoll(), convey.ShouldBeTrue)
		convey.So(c.Usage().LongPolls, convey.ShouldEqual, 1)
		pools[0].endLongPoll()
		convey.So(c.Usage().LongPolls, convey.ShouldBeZeroValue)
		pools = append(pools, c.addLink("one more"))
		convey.So(pools[0].beginLongPoll(), convey.ShouldBeFalse)
		convey.Convey("and at all workers while there are few workers", func() {
			for _, l := range pools[10:] {
				l.removeLink()
			}
			convey.So(pools[0].beginLongPoll(), convey.ShouldBeTrue)
			convey.So(c.idlePollInterval(maxIdleInterval), convey.ShouldBeZeroValue)
		})
	})
}

// stubConnection is a connection that supports only Close.
type stubConnection struct{ net.Conn }

func (stubConnection) Close() error { return nil }
