package aggregatorstore

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	bolt "go.etcd.io/bbolt"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/operators/override"
)

const (
	storedOverrides = "testdata/overrides"
	storedLog       = "testdata/log"
	storedDump      = "testdata/overrides.json" // the records as JSON, by bucket and key
	updateVariable  = "GOLDEN_UPDATE"           // the value 1 regenerates the stored data
)

// storedActive are the active overrides of the stored data, one of each kind.
var storedActive = []override.Override{
	{ID: 1, SetAt: 1000.5, Spec: override.Spec{Kind: override.Weight, Location: "north", Index: "reads", Factor: 0.25, Author: "ann", Reason: "slow", ExpiresAt: 5000}},
	{ID: 2, SetAt: 1001, BackendStartedAt: 900.25, Spec: override.Spec{Kind: override.OutOfService, Backend: "s-1", Author: "bob", Reason: "ill", ExpiresAt: 6000, UntilRestart: true}},
	{ID: 4, SetAt: 1003, Spec: override.Spec{Kind: override.Pin, Backend: "s-2", From: 3, To: 70000, Strict: true, Author: "ann", Reason: "hot", ExpiresAt: 7000}},
}

// storedChanges returns all changes of the stored data, with every kind of change.
func storedChanges() []override.Change {
	set := func(revision override.Revision, active override.Override, key override.Key) override.Change {
		return override.Change{Revision: revision, ChangedAt: active.SetAt, Kind: override.SetByOperator, Override: active, Author: active.Author, Reason: active.Reason,
			Key: key, Digest: 0xfedcba9876543210, Forced: nil}
	}
	short := override.Override{ID: 3, SetAt: 1002, Spec: override.Spec{Kind: override.OutOfService, Location: "south", Author: "bob", Reason: "works", ExpiresAt: 1004}}
	cleared := override.Override{ID: 6, SetAt: 1005, Spec: override.Spec{Kind: override.Weight, Backend: "s-3", Factor: 1, Author: "ann", Reason: "try", ExpiresAt: 9000}}
	restarted := override.Override{ID: 7, SetAt: 1006, BackendStartedAt: 7, Spec: override.Spec{Kind: override.OutOfService, Backend: "s-4", Author: "ann", ExpiresAt: 9000, UntilRestart: true}}
	forced := set(2, storedActive[1], "k-2")
	forced.Forced = []string{"last_holder", "shard_capacity"}
	return []override.Change{
		set(1, storedActive[0], "k-1"), forced, set(3, short, ""), set(4, storedActive[2], "k-4"),
		{Revision: 5, ChangedAt: 1004, Kind: override.Expired, Override: short},
		set(6, cleared, "k-6"), set(7, restarted, "k-7"),
		{Revision: 8, ChangedAt: 1007, Kind: override.ClearedByOperator, Override: cleared, Author: "bob", Reason: "done", Key: "k-8", Digest: 1},
		{Revision: 9, ChangedAt: 1008, Kind: override.EndedByRestart, Override: restarted},
	}
}

// storedLogContents are the contents of the stored log.
var storedLogContents = LogContents{
	Values:  map[string][]byte{"tables": {0xa1, 1, 2}, "empty": {}, "hard": []byte("second")},
	Entries: []Entry{{3, []byte("three")}, {4, []byte("four, again")}, {5, []byte{}}},
}

func makeStoredOverrides(t *testing.T) {
	os.RemoveAll(storedOverrides)
	s, _, err := OpenOverrides(storedOverrides, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	changes := storedChanges()
	for _, batch := range [][]override.Change{changes[:2], changes[2:]} {
		if err := saveNow(s, batch...); err != nil {
			t.Fatal(err)
		}
	}
	s.Stop()
	if err := os.WriteFile(storedDump, []byte(dumpOverrides(t, storedOverrides)), 0o644); err != nil {
		t.Fatal(err)
	}
}

func makeStoredLog(t *testing.T) {
	os.RemoveAll(storedLog)
	l, _, err := OpenLog(storedLog, time.Second, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	for _, save := range []LogUpdate{
		{Values: map[string][]byte{"hard": []byte("first"), "tables": {0xa1, 1, 2}}, Entries: []Entry{{1, []byte("one")}, {2, []byte("two")}, {3, []byte("three")}}},
		{TruncateTo: 2, Entries: []Entry{{4, []byte("four")}}},
		{Values: map[string][]byte{"hard": []byte("second"), "empty": {}}, Entries: storedLogContents.Entries[1:]},
	} {
		done := make(chan error, 1)
		l.Save(save, func(err error) { done <- err })
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	l.Stop()
}

// dumpOverrides returns all records of a file as JSON.
func dumpOverrides(t *testing.T, folder string) string {
	db, err := bolt.Open(folder+"/"+overridesFileName, 0o600, &bolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	dump := map[string]map[uint64]json.RawMessage{"held": {}, "audit": {}}
	numbers := map[string]uint64{}
	err = db.View(func(tx *bolt.Tx) error {
		for bucket, records := range dump {
			err := tx.Bucket([]byte(bucket)).ForEach(func(key, value []byte) error {
				text, err := verifyChecksum(value)
				records[decodeUint64(key)] = text
				return err
			})
			if err != nil {
				return err
			}
		}
		return tx.Bucket([]byte("meta")).ForEach(func(key, value []byte) error {
			numbers[string(key)] = decodeUint64(value)
			return nil
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.MarshalIndent(map[string]any{"records": dump, "meta": numbers}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return string(text) + "\n"
}

func TestStoredOverridesAreReadAndWrittenAsBefore(t *testing.T) {
	if os.Getenv(updateVariable) == "1" {
		makeStoredOverrides(t)
	}
	golden, err := os.ReadFile(storedDump)
	if err != nil {
		t.Fatal(err)
	}
	Convey("Given overrides that an earlier build saved", t, func() {
		folder := t.TempDir()
		So(os.CopyFS(folder, os.DirFS(storedOverrides)), ShouldBeNil)
		So(dumpOverrides(t, folder), ShouldEqual, string(golden))

		Convey("all overrides and all changes are read", func() {
			s, contents, err := OpenOverrides(folder, zap.NewNop())
			So(err, ShouldBeNil)
			defer s.Stop()
			So(contents, ShouldResemble, OverrideContents{Revision: 9, Active: storedActive, Recent: storedChanges()})
		})
		Convey("this build writes the same records, so that the earlier build can read them", func() {
			other := t.TempDir()
			s, _, err := OpenOverrides(other, zap.NewNop())
			So(err, ShouldBeNil)
			So(saveNow(s, storedChanges()...), ShouldBeNil)
			s.Stop()
			So(dumpOverrides(t, other), ShouldEqual, string(golden))
		})
	})
}

func TestStoredLogIsReadAsBefore(t *testing.T) {
	if os.Getenv(updateVariable) == "1" {
		makeStoredLog(t)
	}
	Convey("Given a log that an earlier build saved, all of it is read", t, func() {
		folder := t.TempDir()
		So(os.CopyFS(folder, os.DirFS(storedLog)), ShouldBeNil)
		l, contents, err := OpenLog(folder, time.Second, zap.NewNop())
		So(err, ShouldBeNil)
		defer l.Stop()
		So(contents.ID, ShouldNotEqual, 0)
		want := storedLogContents
		want.ID = contents.ID // chosen at random
		So(contents, ShouldResemble, want)
	})
}
