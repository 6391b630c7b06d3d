package storage

import (
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	// RejectionBackoff is the time after a rejected write during which the store tries no other one and fails all writes.
	RejectionBackoff = 100 * time.Millisecond
	// CompactionBackoff is the time after a compaction that the disk rejected during which no other one is tried.
	CompactionBackoff = 5 * time.Second
)

// ErrWriteRejected is the error of a write that the disk rejected in whole or in part. The store is unchanged and accepts later
// writes.
var ErrWriteRejected = errors.New("the disk rejected the write")

// IsFull reports whether an error means that the disk or the user's disk quota is full.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

func newWriteRejectedError(cause error) error {
	return rpcerror.WrapNotExecuted(fmt.Errorf("%w: %w", ErrWriteRejected, cause), RejectionBackoff)
}

// rejection is the newest error of a write that the disk rejected.
type rejection struct {
	err   error
	until time.Time // end of the backoff
}

// current returns the error of all writes during the backoff, and nil after it.
func (r *rejection) current() error {
	if r.err != nil && time.Now().Before(r.until) {
		return r.err
	}
	return nil
}

// rollBack undoes a write of which only the first written bytes are in the file. It returns the error for the callers of Write.
// The error is ErrWriteRejected if the file is as it was before the write. A power loss can then not bring the write back. The
// truncation needs no sync for this: the part is no complete record, and recovery truncates an incomplete last record.
func (s *FileStore) rollBack(written int, cause error) error {
	cause = fmt.Errorf("write store: %w", cause)
	if written >= len(s.buffer) {
		return cause
	}
	if written > 0 {
		if err := s.file.Truncate(s.fileLength); err != nil {
			return fmt.Errorf("%w; truncate the incomplete write: %w", cause, err)
		}
		if _, err := s.file.Seek(s.fileLength, io.SeekStart); err != nil {
			return fmt.Errorf("%w; seek before the incomplete write: %w", cause, err)
		}
	}
	s.rejection = rejection{err: newWriteRejectedError(cause), until: time.Now().Add(RejectionBackoff)}
	return s.rejection.err
}
