package coordinator

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Times of a stop.
const (
	stopPatience = 2 * time.Second        // for requests under way when the process is told to stop
	lastAnswers  = 300 * time.Millisecond // in which others hear that leaderships were given up
	stopReserve  = 3 * time.Second        // of the grace period, for what follows the hand-over
	leastShare   = 4                      // the hand-over may take that part of a grace period that is shorter still
)

func (c *Coordinator) wait(ctx context.Context, failures <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case <-c.store.Failed():
		return errStoreFailed
	case err := <-failures:
		return err
	}
}

// finish answers what was asked already, and tells callers a little longer that this node leads no more.
func (c *Coordinator) finish(internal, operator *http.Server) {
	patience, cancel := context.WithTimeout(context.Background(), stopPatience)
	defer cancel()
	operator.Shutdown(patience)
	time.Sleep(lastAnswers)
	internal.Close()
	c.caller.Close()
	c.orders.CloseIdleConnections()
	c.platform.CloseIdleConnections()
}

// leave tells the other members that this process stops. One that was told to stop first hands over: it serves on until
// no other member is being rebuilt and a joining member, if one waits, has its place and has been rebuilt; or until the rest of
// the grace period is needed.
func (c *Coordinator) leave(ctx context.Context, told bool) {
	if !told {
		go c.views.Leave(ctx)
		return
	}
	limited, cancel := context.WithTimeout(ctx, handOverTime(c.settings.Bounds.GracePeriod))
	defer cancel()
	rebuilt := c.rebuilder.HandOver(limited, c.views.Leave)
	c.log.Info("handed over before the stop", zap.Bool("newcomerIsRebuilt", rebuilt))
}

// handOverTime is how long a member that is told to stop may wait for its successor.
func handOverTime(gracePeriod time.Duration) time.Duration {
	return max(gracePeriod-stopReserve, gracePeriod/leastShare)
}
