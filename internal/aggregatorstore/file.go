package aggregatorstore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/eventqueue"
)

// lockTimeout is how long to wait for a previous process to release the file. It is the longest time that an aggregator
// takes to stop.
const lockTimeout = 10 * time.Second

// Names that both database files use.
var (
	bucketMeta = []byte("meta")
	keyVersion = []byte("version")
)

// writeRequest is a transaction to run. A request without a write function stops the writer.
type writeRequest struct {
	write func(*bolt.Tx) error
	done  func(error)
}

// fileWriter owns an open database file. It runs the transactions on a goroutine of its own, so that callers do not wait for
// the disk.
type fileWriter struct {
	db       *bolt.DB
	lock     *os.File // excludes other processes from the directory; nil if it is not held
	requests *eventqueue.Queue[writeRequest]
	stopped  chan struct{}
	failure  error // fails every write, for example because the file could not be opened
	logger   *zap.Logger
}

func newFileWriter(logger *zap.Logger) *fileWriter {
	return &fileWriter{requests: eventqueue.New[writeRequest](), stopped: make(chan struct{}), logger: logger}
}

// save runs a transaction as a whole or not at all. It calls done when the transaction is on disk or has failed. It does not
// block. The done functions are called from another goroutine, in the order of the calls to save.
func (w *fileWriter) save(write func(*bolt.Tx) error, done func(error)) {
	w.requests.Put(writeRequest{write: write, done: done})
}

// Stop waits for all previous saves, stops the writer and closes the file.
func (w *fileWriter) Stop() {
	w.requests.Put(writeRequest{})
	<-w.stopped
}

func (w *fileWriter) run() {
	defer close(w.stopped)
	debug.SetPanicOnFault(true)
	var requests []writeRequest
	for range w.requests.Ready() {
		requests = w.requests.Take(requests)
		for i := range requests {
			if requests[i].write == nil {
				w.close()
				return
			}
			requests[i].done(w.write(requests[i].write))
		}
	}
}

// write runs a transaction. If the library panics, the file has become corrupt, and all later writes fail.
func (w *fileWriter) write(transaction func(*bolt.Tx) error) (err error) {
	if w.failure != nil {
		return w.failure
	}
	defer func() {
		if p := recover(); p != nil {
			err = panicError{p}
			w.failure, w.db = err, nil
		}
	}()
	return w.db.Update(transaction)
}

func (w *fileWriter) close() {
	closeFile(w.db, w.logger)
	_ = w.lock.Close() // the file has no data to lose, and Close of a nil file does no harm
}

// closeFile closes a file unless it is nil. An error loses no data, because each transaction has waited for the disk.
func closeFile(db *bolt.DB, logger *zap.Logger) {
	if db == nil {
		return
	}
	if err := db.Close(); err != nil {
		logger.Error("file not closed", zap.String("file", db.Path()), zap.Error(err))
	}
}

// lockDirectory creates the directory if it does not exist, and locks it. It waits for the lock, at most for the given time.
func lockDirectory(dir, name string, wait time.Duration) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(dir, name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(wait); ; time.Sleep(lockTimeout / 200) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return f, nil
		}
		if time.Now().After(deadline) {
			_ = f.Close() // nothing was written
			return nil, fmt.Errorf("%s: another process has held it for %s: %w", dir, wait, err)
		}
	}
}

// openOrQuarantine opens a file and reads its records. If the file is corrupt, it is renamed to the returned path, and a new
// file is created. The error includes the path of the file.
func openOrQuarantine(path string, logger *zap.Logger, prepare, read func(*bolt.Tx) error) (db *bolt.DB, quarantined string, err error) {
	if db, err = openFile(path, prepare, read); err == nil {
		return db, "", nil
	}
	if corrupt := (*corruptError)(nil); !errors.As(err, &corrupt) {
		return nil, "", fmt.Errorf("%s: %w", path, err)
	}
	quarantined = fmt.Sprintf("%s.spoilt-%d", path, time.Now().UnixNano())
	logger.Error("corrupt file set aside", zap.String("file", path), zap.String("aside", quarantined), zap.String("text", err.Error()))
	if err = os.Rename(path, quarantined); err != nil {
		return nil, "", err
	}
	if db, err = openFile(path, prepare, read); err != nil {
		return nil, "", fmt.Errorf("%s: %w", path, err)
	}
	return db, quarantined, nil
}

// openFile opens a file and reads its records with read. If the file is new, it calls prepare to create the buckets instead.
// The error is a corruptError if the file can be read but has invalid contents. This includes a fault in mapped memory, which
// occurs if the file was truncated.
func openFile(path string, prepare, read func(*bolt.Tx) error) (db *bolt.DB, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &corruptError{panicError{p}}
		}
		if err != nil && db != nil {
			func() {
				defer func() { _ = recover() }() // Close may panic on a corrupt file
				_ = db.Close()                   // err, the cause, is returned instead
			}()
			db = nil
		}
	}()
	if err = validatePages(path); err != nil {
		return nil, err
	}
	db, err = bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout, FreelistType: bolt.FreelistMapType})
	switch {
	case errors.Is(err, bolterrors.ErrInvalid), errors.Is(err, bolterrors.ErrVersionMismatch), errors.Is(err, bolterrors.ErrChecksum):
		return db, &corruptError{err}
	case err != nil:
		return db, err
	}
	// Nothing is written before everything was read, so a quarantined file is unmodified.
	isNew := false
	err = db.View(func(tx *bolt.Tx) error {
		if isNew = tx.Bucket(bucketMeta) == nil; isNew {
			return nil
		}
		return read(tx)
	})
	if err == nil && isNew {
		err = db.Update(prepare)
	}
	return db, err
}

// createBuckets creates the buckets of a new file and stores its format version.
func createBuckets(tx *bolt.Tx, version uint64, names ...[]byte) error {
	for _, name := range append([][]byte{bucketMeta}, names...) {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return tx.Bucket(bucketMeta).Put(keyVersion, encodeUint64(version))
}
