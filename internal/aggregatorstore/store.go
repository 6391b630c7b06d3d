// Package aggregatorstore keeps the revisions of overrides on disk, in an embedded store: what holds, and an audit trail of every
// change. It decides nothing. A change is kept once its transaction is on disk, and never in part.
package aggregatorstore

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/internal/operators/override"
)

const (
	overridesFileName = "overrides.db"
	overridesLockName = "overrides.lock"
	// overridesVersion of what the records hold; a file of a later one is put aside by none but an operator.
	overridesVersion = 1
	// lockTimeout is how long the process before may still hold the file: the longest that a stopping aggregator takes.
	lockTimeout = 10 * time.Second
	// maxAuditRecords is the length of the audit trail: years of what operators send, in some 50 MB.
	maxAuditRecords = 100_000
	// MaxRecent is how much of it is read at the start, to be shown.
	MaxRecent = 1000
)

var (
	bucketMeta   = []byte("meta")
	bucketActive = []byte("held")
	bucketAudit  = []byte("audit")
	keyVersion   = []byte("version")
	keyRevision  = []byte("revision")
	keyAudited   = []byte("audited") // how many records the audit trail has
)

// OverrideContents is what a file held at its opening.
type OverrideContents struct {
	Revision    override.Revision
	Active      []override.Override
	Recent      []override.Change // oldest first
	Quarantined string            // where a corrupt file was put, "" for none
}

type saveRequest struct {
	changes []override.Change
	done    func(error)
	stop    bool
}

// OverrideStore writes in a goroutine of its own: whoever waits for a disk, it is no query and no list.
type OverrideStore struct {
	db       *bolt.DB
	lock     *os.File // nobody else reads or writes the directory while it is held
	requests *eventqueue.Queue[saveRequest]
	stopped  chan struct{}
	failure  error // opened without a file: every change is refused with it
	logger   *zap.Logger
}

// OpenOverrides opens the file in a directory, or makes it. A corrupt one is put aside under another name and a new one begun. Its
// error says that nothing can be kept there; the Store then refuses every change with it.
func OpenOverrides(dir string, log *zap.Logger) (s *OverrideStore, kept OverrideContents, err error) {
	return openOverridesWithin(dir, lockTimeout, log)
}

func openOverridesWithin(dir string, wait time.Duration, log *zap.Logger) (s *OverrideStore, kept OverrideContents, err error) {
	s = &OverrideStore{requests: eventqueue.New[saveRequest](), stopped: make(chan struct{}), logger: log}
	defer func() {
		s.failure = err
		go s.run()
	}()
	if s.lock, err = lockDirectory(dir, overridesLockName, wait); err != nil {
		return s, kept, err
	}
	aside := ""
	s.db, aside, err = openOrQuarantine(filepath.Join(dir, overridesFileName), log, createOverrideBuckets, kept.read)
	if aside != "" || err != nil { // what was read of it before the fault counts no more
		kept = OverrideContents{Quarantined: aside}
	}
	return s, kept, err
}

// openOrQuarantine opens a file and reads all of it; a corrupt one is put aside, and a new one begun.
func openOrQuarantine(path string, log *zap.Logger, prepare, read func(*bolt.Tx) error) (db *bolt.DB, aside string, err error) {
	if db, err = openFile(path, prepare, read); err == nil {
		return db, "", nil
	}
	if corrupt := (*corruptError)(nil); !errors.As(err, &corrupt) {
		return nil, "", fmt.Errorf("%s: %w", path, err)
	}
	aside = fmt.Sprintf("%s.spoilt-%d", path, time.Now().UnixNano())
	log.Error("spoilt file put aside, nothing of it holds", zap.String("file", path), zap.String("aside", aside), zap.String("text", err.Error()))
	if err = os.Rename(path, aside); err != nil {
		return nil, "", err
	}
	if db, err = openFile(path, prepare, read); err != nil {
		return nil, "", fmt.Errorf("%s: %w", path, err)
	}
	return db, aside, nil
}

// lockDirectory makes the directory where there is none, and takes a lock of it, for which it waits a while.
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

// corruptError says that a file is there and can be read, but not be trusted.
type corruptError struct{ err error }

func (e *corruptError) Error() string { return "spoilt: " + e.err.Error() }
func (e *corruptError) Unwrap() error { return e.err }

// openFile opens one file and reads all of it. A fault in mapped memory, as where the file was cut off, is an error too.
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
	// Nothing is written before all is read: what is put aside is as it was found.
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

// createOverrideBuckets makes what a new file holds, in one transaction.
func createOverrideBuckets(tx *bolt.Tx) error {
	for _, name := range [][]byte{bucketMeta, bucketActive, bucketAudit} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return tx.Bucket(bucketMeta).Put(keyVersion, encodeUint64(overridesVersion))
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func decodeUint64(b []byte) uint64 {
	if len(b) != 8 {
		return 0
	}
	return binary.BigEndian.Uint64(b)
}

// seal puts a record behind its checksum; unseal takes it out again.
func seal(record any) ([]byte, error) {
	text, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	return appendChecksum(text), nil
}

func unseal(b []byte, record any) error {
	text, err := verifyChecksum(b)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, record); err != nil {
		return &corruptError{err}
	}
	return nil
}

func (k *OverrideContents) read(tx *bolt.Tx) error {
	switch had := tx.Bucket(bucketMeta).Get(keyVersion); {
	case len(had) != 8 || tx.Bucket(bucketActive) == nil || tx.Bucket(bucketAudit) == nil:
		return &corruptError{invalidContents("no version, or a bucket is missing")}
	case decodeUint64(had) != overridesVersion:
		return versionError{decodeUint64(had), overridesVersion}
	}
	k.Revision = override.Revision(decodeUint64(tx.Bucket(bucketMeta).Get(keyRevision)))
	err := tx.Bucket(bucketActive).ForEach(func(id, v []byte) error {
		var o override.Override
		if err := unseal(v, &o); err != nil {
			return err
		}
		if decodeUint64(id) != uint64(o.ID) {
			return &corruptError{invalidContents("override %d stands under %d", o.ID, decodeUint64(id))}
		}
		k.Active = append(k.Active, o)
		return nil
	})
	if err != nil {
		return err
	}
	c := tx.Bucket(bucketAudit).Cursor()
	for key, v := c.Last(); key != nil && len(k.Recent) < MaxRecent; key, v = c.Prev() {
		var change override.Change
		if err := unseal(v, &change); err != nil {
			return err
		}
		if decodeUint64(key) != uint64(change.Revision) {
			return &corruptError{invalidContents("revision %d stands under %d", change.Revision, decodeUint64(key))}
		}
		k.Recent = append(k.Recent, change)
	}
	slices.Reverse(k.Recent)
	if n := len(k.Recent); n > 0 && k.Recent[n-1].Revision != k.Revision {
		return &corruptError{invalidContents("revision is %d, the last change %d", k.Revision, k.Recent[n-1].Revision)}
	}
	return nil
}

// Save writes changes, all or none, and tells when they are on disk or why they are not. It never blocks; done is
// called from another goroutine, in the order of the calls.
func (s *OverrideStore) Save(changes []override.Change, done func(error)) {
	s.requests.Put(saveRequest{changes: changes, done: done})
}

// Stop ends the store after all that waits is written.
func (s *OverrideStore) Stop() {
	s.requests.Put(saveRequest{stop: true})
	<-s.stopped
}

func (s *OverrideStore) run() {
	defer close(s.stopped)
	debug.SetPanicOnFault(true)
	var jobs []saveRequest
	for range s.requests.Ready() {
		jobs = s.requests.Take(jobs)
		for i := range jobs {
			if jobs[i].stop {
				closeFile(s.db, s.logger)
				_ = s.lock.Close() // which holds nothing but the lock, and is nil where there is none
				return
			}
			jobs[i].done(s.write(jobs[i].changes))
		}
	}
}

// closeFile closes a file where there is one. What was written is on the disk by then: each transaction waits for that.
func closeFile(db *bolt.DB, log *zap.Logger) {
	if db == nil {
		return
	}
	if err := db.Close(); err != nil {
		log.Error("file not closed", zap.String("file", db.Path()), zap.String("text", err.Error()))
	}
}

func (s *OverrideStore) write(changes []override.Change) (err error) {
	if s.failure != nil {
		return s.failure
	}
	defer func() {
		if p := recover(); p != nil { // a file corrupt under us: from here on nothing is kept
			err = panicError{p}
			s.failure, s.db = err, nil
		}
	}()
	return s.db.Update(func(tx *bolt.Tx) error {
		meta, held, audit := tx.Bucket(bucketMeta), tx.Bucket(bucketActive), tx.Bucket(bucketAudit)
		audited := decodeUint64(meta.Get(keyAudited))
		last := decodeUint64(meta.Get(keyRevision))
		for i := range changes {
			c := &changes[i]
			if err := applyChange(held, c); err != nil {
				return err
			}
			record, err := seal(c)
			if err != nil {
				return err
			}
			if err := audit.Put(encodeUint64(uint64(c.Revision)), record); err != nil {
				return err
			}
			audited++
			last = max(last, uint64(c.Revision))
		}
		for c := audit.Cursor(); audited > maxAuditRecords; audited-- {
			if key, _ := c.First(); key == nil {
				break
			}
			if err := c.Delete(); err != nil {
				return err
			}
		}
		if err := meta.Put(keyAudited, encodeUint64(audited)); err != nil {
			return err
		}
		return meta.Put(keyRevision, encodeUint64(last))
	})
}

func applyChange(held *bolt.Bucket, c *override.Change) error {
	id := encodeUint64(uint64(c.Override.ID))
	if c.What != override.WasSet {
		return held.Delete(id)
	}
	record, err := seal(&c.Override)
	if err != nil {
		return err
	}
	return held.Put(id, record)
}
