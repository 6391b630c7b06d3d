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

// Entry is one of the log.
type Entry struct {
	Index uint64
	Data  []byte
}

// LogContents is what a file contained when it was opened.
type LogContents struct {
	ID          uint64 // drawn when the file was made, never 0
	Values      map[string][]byte
	Entries     []Entry // in the order of their indexes, without a gap
	Quarantined string  // to what a corrupt file was renamed, "" for none
}

// LogSave is saved as a whole, or not at all.
type LogSave struct {
	Values     map[string][]byte // replace those of the same name
	TruncateTo uint64            // entries up to this index are deleted
	Entries    []Entry           // replace all entries from the first one's index on
}

// Log saves values by name, and a log of entries by index: bytes whose meaning is the fleet's. Its methods may be called from
// any goroutine.
type Log struct{ *fileWriter }

// OpenLog opens the file in a directory, or makes it, and waits so long for another process that has the directory. A corrupt
// file is renamed, and a new one with another ID made, as if the directory were lost. The Log is nil where there is an error; one
// about the version of the file is a versionError.
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
	id[7] |= 1 // not 0
	return tx.Bucket(bucketMeta).Put(keyID, id)
}

func (c *LogContents) read(tx *bolt.Tx) error {
	*c = LogContents{Values: map[string][]byte{}}
	meta, values, entries := tx.Bucket(bucketMeta), tx.Bucket(bucketValues), tx.Bucket(bucketLog)
	switch {
	case meta == nil || values == nil || entries == nil || len(meta.Get(keyID)) != 8:
		return &corruptError{invalidContents("no number, or a bucket is missing")}
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

// Save saves values and entries, all or none, and calls done once they are on disk or have failed. It does not block; done is
// called from another goroutine, in the order of the calls.
func (l *Log) Save(save LogSave, done func(error)) {
	l.save(func(tx *bolt.Tx) error { return writeLog(tx, &save) }, done)
}

func writeLog(tx *bolt.Tx, save *LogSave) error {
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
