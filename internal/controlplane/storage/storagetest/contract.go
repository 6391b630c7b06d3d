// Package storagetest provides tests of the storage.Store contract, and a file system in memory that simulates power losses,
// full disks and failed syncs.
package storagetest

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// errPartialWriteVisible is reported when a snapshot has only some changes of a write.
var errPartialWriteVisible = errors.New("a snapshot has only a part of a write")

// RunStoreContract tests the behavior that every Store must have. Each call of open must return an empty store.
func RunStoreContract(t *testing.T, open func(t *testing.T) storage.SnapshotStore) {
	convey.Convey("An empty store has no tables", t, func() {
		store := open(t)
		convey.So(store.Tables(), convey.ShouldBeEmpty)
		convey.So(store.Table("absent"), convey.ShouldBeEmpty)
		convey.So(store.Snapshot(), convey.ShouldBeEmpty)
		convey.So(store.Write(), convey.ShouldBeNil)
	})
	convey.Convey("A store applies the changes of a write in order", t, func() { checkOrder(open(t)) })
	convey.Convey("A store deletes keys, clears tables, and stores empty values", t, func() { checkDeletion(open(t)) })
	convey.Convey("A store copies the values that it is given and the tables that it returns", t, func() { checkCopies(open(t)) })
	convey.Convey("A snapshot never has only a part of a write", t, func() { checkAtomicity(open(t)) })
}

func set(table, key, value string) storage.Change {
	return storage.Change{Table: table, Key: key, Value: []byte(value)}
}

func checkOrder(store storage.SnapshotStore) {
	err := store.Write(set("b", "k", "1"), set("a", "k", "2"), set("b", "k", "3"))
	convey.So(err, convey.ShouldBeNil)
	convey.So(store.Tables(), convey.ShouldResemble, []string{"a", "b"})
	convey.So(store.Table("b"), convey.ShouldResemble, map[string][]byte{"k": []byte("3")})
	convey.So(store.Snapshot(), convey.ShouldResemble, storage.Tables{"a": {"k": []byte("2")}, "b": {"k": []byte("3")}})
}

func checkDeletion(store storage.SnapshotStore) {
	err := store.Write(
		set("a", "k", "1"), set("a", "l", "2"), set("b", "k", "3"), set("c", "k", ""), set("c", "", "4"),
		storage.Change{Table: "a", Key: "k"},
		storage.Change{Table: "b"},
		storage.Change{Table: "absent", Key: "k"})
	convey.So(err, convey.ShouldBeNil)
	convey.So(store.Snapshot(), convey.ShouldResemble, storage.Tables{
		"a": {"l": []byte("2")},
		"c": {"k": []byte{}, "": []byte("4")},
	})
	convey.So(store.Write(storage.Change{Table: "a", Key: "l"}), convey.ShouldBeNil)
	convey.So(store.Tables(), convey.ShouldResemble, []string{"c"})
}

func checkCopies(store storage.SnapshotStore) {
	value := []byte("1")
	convey.So(store.Write(storage.Change{Table: "a", Key: "k", Value: value}), convey.ShouldBeNil)
	value[0] = 'x'
	table, snapshot := store.Table("a"), store.Snapshot()
	delete(table, "k")
	delete(snapshot["a"], "k")
	convey.So(store.Table("a"), convey.ShouldResemble, map[string][]byte{"k": []byte("1")})
}

// checkAtomicity writes the same value to two tables from several goroutines, and compares the tables meanwhile.
func checkAtomicity(store storage.SnapshotStore) {
	const (
		writers         = 4
		writesPerWriter = 25
	)
	errs := make([]error, writers+1)
	var running sync.WaitGroup
	for writer := range writers {
		running.Go(func() {
			for i := range writesPerWriter {
				value := fmt.Sprintf("%d-%d", writer, i)
				errs[writer] = errors.Join(errs[writer], store.Write(set("a", "k", value), set("b", "k", value)))
			}
		})
	}
	running.Go(func() {
		for range writesPerWriter {
			snapshot := store.Snapshot()
			if string(snapshot["a"]["k"]) != string(snapshot["b"]["k"]) {
				errs[writers] = fmt.Errorf("%w: %s and %s differ", errPartialWriteVisible, snapshot["a"]["k"], snapshot["b"]["k"])
			}
		}
	})
	running.Wait()
	convey.So(errors.Join(errs...), convey.ShouldBeNil)
}
