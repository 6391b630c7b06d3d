package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"time"
)

const (
	fileName          = "store.log"
	temporaryFileName = "store.log.new" // of the file that compaction writes

	defaultCompactAbove = 4 << 20   // bytes
	defaultSizeLimit    = 120 << 20 // bytes
	// compactionGrowthFactor is the ratio of the file's length to the live data above which the file is compacted.
	compactionGrowthFactor = 3
	// maxBatchBytes bounds the encoded changes of several writes that are written and synced together.
	maxBatchBytes = 8 << 20
)

var (
	// ErrClosed is the error of writes after Close.
	ErrClosed = errors.New("store is closed")
	// ErrTooLarge is the error of a write that exceeds the maximum size of a record. The store accepts later writes.
	ErrTooLarge = errors.New("write is too large for the store")
)

// FileStore is a Store in one append-only file. Concurrent writes are appended and synced together. A write that the disk
// rejects is rolled back, and the store accepts later ones. After a failed sync or a failed rollback the store fails for good:
// later writes return the same error, and a new process has to open the file again.
type FileStore struct {
	files     FileSystem
	directory string
	options   Options

	guardedContents

	queue      commitQueue
	failed     chan struct{} // closed when the store fails for good
	writerDone chan struct{} // closed when the writer goroutine has returned

	// Only the writer goroutine uses these fields after Open has returned.
	file             File
	fileID           uint64 // random, from the file's header
	fileLength       int64  // bytes up to the end of the last complete record
	buffer           []byte // of the record that is written
	rejection        rejection
	compactNotBefore time.Time // end of the backoff after a failed compaction
}

// Open opens the store in a directory. It creates the directory and the store if they are missing. Everything that the
// returned store holds is synced, so that a power loss cannot revert what a reader has seen. An existing store is opened
// without writing data, so that it also opens on a full disk. The error is ErrCorrupt if synced data of the file is damaged
// or missing.
func Open(files FileSystem, directory string, options Options) (*FileStore, OpenResult, error) {
	store := &FileStore{
		files:           files,
		directory:       directory,
		options:         options.withDefaults(),
		guardedContents: newGuardedContents(),
		failed:          make(chan struct{}),
		writerDone:      make(chan struct{}),
	}
	store.queue.wake = make(chan struct{}, 1)
	opened, err := store.openOrCreate()
	if err != nil {
		if store.file != nil {
			_ = store.file.Close() // the caller gets the error of opening, and nothing was written
		}
		return nil, OpenResult{}, fmt.Errorf("open store in %s: %w", directory, err)
	}
	go store.runWriter()
	return store, opened, nil
}

// Write implements Store. The error is ErrTooLarge, ErrWriteRejected, ErrClosed, or the error with which the store failed.
func (s *FileStore) Write(changes ...Change) error {
	encoded, err := appendChanges(nil, changes)
	if err != nil {
		return err
	}
	if len(encoded) > maxPayloadBytes {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, len(encoded))
	}
	write := &pendingWrite{changes: cloneChanges(changes), encoded: encoded, done: make(chan error, 1)}
	if err := s.queue.add(write); err != nil {
		return err
	}
	return <-write.done
}

// Failed returns a channel that is closed when the store has failed for good. A rejected write doesn't close it.
func (s *FileStore) Failed() <-chan struct{} { return s.failed }

// Close waits for the queued writes, rejects new ones with ErrClosed, and closes the file.
func (s *FileStore) Close() error {
	s.queue.close(ErrClosed)
	<-s.writerDone
	return s.file.Close()
}

func (s *FileStore) path(name string) string { return filepath.Join(s.directory, name) }

func newFileID() uint64 { return rand.Uint64() }
