package proxy

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// maxConcurrentGroups limits the number of groups that are asked at the same time for a job whose group is unknown.
const maxConcurrentGroups = 4

// jobService executes the clients' requests by calling the leaders of the replication groups.
type jobService struct {
	leaders *leaderCaller
	final   *finalStates
	pending *pendingCounts
}

// jobRequest is a client's request about a job or a queue.
type jobRequest struct {
	received time.Time
	timeout  time.Duration // the shorter of the client's and the route's
	queue    jobapi.Queue
	id       job.ID
}

// outcome is the result of a request: the HTTP status of its answer and, for a successful status request, the job's
// state.
type outcome struct {
	status     int
	retryAfter time.Duration
	state      job.State
}

func outcomeOf(d decision) outcome { return outcome{status: d.status, retryAfter: d.retryAfter} }

// submit submits a job to the group of the route's service.
func (s *jobService) submit(ctx context.Context, r jobRequest, specification job.Specification) outcome {
	group := feed.GroupOf(r.queue.Service)
	request := jobapi.SubmitRequest{Group: group, ID: r.id, Queue: r.queue, Specification: specification}
	call := leaderCall{kind: submitOperation, group: group, route: jobapi.SubmitCall.Route(), request: request, timeout: r.timeout}
	var reply jobapi.SubmitReply
	return outcomeOf(s.leaders.run(ctx, r.received, call, &reply))
}

// status returns a job's state. The job may belong to the group of a service that the route had earlier. Therefore all
// groups are asked before the answer is that the job does not exist.
func (s *jobService) status(ctx context.Context, r jobRequest) outcome {
	if state, found := s.final.get(r.id); found {
		return outcome{status: http.StatusOK, state: state}
	}
	found := s.acrossGroups(r.queue.Service, func(group string) outcome { return s.statusIn(ctx, r, group) })
	if found.status == http.StatusOK {
		s.final.add(r.id, found.state)
	}
	return found
}

// statusIn asks one group for a job's state.
func (s *jobService) statusIn(ctx context.Context, r jobRequest, group string) outcome {
	call := leaderCall{
		kind:    statusOperation,
		group:   group,
		route:   jobapi.StatusCall.Route(),
		request: jobapi.StatusRequest{Group: group, ID: r.id},
		timeout: r.timeout,
	}
	var reply jobapi.StatusReply
	result := outcomeOf(s.leaders.run(ctx, r.received, call, &reply))
	result.state = reply.State
	return goneUnlessKnown(result, reply.Known)
}

// cancel cancels a job, in whichever group it is.
func (s *jobService) cancel(ctx context.Context, r jobRequest) outcome {
	return s.acrossGroups(r.queue.Service, func(group string) outcome { return s.cancelIn(ctx, r, group) })
}

// cancelIn cancels a job if it belongs to the given group.
func (s *jobService) cancelIn(ctx context.Context, r jobRequest, group string) outcome {
	call := leaderCall{
		kind:    cancelOperation,
		group:   group,
		route:   jobapi.CancelCall.Route(),
		request: jobapi.CancelRequest{Group: group, ID: r.id},
		timeout: r.timeout,
	}
	var reply jobapi.CancelReply
	result := outcomeOf(s.leaders.run(ctx, r.received, call, &reply))
	return goneUnlessKnown(result, reply.Known)
}

// goneUnlessKnown replaces the status 200 by 410 if the leader does not know the job.
func goneUnlessKnown(result outcome, known bool) outcome {
	if result.status == http.StatusOK && !known {
		result.status = http.StatusGone
	}
	return result
}

// acrossGroups asks the group of the service, and all other groups if that one does not know the job. The result is 410
// only if every group answered that it does not know the job. A group without a known leader gives no such answer. In
// addition, the feed must be current after the groups have answered, because a stale feed may lack a group.
func (s *jobService) acrossGroups(service string, request func(group string) outcome) outcome {
	found := s.searchGroups(service, request)
	if found.status == http.StatusGone && s.leaders.feed.stale() {
		return outcomeOf(refusal(http.StatusServiceUnavailable, unavailableRetryAfter))
	}
	return found
}

// searchGroups asks the group of the service. If that group does not know the job, it asks all other known groups and
// returns the outcome with the highest precedence.
func (s *jobService) searchGroups(service string, request func(group string) outcome) outcome {
	own := feed.GroupOf(service)
	first := request(own)
	if first.status != http.StatusGone {
		return first
	}
	others := s.leaders.feed.currentView().groupsExcept(own)
	results := make([]outcome, len(others))
	slots := make(chan struct{}, maxConcurrentGroups)
	var requests sync.WaitGroup
	for i, group := range others {
		slots <- struct{}{}
		requests.Go(func() {
			results[i] = request(group)
			<-slots
		})
	}
	requests.Wait()
	return slices.MinFunc(append(results, first), compareOutcomes)
}

// compareOutcomes orders the outcomes of several groups by precedence, the highest first.
func compareOutcomes(a, b outcome) int { return outcomeRank(a.status) - outcomeRank(b.status) }

// outcomeRank returns the precedence of an outcome by its status, with 0 as the highest. A success has the highest
// precedence, and a group that does not know the job the lowest.
func outcomeRank(status int) int {
	switch status {
	case http.StatusOK:
		return 0
	case http.StatusGatewayTimeout: // a request that may have been executed must not be reported as not executed
		return 1
	case http.StatusGone:
		return 3
	default:
		return 2
	}
}

// count returns the number of pending jobs of a queue. It asks the leader. If that fails, it returns the number from a
// recent answer, if there is one.
func (s *jobService) count(ctx context.Context, r jobRequest) (count int, known bool) {
	group := feed.GroupOf(r.queue.Service)
	call := leaderCall{route: jobapi.PendingCall.Route(), group: group, request: jobapi.PendingRequest{Group: group, Route: r.queue.Route}}
	var reply jobapi.PendingReply
	if _, err := s.leaders.attempt(ctx, call, pendingAttemptTimeout, &reply); err != nil {
		return s.pending.get(r.queue.Route)
	}
	s.pending.put(r.queue.Route, reply.Count, r.received)
	return reply.Count, true
}
