package configuration

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

const (
	// readInterval is the pause between quorum reads. If a member is killed before it announces an update, this interval bounds the
	// time until other members see the update.
	readInterval = 450 * time.Millisecond
	// readRetryDelay is the pause after a read that reached no majority.
	readRetryDelay = 200 * time.Millisecond
	// readTimeout is the timeout of one quorum read.
	readTimeout = 1500 * time.Millisecond
	// MaxFreshAge is the maximum age at which the cached configuration counts as current. It tolerates one failed quorum read.
	MaxFreshAge = readInterval + readTimeout
)

// Run reads the configuration at regular intervals and whenever another member announces a newer one. When ctx ends, it waits for
// the announcement calls in flight and returns nil.
func (c *Configurator) Run(ctx context.Context) error {
	defer c.close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-c.newerAnnounced:
		}
		timer.Reset(c.readWithTimeout(ctx))
	}
}

// close prevents further announcements and waits for those in flight.
func (c *Configurator) close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.announcements.Wait()
}

// readWithTimeout performs one quorum read and returns the pause until the next one.
func (c *Configurator) readWithTimeout(ctx context.Context) time.Duration {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	_, _, err := c.Read(bounded)
	if err == nil {
		return readInterval
	}
	if !errors.Is(err, context.Canceled) {
		c.options.Logger.Debug("quorum read of the configuration failed", zap.Error(err))
	}
	return readRetryDelay
}
