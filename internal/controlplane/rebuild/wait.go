package rebuild

import (
	"context"
)

// waitForChange waits until the view changes or the context ends.
func waitForChange(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	}
}
