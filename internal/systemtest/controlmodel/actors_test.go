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

// startActors sets operators, clients, and readers of the feed to work until the context ends.
func (s *simulation) startActors(ctx context.Context) {
	for i := range operatorCount {
		random := rand.New(rand.NewPCG(s.seed, uint64(100+i)))
		s.actors.Go(func() { (&operator{s, random, i, 0}).run(ctx) })
	}
	for i := range clientCount {
		random := rand.New(rand.NewPCG(s.seed, uint64(200+i)))
		s.actors.Go(func() { (&client{s, random, i, nil, endpoint{s.network, s.outside, 0}}).run(ctx) })
	}
	for _, m := range append(s.cores, s.agents...) {
		s.actors.Go(func() { s.pollFeed(ctx, m) })
	}
}

// waitForNextRequest waits between two requests; false once the context has ended.
func waitForNextRequest(ctx context.Context, random *rand.Rand) bool {
	select {
	case <-time.After(time.Duration(random.Int64N(int64(maxRequestInterval)))):
		return true
	case <-ctx.Done():
		return false
	}
}

// operator changes the configuration, concurrently with others.
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
			builtOn-- // which another version has replaced, or which never was
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

// answer is what an operator got; status 0 without an answer in time.
type answer struct {
	status int
	etag   string
	body   string
}

// call makes one call to a node, which answers whoever reaches it; operators do.
func (o *operator) call(m *machine, request *http.Request) answer {
	answers := make(chan answer, 1)
	go func() {
		incarnation := m.awaitResume()
		m.mutex.Lock()
		handler, up := m.operatorHandler, m.up
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

func (o *operator) pick() *machine { return o.simulation.cores[o.random.IntN(coreCount)] }

func (o *operator) get() (version uint64, read bool) {
	m, sent := o.pick(), time.Now()
	got := o.call(m, httptest.NewRequest(http.MethodGet, control.ConfigurationPath, nil))
	if got.status == 0 {
		return 0, false
	}
	version, _ = strconv.ParseUint(strings.Trim(got.etag, `"`), 10, 64)
	o.simulation.checker.checkGet(m.address, sent, got.status, version)
	return version, got.status == http.StatusOK || got.status == http.StatusNotFound
}

// put sends a change to one node after the other until the answer is definite.
func (o *operator) put(requested change) (accepted bool) {
	for range operatorAttempts {
		m, sent := o.pick(), time.Now()
		request := httptest.NewRequest(http.MethodPut, control.ConfigurationPath, strings.NewReader(requested.body))
		request.Header.Set("If-Match", strconv.FormatUint(requested.builtOn, 10))
		got := o.call(m, request)
		if got.status != 0 {
			o.simulation.checker.checkPut(m.address, sent, requested, got.status, currentIn(got.body))
		}
		if got.status == http.StatusOK || got.status == http.StatusPreconditionFailed {
			return got.status == http.StatusOK
		}
		<-time.After(time.Duration(50+o.random.IntN(150)) * time.Millisecond)
	}
	return false
}

// currentIn reads the version that a refusal names.
func currentIn(body string) (version uint64) {
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

// call calls the leader that an agent names, or any node, as a proxy with a stale feed would.
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

// pollFeed polls a core node as an agent does, or an agent as its proxy does, and checks feeds that are marked as current.
func (s *simulation) pollFeed(ctx context.Context, m *machine) {
	random := rand.New(rand.NewPCG(s.seed, uint64(len(m.address))<<32+uint64(m.address[5])))
	route, age := feed.WatchCall.Route(), feedAge
	if strings.HasPrefix(m.address, "agent") {
		route, age = feed.LocalCall.Route(), agentAge
	}
	for waitForNextRequest(ctx, random) {
		sent := time.Now()
		call, cancel := context.WithTimeout(context.Background(), callTimeout)
		var reply feed.WatchReply
		err := endpoint{s.network, s.outside, 0}.Call(call, m.address, route, feed.WatchRequest{}, &reply)
		cancel()
		if err == nil && reply.Current && reply.Snapshot != nil {
			s.checker.checkFeed(m.address, sent, age, reply.Snapshot.ConfigurationVersion)
		}
	}
}
