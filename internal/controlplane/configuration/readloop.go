package configuration

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

const (
	// readInterval is the pause between quorum reads. It bounds how long an update stays unknown here whose member was killed before
	// it announced the new version.
	readInterval = 450 * time.Millisecond
	// readRetry is the pause after a read that reached no majority.
	readRetryDelay = 200 * time.Millisecond
	// readTimeout bounds one quorum read.
	readTimeout = 1500 * time.Millisecond
	// FreshAge is the age up to which the cached configuration counts as current. One quorum read may fail meanwhile.
	FreshAge = readInterval + readTimeout
)

// Run reads the configuration at regular intervals, and when another member has announced a newer one, until ctx ends. Then it
// waits for the calls in flight. It always returns nil.
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

// close sends no more announcements and waits for those in flight.
func (c *Configurator) close() {
	c.mutex.Lock()
	c.closed = true
	c.mutex.Unlock()
	c.announcements.Wait()
}

// readBounded makes one quorum read and returns the pause until the next.
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
