package agent

import (
	"context"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// maxLocalWait bounds how long the proxy's call may wait.
const maxLocalWait = 2 * time.Second

// handleLocal answers the proxy as soon as there is an update or contact to the control plane has come or gone.
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
			return feed.WatchReply{Current: inContact, Changed: update != nil, Snapshot: update}, nil //nolint:nilerr // a call that is over gets what is known
		}
		if inContact {
			delay = min(delay, remaining)
		}
		waitForAny(ctx, delay, changed, regained)
	}
}

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
