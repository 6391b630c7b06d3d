package proxy

import (
	"context"
	"net/http"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

// jobService executes the clients' requests by calling the leaders of the replication groups.
type jobService struct {
	leaders *leaderCaller
	final   *finalStates
	pending *pendingCounts
}

// jobRequest is a client's request about a job or a queue.
type jobRequest struct {
	received   time.Time
	timeout    time.Duration // the shorter of the client's and the route's
	host, path string
	view       *view        // in which the queue was found
	queue      jobapi.Queue // by that view
	id         job.ID       // empty for a request about a queue
}

// locate returns the request's queue in a view. The configuration may have changed since the request's arrival. Found is false if no queue
// has the path now.
func (r *jobRequest) locate(v *view) (queue jobapi.Queue, found bool) {
	if v == r.view {
		return r.queue, true
	}
	target, found := locateTarget(v, r.host, r.path)
	return target.route.Queue, found && target.id == r.id
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
	var reply jobapi.SubmitReply
	result := outcomeOf(s.leaders.run(ctx, r.received, leaderCall{kind: submitOperation, timeout: r.timeout, locate: func(v *view) (locatedCall, bool) {
		queue, found := r.locate(v)
		group := feed.GroupOf(queue.Service)
		request := jobapi.SubmitRequest{Group: group, ID: r.id, Queue: queue, Specification: specification, Version: v.version}
		return locatedCall{group: group, route: jobapi.SubmitCall.Route(), request: request}, found
	}}, &reply))
	if result.status == http.StatusOK && reply.IDTaken {
		result.status = http.StatusConflict
	}
	return result
}

// status returns a job's state.
func (s *jobService) status(ctx context.Context, r jobRequest) outcome {
	if state, found := s.final.get(r.queue.Key, r.id); found {
		return outcome{status: http.StatusOK, state: state}
	}
	var reply jobapi.StatusReply
	result := outcomeOf(s.leaders.run(ctx, r.received, leaderCall{kind: statusOperation, timeout: r.timeout, locate: func(v *view) (locatedCall, bool) {
		queue, found := r.locate(v)
		group := feed.GroupOf(queue.Service)
		request := jobapi.StatusRequest{Group: group, ID: r.id, Queue: queue.Key, Version: v.version}
		return locatedCall{group: group, route: jobapi.StatusCall.Route(), request: request}, found
	}}, &reply))
	result = s.unlessUnknown(result, reply.Known, reply.NoSuchJob)
	if result.status == http.StatusOK {
		result.state = reply.State
		s.final.add(r.queue.Key, r.id, reply.State)
	}
	return result
}

// cancel cancels a job.
func (s *jobService) cancel(ctx context.Context, r jobRequest) outcome {
	var reply jobapi.CancelReply
	result := outcomeOf(s.leaders.run(ctx, r.received, leaderCall{kind: cancelOperation, timeout: r.timeout, locate: func(v *view) (locatedCall, bool) {
		queue, found := r.locate(v)
		group := feed.GroupOf(queue.Service)
		request := jobapi.CancelRequest{Group: group, ID: r.id, Queue: queue.Key, Version: v.version}
		return locatedCall{group: group, route: jobapi.CancelCall.Route(), request: request}, found
	}}, &reply))
	result = s.unlessUnknown(result, reply.Known, reply.NoSuchJob)
	if reply.NoSuchJob && result.status == http.StatusServiceUnavailable {
		return outcome{status: http.StatusGatewayTimeout} // the leader has remembered the cancellation, so it is not refused
	}
	return result
}

// unlessUnknown replaces the status 200 if the leader does not know the job. The only answer that there is no such job is given here: if
// the leader has confirmed it for all groups, and the feed is current after that. Otherwise the answer is 503.
func (s *jobService) unlessUnknown(result outcome, known, noSuchJob bool) outcome {
	switch {
	case result.status != http.StatusOK || known:
		return result
	case noSuchJob && !s.leaders.feed.stale():
		return outcome{status: http.StatusGone}
	}
	return outcomeOf(refusal(http.StatusServiceUnavailable, unavailableRetryAfter))
}

// count returns the number of pending jobs of a queue. It asks the leader. If that fails, it returns the number from a
// recent answer, if there is one.
func (s *jobService) count(ctx context.Context, r jobRequest) (count int, known bool) {
	group := feed.GroupOf(r.queue.Service)
	request := jobapi.PendingRequest{Group: group, Route: r.queue.Route, Queue: r.queue.Key, Version: r.view.version}
	var reply jobapi.PendingReply
	call := locatedCall{route: jobapi.PendingCall.Route(), group: group, request: request}
	if _, err := s.leaders.attempt(ctx, call, pendingAttemptTimeout, &reply); err != nil {
		return s.pending.get(r.queue.Key)
	}
	s.pending.put(r.queue.Key, reply.Count, r.received)
	return reply.Count, true
}
