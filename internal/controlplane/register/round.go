package register

import (
	"context"
	"fmt"
	"time"
)

// RoundLimit is the maximum duration of every quorum round in the system. A reply counts only if the proposer processes it
// within this time after the start of the round, measured with the proposer's monotonic clock. A member that lost its disk
// waits longer than this after its start before it requests copies from the other members. By then, every round that counted a
// reply from before the disk loss is over.
const RoundLimit = 1500 * time.Millisecond

// sendFunc sends the request of a round to one member.
type sendFunc func(ctx context.Context, member string) (reply, error)

// run sends a request to all members at once. It returns as soon as a majority has granted the request or a majority has become
// impossible. Calls that are still running continue until the round limit, so that slow members also receive the request. The
// error is a *viewError, errConflict or ErrNoQuorum.
func (r *round) run(ctx context.Context, send sendFunc) error {
	r.startTime = time.Now()
	timer := time.NewTimer(r.limit)
	defer timer.Stop()
	r.results, r.outstanding = r.sendAll(ctx, send), len(r.view.Members)
	for len(r.granted) < r.view.Quorum() {
		if len(r.granted)+r.outstanding < r.view.Quorum() {
			return r.failureReason()
		}
		select {
		case next := <-r.results:
			r.outstanding--
			if time.Since(r.startTime) > r.limit {
				return r.noQuorumError()
			}
			r.addResult(next)
		case <-timer.C:
			return r.noQuorumError()
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNoQuorum, context.Cause(ctx))
		}
	}
	return nil
}

// awaitAgreement counts further replies after run until a majority has accepted the same state. It stops after the given wait
// or at the round limit. It returns a reply with that state and reports whether there is such a majority.
func (r *round) awaitAgreement(ctx context.Context, wait time.Duration) (reply, bool) {
	timer := time.NewTimer(min(wait, r.limit-time.Since(r.startTime)))
	defer timer.Stop()
	for {
		if majority, agreed := r.majorityReply(); agreed || r.outstanding == 0 {
			return majority, agreed
		}
		select {
		case next := <-r.results:
			r.outstanding--
			if time.Since(r.startTime) > r.limit {
				return reply{}, false
			}
			r.addResult(next)
		case <-timer.C:
			return reply{}, false
		case <-ctx.Done():
			return reply{}, false
		}
	}
}

// sendAll starts one call to each member. The calls continue after the end of ctx, until the round limit.
func (r *round) sendAll(ctx context.Context, send sendFunc) <-chan callResult {
	detached := context.WithoutCancel(ctx)
	results := make(chan callResult, len(r.view.Members))
	for _, member := range r.view.Members {
		go func() {
			callContext, cancel := context.WithTimeout(detached, r.limit)
			defer cancel()
			reply, err := send(callContext, member)
			reply.member = member
			results <- callResult{reply, err}
		}()
	}
	return results
}
