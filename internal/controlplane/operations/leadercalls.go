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
	forwardTimeout     = 3 * time.Second         // for a reply of a leader, whichever node leads in the meantime
	attemptTimeout     = 1500 * time.Millisecond // for one call
	summaryTimeout     = 800 * time.Millisecond  // for the part of the status that leaders know
	leaderPollInterval = 200 * time.Millisecond  // between two attempts while no change of leader is known
)

var errNoLeader = errors.New("no leader is known at the moment")

func serviceOf(group string) string { return strings.TrimPrefix(group, feed.GroupOf("")) }

// groups lists the groups of a request: that of the service it names, or all.
func (h *Handler) groups(query url.Values) ([]string, error) {
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
		if serviceOf(group) == service {
			return []string{group}, nil
		}
		names = append(names, serviceOf(group))
	}
	return nil, newStatusError(http.StatusNotFound, fmt.Sprintf("no service %q; the services are: %s", service, strings.Join(names, ", ")))
}

// callLeader calls the leader of a group, and each later leader, until one replies or forwardTimeout is over. All requests of
// operators are idempotent.
func (h *Handler) callLeader(ctx context.Context, group string, route transport.IdempotentRoute, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	worst := rpcerror.WrapNotExecuted(errNoLeader, 0)
	for {
		changed := h.options.Sources.Changed()
		if leader := h.options.Sources.Leaders()[group]; leader.Address != "" {
			err := h.callOnce(ctx, leader.Address, route, request, reply)
			if err == nil {
				return nil
			}
			worst = lessCertain(worst, err)
		}
		if err := waitForLeader(ctx, changed); err != nil {
			return fmt.Errorf("jobs of service %s: %w", serviceOf(group), worst)
		}
	}
}

func (h *Handler) callOnce(ctx context.Context, leader string, route transport.IdempotentRoute, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return h.options.Caller.Call(ctx, leader, route, request, reply)
}

// lessCertain is the error to report of two attempts, or of the calls to two leaders: one that may have been executed outweighs
// any other; else it is the later one.
func lessCertain(earlier, later error) error {
	if earlier != nil && rpcerror.ExecutionOf(earlier) == rpcerror.MayHaveExecuted {
		return earlier
	}
	return later
}

// waitForLeader waits for a change of leaders, but at most leaderPollInterval.
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

// callLeaders calls the leaders of several groups concurrently. The replies have the order of the groups.
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

// unanswered lists the groups whose leaders did not reply. It is an error if none did.
func unanswered[Reply any](replies []leaderReply[Reply]) ([]Unanswered, error) {
	var withoutReply []Unanswered
	var failures []error
	for _, result := range replies {
		if result.err != nil {
			withoutReply = append(withoutReply, Unanswered{Service: serviceOf(result.group), Error: result.err.Error()})
			failures = append(failures, result.err)
		}
	}
	if len(failures) == len(replies) {
		return nil, errors.Join(failures...)
	}
	return withoutReply, nil
}
