package controlmodel

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
)

const (
	idDigits             = 16
	identityHost         = "h"
	identityClientCount  = 8
	identityDeadline     = 3 * time.Second        // of a client's call
	maxClientPause       = 200 * time.Millisecond // between two jobs of a client, and between two calls about one
	maxCancelPause       = 800 * time.Millisecond // from a job's acceptance to its cancellation
	maxLeaveAfter        = 200 * time.Millisecond // when a client leaves that does not wait
	maxChangePause       = 600 * time.Millisecond // between two changes of the configuration
	maxLongChangePause   = 6 * time.Second        // in one schedule of so many as calmSeedStep
	calmSeedStep         = 3
	changeEffectTime     = 1500 * time.Millisecond
	submissionTries      = 3
	finalReadTries       = 40
	finalReadPause       = 250 * time.Millisecond
	routeTimeoutMS       = 3000
	identityLeaveShare   = 2 // one call in so many is noticed to have been left
	identityOperatorSalt = 300
	identityClientSalt   = 400
	identityFaultSalt    = 500
)

// identityServices are the services between which queues move.
var identityServices = []string{"x", "y"}

// identityPrefixes are the prefixes of queues that move. The second lies beneath the first, and the last one begins like the IDs of some jobs
// of the first.
var identityPrefixes = []string{"/q/", "/q/n/", "/q/0000", "/r/"}

// queueAssignment says which service each queue belongs to; empty for a queue without a route.
type queueAssignment map[string]string

// queueChange is how a change of the configuration concerns a queue.
type queueChange string

const (
	queueStays   queueChange = "stays"
	queueMoves   queueChange = "moves"
	queueLeaves  queueChange = "leaves"
	queueReturns queueChange = "returns"
	queueNests   queueChange = "nests" // another one begins to lie beneath it, or above it
)

// changeOf returns how a change concerns a queue.
func changeOf(before, after queueAssignment, prefix string) queueChange {
	switch {
	case before[prefix] != "" && after[prefix] == "":
		return queueLeaves
	case before[prefix] == "" && after[prefix] != "":
		return queueReturns
	case before[prefix] != after[prefix]:
		return queueMoves
	}
	for _, other := range identityPrefixes {
		related := other != prefix && (strings.HasPrefix(other, prefix) || strings.HasPrefix(prefix, other))
		if related && (before[other] == "") != (after[other] == "") {
			return queueNests
		}
	}
	return queueStays
}

// queueOperator changes which services the queues belong to.
type queueOperator struct {
	operator

	mutex      sync.Mutex
	version    uint64
	assignment queueAssignment
	changedAt  map[string]time.Time // by prefix
	changes    map[string]queueChange
	history    []assignmentPeriod
}

// assignmentPeriod is the period in which a change may be in force: from when it was first sent until the next one was acknowledged.
type assignmentPeriod struct {
	assignment  queueAssignment
	begin, ends time.Time // ends is zero for the latest
}

func newQueueOperator(s *simulation) *queueOperator {
	random := rand.New(rand.NewPCG(s.seed, identityOperatorSalt))
	o := &queueOperator{operator: operator{simulation: s, random: random}, changedAt: map[string]time.Time{}, changes: map[string]queueChange{}, assignment: queueAssignment{}}
	return o
}

// configurationBody returns a configuration in which the queues belong to services. Services that no queue belongs to are left out in one
// version of two.
func configurationBody(version uint64, assignment queueAssignment) string {
	var routes, services []string
	used := map[string]bool{}
	for number, prefix := range identityPrefixes {
		if service := assignment[prefix]; service != "" {
			used[service] = true
			routes = append(routes, fmt.Sprintf(`{"name":"r-%d-%d","host":%q,"pathPrefix":%q,"timeoutMs":%d,"service":%q,"maxAttempts":2}`, number, version%3, identityHost, prefix, routeTimeoutMS, service))
		}
	}
	for _, service := range identityServices {
		if used[service] || version%2 == 0 {
			services = append(services, fmt.Sprintf(`{"name":%q}`, service))
		}
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s]}`, version, strings.Join(routes, ","), strings.Join(services, ","))
}

// apply sends a change until it is acknowledged, or the context ends.
func (o *queueOperator) apply(ctx context.Context, after queueAssignment) {
	requested := change{version: o.version + 1 + uint64(o.random.IntN(2)), builtOn: o.version}
	requested.body = configurationBody(requested.version, after)
	if _, err := configuration.Parse([]byte(requested.body)); err != nil {
		panic(err) // the model's configurations are valid
	}
	o.mutex.Lock()
	o.history = append(o.history, assignmentPeriod{assignment: after, begin: time.Now()})
	o.mutex.Unlock()
	for !o.put(requested) {
		if ctx.Err() != nil {
			return
		}
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for i := range len(o.history) - 1 {
		if o.history[i].ends.IsZero() {
			o.history[i].ends = time.Now()
		}
	}
	for _, prefix := range identityPrefixes {
		if concerns := changeOf(o.assignment, after, prefix); concerns != queueStays {
			o.changedAt[prefix], o.changes[prefix] = time.Now(), concerns
		}
	}
	o.version, o.assignment = requested.version, after
}

// randomAssignment returns the present assignment with some queues changed. At least one queue has a service.
func (o *queueOperator) randomAssignment() queueAssignment {
	after := queueAssignment{}
	for prefix, service := range o.assignment {
		after[prefix] = service
	}
	choices := append([]string{""}, identityServices...)
	for range 1 + o.random.IntN(2) {
		after[identityPrefixes[o.random.IntN(len(identityPrefixes))]] = choices[o.random.IntN(len(choices))]
	}
	for _, service := range after {
		if service != "" {
			return after
		}
	}
	after[identityPrefixes[0]] = identityServices[o.random.IntN(len(identityServices))]
	return after
}

func allQueues(service func(number int) string) queueAssignment {
	assignment := queueAssignment{}
	for number, prefix := range identityPrefixes {
		assignment[prefix] = service(number)
	}
	return assignment
}

// changePause returns the time until the next change.
func (o *queueOperator) changePause() time.Duration {
	longest := maxChangePause
	if o.simulation.seed%calmSeedStep == 0 {
		longest = maxLongChangePause
	}
	return time.Duration(o.random.Int64N(int64(longest)))
}

func (o *queueOperator) run(ctx context.Context) {
	for {
		select {
		case <-time.After(o.changePause()):
			o.apply(ctx, o.randomAssignment())
		case <-ctx.Done():
			return
		}
	}
}

// latelyChanged returns how the latest change concerns a queue, if it is recent.
func (o *queueOperator) latelyChanged(prefix string) queueChange {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if time.Since(o.changedAt[prefix]) > changeEffectTime {
		return queueStays
	}
	return o.changes[prefix]
}

// queueOfPath returns the prefix of the queue that a path addresses: the longest one with a service that the path begins with. Found is false
// if there is none, or if no ID follows it.
func (a queueAssignment) queueOfPath(path string) (prefix string, found bool) {
	for candidate, service := range a {
		if service != "" && strings.HasPrefix(path, candidate) && (!found || len(candidate) > len(prefix)) {
			prefix, found = candidate, true
		}
	}
	rest := len(path) - len(prefix)
	return prefix, found && (rest == 0 || rest == idDigits)
}

// routedThroughout reports whether a path addressed a queue in each configuration that may have been in force in a period.
func (o *queueOperator) routedThroughout(path string, from, to time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	covered := false
	for _, period := range o.history {
		if period.begin.After(to) || !period.ends.IsZero() && period.ends.Before(from) {
			continue
		}
		if _, found := period.assignment.queueOfPath(path); !found {
			return false
		}
		covered = covered || !period.begin.After(from)
	}
	return covered
}

// identityClient submits jobs, submits them again, reads and cancels them, at the fronts.
type identityClient struct {
	simulation *simulation
	random     *rand.Rand
	number     int
	jobs       int
}

func (c *identityClient) run(ctx context.Context) {
	for c.pause(ctx) {
		c.playJob(ctx)
	}
}

func (c *identityClient) pause(ctx context.Context) bool { return c.pauseUpTo(ctx, maxClientPause) }

// pauseUpTo waits for a random time. It returns false if the context ends before.
func (c *identityClient) pauseUpTo(ctx context.Context, longest time.Duration) bool {
	select {
	case <-time.After(time.Duration(c.random.Int64N(int64(longest)))):
		return true
	case <-ctx.Done():
		return false
	}
}

// newJob returns a new job. Some IDs begin like the prefix of another queue, which may hide them.
func (c *identityClient) newJob() identityJob {
	c.jobs++
	prefix := identityPrefixes[c.random.IntN(len(identityPrefixes))]
	leading := []string{"0000", "abcd"}[c.random.IntN(2)]
	return newIdentityJob(c.random, prefix, fmt.Sprintf("%s%s%04x%08x", prefix, leading, c.number+1, c.jobs))
}

// playJob plays one job.
func (c *identityClient) playJob(ctx context.Context) {
	played := c.newJob()
	post := func() { c.submit(ctx, played) }
	cancel := func() { c.call(ctx, http.MethodDelete, played) }
	switch c.random.IntN(7) {
	case 0:
		post()
	case 1:
		post()
		for range 1 + c.random.IntN(2) {
			c.pause(ctx)
			post()
		}
	case 2:
		cancel()
		c.pause(ctx)
		post()
	case 3, 4:
		post()
		c.pauseUpTo(ctx, maxCancelPause)
		cancel()
		c.pause(ctx)
		post()
	default:
		c.leaveAndCancel(ctx, played)
	}
	c.pause(ctx)
	c.call(ctx, http.MethodGet, played)
	c.countPending(ctx, played.prefix)
}

// leaveAndCancel submits a job, leaves, and cancels it, while the submission may be on its way.
func (c *identityClient) leaveAndCancel(ctx context.Context, played identityJob) {
	leaving, leave := context.WithTimeout(ctx, time.Duration(c.random.Int64N(int64(maxLeaveAfter))))
	defer leave()
	c.call(leaving, http.MethodPost, played)
	c.call(ctx, http.MethodDelete, played)
}

func (c *identityClient) submit(ctx context.Context, played identityJob) {
	for range submissionTries {
		if c.call(ctx, http.MethodPost, played) == http.StatusOK || !c.pause(ctx) {
			return
		}
	}
}

// call sends one call about a job to a random front, and returns the status of its answer; 0 if none came before the context ended.
func (c *identityClient) call(ctx context.Context, method string, about identityJob) int {
	s := c.simulation
	s.pairs.count(s.callKind(method, about.path), s.queueOperator.latelyChanged(about.prefix), s.disruptions())
	front := s.agents[c.random.IntN(len(s.agents))]
	noticed := c.random.IntN(identityLeaveShare) == 0
	ctx, cancel := context.WithTimeout(ctx, identityDeadline)
	defer cancel()
	call := s.judge.begin(method, about)
	content := ""
	if method == http.MethodPost {
		content = about.body
	}
	status, body := s.callFront(ctx, front, frontRequest{method, about.path, content, noticed})
	s.judge.end(call, status, body)
	return status
}

// countPending asks a random front for the number of a queue's pending jobs, and returns the status of its answer; 0 if none came.
func (c *identityClient) countPending(ctx context.Context, prefix string) int {
	s := c.simulation
	s.pairs.count(pendingRead, s.queueOperator.latelyChanged(prefix), s.disruptions())
	front := s.agents[c.random.IntN(len(s.agents))]
	ctx, cancel := context.WithTimeout(ctx, identityDeadline)
	defer cancel()
	call := s.judge.beginCount(prefix)
	status, body := s.callFront(ctx, front, frontRequest{http.MethodGet, prefix, "", false})
	s.judge.endCount(call, status, body)
	return status
}

// frontRequest is a client's request to a front.
type frontRequest struct {
	method, path, body string
	noticesLeaving     bool // whether the front notices that the client leaves
}

// callFront sends a client's request to a front. While the front is paused, it waits in the socket.
func (s *simulation) callFront(ctx context.Context, front *machine, sent frontRequest) (status int, body string) {
	answers := make(chan *httptest.ResponseRecorder, 1)
	s.frontCalls.Go(func() {
		<-time.After(maxTransfer)
		incarnation := front.awaitResume()
		front.mutex.Lock()
		handler, up := front.front, front.isUp
		front.mutex.Unlock()
		if !up {
			return
		}
		requestCtx := context.WithoutCancel(ctx)
		if sent.noticesLeaving {
			requestCtx = ctx
		}
		request := httptest.NewRequestWithContext(requestCtx, sent.method, sent.path, strings.NewReader(sent.body))
		request.Host = identityHost
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		front.awaitResume()
		if front.isCurrent(incarnation) {
			answers <- recorder
		}
	})
	select {
	case answer := <-answers:
		return answer.Code, answer.Body.String()
	case <-ctx.Done():
		return 0, ""
	}
}
