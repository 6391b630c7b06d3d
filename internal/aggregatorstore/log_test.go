package aggregatorstore

import (
	"errors"
	"path/filepath"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.uber.org/zap"
)

// A file that is refused is released: the next process gets the same error, and not that of a lock which the first has left.
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
		if of := (versionError{}); !errors.As(err, &of) || of.found != logVersion+1 {
			t.Fatalf("got %v", err)
		}
	}
}
