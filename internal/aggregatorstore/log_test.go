package aggregatorstore

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.uber.org/zap"
)

// A refused file must be released. Otherwise the next attempt fails on the lock instead of reporting the version.
func TestLogOfAnotherVersionIsRefusedAndReleased(t *testing.T) {
	dir := t.TempDir()
	l, _, err := OpenLog(dir, time.Second, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	l.Stop()
	db, err := bolt.Open(filepath.Join(dir, logName), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyVersion, encodeUint64(logVersion+1)) })
	if err := errors.Join(err, db.Close()); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		_, _, err := OpenLog(dir, time.Second, zap.NewNop())
		if wrongVersion := (versionError{}); !errors.As(err, &wrongVersion) || wrongVersion.found != logVersion+1 {
			t.Fatalf("got %v", err)
		}
	}
}

// A log with a record that fails its checksum is renamed without modification and replaced by a new one with another ID. The
// contents state the new name.
func TestLogWithACorruptRecordIsQuarantined(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, logName)
	l, before, err := OpenLog(dir, time.Second, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	saved := make(chan error, 1)
	l.Save(LogUpdate{Values: map[string][]byte{"name": []byte("value")}, Entries: []Entry{{Index: 1, Data: []byte("entry")}}}, func(err error) { saved <- err })
	if err := <-saved; err != nil {
		t.Fatal(err)
	}
	l.Stop()
	db, err := bolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketLog).Put(encodeUint64(2), []byte("data without a checksum"))
	})
	if err := errors.Join(err, db.Close()); err != nil {
		t.Fatal(err)
	}
	corrupt, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	l, contents, err := OpenLog(dir, time.Second, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Stop()
	if contents.ID == 0 || contents.ID == before.ID || len(contents.Values) > 0 || len(contents.Entries) > 0 {
		t.Errorf("the new log has ID %x after %x, and %+v", contents.ID, before.ID, contents)
	}
	if quarantined, err := os.ReadFile(contents.Quarantined); err != nil || !bytes.Equal(quarantined, corrupt) {
		t.Errorf("quarantined as %q, %d bytes: %v", contents.Quarantined, len(quarantined), err)
	}
}
