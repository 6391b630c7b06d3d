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
	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	testService = "pricing"
	testPrefix  = "/prices/"
	testID      = "5c0e7a21d94b36f8"
	testJob     = `{"specification":"x","stages":[{"count":1,"processors":500}]}`
)

var (
	testGroup = feed.GroupOf(testService)
	testQueue = queuekey.Of("", testPrefix)
)

// testConfiguration is the format of configurations in these tests. It has one route, which matches any host, and possibly further ones
// for the same service.
type testConfiguration struct {
	Prefix    string
	Others    []string // prefixes of the further routes
	Service   string
	TimeoutMS int
	Bounds    testLimits
}

type testLimits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleMS      int
}

// Match implements Router.
func (c testConfiguration) Match(_, path string) (route Route, rest string, ok bool) {
	longest := ""
	for _, prefix := range append([]string{c.Prefix}, c.Others...) {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
			longest = prefix
		}
	}
	route = Route{Queue: jobapi.Queue{Route: "r-1", Service: c.Service, Key: queuekey.Of("", longest)}, Timeout: time.Duration(c.TimeoutMS) * time.Millisecond}
	return route, strings.TrimPrefix(path, longest), longest != ""
}

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

// fakeLeader answers calls with functions that a test sets. A call whose function is nil is refused, as by a node that is
// not the leader.
type fakeLeader struct {
	server     *httptest.Server
	testCtx    context.Context // canceled at the end of the test, to end calls that are not answered
	mutex      sync.Mutex
	submit     func(context.Context, jobapi.SubmitRequest) (jobapi.SubmitReply, error)
	status     func(context.Context, jobapi.StatusRequest) (jobapi.StatusReply, error)
	cancel     func(context.Context, jobapi.CancelRequest) (jobapi.CancelReply, error)
	count      func(context.Context, jobapi.PendingRequest) (jobapi.PendingReply, error)
	calls      int
	abortsLeft int // number of further calls whose connection is closed after the request was read

	replacement atomic.Pointer[http.HandlerFunc] // if set, serves the leader's address instead
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
		if replacement := leader.replacement.Load(); replacement != nil {
			replacement.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(leader.server.Close)
	t.Cleanup(end)
	return leader
}

// serve registers an endpoint that calls the method that is set at the time of the call.
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

// replace serves the leader's address with a process of another machine, which is not the leader. It returns a channel
// that receives the statuses of that process's answers.
func (l *fakeLeader) replace(node string) (answers <-chan int) {
	statuses := make(chan int, 1000)
	mux := transport.NewMuxFor(transport.NewIdentity("", node))
	transport.Handle(mux, jobapi.SubmitCall, func(context.Context, jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
		return jobapi.SubmitReply{}, notExecutedError("not the leader", 0)
	})
	replacement := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, r)
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		w.Write(recorder.Body.Bytes())
		statuses <- recorder.Code
	})
	l.replacement.Store(&replacement)
	return statuses
}

// countAndCheckAbort counts a call and reports whether its connection must be closed without an answer.
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

// waitForCancel blocks until the caller cancels the call or the test ends. It returns an error.
func (l *fakeLeader) waitForCancel(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-l.testCtx.Done():
	}
	return errors.New("canceled")
}

func (l *fakeLeader) address() string { return l.server.Listener.Addr().String() }

// acceptSubmissions makes the leader accept all submissions.
func (l *fakeLeader) acceptSubmissions() *fakeLeader {
	l.submit = func(context.Context, jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
		return jobapi.SubmitReply{}, nil
	}
	return l
}

// answerJobQueries makes the leader answer status requests and cancellations.
func (l *fakeLeader) answerJobQueries(known bool, state string) *fakeLeader {
	l.status = func(context.Context, jobapi.StatusRequest) (jobapi.StatusReply, error) {
		return jobapi.StatusReply{Known: known, State: jobState(state), NoSuchJob: !known}, nil
	}
	l.cancel = func(context.Context, jobapi.CancelRequest) (jobapi.CancelReply, error) {
		return jobapi.CancelReply{Known: known, NoSuchJob: !known}, nil
	}
	return l
}

// fakeAgent serves a feed to a proxy.
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

// watch answers a poll once the snapshot differs from what the proxy knows, the test changes the agent, or the poll's
// wait is over.
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

// change changes the snapshot and wakes waiting polls.
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

// snapshotOf returns a snapshot with version 1 of the configuration and one leader, for the test group.
func snapshotOf(c testConfiguration, leader string, term uint64) feed.Snapshot {
	return feed.Snapshot{
		ConfigurationVersion: 1,
		Configuration:        c.raw(),
		Leaders:              map[string]feed.Leader{testGroup: {Address: leader, Term: term}},
	}
}
