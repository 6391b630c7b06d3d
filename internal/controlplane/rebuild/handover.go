package rebuild

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/timer"
)

const (
	readyInterval = 100 * time.Millisecond // between requests whether members have been rebuilt
	readyTimeout  = 500 * time.Millisecond // of one such request to a joining member
	// rebuildingTimeout is the same for the other members, of which those that have failed are to delay nothing.
	rebuildingTimeout = 200 * time.Millisecond
)

func (r *Rebuilder) handleReady(context.Context, readyRequest) (readyReply, error) {
	return readyReply{Ready: r.Ready() && r.config.Views.View().Has(r.config.Self)}, nil
}

// HandOver lets a joining member replace this departing member. It waits for members that are being rebuilt, as they may
// need this member's snapshot; calls leave, which is to return once this member has been replaced or there is nobody to
// replace it; and waits until the joining member has been rebuilt. It tells whether that is so; then nothing is left that
// only this process holds.
func (r *Rebuilder) HandOver(ctx context.Context, leave func(ctx context.Context) (replaced bool)) bool {
	for {
		r.awaitRebuilds(ctx)
		earlier := r.config.Views.View()
		if leave(ctx) {
			return r.awaitJoiningMembers(ctx, earlier)
		}
		if !r.anyRebuilding(ctx) {
			return false // a joining member may have replaced another member instead, and be rebuilt by now
		}
	}
}

// awaitRebuilds waits while another member replies that it is being rebuilt. It does not wait for members that do not reply.
func (r *Rebuilder) awaitRebuilds(ctx context.Context) {
	for r.anyRebuilding(ctx) {
		if !timer.Sleep(ctx, readyInterval) {
			return
		}
	}
}

func (r *Rebuilder) anyRebuilding(ctx context.Context) bool {
	others := func(member string) bool { return member != r.config.Self }
	rebuilding, _ := r.countNotReady(ctx, others, rebuildingTimeout)
	return rebuilding > 0
}

// awaitJoiningMembers waits until each member of the current view that was none in an earlier view may vote, or the context
// ends. It tells whether they may.
func (r *Rebuilder) awaitJoiningMembers(ctx context.Context, earlier replicaset.View) bool {
	joined := func(member string) bool { return !earlier.Has(member) }
	for {
		if rebuilding, unreachable := r.countNotReady(ctx, joined, readyTimeout); rebuilding+unreachable == 0 {
			return true
		}
		if !timer.Sleep(ctx, readyInterval) {
			return false
		}
	}
}

// countNotReady asks the selected members of the current view at once whether they may vote. It returns how many replied
// that they may not, and how many did not reply in time.
func (r *Rebuilder) countNotReady(ctx context.Context, selected func(member string) bool, timeout time.Duration) (rebuilding, unreachable int) {
	var calls sync.WaitGroup
	var notReady, failed atomic.Int32
	for _, member := range r.config.Views.View().Members {
		if !selected(member) {
			continue
		}
		calls.Go(func() {
			switch ready, err := r.requestReady(ctx, member, timeout); {
			case err != nil:
				failed.Add(1)
			case !ready:
				notReady.Add(1)
			}
		})
	}
	calls.Wait()
	return int(notReady.Load()), int(failed.Load())
}

func (r *Rebuilder) requestReady(ctx context.Context, member string, timeout time.Duration) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := readyCall.Call(ctx, r.config.Caller, member, readyRequest{})
	if err != nil {
		r.config.Logger.Debug("readiness request failed", zap.String("member", member), zap.Error(err))
	}
	return reply.Ready, err
}
