package coordinator

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Times of a shutdown.
const (
	shutdownTimeout    = 2 * time.Second        // for operators' requests in flight
	finalRepliesTime   = 300 * time.Millisecond // in which callers still get the answer that this node has given up its leaderships
	shutdownReserve    = 3 * time.Second        // of the grace period, for what follows the hand-over
	minHandOverDivisor = 4                      // of a grace period that is too short for shutdownReserve, this part is for the hand-over
)

// waitForStop waits for a requested stop, which is no error, or a failure of the store or another component.
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

// shutDown completes operators' requests in flight, and serves internal calls a little longer, so that callers learn at once that
// this node does not lead any more.
func (c *Coordinator) shutDown(internal, operator *http.Server) {
	patience, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = operator.Shutdown(patience) // requests that are not completed by then are cut off
	time.Sleep(finalRepliesTime)
	internal.Close()
	c.caller.Close()
	c.workerHTTP.CloseIdleConnections()
	c.platformHTTP.CloseIdleConnections()
}

// handOver tells the other members that this process stops. After a requested stop it serves on until it may stop, but no longer
// than handOverTimeout: a quorum of other members is there, and a joining member, if one waits, has replaced this one and has
// been rebuilt.
func (c *Coordinator) handOver(ctx context.Context, requested bool) {
	if !requested {
		go c.replicas.Leave(ctx)
		return
	}
	timeout := handOverTimeout(c.settings.Bounds.GracePeriod)
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	departure := c.rebuilder.HandOver(limited, c.replicas.Leave)
	replaced := departure.WasMember && !departure.View.Has(departure.Self)
	switch {
	case departure.MayStop():
		c.log.Info("handed over before shutdown", zap.Bool("joining_member_rebuilt", replaced))
	case departure.KeepsQuorum():
		c.log.Warn("shutting down before a joining member may vote", zap.Duration("waited", timeout), zap.Bool("replaced", replaced))
	default:
		c.log.Warn("shutting down although no quorum of other replicas is known to stay", zap.Duration("waited", timeout),
			zap.Int("staying", departure.Staying), zap.Strings("replicas", departure.View.Members))
	}
}

// handOverTimeout is how long a member may wait for its successor after a requested stop.
func handOverTimeout(gracePeriod time.Duration) time.Duration {
	return max(gracePeriod-shutdownReserve, gracePeriod/minHandOverDivisor)
}
