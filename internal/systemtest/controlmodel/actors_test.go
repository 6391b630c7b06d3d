package controlmodel

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	operatorCount      = 2
	clientCount        = 2
	operatorTimeout    = time.Second
	operatorAttempts   = 8
	callTimeout        = 1200 * time.Millisecond
	maxRequestInterval = 800 * time.Millisecond // between two requests of an actor
)

// startActors starts operators, clients and pollers of the feed. They run until the context ends.
func (s *simulation) startActors(ctx context.Context) {
	for i := range operatorCount {
		random := rand.New(rand.NewPCG(s.seed, uint64(100+i)))
		s.actors.Go(func() { (&operator{s, random, i, 0}).run(ctx) })
	}
	for i := range clientCount {
		random := rand.New(rand.NewPCG(s.seed, uint64(200+i)))
		s.actors.Go(func() { (&client{s, random, i, nil, endpoint{s.network, s.clientMachine, 0}}).run(ctx) })
	}
	for _, m := range append(s.cores, s.agents...) {
		s.actors.Go(func() { s.pollFeed(ctx, m) })
	}
}

// waitForNextRequest waits for a random time. It reports false if the context ends before.
func waitForNextRequest(ctx context.Context, random *rand.Rand) bool {
	select {
	case <-time.After(time.Duration(random.Int64N(int64(maxRequestInterval)))):
		return true
	case <-ctx.Done():
		return false
	}
}

// operator changes the configuration, concurrently with the other operators.
type operator struct {
	simulation *simulation
	random     *rand.Rand
	number     int
	changes    int
}

func (o *operator) run(ctx context.Context) {
	newest := uint64(0)
	for waitForNextRequest(ctx, o.random) {
		if version, read := o.get(); read {
			newest = version
		}
		builtOn := newest
		if newest > 0 && o.random.IntN(6) == 0 {
			builtOn-- // a version that was replaced or never existed
		}
		o.changes++
		version := newest + 1 + uint64(o.random.IntN(2))
		body := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-%d-%d","host":"h","pathPrefix":"/","timeoutMs":1000,"service":"%s"}],"services":[{"name":"%s"}]}`,
			version, o.number, o.changes, service, service)
		if o.put(change{version, builtOn, body}) {
			newest = version
		}
	}
}

// answer is the answer to an operator's call. Its status is 0 if none arrived in time.
type answer struct {
	status int
	etag   string
	body   string
}

// call sends one request to a node. Operators are outside the simulated network, so its faults do not affect their calls.
func (o *operator) call(m *machine, request *http.Request) answer {
	answers := make(chan answer, 1)
	go func() {
		incarnation := m.awaitResume()
		m.mutex.Lock()
		handler, up := m.operatorHandler, m.isUp
		m.mutex.Unlock()
		if !up {
			answers <- answer{status: http.StatusServiceUnavailable}
			return
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		m.awaitResume()
		if m.isCurrent(incarnation) {
			answers <- answer{recorder.Code, recorder.Header().Get("ETag"), recorder.Body.String()}
		}
	}()
	select {
	case answer := <-answers:
		return answer
	case <-time.After(operatorTimeout):
		return answer{}
	}
}

func (o *operator) randomCore() *machine { return o.simulation.cores[o.random.IntN(coreCount)] }

func (o *operator) get() (version uint64, read bool) {
	m, sent := o.randomCore(), time.Now()
	got := o.call(m, httptest.NewRequest(http.MethodGet, control.ConfigurationPath, nil))
	if got.status == 0 {
		return 0, false
	}
	version, _ = strconv.ParseUint(strings.Trim(got.etag, `"`), 10, 64)
	o.simulation.checker.checkGet(m.address, sent, got.status, version)
	return version, got.status == http.StatusOK || got.status == http.StatusNotFound
}

// put sends a configuration to random nodes until one gives a definite answer. It reports whether the configuration was accepted.
func (o *operator) put(requested change) (accepted bool) {
	for range operatorAttempts {
		m, sent := o.randomCore(), time.Now()
		request := httptest.NewRequest(http.MethodPut, control.ConfigurationPath, strings.NewReader(requested.body))
		request.Header.Set("If-Match", strconv.FormatUint(requested.builtOn, 10))
		got := o.call(m, request)
		if got.status != 0 {
			o.simulation.checker.checkPut(m.address, sent, requested, got.status, currentVersionIn(got.body))
		}
		if got.status == http.StatusOK || got.status == http.StatusPreconditionFailed {
			return got.status == http.StatusOK
		}
		<-time.After(time.Duration(50+o.random.IntN(150)) * time.Millisecond)
	}
	return false
}

// currentVersionIn returns the current version that is named in a rejection, or 0 if there is none.
func currentVersionIn(body string) (version uint64) {
	if _, err := fmt.Sscanf(body, `{"error":"version %d is current`, &version); err != nil {
		return 0
	}
	return version
}

// client submits, polls and cancels jobs.
type client struct {
	simulation *simulation
	random     *rand.Rand
	number     int
	jobs       []job.ID
	caller     endpoint
}

func (c *client) run(ctx context.Context) {
	for waitForNextRequest(ctx, c.random) {
		switch choice := c.random.IntN(6); {
		case choice < 3 || len(c.jobs) == 0:
			c.submit()
		case choice < 5:
			c.status()
		default:
			c.cancel()
		}
	}
}

// call sends a request to the leader in an agent's feed. Sometimes it uses any node instead, as a proxy with a stale feed would.
func (c *client) call(route transport.Route, request, reply any) (member string, err error) {
	leader := c.simulation.agents[c.random.IntN(agentCount)].currentAgent().Snapshot().Leaders[group]
	member = leader.Address
	if member == "" || c.random.IntN(4) == 0 {
		member = c.simulation.cores[c.random.IntN(coreCount)].address
	}
	return member, c.callAt(member, route, request, reply)
}

func (c *client) callAt(member string, route transport.Route, request, reply any) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return c.caller.Call(ctx, member, route, request, reply)
}

func (c *client) submit() {
	id := job.ID(fmt.Sprintf("%08x%08x", c.number+1, len(c.jobs)+1))
	stages := []job.Stage{{Count: 1 + c.random.IntN(2), Resources: job.Resources{Processors: 500}, EstimatedDurationMS: 300}}
	request := jobapi.SubmitRequest{
		Group: group, ID: id, Queue: jobapi.Queue{Route: "r", Service: service, MaxAttempts: 2, Extension: 2, TargetLatencyMS: 1000},
		Specification: job.Specification{Text: "t", Stages: stages},
	}
	c.jobs = append(c.jobs, id)
	for range 3 {
		var reply jobapi.SubmitReply
		if _, err := c.call(jobapi.SubmitCall.Route(), request, &reply); err == nil {
			c.simulation.checker.recordSubmit(id)
			return
		}
	}
}

func (c *client) status() {
	id, sent := c.jobs[c.random.IntN(len(c.jobs))], time.Now()
	var reply jobapi.StatusReply
	if member, err := c.call(jobapi.StatusCall.Route(), jobapi.StatusRequest{Group: group, ID: id}, &reply); err == nil {
		c.simulation.checker.checkJobReply(member, "status", sent, id, reply.Known, reply.State)
	}
}

func (c *client) cancel() {
	id, sent := c.jobs[c.random.IntN(len(c.jobs))], time.Now()
	var reply jobapi.CancelReply
	if member, err := c.call(jobapi.CancelCall.Route(), jobapi.CancelRequest{Group: group, ID: id}, &reply); err == nil {
		c.simulation.checker.checkJobReply(member, "cancel", sent, id, reply.Known, reply.State)
	}
}

// pollFeed polls the feed of a coordinator as an agent does, or of an agent as its proxy does. It checks each feed that is marked
// as current.
func (s *simulation) pollFeed(ctx context.Context, m *machine) {
	random := rand.New(rand.NewPCG(s.seed, uint64(len(m.address))<<32+uint64(m.address[5])))
	route, age := feed.WatchCall.Route(), maxFeedAge
	if strings.HasPrefix(m.address, "agent") {
		route, age = feed.LocalCall.Route(), maxAgentFeedAge
	}
	for waitForNextRequest(ctx, random) {
		sent := time.Now()
		call, cancel := context.WithTimeout(context.Background(), callTimeout)
		var reply feed.WatchReply
		err := endpoint{s.network, s.clientMachine, 0}.Call(call, m.address, route, feed.WatchRequest{}, &reply)
		cancel()
		if err == nil && reply.Current && reply.Snapshot != nil {
			s.checker.checkFeed(m.address, sent, age, reply.Snapshot.ConfigurationVersion)
		}
	}
}
