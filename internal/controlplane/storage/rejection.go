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
	// RejectionBackoff is how long no write is tried after one that the disk rejected.
	RejectionBackoff = 100 * time.Millisecond
	// CompactionBackoff is how long no compaction is tried after one for which there was no space.
	CompactionBackoff = 5 * time.Second
)

// ErrWriteRejected is the failure of a write that the disk did not take, in whole or in part. The store is as it was before the
// write, and goes on.
var ErrWriteRejected = errors.New("the disk refused the write")

// IsFull tells whether an error comes from a disk that takes no more bytes for now.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

func rejectedWrite(cause error) error {
	return rpcerror.WrapNotExecuted(fmt.Errorf("%w: %w", ErrWriteRejected, cause), RejectionBackoff)
}

// rejection is the newest failure of a write that the disk rejected.
type rejection struct {
	err   error
	until time.Time // no write is tried before
}

// current returns the newest rejection while no write is to be tried; nil otherwise.
func (r *rejection) current() error {
	if r.err != nil && time.Now().Before(r.until) {
		return r.err
	}
	return nil
}

// rollBack takes back a write of which the file has got a part, and returns the error for its writers: ErrWriteRejected where the
// file is as before, which then also holds after a loss of power. The part needs no sync to be gone: it is no complete
// record, and recovery truncates an incomplete last one.
func (s *FileStore) rollBack(written int, cause error) error {
	cause = fmt.Errorf("write store: %w", cause)
	if written >= len(s.buffer) {
		return cause
	}
	if written > 0 {
		if err := s.file.Truncate(s.length); err != nil {
			return fmt.Errorf("%w; truncate the incomplete write: %w", cause, err)
		}
		if _, err := s.file.Seek(s.length, io.SeekStart); err != nil {
			return fmt.Errorf("%w; seek before the incomplete write: %w", cause, err)
		}
	}
	s.rejection = rejection{err: rejectedWrite(cause), until: time.Now().Add(RejectionBackoff)}
	return s.rejection.err
}
