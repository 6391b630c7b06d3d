package aggregatorstore

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/zeebo/xxh3"
	bolt "go.etcd.io/bbolt"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/eventqueue"
)

// What an aggregator of a fleet keeps: values by name, and a log of entries by their index, as bytes whose meaning is the
// fleet's. Each is behind a checksum.

const (
	logName     = "fleet.db"
	logLockName = "fleet.lock"
	logVersion  = 1
)

var (
	bucketValues = []byte("values")
	bucketLog    = []byte("log")
	keyID        = []byte("id")
)

// Entry is one of the log.
type Entry struct {
	Index uint64
	Data  []byte
}

// LogContents is what a file held at its opening.
type LogContents struct {
	ID          uint64 // drawn when the file was new, never 0
	Values      map[string][]byte
	Entries     []Entry // in the order of their indexes
	Quarantined string  // where a corrupt file was put, "" for none
}

// LogSave is written as one, or not at all.
type LogSave struct {
	Values     map[string][]byte
	TruncateTo uint64  // entries up to this index go
	Entries    []Entry // take the place of all from the first one's index on
}

// Log is a file that a goroutine of its own writes.
type Log struct {
	db       *bolt.DB
	lock     *os.File
	requests *eventqueue.Queue[logSaveRequest]
	stopped  chan struct{}
	failure  error
	logger   *zap.Logger
}

type logSaveRequest struct {
	save LogSave
	done func(error)
	stop bool
}

// OpenLog opens the file of a directory, or makes it. A corrupt one is put aside: whoever kept it begins anew, as if the
// directory were lost. It waits so long for a process that still holds the directory.
func OpenLog(dir string, wait time.Duration, log *zap.Logger) (*Log, LogContents, error) {
	l, contents := &Log{requests: eventqueue.New[logSaveRequest](), stopped: make(chan struct{}), logger: log}, LogContents{}
	var err error
	if l.lock, err = lockDirectory(dir, logLockName, wait); err != nil {
		return nil, contents, err
	}
	prepare := func(tx *bolt.Tx) error {
		for _, name := range [][]byte{bucketMeta, bucketValues, bucketLog} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		id := make([]byte, 8)
		rand.Read(id)
		id[7] |= 1 // not 0
		return errors.Join(tx.Bucket(bucketMeta).Put(keyVersion, encodeUint64(logVersion)), tx.Bucket(bucketMeta).Put(keyID, id))
	}
	quarantined := ""
	l.db, quarantined, err = openOrQuarantine(filepath.Join(dir, logName), log, prepare, func(*bolt.Tx) error { return nil })
	if err == nil {
		err = l.db.View(contents.read)
	}
	if corrupt := (*corruptError)(nil); errors.As(err, &corrupt) {
		closeFile(l.db, log)
		_ = l.lock.Close() // which holds nothing but the lock
		path := filepath.Join(dir, logName)
		if err = os.Rename(path, fmt.Sprintf("%s.spoilt-%x", path, contents.ID)); err == nil {
			log.Error("spoilt file put aside, nothing of it holds", zap.String("file", path), zap.String("text", corrupt.Error()))
			return OpenLog(dir, wait, log)
		}
	}
	if err != nil {
		closeFile(l.db, log)
		_ = l.lock.Close() // which holds nothing but the lock
		return nil, contents, err
	}
	contents.Quarantined = quarantined
	go l.run()
	return l, contents, nil
}

func (k *LogContents) read(tx *bolt.Tx) error {
	*k = LogContents{Values: map[string][]byte{}}
	meta, values, entries := tx.Bucket(bucketMeta), tx.Bucket(bucketValues), tx.Bucket(bucketLog)
	switch {
	case meta == nil || values == nil || entries == nil || len(meta.Get(keyID)) != 8:
		return &corruptError{invalidContents("no number, or a bucket is missing")}
	case decodeUint64(meta.Get(keyVersion)) != logVersion:
		return versionError{decodeUint64(meta.Get(keyVersion)), logVersion}
	}
	k.ID = decodeUint64(meta.Get(keyID))
	err := values.ForEach(func(name, v []byte) error {
		data, err := verifyChecksum(v)
		k.Values[string(name)] = data
		return err
	})
	if err != nil {
		return err
	}
	return entries.ForEach(func(index, v []byte) error {
		data, err := verifyChecksum(v)
		if n := len(k.Entries); n > 0 && decodeUint64(index) != k.Entries[n-1].Index+1 {
			return &corruptError{invalidContents("entry %d follows %d", decodeUint64(index), k.Entries[n-1].Index)}
		}
		k.Entries = append(k.Entries, Entry{decodeUint64(index), data})
		return err
	})
}

// appendChecksum puts bytes behind their checksum; checked takes them out again, as a copy.
func appendChecksum(data []byte) []byte { return append(encodeUint64(xxh3.Hash(data)), data...) }

func verifyChecksum(b []byte) ([]byte, error) {
	if len(b) < 8 || xxh3.Hash(b[8:]) != binary.BigEndian.Uint64(b) {
		return nil, &corruptError{invalidContents("a record's checksum is wrong")}
	}
	return append([]byte{}, b[8:]...), nil
}

// Save writes, and tells when it is on disk or why it is not. It never blocks; done is called from another goroutine, in
// the order of the calls.
func (l *Log) Save(s LogSave, done func(error)) { l.requests.Put(logSaveRequest{save: s, done: done}) }

// Stop ends the store after all that waits is written.
func (l *Log) Stop() {
	l.requests.Put(logSaveRequest{stop: true})
	<-l.stopped
}

func (l *Log) run() {
	defer close(l.stopped)
	debug.SetPanicOnFault(true)
	var jobs []logSaveRequest
	for range l.requests.Ready() {
		jobs = l.requests.Take(jobs)
		for i := range jobs {
			if jobs[i].stop {
				closeFile(l.db, l.logger)
				_ = l.lock.Close() // which holds nothing but the lock
				return
			}
			jobs[i].done(l.write(&jobs[i].save))
		}
	}
}

func (l *Log) write(s *LogSave) (err error) {
	if l.failure != nil {
		return l.failure
	}
	defer func() {
		if p := recover(); p != nil {
			err = panicError{p}
			l.failure, l.db = err, nil
		}
	}()
	return l.db.Update(func(tx *bolt.Tx) error {
		values, entries := tx.Bucket(bucketValues), tx.Bucket(bucketLog)
		for name, v := range s.Values {
			if err := values.Put([]byte(name), appendChecksum(v)); err != nil {
				return err
			}
		}
		c := entries.Cursor()
		for k, _ := c.First(); k != nil && decodeUint64(k) <= s.TruncateTo; k, _ = c.First() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		if len(s.Entries) > 0 {
			for k, _ := c.Last(); k != nil && decodeUint64(k) >= s.Entries[0].Index; k, _ = c.Last() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		for _, e := range s.Entries {
			if err := entries.Put(encodeUint64(e.Index), appendChecksum(e.Data)); err != nil {
				return err
			}
		}
		return nil
	})
}
