package storage_test

import (
	"errors"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/controlplane/storage/storagetest"
)

const directory = "/data"

func mustOpen(t *testing.T, files storage.FileSystem, directory string, options storage.Options) (*storage.FileStore, storage.OpenResult) {
	t.Helper()
	store, opened, err := storage.Open(files, directory, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return store, opened
}

func TestMemoryFulfillsStoreContract(t *testing.T) {
	storagetest.RunStoreContract(t, func(*testing.T) storage.SnapshotStore { return storage.NewMemory() })
}

func TestFileStoreFulfillsStoreContract(t *testing.T) {
	storagetest.RunStoreContract(t, func(t *testing.T) storage.SnapshotStore {
		store, _ := mustOpen(t, storagetest.NewDisk(), directory, storage.Options{})
		return store
	})
}

func TestFileStoreFulfillsStoreContractDuringCompaction(t *testing.T) {
	storagetest.RunStoreContract(t, func(t *testing.T) storage.SnapshotStore {
		store, _ := mustOpen(t, storagetest.NewDisk(), directory, storage.Options{CompactAbove: 1})
		return store
	})
}

func TestFileStoreFulfillsStoreContractOnOSFileSystem(t *testing.T) {
	storagetest.RunStoreContract(t, func(t *testing.T) storage.SnapshotStore {
		store, _ := mustOpen(t, storage.OSFileSystem{}, t.TempDir(), storage.Options{})
		return store
	})
}

func TestReopenedFileStoreHoldsEarlierWritesOnOSFileSystem(t *testing.T) {
	convey.Convey("A store in a directory that Open creates", t, func() {
		storeDirectory := t.TempDir() + "/a/b"
		store, opened := mustOpen(t, storage.OSFileSystem{}, storeDirectory, storage.Options{CompactAbove: 64})
		convey.So(opened.Empty, convey.ShouldBeTrue)
		for _, value := range []string{"1", "2", "3", "4"} {
			convey.So(store.Write(storage.Change{Table: "a", Key: "k", Value: []byte(value)}), convey.ShouldBeNil)
		}
		convey.So(store.Close(), convey.ShouldBeNil)

		convey.Convey("holds the earlier writes when it is reopened", func() {
			reopened, opened := mustOpen(t, storage.OSFileSystem{}, storeDirectory, storage.Options{})
			convey.So(opened, convey.ShouldResemble, storage.OpenResult{})
			convey.So(reopened.Snapshot(), convey.ShouldResemble, storage.Tables{"a": {"k": []byte("4")}})
		})
	})
}

func TestMemoryReturnsInjectedError(t *testing.T) {
	convey.Convey("A memory store with an injected error returns it from Write and stays readable", t, func() {
		store := storage.NewMemory()
		injected := errors.New("injected")
		convey.So(store.Write(storage.Change{Table: "a", Key: "k", Value: []byte("1")}), convey.ShouldBeNil)
		store.Fail(injected)
		convey.So(store.Write(storage.Change{Table: "a"}), convey.ShouldEqual, injected)
		convey.So(store.Tables(), convey.ShouldResemble, []string{"a"})
	})
}
