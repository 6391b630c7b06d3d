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

// groupsAtOnce bounds the groups that are asked at the same time for a job of an unknown group.
const groupsAtOnce = 4

// jobService carries out what clients ask for, by way of the groups' leaders.
type jobService struct {
	leaders *leaderCaller
	ended   *finalStates
	pending *pendingCounts
}

// jobRequest is one request of a client that concerns jobs.
type jobRequest struct {
	begun   time.Time
	allowed time.Duration // by the client and the route
	queue   jobapi.Queue
	id      job.ID
}

// outcome is the end of a request: a status, and for the status 200 of a reading also the state.
type outcome struct {
	status     int
	retryAfter time.Duration
	state      job.State
}

func outcomeOf(d decision) outcome { return outcome{status: d.status, retryAfter: d.retryAfter} }

// submit submits a job to the group of its route's service.
func (s *jobService) submit(ctx context.Context, r jobRequest, specification job.Specification) outcome {
	group := feed.GroupOf(r.queue.Service)
	request := jobapi.SubmitRequest{Group: group, ID: r.id, Queue: r.queue, Specification: specification}
	call := leaderCall{kind: submission, group: group, route: jobapi.SubmitCall.Route(), request: request, allowed: r.allowed}
	var reply jobapi.SubmitReply
	return outcomeOf(s.leaders.run(ctx, r.begun, call, &reply))
}

// status reads a job's state. A job may belong to the group of a service that its route had before, so all groups are
// asked before the answer is that the job does not exist.
func (s *jobService) status(ctx context.Context, r jobRequest) outcome {
	if state, found := s.ended.get(r.id); found {
		return outcome{status: http.StatusOK, state: state}
	}
	found := s.acrossGroups(r.queue.Service, func(group string) outcome { return s.statusIn(ctx, r, group) })
	if found.status == http.StatusOK {
		s.ended.add(r.id, found.state)
	}
	return found
}

func (s *jobService) statusIn(ctx context.Context, r jobRequest, group string) outcome {
	call := leaderCall{
		kind:    reading,
		group:   group,
		route:   jobapi.StatusCall.Route(),
		request: jobapi.StatusRequest{Group: group, ID: r.id},
		allowed: r.allowed,
	}
	var reply jobapi.StatusReply
	result := outcomeOf(s.leaders.run(ctx, r.begun, call, &reply))
	result.state = reply.State
	return goneUnlessKnown(result, reply.Known)
}

// cancel ends a job, in whichever group it is.
func (s *jobService) cancel(ctx context.Context, r jobRequest) outcome {
	return s.acrossGroups(r.queue.Service, func(group string) outcome { return s.cancelIn(ctx, r, group) })
}

func (s *jobService) cancelIn(ctx context.Context, r jobRequest, group string) outcome {
	call := leaderCall{
		kind:    cancellation,
		group:   group,
		route:   jobapi.CancelCall.Route(),
		request: jobapi.CancelRequest{Group: group, ID: r.id},
		allowed: r.allowed,
	}
	var reply jobapi.CancelReply
	result := outcomeOf(s.leaders.run(ctx, r.begun, call, &reply))
	return goneUnlessKnown(result, reply.Known)
}

func goneUnlessKnown(result outcome, known bool) outcome {
	if result.status == http.StatusOK && !known {
		result.status = http.StatusGone
	}
	return result
}

// acrossGroups asks the group of the service, and the others if that one does not know the job. The job is gone only if
// every group says so, also one whose leader is not known yet, and the feed, checked after that, is current: else there
// may be a group that is not known here.
func (s *jobService) acrossGroups(service string, request func(group string) outcome) outcome {
	found := s.mostTelling(service, request)
	if found.status == http.StatusGone && s.leaders.feed.stale() {
		return outcomeOf(refusal(http.StatusServiceUnavailable, earlyRetryAfter))
	}
	return found
}

// mostTelling asks all groups known, unless that of the service knows the job.
func (s *jobService) mostTelling(service string, request func(group string) outcome) outcome {
	own := feed.GroupOf(service)
	first := request(own)
	if first.status != http.StatusGone {
		return first
	}
	others := s.leaders.feed.newest().groupsBut(own)
	results := make([]outcome, len(others))
	slots := make(chan struct{}, groupsAtOnce)
	var asked sync.WaitGroup
	for i, group := range others {
		slots <- struct{}{}
		asked.Go(func() {
			results[i] = request(group)
			<-slots
		})
	}
	asked.Wait()
	return slices.MinFunc(append(results, first), moreTelling)
}

// moreTelling orders the outcomes at several groups: a success tells most, and that a job is gone tells least.
func moreTelling(a, b outcome) int { return rank(a.status) - rank(b.status) }

func rank(status int) int {
	switch status {
	case http.StatusOK:
		return 0
	case http.StatusGatewayTimeout: // a request that may have run must not be answered as one that has not
		return 1
	case http.StatusGone:
		return 3
	default:
		return 2
	}
}

// count returns how many jobs of a queue are pending: by the leader, or as known from it a short time ago.
func (s *jobService) count(ctx context.Context, r jobRequest) (count int, known bool) {
	group := feed.GroupOf(r.queue.Service)
	call := leaderCall{route: jobapi.PendingCall.Route(), group: group, request: jobapi.PendingRequest{Group: group, Route: r.queue.Route}}
	var reply jobapi.PendingReply
	if _, err := s.leaders.attempt(ctx, call, pendingAttemptLimit, &reply); err != nil {
		return s.pending.get(r.queue.Route)
	}
	s.pending.put(r.queue.Route, reply.Count, r.begun)
	return reply.Count, true
}
