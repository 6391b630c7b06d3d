// Package timer has waits that end with a context.
package timer

import (
	"context"
	"time"
)

// Sleep waits for the duration and returns true, or returns false as soon as the context has ended. A duration of 0 or less is
// over at once.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
