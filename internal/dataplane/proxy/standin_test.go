package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	testService = "pricing"
	testPrefix  = "/prices/"
	testID      = "5c0e7a21d94b36f8"
	testJob     = `{"specification":"x","stages":[{"count":1,"processors":500}]}`
)

var testGroup = feed.GroupOf(testService)

// testConfiguration is the form of configurations in these tests: one route of any host.
type testConfiguration struct {
	Prefix    string
	Service   string
	TimeoutMS int
	Others    []string // further services
	Bounds    testLimits
}

type testLimits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleMS      int
}

// Match implements Router.
func (c testConfiguration) Match(_, path string) (Route, string, bool) {
	rest, ok := strings.CutPrefix(path, c.Prefix)
	route := Route{Queue: jobapi.Queue{Route: "r-1", Service: c.Service}, Timeout: time.Duration(c.TimeoutMS) * time.Millisecond}
	return route, rest, ok
}

// Services implements Router.
func (c testConfiguration) Services() []string { return append([]string{c.Service}, c.Others...) }

// Limits implements Router.
func (c testConfiguration) Limits() Limits {
	return Limits{HeaderBytes: c.Bounds.HeaderBytes, BodyBytes: c.Bounds.BodyBytes, IdleTimeout: time.Duration(c.Bounds.IdleMS) * time.Millisecond}
}

func buildTestRouter(raw []byte) (Router, error) {
	var c testConfiguration
	err := json.Unmarshal(raw, &c)
	return c, err
}

func (c testConfiguration) raw() []byte {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return raw
}

func configurationOf(timeoutMS int) testConfiguration {
	return testConfiguration{Prefix: testPrefix, Service: testService, TimeoutMS: timeoutMS}
}

// standInLeader answers as a test says. A method that is nil refuses, as a node that does not lead does.
type fakeLeader struct {
	server     *httptest.Server
	testCtx    context.Context // ends with the test, for answers that stay out
	mutex      sync.Mutex
	submit     func(context.Context, jobapi.SubmitRequest) (jobapi.SubmitReply, error)
	status     func(context.Context, jobapi.StatusRequest) (jobapi.StatusReply, error)
	cancel     func(context.Context, jobapi.CancelRequest) (jobapi.CancelReply, error)
	count      func(context.Context, jobapi.PendingRequest) (jobapi.PendingReply, error)
	calls      int
	abortsLeft int // so many calls are read and then broken off

	replacement atomic.Pointer[http.HandlerFunc] // serves the address instead
}

func newFakeLeader(t *testing.T) *fakeLeader {
	ctx, end := context.WithCancel(context.Background())
	leader := &fakeLeader{testCtx: ctx}
	mux := transport.NewMux()
	serve(leader, mux, jobapi.SubmitCall, &leader.submit)
	serve(leader, mux, jobapi.StatusCall, &leader.status)
	serve(leader, mux, jobapi.CancelCall, &leader.cancel)
	serve(leader, mux, jobapi.PendingCall, &leader.count)
	leader.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if leader.countAndCheckAbort() {
			io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		}
		if stranger := leader.replacement.Load(); stranger != nil {
			stranger.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(leader.server.Close)
	t.Cleanup(end)
	return leader
}

func serve[Request, Reply any](l *fakeLeader, mux *transport.Mux, endpoint transport.Endpoint[Request, Reply], method *func(context.Context, Request) (Reply, error)) {
	transport.Handle(mux, endpoint, func(ctx context.Context, request Request) (reply Reply, err error) {
		l.mutex.Lock()
		answer := *method
		l.mutex.Unlock()
		if answer == nil {
			return reply, notExecutedError("not the leader", 0)
		}
		return answer(ctx, request)
	})
}

// replace gives the leader's address to a process of another machine, which leads nothing. The statuses of its answers
// are delivered.
func (l *fakeLeader) replace(node string) (answers <-chan int) {
	statuses := make(chan int, 1000)
	mux := transport.NewMuxFor(transport.NewIdentity("", node))
	transport.Handle(mux, jobapi.SubmitCall, func(context.Context, jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
		return jobapi.SubmitReply{}, notExecutedError("not the leader", 0)
	})
	stranger := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, r)
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		w.Write(recorder.Body.Bytes())
		statuses <- recorder.Code
	})
	l.replacement.Store(&stranger)
	return statuses
}

// breakOff counts a call, and tells whether it is to be broken off.
func (l *fakeLeader) countAndCheckAbort() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.calls++
	l.abortsLeft--
	return l.abortsLeft >= 0
}

func (l *fakeLeader) callCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.calls
}

// timeout does not answer until the caller has gone or the test ends.
func (l *fakeLeader) waitForCancel(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-l.testCtx.Done():
	}
	return errors.New("given up")
}

func (l *fakeLeader) address() string { return l.server.Listener.Addr().String() }

func (l *fakeLeader) acceptSubmissions() *fakeLeader {
	l.submit = func(context.Context, jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
		return jobapi.SubmitReply{}, nil
	}
	return l
}

func (l *fakeLeader) answerJobQueries(known bool, state string) *fakeLeader {
	l.status = func(context.Context, jobapi.StatusRequest) (jobapi.StatusReply, error) {
		return jobapi.StatusReply{Known: known, State: jobState(state)}, nil
	}
	l.cancel = func(context.Context, jobapi.CancelRequest) (jobapi.CancelReply, error) {
		return jobapi.CancelReply{Known: known}, nil
	}
	return l
}

// standInAgent feeds a proxy.
type fakeAgent struct {
	server   *httptest.Server
	mutex    sync.Mutex
	snapshot feed.Snapshot
	current  bool
	changed  chan struct{}
}

func newFakeAgent(t *testing.T, snapshot feed.Snapshot) *fakeAgent {
	agent := &fakeAgent{snapshot: snapshot, current: true, changed: make(chan struct{})}
	mux := transport.NewMux()
	transport.Handle(mux, feed.LocalCall, agent.watch)
	agent.server = httptest.NewServer(mux)
	t.Cleanup(agent.server.Close)
	return agent
}

// watch answers once something is new to the proxy, or the test has changed something.
func (a *fakeAgent) watch(ctx context.Context, watch feed.WatchRequest) (feed.WatchReply, error) {
	reply, changed := a.reply(watch.Known)
	if reply.Changed {
		return reply, nil
	}
	timer := time.NewTimer(time.Duration(watch.WaitMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
	reply, _ = a.reply(watch.Known)
	return reply, nil
}

func (a *fakeAgent) reply(known feed.Digest) (feed.WatchReply, <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	reply := feed.WatchReply{Current: a.current, Changed: known.ConfigurationVersion != a.snapshot.ConfigurationVersion}
	for group, leader := range a.snapshot.Leaders {
		reply.Changed = reply.Changed || known.LeaderTerms[group] != leader.Term
	}
	reply.Changed = reply.Changed || len(known.LeaderTerms) != len(a.snapshot.Leaders)
	if reply.Changed {
		snapshot := a.snapshot
		reply.Snapshot = &snapshot
	}
	return reply, a.changed
}

func (a *fakeAgent) change(change func(*feed.Snapshot)) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	leaders := make(map[string]feed.Leader)
	for group, leader := range a.snapshot.Leaders {
		leaders[group] = leader
	}
	a.snapshot.Leaders = leaders
	change(&a.snapshot)
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *fakeAgent) setCurrent(current bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.current = current
	close(a.changed)
	a.changed = make(chan struct{})
}

func snapshotOf(c testConfiguration, leader string, term uint64) feed.Snapshot {
	return feed.Snapshot{
		ConfigurationVersion: 1,
		Configuration:        c.raw(),
		Leaders:              map[string]feed.Leader{testGroup: {Address: leader, Term: term}},
	}
}
