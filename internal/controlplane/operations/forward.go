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
	forwardTimeout     = 3 * time.Second         // for an answer of a leader, whoever that is in the meantime
	attemptTimeout     = 1500 * time.Millisecond // for one call
	summaryTimeout     = 800 * time.Millisecond  // for the part of the status that leaders know
	leaderPollInterval = 200 * time.Millisecond  // between two tries without news of a leader
)

var errNoLeader = errors.New("no leader is known at the moment")

func serviceOf(group string) string { return strings.TrimPrefix(group, feed.GroupOf("")) }

// groups lists the groups that a request is about: the one of the service it names, or all.
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

// ask calls the leader of a group, and whoever leads it next, until there is an answer or the time is over. All requests
// of operators may be carried out twice.
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

// lessCertain is the error to report of two tries, or of the tries at two leaders: one that may have been carried out outweighs
// all others, else the later.
func lessCertain(earlier, later error) error {
	if earlier != nil && rpcerror.ExecutionOf(earlier) == rpcerror.MayHaveExecuted {
		return earlier
	}
	return later
}

// waitForLeader waits for a change of leaders, though not for long.
func waitForLeader(ctx context.Context, changed <-chan struct{}) error {
	pause := time.NewTimer(leaderPollInterval)
	defer pause.Stop()
	select {
	case <-changed:
	case <-pause.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// leaderReply is what the leader of one group said.
type leaderReply[Reply any] struct {
	group string
	reply Reply
	err   error
}

// callLeaders asks the leaders of several groups at the same time. The answers have the order of the groups.
func callLeaders[Reply any](ctx context.Context, h *Handler, groups []string, route transport.IdempotentRoute, request func(group string) any) []leaderReply[Reply] {
	answers := make([]leaderReply[Reply], len(groups))
	var calls sync.WaitGroup
	for i, group := range groups {
		answers[i].group = group
		calls.Go(func() { answers[i].err = h.callLeader(ctx, group, route, request(group), &answers[i].reply) })
	}
	calls.Wait()
	return answers
}

// unanswered lists the groups whose leaders gave no answer. If none gave one, that is an error.
func unanswered[Reply any](answers []leaderReply[Reply]) ([]Unanswered, error) {
	var silent []Unanswered
	var failures []error
	for _, one := range answers {
		if one.err != nil {
			silent = append(silent, Unanswered{Service: serviceOf(one.group), Error: one.err.Error()})
			failures = append(failures, one.err)
		}
	}
	if len(failures) == len(answers) {
		return nil, errors.Join(failures...)
	}
	return silent, nil
}
