// Package timer provides a sleep that ends early when its context ends.
package timer

import (
	"context"
	"time"
)

// Sleep waits for the duration and returns true, or returns false as soon as the context has ended. It does not wait if the
// duration is 0 or negative.
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
