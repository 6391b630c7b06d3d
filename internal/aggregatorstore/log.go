package aggregatorstore

import (
	"crypto/rand"
	"path/filepath"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.uber.org/zap"
)

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

// Entry is an entry of the log.
type Entry struct {
	Index uint64
	Data  []byte
}

// LogContents holds the contents of a log file when it was opened.
type LogContents struct {
	ID          uint64 // random, chosen when the file was created; never 0
	Values      map[string][]byte
	Entries     []Entry // in the order of their indexes, without gaps
	Quarantined string  // path that a corrupt file was renamed to, "" if none
}

// LogUpdate is a set of modifications that is saved as a whole or not at all.
type LogUpdate struct {
	Values     map[string][]byte // replace the values of the same names
	TruncateTo uint64            // entries up to this index are deleted
	Entries    []Entry           // replace all entries from the index of the first one
}

// Log stores values by name and log entries by index. The fleet defines the meaning of their bytes. Its methods may be called
// from any goroutine.
type Log struct{ *fileWriter }

// OpenLog opens the log file in a directory, or creates it. If another process has locked the directory, it waits for the
// given time. A corrupt file is renamed and replaced by a new one with another ID, as if the directory had been lost. The Log is
// nil if there is an error. The error is a versionError if the file has an unsupported version.
func OpenLog(dir string, wait time.Duration, logger *zap.Logger) (*Log, LogContents, error) {
	l, contents := &Log{newFileWriter(logger)}, LogContents{}
	var err error
	if l.lock, err = lockDirectory(dir, logLockName, wait); err != nil {
		return nil, contents, err
	}
	quarantined := ""
	l.db, quarantined, err = openOrQuarantine(filepath.Join(dir, logName), logger, createLogBuckets, contents.read)
	if err == nil && (quarantined != "" || contents.ID == 0) { // the file is new
		err = l.db.View(contents.read)
	}
	if err != nil {
		l.close()
		return nil, LogContents{}, err
	}
	contents.Quarantined = quarantined
	go l.run()
	return l, contents, nil
}

func createLogBuckets(tx *bolt.Tx) error {
	if err := createBuckets(tx, logVersion, bucketValues, bucketLog); err != nil {
		return err
	}
	id := make([]byte, 8)
	rand.Read(id)
	id[7] |= 1 // an ID is never 0
	return tx.Bucket(bucketMeta).Put(keyID, id)
}

func (c *LogContents) read(tx *bolt.Tx) error {
	*c = LogContents{Values: map[string][]byte{}}
	meta, values, entries := tx.Bucket(bucketMeta), tx.Bucket(bucketValues), tx.Bucket(bucketLog)
	switch {
	case meta == nil || values == nil || entries == nil || len(meta.Get(keyID)) != 8:
		return &corruptError{invalidContents("the ID or a bucket is missing")}
	case decodeUint64(meta.Get(keyVersion)) != logVersion:
		return versionError{decodeUint64(meta.Get(keyVersion)), logVersion}
	}
	c.ID = decodeUint64(meta.Get(keyID))
	err := values.ForEach(func(name, record []byte) error {
		data, err := verifyChecksum(record)
		c.Values[string(name)] = data
		return err
	})
	if err != nil {
		return err
	}
	return entries.ForEach(func(key, record []byte) error {
		index := decodeUint64(key)
		data, err := verifyChecksum(record)
		if n := len(c.Entries); n > 0 && index != c.Entries[n-1].Index+1 {
			return &corruptError{invalidContents("entry %d follows %d", index, c.Entries[n-1].Index)}
		}
		c.Entries = append(c.Entries, Entry{index, data})
		return err
	})
}

// Save saves all modifications of an update or none. It calls done when they are on disk or have failed. It does not block.
// The done functions are called from another goroutine, in the order of the calls to Save.
func (l *Log) Save(save LogUpdate, done func(error)) {
	l.save(func(tx *bolt.Tx) error { return writeLog(tx, &save) }, done)
}

func writeLog(tx *bolt.Tx, save *LogUpdate) error {
	values, entries := tx.Bucket(bucketValues), tx.Bucket(bucketLog)
	for name, value := range save.Values {
		if err := values.Put([]byte(name), addChecksum(value)); err != nil {
			return err
		}
	}
	cursor := entries.Cursor()
	for key, _ := cursor.First(); key != nil && decodeUint64(key) <= save.TruncateTo; key, _ = cursor.First() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	if len(save.Entries) > 0 {
		for key, _ := cursor.Last(); key != nil && decodeUint64(key) >= save.Entries[0].Index; key, _ = cursor.Last() {
			if err := cursor.Delete(); err != nil {
				return err
			}
		}
	}
	for _, entry := range save.Entries {
		if err := entries.Put(encodeUint64(entry.Index), addChecksum(entry.Data)); err != nil {
			return err
		}
	}
	return nil
}
