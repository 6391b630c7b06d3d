package agent

import (
	"context"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// maxLocalWait bounds how long the proxy's call is held.
const maxLocalWait = 2 * time.Second

// handleLocal answers the proxy as soon as there is news or contact to the control plane has come or gone.
func (a *Agent) handleLocal(ctx context.Context, ask feed.WatchRequest) (feed.WatchReply, error) {
	wait := min(time.Duration(ask.WaitMS)*time.Millisecond, maxLocalWait)
	deadline := time.Now().Add(wait)
	for {
		regained := a.contact.whenRegained()
		news, changed := a.board.UpdateSince(ask.Known)
		now := time.Now()
		left := a.contact.left(now)
		inContact := left > 0
		pause := deadline.Sub(now)
		if news != nil || inContact != ask.Current || pause <= 0 || ctx.Err() != nil {
			return feed.WatchReply{Current: inContact, Changed: news != nil, Snapshot: news}, nil //nolint:nilerr // a call that is over gets what is known
		}
		if inContact {
			pause = min(pause, left)
		}
		waitForAny(ctx, pause, changed, regained)
	}
}

func waitForAny(ctx context.Context, pause time.Duration, changed, regained <-chan struct{}) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	case <-regained:
	}
}
