package operations

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	forwardTimeout     = 3 * time.Second         // limit for the reply of a leader, including retries and changes of the leader
	attemptTimeout     = 1500 * time.Millisecond // limit for one call
	summaryTimeout     = 800 * time.Millisecond  // limit for requesting the summaries of a status from the leaders
	leaderPollInterval = 200 * time.Millisecond  // time between two attempts if no change of leaders becomes known earlier
)

var errNoLeader = errors.New("no leader is known at the moment")

// requestedGroups returns the group of the service that a request names, or all groups if it names none.
func (h *Handler) requestedGroups(query url.Values) ([]string, error) {
	known := h.options.Sources.Groups()
	service := query.Get(ServiceParameter)
	if service == "" {
		if len(known) == 0 {
			return nil, newStatusError(http.StatusServiceUnavailable, "no service is known yet: there is no configuration, or this mixer has no contact to the others")
		}
		return known, nil
	}
	names := make([]string, 0, len(known))
	for _, group := range known {
		if feed.ServiceOf(group) == service {
			return []string{group}, nil
		}
		names = append(names, feed.ServiceOf(group))
	}
	return nil, newStatusError(http.StatusNotFound, fmt.Sprintf("no service %q; the services are: %s", service, strings.Join(names, ", ")))
}

// callLeader calls the current leader of a group until there is a successful reply or forwardTimeout has passed. It follows
// changes of the leader. Retries are safe because all requests of operators are idempotent.
func (h *Handler) callLeader(ctx context.Context, group string, route transport.IdempotentRoute, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	failure := rpcerror.WrapNotExecuted(errNoLeader, 0)
	for {
		changed := h.options.Sources.LeadersChanged()
		if leader := h.options.Sources.Leaders()[group]; leader.Address != "" {
			err := h.callOnce(ctx, leader.Address, route, request, reply)
			if err == nil {
				return nil
			}
			failure = leastCertainError(failure, err)
		}
		if err := waitForLeader(ctx, changed); err != nil {
			return fmt.Errorf("jobs of service %s: %w", feed.ServiceOf(group), failure)
		}
	}
}

func (h *Handler) callOnce(ctx context.Context, leader string, route transport.IdempotentRoute, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return h.options.Caller.Call(ctx, leader, route, request, reply)
}

// leastCertainError returns the error to report after two failed attempts or calls to two leaders. If the earlier request may have
// been executed, it returns the earlier error, otherwise the later one. Thus a request that may have been executed is never
// reported as not executed.
func leastCertainError(earlier, later error) error {
	if earlier != nil && rpcerror.ExecutionOf(earlier) == rpcerror.MayHaveExecuted {
		return earlier
	}
	return later
}

// waitForLeader waits for a change of leaders, for at most leaderPollInterval. It returns the context's error if the context has
// ended.
func waitForLeader(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(leaderPollInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// leaderReply is the reply or error of the leader of one group.
type leaderReply[Reply any] struct {
	group string
	reply Reply
	err   error
}

// callLeaders calls the leaders of several groups concurrently. The replies are in the order of the groups.
func callLeaders[Reply any](ctx context.Context, h *Handler, groups []string, route transport.IdempotentRoute, request func(group string) any) []leaderReply[Reply] {
	replies := make([]leaderReply[Reply], len(groups))
	var calls sync.WaitGroup
	for i, group := range groups {
		replies[i].group = group
		calls.Go(func() { replies[i].err = h.callLeader(ctx, group, route, request(group), &replies[i].reply) })
	}
	calls.Wait()
	return replies
}

// unansweredServices returns the services whose leaders did not reply. It returns an error if no leader replied.
func unansweredServices[Reply any](replies []leaderReply[Reply]) ([]UnansweredService, error) {
	var withoutReply []UnansweredService
	var failures []error
	for _, result := range replies {
		if result.err != nil {
			withoutReply = append(withoutReply, UnansweredService{Service: feed.ServiceOf(result.group), Error: result.err.Error()})
			failures = append(failures, result.err)
		}
	}
	if len(failures) == len(replies) {
		return nil, errors.Join(failures...)
	}
	return withoutReply, nil
}
