package storage_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/controlplane/storage/storagetest"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// syncBlockingDisk is a disk whose syncs wait until the test allows them.
type syncBlockingDisk struct {
	*storagetest.Disk
	allowSync chan struct{} // each sync receives from it first; nil allows all syncs
}

type syncBlockingFile struct {
	storage.File
	disk *syncBlockingDisk
}

func (d *syncBlockingDisk) Create(name string) (storage.File, error) {
	file, err := d.Disk.Create(name)
	return &syncBlockingFile{file, d}, err
}

func (f *syncBlockingFile) Sync() error {
	if f.disk.allowSync != nil {
		<-f.disk.allowSync
	}
	return f.File.Sync()
}

func TestConcurrentWritesShareOneSync(t *testing.T) {
	const writers = 20
	virtualtime.Test(t, func(t *testing.T) {
		disk := &syncBlockingDisk{Disk: storagetest.NewDisk()}
		store, _ := mustOpen(t, disk, directory, storage.Options{})
		disk.allowSync = make(chan struct{})
		before := disk.Operations()
		var running sync.WaitGroup
		for i := range writers {
			running.Go(func() { store.Write(storage.Change{Table: "a", Key: fmt.Sprint(i), Value: []byte("1")}) })
		}
		synctest.Wait() // one write waits for its sync and the others are queued
		if len(store.Table("a")) > 0 {
			t.Error("a write is visible before its sync")
		}
		close(disk.allowSync)
		running.Wait()
		if got := disk.Operations() - before; got > 4 {
			t.Errorf("%d disk operations, expected at most two writes and two syncs", got)
		}
		if got := len(store.Table("a")); got != writers {
			t.Errorf("the table has %d of %d writes", got, writers)
		}
	})
}

func TestCompactionBoundsFileLength(t *testing.T) {
	const compactAbove = 4 << 10
	convey.Convey("A store is compacted when the same keys are overwritten many times", t, func() {
		disk := storagetest.NewDisk()
		store, _ := mustOpen(t, disk, directory, storage.Options{CompactAbove: compactAbove})
		maxFileLength := 0
		for i := range 500 {
			err := store.Write(storage.Change{Table: "a", Key: fmt.Sprint(i % 10), Value: make([]byte, 100)})
			convey.So(err, convey.ShouldBeNil)
			maxFileLength = max(maxFileLength, len(disk.ReadFile(logFile)))
		}
		convey.So(maxFileLength, convey.ShouldBeBetween, compactAbove/2, compactAbove+300)
		convey.So(store.Table("a"), convey.ShouldHaveLength, 10)
	})
	convey.Convey("The file is not compacted before it is three times as long as the live data", t, func() {
		disk := storagetest.NewDisk()
		store, _ := mustOpen(t, disk, directory, storage.Options{CompactAbove: 1})
		convey.So(store.Write(storage.Change{Table: "a", Key: "large", Value: make([]byte, compactAbove)}), convey.ShouldBeNil)
		before := disk.Operations()
		for range compactAbove / 100 {
			convey.So(store.Write(storage.Change{Table: "a", Key: "small", Value: make([]byte, 50)}), convey.ShouldBeNil)
		}
		convey.So(disk.Operations()-before, convey.ShouldEqual, 2*(compactAbove/100))
	})
	convey.Convey("The old and the new file of a compaction stay within the size limit", t, func() {
		disk := storagetest.NewDisk()
		disk.SetCapacity(3 * compactAbove)
		store, _ := mustOpen(t, disk, directory, storage.Options{CompactAbove: 1, SizeLimit: 3*compactAbove - 500})
		convey.So(store.Write(storage.Change{Table: "a", Key: "large", Value: make([]byte, compactAbove)}), convey.ShouldBeNil)
		for range 200 {
			convey.So(store.Write(storage.Change{Table: "a", Key: "small", Value: make([]byte, 50)}), convey.ShouldBeNil)
		}
	})
}

func TestClosedStoreRejectsWrites(t *testing.T) {
	convey.Convey("A closed store rejects writes, and its file holds the earlier ones", t, func() {
		disk := storagetest.NewDisk()
		store, opened := mustOpen(t, disk, directory, storage.Options{})
		convey.So(opened.Empty, convey.ShouldBeTrue)
		convey.So(store.Write(scriptedWrite(0)...), convey.ShouldBeNil)
		convey.So(store.Close(), convey.ShouldBeNil)
		convey.So(errors.Is(store.Write(scriptedWrite(1)...), storage.ErrClosed), convey.ShouldBeTrue)
		reopened, opened := mustOpen(t, disk, directory, storage.Options{})
		convey.So(opened.Empty, convey.ShouldBeFalse)
		checkContent(t, reopened, 1)
	})
}
