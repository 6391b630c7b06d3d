package storage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
)

const (
	fileName      = "store.log"
	temporaryName = "store.log.new"

	defaultRewriteAbove = 4 << 20
	defaultLimit        = 120 << 20
	rewriteGrowth       = 3
	maxBatch            = 8 << 20 // bytes of changes that are written and synced together
)

var (
	// ErrClosed is the failure of writes after Close.
	ErrClosed = errors.New("store is closed")
	// ErrTooLarge is the failure of a single write that exceeds the largest record; the store goes on.
	ErrTooLarge = errors.New("write is too large for the store")
)

// Options tune a FileStore. The zero value is the default.
type Options struct {
	// RewriteAbove is the length in bytes below which the file is not rewritten.
	RewriteAbove int64
	// Limit is what the file and its next version may take together, in bytes.
	Limit int64
}

// Opened tells what Open found.
type Opened struct {
	// Empty is true where no store had ever been completely made in the folder.
	Empty bool
	// CutBytes is the length of the incomplete write that was cut off the end of the file.
	CutBytes int64
}

// FileStore is the Store that keeps one append-only file. Concurrent writes are gathered, written and synced together. A
// write that the disk refuses, or fails to sync, ends the store: later writes fail with the same error, and a new
// process has to open the file again.
type FileStore struct {
	files     FileSystem
	directory string
	options   Options

	mutex    sync.RWMutex // guards contents
	contents *contents

	queue  commitQueue
	failed chan struct{} // closed at the first failed write
	ended  chan struct{} // closed when the writer has ended

	// The writer's own.
	file       File
	fileNumber uint64
	length     int64
	buffer     []byte
}

// Open opens the store in a folder, which it makes if it is missing. What it returns is synced: nothing that a reader
// sees can be taken back by a loss of power.
func Open(files FileSystem, directory string, options Options) (*FileStore, Opened, error) {
	store := &FileStore{
		files:     files,
		directory: directory,
		options:   options.withDefaults(),
		contents:  newContents(),
		failed:    make(chan struct{}),
		ended:     make(chan struct{}),
	}
	store.queue.wake = make(chan struct{}, 1)
	opened, err := store.load()
	if err != nil {
		if store.file != nil {
			store.file.Close()
		}
		return nil, Opened{}, fmt.Errorf("open store in %s: %w", directory, err)
	}
	go store.run()
	return store, opened, nil
}

func (o Options) withDefaults() Options {
	if o.RewriteAbove == 0 {
		o.RewriteAbove = defaultRewriteAbove
	}
	if o.Limit == 0 {
		o.Limit = defaultLimit
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

// Failed is closed at the first write that failed.
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
		for batch := s.queue.take(maxBatch); len(batch) > 0; batch = s.queue.take(maxBatch) {
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
	if err == nil && s.length > s.rewriteThreshold() {
		err = s.rewrite()
	}
	if err != nil {
		s.fail(err)
	}
}

func (s *FileStore) append(batch []*commit) error {
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
	written := int64(len(s.buffer))
	if _, err := s.file.Write(s.buffer); err != nil {
		return fmt.Errorf("write store: %w", err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync store: %w", err)
	}
	s.length += written
	if len(s.buffer) > maxBatch {
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
