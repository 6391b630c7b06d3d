package coordinator

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Times of a stop.
const (
	shutdownTimeout    = 2 * time.Second        // for requests under way when the process is told to stop
	finalRepliesTime   = 300 * time.Millisecond // in which others hear that leaderships were given up
	shutdownReserve    = 3 * time.Second        // of the grace period, for what follows the hand-over
	minHandOverDivisor = 4                      // the hand-over may take that part of a grace period that is shorter still
)

func (c *Coordinator) waitForStop(ctx context.Context, failures <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case <-c.store.Failed():
		return errStoreFailed
	case err := <-failures:
		return err
	}
}

// shutDown answers what was asked already, and tells callers a little longer that this node leads no more.
func (c *Coordinator) shutDown(internal, operator *http.Server) {
	patience, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	operator.Shutdown(patience)
	time.Sleep(finalRepliesTime)
	internal.Close()
	c.caller.Close()
	c.workerHTTP.CloseIdleConnections()
	c.platformHTTP.CloseIdleConnections()
}

// handOver tells the other members that this process stops. One that was told to stop first hands over: it serves on until
// no other member is being rebuilt and a joining member, if one waits, has its place and has been rebuilt; or until the rest of
// the grace period is needed.
func (c *Coordinator) handOver(ctx context.Context, told bool) {
	if !told {
		go c.replicas.Leave(ctx)
		return
	}
	limited, cancel := context.WithTimeout(ctx, handOverTimeout(c.settings.Bounds.GracePeriod))
	defer cancel()
	rebuilt := c.rebuilder.HandOver(limited, c.replicas.Leave)
	c.log.Info("handed over before the stop", zap.Bool("newcomerIsRebuilt", rebuilt))
}

// handOverTimeout is how long a member that is told to stop may wait for its successor.
func handOverTimeout(gracePeriod time.Duration) time.Duration {
	return max(gracePeriod-shutdownReserve, gracePeriod/minHandOverDivisor)
}
