package workerclient

import (
	"context"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m, goleak.IgnoreCurrent()) }

// eventTimeout is the timeout for events that are expected soon.
const eventTimeout = 20 * time.Second

// recorder is an Events that records all reports.
type recorder struct {
	inProgress atomic.Int32
	concurrent atomic.Bool // two events were delivered concurrently
	onListing  func(Listing)

	mu       sync.Mutex
	changed  chan struct{} // closed on the next event
	received []any
}

func newRecorder() *recorder { return &recorder{changed: make(chan struct{})} }

func (r *recorder) add(event any) {
	if r.inProgress.Add(1) > 1 {
		r.concurrent.Store(true)
	}
	defer r.inProgress.Add(-1)
	r.mu.Lock()
	r.received = append(r.received, event)
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	runtime.Gosched()
}

func (r *recorder) Listing(e Listing) {
	r.add(e)
	if r.onListing != nil {
		r.onListing(e)
	}
}
func (r *recorder) StartResult(e StartResult)                   { r.add(e) }
func (r *recorder) StopResult(e StopResult)                     { r.add(e) }
func (r *recorder) WorkerReplaced(e WorkerReplaced)             { r.add(e) }
func (r *recorder) FencingTokenRejected(e FencingTokenRejected) { r.add(e) }
func (r *recorder) Reachability(e ReachabilityChange)           { r.add(e) }

// eventsOf returns the events of one type recorded so far.
func eventsOf[T any](r *recorder) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []T
	for _, event := range r.received {
		if e, ok := event.(T); ok {
			found = append(found, e)
		}
	}
	return found
}

// awaitEvent waits for the first event of a type that meets the condition.
func awaitEvent[T any](t testing.TB, r *recorder, condition func(T) bool) T {
	t.Helper()
	return awaitEventAfter(t, r, 0, condition)
}

// awaitEventAfter is like awaitEvent, but skips the given number of events of the type.
func awaitEventAfter[T any](t testing.TB, r *recorder, skip int, condition func(T) bool) T {
	t.Helper()
	limit := time.After(eventTimeout)
	for {
		r.mu.Lock()
		changed := r.changed
		r.mu.Unlock()
		for i, event := range eventsOf[T](r) {
			if i >= skip && condition(event) {
				return event
			}
		}
		select {
		case <-changed:
		case <-limit:
			t.Fatalf("no matching %T; received %+v", *new(T), eventsOf[any](r))
		}
	}
}

func anyEvent[T any](T) bool { return true }

// fixture is a worker with one or more links to it.
type fixture struct {
	t                  testing.TB
	cluster            *cluster.Cluster
	worker             *cluster.Worker
	events             *recorder
	leaderLeaseExpired atomic.Bool // the leader lease of all links has expired
	onFenced           func()      // called by OnFenced of all links; may be nil
	link               *Link       // newest link
	client             *http.Client
	minTimeout         time.Duration // minimum timeout of a call
	closers            []func()
}

const testMaxLease = 6 * time.Second

func newFixture(t testing.TB, settings cluster.Settings, config cluster.WorkerConfig) *fixture {
	settings.MaxLease = testMaxLease
	config.ID = "i-1"
	f := &fixture{t: t, cluster: cluster.New(cluster.RealClock{}, settings), events: newRecorder()}
	f.client, f.minTimeout = NewHTTPClient(), maxCommandTimeout // long timeouts, as the machine may be busy
	f.worker = f.cluster.AddWorker(config)
	f.closers = append(f.closers, f.cluster.Close, f.client.CloseIdleConnections)
	return f
}

// newMemoryFixture returns a fixture with an in-memory network for use under synctest. Each call takes the given delay to arrive.
func newMemoryFixture(t testing.TB, delay time.Duration) *fixture {
	f := newFixture(t, cluster.Settings{InMemory: true}, cluster.WorkerConfig{})
	f.client, f.minTimeout = f.cluster.MemoryClient(delay), 0
	return f
}

// close runs the closers in reverse order.
func (f *fixture) close() {
	for _, closer := range slices.Backward(f.closers) {
		closer()
	}
}

// connect creates a link to the worker under a fencing token and runs it. The returned function waits until Run has returned.
func (f *fixture) connect(token uint64) (awaitReturn func()) { return f.connectTo(f.worker, token) }

// connectTo is like connect for any worker.
func (f *fixture) connectTo(worker *cluster.Worker, token uint64) (awaitReturn func()) {
	link := NewLink(Config{
		Instance:     Instance{ID: WorkerID(worker.ID()), Address: worker.Address()},
		FencingToken: token, MaxLease: testMaxLease, LeaderLeaseValid: func() bool { return !f.leaderLeaseExpired.Load() },
		OnFenced: func() {
			if f.onFenced != nil {
				f.onFenced()
			}
		},
		Events: f.events, HTTP: f.client, MinTimeout: f.minTimeout,
	})
	f.link = link
	returned := make(chan struct{})
	go func() {
		link.Run(context.Background())
		close(returned)
	}()
	awaitReturn = func() {
		select {
		case <-returned:
		case <-time.After(eventTimeout):
			f.t.Error("Run has not returned after the link was closed")
		}
	}
	f.closers = append(f.closers, awaitReturn, link.Close)
	return awaitReturn
}

// start sends a start command and waits for its outcome.
func (f *fixture) start(command StartCommand) StartOutcome {
	f.t.Helper()
	before := len(eventsOf[StartResult](f.events))
	f.link.Start(command)
	result := awaitEventAfter(f.t, f.events, before, func(r StartResult) bool { return r.Command == command })
	return result.Outcome
}

// faultWithSignal returns a fault on calls of one kind, and a channel that receives a value for each such call.
func faultWithSignal(kind cluster.CallKind, fault cluster.Fault) (decide func(cluster.CallKind) cluster.Fault, happened chan struct{}) {
	happened = make(chan struct{}, 1000)
	return func(call cluster.CallKind) cluster.Fault {
		if call != kind {
			return cluster.Fault{}
		}
		happened <- struct{}{}
		return fault
	}, happened
}

func task(index int) job.TaskID { return job.TaskID{Job: "00000000000000aa", Index: index} }

func startCommand(index int, attemptNumber uint64) StartCommand {
	return StartCommand{Task: task(index), AttemptNumber: attemptNumber, Specification: "sleep"}
}
