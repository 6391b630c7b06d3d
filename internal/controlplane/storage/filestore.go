package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"time"
)

const (
	fileName      = "store.log"
	temporaryName = "store.log.new"

	defaultCompactAbove = 4 << 20
	defaultSizeLimit    = 120 << 20
	compactionGrowth    = 3
	maxBatchBytes       = 8 << 20 // bytes of changes that are written and synced together
)

var (
	// ErrClosed is the failure of writes after Close.
	ErrClosed = errors.New("store is closed")
	// ErrTooLarge is the failure of a single write that exceeds the largest record; the store goes on.
	ErrTooLarge = errors.New("write is too large for the store")
)

// FileStore is the Store that keeps one append-only file. Concurrent writes are appended and synced together. A write that
// the disk rejects is rolled back, and the store takes later ones. A failed sync ends the store, as does a failed roll-back:
// later writes fail with the same error, and a new process has to open the file again.
type FileStore struct {
	files     FileSystem
	directory string
	options   Options

	guardedContents

	queue  commitQueue
	failed chan struct{} // closed when the store fails for good
	ended  chan struct{} // closed when the writer has ended

	// Used by the writer's goroutine alone, once Open has returned.
	file             File
	fileNumber       uint64
	length           int64
	buffer           []byte
	rejection        rejection
	compactNotBefore time.Time // no compaction before
}

// Open opens the store in a directory, which it makes if it is missing. What it returns is synced: nothing that a reader
// sees can be taken back by a loss of power. A store that exists is opened without writing, also on a full disk. The error
// is ErrCorrupt where the file lacks something that had been synced.
func Open(files FileSystem, directory string, options Options) (*FileStore, OpenResult, error) {
	store := &FileStore{
		files:           files,
		directory:       directory,
		options:         options.withDefaults(),
		guardedContents: newGuardedContents(),
		failed:          make(chan struct{}),
		ended:           make(chan struct{}),
	}
	store.queue.wake = make(chan struct{}, 1)
	opened, err := store.openOrCreate()
	if err != nil {
		if store.file != nil {
			_ = store.file.Close() // nothing was written, and the caller gets the error that counts
		}
		return nil, OpenResult{}, fmt.Errorf("open store in %s: %w", directory, err)
	}
	go store.run()
	return store, opened, nil
}

// Write implements Store. The error is ErrTooLarge, ErrWriteRejected or ErrClosed, or what ended the store.
func (s *FileStore) Write(changes ...Change) error {
	encoded, err := appendChanges(nil, changes)
	if err != nil {
		return err
	}
	if len(encoded) > maxPayload {
		return fmt.Errorf("%w: %d bytes", ErrTooLarge, len(encoded))
	}
	c := &commit{changes: cloneChanges(changes), encoded: encoded, done: make(chan error, 1)}
	if err := s.queue.add(c); err != nil {
		return err
	}
	return <-c.done
}

// Failed is closed when the store has failed for good; a rejected write is no such failure.
func (s *FileStore) Failed() <-chan struct{} { return s.failed }

// Close finishes the writes that have begun and closes the file.
func (s *FileStore) Close() error {
	s.queue.close(ErrClosed)
	<-s.ended
	return s.file.Close()
}

func (s *FileStore) path(name string) string { return filepath.Join(s.directory, name) }

func newFileNumber() uint64 { return rand.Uint64() }
