package coordinator

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// errOther is a failure that is not retried.
var errOther = errors.New("another failure")

func TestStoreSizeLimitLeavesReserveOnDisk(t *testing.T) {
	if got := storeOptions(nodesettings.Limits{DiskMB: 128}).SizeLimit; got != 120<<20 {
		t.Errorf("the size limit on a disk of 128 MB is %d bytes", got)
	}
	if got := storeOptions(nodesettings.Limits{}); got != (storage.Options{}) {
		t.Errorf("options without a known disk size: %+v", got)
	}
}

func TestOpenRetriesWhileDiskIsFull(t *testing.T) {
	full := fmt.Errorf("open: %w", syscall.ENOSPC)
	for _, finalErr := range []error{nil, errOther} {
		virtualtime.Test(t, func(t *testing.T) {
			attempts, began := 0, time.Now()
			result, err := retryWhileDiskFull(t.Context(), zap.NewNop(), func() (int, error) {
				attempts++
				if attempts < 4 {
					return 0, full
				}
				return 7, finalErr
			})
			if result != 7 || err != finalErr || attempts != 4 || time.Since(began) != 3*fullDiskRetryInterval { //nolint:errorlint // returned as it is
				t.Errorf("%d, %v after %d attempts and %v", result, err, attempts, time.Since(began))
			}
		})
	}
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second+fullDiskRetryInterval/2)
		defer cancel()
		_, err := retryWhileDiskFull(ctx, zap.NewNop(), func() (int, error) { return 0, full })
		if !storage.IsFull(err) || ctx.Err() == nil {
			t.Errorf("stopped with %v", err)
		}
	})
}

func TestRejectedWritesAreRetried(t *testing.T) {
	rejected := fmt.Errorf("store view: %w", storage.ErrWriteRejected)
	for _, finalErr := range []error{nil, errOther} {
		virtualtime.Test(t, func(t *testing.T) {
			runs := 0
			err := retryWhileWritesRejected(t.Context(), func() error {
				runs++
				if runs < 3 {
					return rejected
				}
				return finalErr
			})
			if err != finalErr || runs != 3 { //nolint:errorlint // returned as it is
				t.Errorf("%v after %d runs", err, runs)
			}
		})
	}
}
