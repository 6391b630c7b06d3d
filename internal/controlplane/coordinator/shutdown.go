package coordinator

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Durations of the phases of a shutdown.
const (
	shutdownTimeout      = 2 * time.Second        // limit for completing operators' requests in flight
	finalRepliesDuration = 300 * time.Millisecond // time during which callers still receive the reply that this node no longer leads
	shutdownReserve      = 3 * time.Second        // part of the grace period that is reserved for the steps after the hand-over
	// minHandOverDivisor ensures that the hand-over may take at least a quarter of the grace period. If the grace period is short,
	// this leaves less than shutdownReserve.
	minHandOverDivisor = 4
)

// waitForStop waits for a requested stop or a failure of the store or another component. It returns nil after a requested stop.
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

// shutDown completes operators' requests in flight, stops the servers and closes connections. It serves internal calls a little
// longer than operators' requests, so that callers are told at once that this node no longer leads.
func (c *Coordinator) shutDown(internal, operator *http.Server) {
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = operator.Shutdown(shutdownCtx) // requests that have not completed by then are aborted
	time.Sleep(finalRepliesDuration)
	internal.Close()
	c.caller.Close()
	c.workerHTTP.CloseIdleConnections()
	c.platformHTTP.CloseIdleConnections()
}

// handOver informs the other members that this process stops. After a failure it does not wait for them. After a requested stop it
// keeps serving until this process may stop, for at most handOverTimeout. The process may stop once a quorum of other members
// remains. If a joining member is waiting, it must also have replaced this one and have been rebuilt.
func (c *Coordinator) handOver(ctx context.Context, requested bool) {
	if !requested {
		go c.replicaSet.Leave(ctx)
		return
	}
	timeout := handOverTimeout(c.settings.Bounds.GracePeriod)
	handOverCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	departure := c.rebuilder.HandOver(handOverCtx, c.replicaSet.Leave)
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

// handOverTimeout returns how long a member may wait after a requested stop until it may stop, for example for its replacement.
func handOverTimeout(gracePeriod time.Duration) time.Duration {
	return max(gracePeriod-shutdownReserve, gracePeriod/minHandOverDivisor)
}
