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

// gatedDisk is a disk whose files wait at a gate before they sync.
type gatedDisk struct {
	*storagetest.Disk
	gate chan struct{} // each receive lets one sync pass; nil lets all pass
}

type gatedFile struct {
	storage.File
	disk *gatedDisk
}

func (d *gatedDisk) Create(name string) (storage.File, error) {
	file, err := d.Disk.Create(name)
	return &gatedFile{file, d}, err
}

func (f *gatedFile) Sync() error {
	if f.disk.gate != nil {
		<-f.disk.gate
	}
	return f.File.Sync()
}

func TestConcurrentWritesShareOneSync(t *testing.T) {
	const writers = 20
	virtualtime.Test(t, func(t *testing.T) {
		disk := &gatedDisk{Disk: storagetest.NewDisk()}
		store, _ := mustOpen(t, disk, directory, storage.Options{})
		disk.gate = make(chan struct{})
		before := disk.Operations()
		var running sync.WaitGroup
		for i := range writers {
			running.Go(func() { store.Write(storage.Change{Table: "a", Key: fmt.Sprint(i), Value: []byte("1")}) })
		}
		synctest.Wait() // one write is at the gate and the others are queued
		if len(store.Table("a")) > 0 {
			t.Error("a write is visible before its sync")
		}
		close(disk.gate)
		running.Wait()
		if got := disk.Operations() - before; got > 4 {
			t.Errorf("%d operations, expected two writes and two syncs at most", got)
		}
		if got := len(store.Table("a")); got != writers {
			t.Errorf("%d of %d writes", got, writers)
		}
	})
}

func TestCompactionBoundsTheFile(t *testing.T) {
	const limit = 4 << 10
	convey.Convey("A store that writes the same keys over and over is compacted", t, func() {
		disk := storagetest.NewDisk()
		store, _ := mustOpen(t, disk, directory, storage.Options{CompactAbove: limit})
		longest := 0
		for i := range 500 {
			err := store.Write(storage.Change{Table: "a", Key: fmt.Sprint(i % 10), Value: make([]byte, 100)})
			convey.So(err, convey.ShouldBeNil)
			longest = max(longest, len(disk.ReadFile(logFile)))
		}
		convey.So(longest, convey.ShouldBeBetween, limit/2, limit+300)
		convey.So(store.Table("a"), convey.ShouldHaveLength, 10)
	})
	convey.Convey("The file is not compacted before it is three times as long as the live data", t, func() {
		disk := storagetest.NewDisk()
		store, _ := mustOpen(t, disk, directory, storage.Options{CompactAbove: 1})
		convey.So(store.Write(storage.Change{Table: "a", Key: "large", Value: make([]byte, limit)}), convey.ShouldBeNil)
		before := disk.Operations()
		for range limit / 100 {
			convey.So(store.Write(storage.Change{Table: "a", Key: "small", Value: make([]byte, 50)}), convey.ShouldBeNil)
		}
		convey.So(disk.Operations()-before, convey.ShouldEqual, 2*(limit/100))
	})
	convey.Convey("The old and the new file of a compaction stay within the size limit", t, func() {
		disk := storagetest.NewDisk()
		disk.SetCapacity(3 * limit)
		store, _ := mustOpen(t, disk, directory, storage.Options{CompactAbove: 1, SizeLimit: 3*limit - 500})
		convey.So(store.Write(storage.Change{Table: "a", Key: "large", Value: make([]byte, limit)}), convey.ShouldBeNil)
		for range 200 {
			convey.So(store.Write(storage.Change{Table: "a", Key: "small", Value: make([]byte, 50)}), convey.ShouldBeNil)
		}
	})
}

func TestClosedStoreRejectsWrites(t *testing.T) {
	convey.Convey("A closed store rejects writes, and keeps the earlier ones", t, func() {
		disk := storagetest.NewDisk()
		store, opened := mustOpen(t, disk, directory, storage.Options{})
		convey.So(opened.Empty, convey.ShouldBeTrue)
		convey.So(store.Write(script(0)...), convey.ShouldBeNil)
		convey.So(store.Close(), convey.ShouldBeNil)
		convey.So(errors.Is(store.Write(script(1)...), storage.ErrClosed), convey.ShouldBeTrue)
		reopened, opened := mustOpen(t, disk, directory, storage.Options{})
		convey.So(opened.Empty, convey.ShouldBeFalse)
		checkContent(t, reopened, 1)
	})
}
