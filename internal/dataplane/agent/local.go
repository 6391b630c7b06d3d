package agent

import (
	"context"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// maxLocalWait limits the time for which a call of the proxy waits for a change.
const maxLocalWait = 2 * time.Second

// handleLocal replies to the proxy when there is an update, when contact with the control plane is regained or lost, or when the
// requested wait has passed.
func (a *Agent) handleLocal(ctx context.Context, request feed.WatchRequest) (feed.WatchReply, error) {
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, maxLocalWait)
	deadline := time.Now().Add(wait)
	for {
		regained := a.contact.whenRegained()
		update, changed := a.snapshots.UpdateSince(request.Known)
		now := time.Now()
		remaining := a.contact.remaining(now)
		inContact := remaining > 0
		delay := deadline.Sub(now)
		if update != nil || inContact != request.Current || delay <= 0 || ctx.Err() != nil {
			return feed.WatchReply{Current: inContact, Changed: update != nil, Snapshot: update}, nil //nolint:nilerr // a call whose context has ended gets the known state
		}
		if inContact {
			delay = min(delay, remaining)
		}
		waitForAny(ctx, delay, changed, regained)
	}
}

// waitForAny waits until delay has passed, ctx has ended, or one of the channels is closed.
func waitForAny(ctx context.Context, delay time.Duration, changed, regained <-chan struct{}) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	case <-regained:
	}
}
