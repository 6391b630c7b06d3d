package register

import (
	"context"
	"fmt"
	"time"
)

// RoundLimit bounds every quorum round in the system: an answer counts only if it arrived within this time of the round's
// start, by the proposer's monotonic clock. A member that lost its disk waits longer than that after its start before it
// requests copies from the others; so no round that counted its former answers is then still open.
const RoundLimit = 1500 * time.Millisecond

// sender sends the round's request to one member.
type sender func(ctx context.Context, member string) (reply, error)

// run sends a request to all members at once and returns at the first majority, or once there can be none. Requests that are
// then in flight go on until the limit, so that a slow member does not fall behind. The error is a *viewError, errConflict or
// ErrNoQuorum.
func (r *round) run(ctx context.Context, send sender) error {
	r.start = time.Now()
	limit := time.NewTimer(r.limit)
	defer limit.Stop()
	r.answers, r.open = r.sendAll(ctx, send), len(r.view.Members)
	for len(r.granted) < r.view.Quorum() {
		if len(r.granted)+r.open < r.view.Quorum() {
			return r.failure()
		}
		select {
		case next := <-r.answers:
			r.open--
			if time.Since(r.start) > r.limit {
				return r.noQuorum()
			}
			r.count(next)
		case <-limit.C:
			return r.noQuorum()
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNoQuorum, context.Cause(ctx))
		}
	}
	return nil
}

// awaitAgreement counts further answers after run, for a while and within the limit, until a majority agrees. It tells whether one
// does.
func (r *round) awaitAgreement(ctx context.Context, wait time.Duration) (reply, bool) {
	limit := time.NewTimer(min(wait, r.limit-time.Since(r.start)))
	defer limit.Stop()
	for {
		if common, agreed := r.agreed(); agreed || r.open == 0 {
			return common, agreed
		}
		select {
		case next := <-r.answers:
			r.open--
			if time.Since(r.start) > r.limit {
				return reply{}, false
			}
			r.count(next)
		case <-limit.C:
			return reply{}, false
		case <-ctx.Done():
			return reply{}, false
		}
	}
}

// sendAll starts one call for each member.
func (r *round) sendAll(ctx context.Context, send sender) <-chan answer {
	lasting := context.WithoutCancel(ctx)
	answers := make(chan answer, len(r.view.Members))
	for _, member := range r.view.Members {
		go func() {
			limited, cancel := context.WithTimeout(lasting, r.limit)
			defer cancel()
			reply, err := send(limited, member)
			reply.member = member
			answers <- answer{reply, err}
		}()
	}
	return answers
}
