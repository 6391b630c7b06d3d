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
	fullDiskRetryInterval = 200 * time.Millisecond // between attempts while the disk is full or rejects writes
	bytesPerMB            = 1 << 20
)

// storeOptions leaves a sixteenth of the disk unused. Without a known size, the store is not limited.
func storeOptions(limits nodesettings.Limits) storage.Options {
	return storage.Options{SizeLimit: limits.DiskMB * bytesPerMB * 15 / 16}
}

// Open makes a coordinator as New does. While that fails because the disk is full, it retries until the context ends.
func Open(ctx context.Context, settings nodesettings.Settings, log *zap.Logger) (*Coordinator, error) {
	return retryWhileDiskFull(ctx, log, func() (*Coordinator, error) { return New(settings, log) })
}

// retryWhileDiskFull retries as long as an attempt fails because the disk is full.
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

// retryWhileWritesRejected restarts a component as long as it ends because the store rejected a write.
func retryWhileWritesRejected(ctx context.Context, part func() error) error {
	for {
		err := part()
		if !errors.Is(err, storage.ErrWriteRejected) || !timer.Sleep(ctx, fullDiskRetryInterval) {
			return err
		}
	}
}
