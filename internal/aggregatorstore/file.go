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

// lockTimeout is how long the process before may still use the file: the longest that a stopping aggregator takes.
const lockTimeout = 10 * time.Second

// Names that both files have.
var (
	bucketMeta = []byte("meta")
	keyVersion = []byte("version")
)

// writeRequest is a transaction to run, or, without one, the end of the writer.
type writeRequest struct {
	write func(*bolt.Tx) error
	done  func(error)
}

// fileWriter owns an open file. Its goroutine runs the transactions, so that nobody else waits for the disk.
type fileWriter struct {
	db       *bolt.DB
	lock     *os.File // excludes other processes from the directory; nil where it was not taken
	requests *eventqueue.Queue[writeRequest]
	stopped  chan struct{}
	failure  error // why nothing is written any more, as where no file could be opened
	logger   *zap.Logger
}

func newFileWriter(logger *zap.Logger) *fileWriter {
	return &fileWriter{requests: eventqueue.New[writeRequest](), stopped: make(chan struct{}), logger: logger}
}

// save runs a transaction, all of it or nothing, and calls done once it is on disk or has failed. It does not block; done is
// called from another goroutine, in the order of the calls.
func (w *fileWriter) save(write func(*bolt.Tx) error, done func(error)) {
	w.requests.Put(writeRequest{write: write, done: done})
}

// Stop ends the writer after all that was saved before, and closes the file.
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

// write runs a transaction. A panic of the library says that the file has become corrupt: from then on nothing is written.
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
	_ = w.lock.Close() // which holds nothing but the lock, and is nil where there is none
}

// closeFile closes a file where there is one. What was written is on the disk by then: each transaction waits for that.
func closeFile(db *bolt.DB, logger *zap.Logger) {
	if db == nil {
		return
	}
	if err := db.Close(); err != nil {
		logger.Error("file not closed", zap.String("file", db.Path()), zap.Error(err))
	}
}

// lockDirectory makes the directory where there is none, and takes its lock, which it waits for.
func lockDirectory(dir, name string, wait time.Duration) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(dir, name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for until := time.Now().Add(wait); ; time.Sleep(lockTimeout / 200) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return f, nil
		}
		if time.Now().After(until) {
			_ = f.Close() // nothing was written
			return nil, fmt.Errorf("%s: another process has held it for %s: %w", dir, wait, err)
		}
	}
}

// openOrQuarantine opens a file and reads all of it. A corrupt one is renamed to quarantined, and a new one is made. The error
// names the file.
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

// openFile opens one file and reads all of it; prepare fills a new one. The error is a corruptError where the file can be read and
// not be trusted; a fault in mapped memory, as where the file was cut off, is one too.
func openFile(path string, prepare, read func(*bolt.Tx) error) (db *bolt.DB, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = &corruptError{panicError{p}}
		}
		if err != nil && db != nil {
			func() {
				defer func() { _ = recover() }() // the file is given up
				_ = db.Close()                   // the error that is returned is the cause
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
	// Nothing is written before all is read: a quarantined file is as it was found.
	fresh := false
	err = db.View(func(tx *bolt.Tx) error {
		if fresh = tx.Bucket(bucketMeta) == nil; fresh {
			return nil
		}
		return read(tx)
	})
	if err == nil && fresh {
		err = db.Update(prepare)
	}
	return db, err
}

// createBuckets makes the buckets of a new file, and states its version.
func createBuckets(tx *bolt.Tx, version uint64, names ...[]byte) error {
	for _, name := range append([][]byte{bucketMeta}, names...) {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return tx.Bucket(bucketMeta).Put(keyVersion, encodeUint64(version))
}
