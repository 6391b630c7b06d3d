package rebuild

import (
	"context"
	"time"
)

// waitForChange waits until the view changes or the context ends.
func waitForChange(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

// sleep waits, unless the context ends before; then it returns the cause.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
