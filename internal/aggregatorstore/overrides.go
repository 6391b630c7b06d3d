package aggregatorstore

import (
	"path/filepath"
	"slices"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/operators/override"
)

const (
	overridesFileName = "overrides.db"
	overridesLockName = "overrides.lock"
	// overridesVersion is the version of the record format. A file with another version is refused and left unmodified.
	overridesVersion = 1
	// maxAuditRecords is the maximum length of the audit trail. It covers years of operators' commands and takes about
	// 50 MB.
	maxAuditRecords = 100_000
	// MaxRecentChanges is how many of the latest changes are read from the audit trail when the file is opened.
	MaxRecentChanges = 1000
)

var (
	bucketActive  = []byte("held")
	bucketAudit   = []byte("audit")
	keyRevision   = []byte("revision")
	keyAuditCount = []byte("audited") // number of records in the audit trail
)

// OverrideContents holds the contents of an overrides file when it was opened.
type OverrideContents struct {
	Revision    override.Revision // of the last change
	Active      []override.Override
	Recent      []override.Change // the last MaxRecentChanges changes, oldest first
	Quarantined string            // path that a corrupt file was renamed to, "" if none
}

// OverrideStore stores the overrides. Its methods may be called from any goroutine.
type OverrideStore struct{ *fileWriter }

// OpenOverrides opens the overrides file in a directory, or creates it. A corrupt file is renamed and replaced by a new one.
// The OverrideStore is never nil. If there is an error, every Save fails with it.
func OpenOverrides(dir string, logger *zap.Logger) (s *OverrideStore, contents OverrideContents, err error) {
	return openOverridesWithin(dir, lockTimeout, logger)
}

func openOverridesWithin(dir string, wait time.Duration, logger *zap.Logger) (s *OverrideStore, contents OverrideContents, err error) {
	s = &OverrideStore{newFileWriter(logger)}
	defer func() {
		s.failure = err
		go s.run()
	}()
	if s.lock, err = lockDirectory(dir, overridesLockName, wait); err != nil {
		return s, contents, err
	}
	quarantined := ""
	s.db, quarantined, err = openOrQuarantine(filepath.Join(dir, overridesFileName), logger, createOverrideBuckets, contents.read)
	if quarantined != "" || err != nil { // discard what was read before the error
		contents = OverrideContents{Quarantined: quarantined}
	}
	return s, contents, err
}

func createOverrideBuckets(tx *bolt.Tx) error {
	return createBuckets(tx, overridesVersion, bucketActive, bucketAudit)
}

func (c *OverrideContents) read(tx *bolt.Tx) error {
	switch version := tx.Bucket(bucketMeta).Get(keyVersion); {
	case len(version) != 8 || tx.Bucket(bucketActive) == nil || tx.Bucket(bucketAudit) == nil:
		return &corruptError{invalidContents("the version or a bucket is missing")}
	case decodeUint64(version) != overridesVersion:
		return versionError{decodeUint64(version), overridesVersion}
	}
	c.Revision = override.Revision(decodeUint64(tx.Bucket(bucketMeta).Get(keyRevision)))
	err := tx.Bucket(bucketActive).ForEach(func(id, record []byte) error {
		var active override.Override
		if err := decodeRecord(record, &active); err != nil {
			return err
		}
		if decodeUint64(id) != uint64(active.ID) {
			return &corruptError{invalidContents("override %d is stored under key %d", active.ID, decodeUint64(id))}
		}
		c.Active = append(c.Active, active)
		return nil
	})
	if err != nil {
		return err
	}
	cursor := tx.Bucket(bucketAudit).Cursor()
	for key, record := cursor.Last(); key != nil && len(c.Recent) < MaxRecentChanges; key, record = cursor.Prev() {
		var change override.Change
		if err := decodeRecord(record, &change); err != nil {
			return err
		}
		if decodeUint64(key) != uint64(change.Revision) {
			return &corruptError{invalidContents("revision %d is stored under key %d", change.Revision, decodeUint64(key))}
		}
		c.Recent = append(c.Recent, change)
	}
	slices.Reverse(c.Recent)
	if n := len(c.Recent); n > 0 && c.Recent[n-1].Revision != c.Revision {
		return &corruptError{invalidContents("the revision is %d, but that of the last change is %d", c.Revision, c.Recent[n-1].Revision)}
	}
	return nil
}

// Save saves all changes or none. It calls done when they are on disk or have failed. It does not block. The done functions are
// called from another goroutine, in the order of the calls to Save.
func (s *OverrideStore) Save(changes []override.Change, done func(error)) {
	s.save(func(tx *bolt.Tx) error { return writeChanges(tx, changes) }, done)
}

func writeChanges(tx *bolt.Tx, changes []override.Change) error {
	meta, active, audit := tx.Bucket(bucketMeta), tx.Bucket(bucketActive), tx.Bucket(bucketAudit)
	audited := decodeUint64(meta.Get(keyAuditCount))
	last := decodeUint64(meta.Get(keyRevision))
	for i := range changes {
		change := &changes[i]
		if err := applyChange(active, change); err != nil {
			return err
		}
		record, err := encodeRecord(change)
		if err != nil {
			return err
		}
		if err := audit.Put(encodeUint64(uint64(change.Revision)), record); err != nil {
			return err
		}
		audited++
		last = max(last, uint64(change.Revision))
	}
	for cursor := audit.Cursor(); audited > maxAuditRecords; audited-- {
		if key, _ := cursor.First(); key == nil {
			break
		}
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	if err := meta.Put(keyAuditCount, encodeUint64(audited)); err != nil {
		return err
	}
	return meta.Put(keyRevision, encodeUint64(last))
}

// applyChange stores the override that a change sets, or deletes the one that it ends.
func applyChange(active *bolt.Bucket, change *override.Change) error {
	id := encodeUint64(uint64(change.Override.ID))
	if change.Kind != override.SetByOperator {
		return active.Delete(id)
	}
	record, err := encodeRecord(&change.Override)
	if err != nil {
		return err
	}
	return active.Put(id, record)
}
