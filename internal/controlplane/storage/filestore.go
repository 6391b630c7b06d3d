package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
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

// Options tune a FileStore. The zero value is the default.
type Options struct {
	// CompactAbove is the length in bytes below which the file is not rewritten, unless that is too long for Limit.
	CompactAbove int64
	// SizeLimit is what the file and its next version should take together, in bytes. It can be kept while the live data is
	// less than three eighths of it.
	SizeLimit int64
}

// OpenResult tells what Open found.
type OpenResult struct {
	// Empty is true where no store had ever been completely made in the folder.
	Empty bool
	// TruncatedBytes is the length of the incomplete write that was cut off the end of the file.
	TruncatedBytes int64 `json:"CutBytes"` // the key of the log line
}

// FileStore is the Store that keeps one append-only file. Concurrent writes are gathered, written and synced together. A
// write that the disk refuses is undone, and the store goes on. A failed sync ends the store, as does a failure to undo:
// later writes fail with the same error, and a new process has to open the file again.
type FileStore struct {
	files     FileSystem
	directory string
	options   Options

	mutex    sync.RWMutex // guards contents
	contents *contents

	queue  commitQueue
	failed chan struct{} // closed when the store fails for good
	ended  chan struct{} // closed when the writer has ended

	// The writer's own.
	file             File
	fileNumber       uint64
	length           int64
	buffer           []byte
	rejection        rejection
	compactNotBefore time.Time // no rewriting before
}

// Open opens the store in a folder, which it makes if it is missing. What it returns is synced: nothing that a reader
// sees can be taken back by a loss of power. A store that exists is opened without writing, also on a full disk.
func Open(files FileSystem, directory string, options Options) (*FileStore, OpenResult, error) {
	store := &FileStore{
		files:     files,
		directory: directory,
		options:   options.withDefaults(),
		contents:  newContents(),
		failed:    make(chan struct{}),
		ended:     make(chan struct{}),
	}
	store.queue.wake = make(chan struct{}, 1)
	opened, err := store.openOrCreate()
	if err != nil {
		if store.file != nil {
			store.file.Close()
		}
		return nil, OpenResult{}, fmt.Errorf("open store in %s: %w", directory, err)
	}
	go store.run()
	return store, opened, nil
}

func (o Options) withDefaults() Options {
	if o.CompactAbove == 0 {
		o.CompactAbove = defaultCompactAbove
	}
	if o.SizeLimit == 0 {
		o.SizeLimit = defaultSizeLimit
	}
	return o
}

// Tables implements Store.
func (s *FileStore) Tables() []string {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.contents.names()
}

// Table implements Store.
func (s *FileStore) Table(name string) map[string][]byte {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.contents.table(name)
}

// Snapshot implements SnapshotStore.
func (s *FileStore) Snapshot() Tables {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.contents.snapshot()
}

// Write implements Store.
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

// Failed is closed when the store has failed for good; a refused write is no such failure.
func (s *FileStore) Failed() <-chan struct{} { return s.failed }

// Close finishes the writes that have begun and closes the file.
func (s *FileStore) Close() error {
	s.queue.close(ErrClosed)
	<-s.ended
	return s.file.Close()
}

// run is the writer: it takes what is queued, until the store is closed.
func (s *FileStore) run() {
	defer close(s.ended)
	for range s.queue.wake {
		for batch := s.queue.take(maxBatchBytes); len(batch) > 0; batch = s.queue.take(maxBatchBytes) {
			s.commit(batch)
		}
		if s.queue.finished() {
			return
		}
	}
}

// commit makes a batch durable and answers its writers.
func (s *FileStore) commit(batch []*commit) {
	err := s.queue.failure()
	if err == nil {
		err = s.append(batch)
	}
	if err == nil {
		s.apply(batch)
	}
	for _, c := range batch {
		c.done <- err
	}
	if err == nil {
		err = s.compactIfLong()
	}
	if err != nil && !errors.Is(err, ErrWriteRejected) {
		s.fail(err)
	}
}

func (s *FileStore) append(batch []*commit) error {
	if err := s.rejection.current(); err != nil {
		return err
	}
	var payload []byte
	if len(batch) == 1 {
		payload = batch[0].encoded
	} else {
		for _, c := range batch {
			payload = append(payload, c.encoded...)
		}
	}
	s.buffer = appendRecordHead(s.buffer[:0], s.fileNumber, s.length, writeRecord, payload)
	s.buffer = append(s.buffer, payload...)
	if written, err := s.file.Write(s.buffer); err != nil {
		return s.rollBack(written, err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync store: %w", err)
	}
	s.length += int64(len(s.buffer))
	if len(s.buffer) > maxBatchBytes {
		s.buffer = nil
	}
	return nil
}

func (s *FileStore) apply(batch []*commit) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range batch {
		s.contents.apply(c.changes)
	}
}

func (s *FileStore) fail(err error) {
	if s.queue.fail(err) {
		close(s.failed)
	}
}

func (s *FileStore) path(name string) string { return filepath.Join(s.directory, name) }

func newFileNumber() uint64 { return rand.Uint64() }
