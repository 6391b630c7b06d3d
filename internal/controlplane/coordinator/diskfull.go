package coordinator

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/timer"
)

const (
	fullDiskRetryInterval = 200 * time.Millisecond // time between two attempts while the disk is full or the store rejects writes
	bytesPerMB            = 1 << 20
)

// storeOptions limits the size of the store so that a sixteenth of the disk stays unused. If the size of the disk is not set, the
// store is not limited.
func storeOptions(limits nodesettings.Limits) storage.Options {
	return storage.Options{SizeLimit: limits.DiskMB * bytesPerMB * 15 / 16}
}

// Open creates a coordinator as New does. If New fails because the disk is full, Open retries it until the context ends.
func Open(ctx context.Context, settings nodesettings.Settings, log *zap.Logger) (*Coordinator, error) {
	return retryWhileDiskFull(ctx, log, func() (*Coordinator, error) { return New(settings, log) })
}

// retryWhileDiskFull repeats an attempt as long as it fails because the disk is full and the context has not ended.
func retryWhileDiskFull[Result any](ctx context.Context, log *zap.Logger, attempt func() (Result, error)) (Result, error) {
	for warned := false; ; warned = true {
		result, err := attempt()
		if !storage.IsFull(err) {
			return result, err
		}
		if !warned {
			log.Warn("disk full, waiting for free space", zap.Error(err))
		}
		if !timer.Sleep(ctx, fullDiskRetryInterval) {
			return result, err
		}
	}
}

// retryWhileWritesRejected restarts a component as long as it ends because the store rejected a write and the context has not
// ended.
func retryWhileWritesRejected(ctx context.Context, run func() error) error {
	for {
		err := run()
		if !errors.Is(err, storage.ErrWriteRejected) || !timer.Sleep(ctx, fullDiskRetryInterval) {
			return err
		}
	}
}
