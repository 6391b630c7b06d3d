package register

import (
	"context"
	"errors"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// RoundLimit bounds every quorum round in the system: an answer counts only if it arrived within this time of the round's
// start, by the proposer's steady clock. A member that lost its disk waits longer than that after its start before it
// asks the others for what they hold; so no round that counted its former answers is then still open.
const RoundLimit = 1500 * time.Millisecond

var (
	// ErrNoQuorum is the failure of a round that too few members answered in time.
	ErrNoQuorum = errors.New("too few members answered")
	// ErrNoView is the failure of a proposer that knows no members.
	ErrNoView = errors.New("the replicas are not known")
	// errConflict is the failure of a round that lost against a higher proposal number.
	errConflict = errors.New("a higher ballot was promised")
)

// viewError is the failure of a round at members with another view.
type viewError struct{ view replicaset.View }

func (e *viewError) Error() string {
	return fmt.Sprintf("members work with view %d of the replicas", e.view.Version)
}

// answer is what one member replied, or why it did not.
type answer struct {
	reply reply
	err   error
}

// sender sends the round's request to one member.
type sender func(ctx context.Context, member string) (reply, error)

// round collects the answers to one request that went to all members of a view.
type round struct {
	view     replicaset.View
	limit    time.Duration
	granted  []reply
	refused  int
	failures []error
	highest  ProposalNumber // promised to anyone
	newer    replicaset.View
}

// run sends a request to all members at once and returns at the first majority, or once there can be none. Requests that
// are then still open go on until the limit, so that a slow member is not left behind.
func (r *round) run(ctx context.Context, send sender) error {
	start := time.Now()
	limit := time.NewTimer(r.limit)
	defer limit.Stop()
	answers := r.sendAll(ctx, send)
	for open := len(r.view.Members); len(r.granted) < r.view.Quorum(); open-- {
		if len(r.granted)+open < r.view.Quorum() {
			return r.failure()
		}
		select {
		case next := <-answers:
			if time.Since(start) > r.limit {
				return r.tooFew()
			}
			r.count(next)
		case <-limit.C:
			return r.tooFew()
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNoQuorum, context.Cause(ctx))
		}
	}
	return nil
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

func (r *round) count(next answer) {
	if next.err != nil {
		r.failures = append(r.failures, next.err)
		return
	}
	if r.highest.Less(next.reply.Promised) {
		r.highest = next.reply.Promised
	}
	switch next.reply.Outcome {
	case granted:
		r.granted = append(r.granted, next.reply)
	case conflict:
		r.refused++
	case viewMismatch:
		if next.reply.View.Version > r.newer.Version {
			r.newer = next.reply.View
		}
		r.failures = append(r.failures, &viewError{next.reply.View})
	}
}

// failure says why there is no majority.
func (r *round) failure() error {
	switch {
	case r.newer.Version > r.view.Version:
		return &viewError{r.newer}
	case r.refused > 0:
		return errConflict
	}
	return r.tooFew()
}

func (r *round) tooFew() error {
	err := fmt.Errorf("%w: %d of %d within %v", ErrNoQuorum, len(r.granted), len(r.view.Members), r.limit)
	return errors.Join(append([]error{err}, r.failures...)...)
}

// latest returns the answer with the highest accepted proposal number, and whether all have that one: then it is committed, as a
// majority holds it.
func (r *round) latest() (reply, bool) {
	latest := r.granted[0]
	same := true
	for _, next := range r.granted[1:] {
		if next.Accepted != latest.Accepted {
			same = false
		}
		if latest.Accepted.Less(next.Accepted) {
			latest = next
		}
	}
	return latest, same
}
