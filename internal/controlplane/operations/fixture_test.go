package operations

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"sync"

	"github.com/go-json-experiment/json"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

var (
	errNotLeader       = rpcerror.WrapNotExecuted(errors.New("this mixer does not lead the group"), 0)
	errConnectionReset = rpcerror.WrapMayHaveExecuted(errors.New("connection reset"))
)

const (
	pricingJob = "00000000000000aa"
	stressJob  = "00000000000000bb"
	sharedJob  = "00000000000000cc"
)

// fakeCluster replaces the other nodes. It replies to calls as the leaders would, and it knows the leaders.
type fakeCluster struct {
	mutex   sync.Mutex
	leaders map[string]feed.Leader
	changed chan struct{}
	jobs    map[string][]string // IDs of jobs by group
	workers map[string]string   // ID of the only worker by group
	fail    func(address, path string) error
	calls   []string // address and path of each call
	drains  []jobreport.DrainRequest

	drainVersion         uint64
	drainOutcome         jobreport.DrainOutcome
	configurationVersion uint64
	isolated             bool         // whether the node has no contact to a majority
	confirm              func() error // replaces the quorum read of the configuration
	cancels              []jobapi.CancelRequest
	// If set, jobState is the state of jobs that leaders report, and cancelReply is their reply to a cancellation.
	jobState    job.State
	cancelReply *jobapi.CancelReply
	unblock     chan struct{} // if set, calls wait until the channel is closed
	blocked     chan struct{} // receives one value for each call that begins to wait
}

func newFakeCluster() *fakeCluster {
	return &fakeCluster{
		leaders: map[string]feed.Leader{
			"jobs/pricing": {Address: "10.0.0.1:7660", Term: 3}, "jobs/stress": {Address: "10.0.0.2:7660", Term: 5},
		},
		changed: make(chan struct{}), configurationVersion: 7, confirm: func() error { return nil },
		jobs:    map[string][]string{"jobs/pricing": {pricingJob, sharedJob}, "jobs/stress": {stressJob, sharedJob}},
		workers: map[string]string{"jobs/pricing": "i-price", "jobs/stress": "i-stress"},
	}
}

// setLeader makes an address the leader of a group.
func (c *fakeCluster) setLeader(group, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	leaders := map[string]feed.Leader{}
	for name, leader := range c.leaders {
		leaders[name] = leader
	}
	leaders[group] = feed.Leader{Address: address, Term: leaders[group].Term + 1}
	c.leaders = leaders
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *fakeCluster) sources() Sources {
	return Sources{
		View: func() replicaset.View {
			return replicaset.View{Version: 1, Members: []string{"10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660"}}
		},
		Members: func() []replication.Liveness {
			return []replication.Liveness{{Address: "10.0.0.1:7660", Alive: true, Ready: true, Contacted: true}, {Address: "10.0.0.2:7660"}}
		},
		Groups: func() []string { return []string{"jobs/pricing", "jobs/stress"} },
		Leaders: func() map[string]feed.Leader {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return c.leaders
		},
		LeadersChanged: func() <-chan struct{} {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			return c.changed
		},
		Configuration:        func() (uint64, []byte) { return c.configurationVersion, nil },
		InContact:            func() bool { return !c.isolated },
		ConfirmConfiguration: func(context.Context) error { return c.confirm() },
		Rebuilt:              func() bool { return true },
		Agents:               func() []string { return []string{"10.0.1.1:7661"} },
	}
}

// Call implements transport.Caller.
func (c *fakeCluster) Call(ctx context.Context, address string, route transport.Route, request, reply any) error {
	if c.unblock != nil {
		c.blocked <- struct{}{}
		select {
		case <-c.unblock:
		case <-ctx.Done():
			return rpcerror.WrapMayHaveExecuted(ctx.Err())
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls = append(c.calls, address+route.Path())
	if c.fail != nil {
		if err := c.fail(address, route.Path()); err != nil {
			return err
		}
	}
	answer, err := c.reply(request)
	if err != nil {
		return err
	}
	reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(answer))
	return nil
}

func (c *fakeCluster) reply(request any) (any, error) {
	switch received := request.(type) {
	case jobreport.SummaryRequest:
		return jobreport.SummaryReply{Summary: jobreport.Summary{Running: 2}}, nil
	case jobreport.WorkersRequest:
		return jobreport.WorkersReply{Workers: []jobreport.Worker{{ID: c.workers[received.Group], State: jobreport.WorkerReady}}}, nil
	case jobreport.DrainRequest:
		c.drains = append(c.drains, received)
		known := c.workers[received.Group] == received.Worker
		worker := jobreport.Worker{ID: received.Worker, OperatorDraining: received.Draining, DrainVersion: c.drainVersion}
		return jobreport.DrainReply{Known: known, Outcome: c.drainOutcome, Worker: worker}, nil
	case jobreport.JobsRequest:
		return c.listJobs(received), nil
	case jobreport.JobRequest:
		known := slices.Contains(c.jobs[received.Group], string(received.ID))
		return jobreport.JobReply{Known: known, Job: jobreport.JobDetail{Job: jobreport.Job{ID: received.ID, State: cmp.Or(c.jobState, job.Running)}}}, nil
	case jobreport.ExplainRequest:
		return jobreport.ExplainReply{Known: true, Explanation: jobreport.Explanation{ID: received.ID, State: job.Running}}, nil
	case jobapi.CancelRequest:
		c.cancels = append(c.cancels, received)
		if c.cancelReply != nil {
			return *c.cancelReply, nil
		}
		return jobapi.CancelReply{Known: true, State: job.Cancelled}, nil
	}
	return nil, errors.New("unknown request")
}

func (c *fakeCluster) listJobs(request jobreport.JobsRequest) jobreport.JobsReply {
	reply := jobreport.JobsReply{Total: len(c.jobs[request.Group])}
	for _, id := range c.jobs[request.Group] {
		reply.Jobs = append(reply.Jobs, jobreport.Job{ID: job.ID(id), State: job.Running})
	}
	return reply
}

func (c *fakeCluster) handler() *Handler {
	next := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { http.Error(w, "next "+r.URL.Path, http.StatusTeapot) })
	return New(Options{Node: Identity{Name: "core-1"}, Sources: c.sources(), Caller: c, Next: next, Logger: zap.NewNop()})
}

// request sends one request and decodes the response into report, unless report is nil.
func request(handler http.Handler, method, path string, report any) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, nil))
	if report != nil {
		So(json.Unmarshal(recorder.Body.Bytes(), report), ShouldBeNil)
	}
	return recorder
}
