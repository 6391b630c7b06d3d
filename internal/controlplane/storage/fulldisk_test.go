package storage_test

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/controlplane/storage/storagetest"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// rejectedChange is written only while the disk is full. It must never be visible, unless power is lost during its write.
var rejectedChange = storage.Change{Table: "last", Key: "refused", Value: make([]byte, 40)}

// freeSpaceSizes are the numbers of free bytes with which a disk is tested. All are too few for the record of rejectedChange,
// which has a header of 13 bytes and 68 bytes in all.
var freeSpaceSizes = []int{0, 1, 12, 13, 14, 40, 67}

func requireRejected(t *testing.T, err error) {
	t.Helper()
	if !errors.Is(err, storage.ErrWriteRejected) || rpcerror.ExecutionOf(err) != rpcerror.NotExecuted || !storage.IsFull(err) {
		t.Fatalf("the write on a full disk failed with %v, expected a rejection", err)
	}
}

// writeRange executes the writes of the script in the range [from, to).
func writeRange(t *testing.T, store *storage.FileStore, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		if err := store.Write(scriptedWrite(i)...); err != nil {
			t.Fatalf("write %d: %v", i, err)
		}
	}
	synctest.Wait() // the writer may compact the file after the last write returned
}

// requireExactContent fails the test unless the store holds the first writes of the script and nothing else.
func requireExactContent(t *testing.T, store *storage.FileStore, writes int) {
	t.Helper()
	if content := store.Snapshot(); !reflect.DeepEqual(content, contentAfter(writes)) {
		t.Fatalf("after %d writes the store holds the wrong content %v", writes, content)
	}
}

// requireTwoRejections executes two writes on a disk with little free space. The disk rejects the first one. The store rejects
// the second one because of the backoff, without an operation on the disk.
func requireTwoRejections(t *testing.T, disk *storagetest.Disk, store *storage.FileStore, freeBytes int) {
	t.Helper()
	disk.SetFreeSpace(freeBytes)
	requireRejected(t, store.Write(rejectedChange))
	before := disk.Operations()
	requireRejected(t, store.Write(rejectedChange))
	if disk.Operations() != before {
		t.Fatal("the store accessed the disk during the backoff")
	}
}

// Guards against a store that stays unusable, or loses or duplicates a write, after a full disk. The disk is full before each
// write in turn and has space again later. With compactOften, the file is also compacted.
func TestStoreAcceptsWritesAgainAfterFullDisk(t *testing.T) {
	for _, options := range []storage.Options{{}, compactOften} {
		for _, freeBytes := range freeSpaceSizes {
			for writesBefore := range scriptLength {
				virtualtime.Test(t, func(t *testing.T) {
					disk := storagetest.NewDisk()
					store, _ := mustOpen(t, disk, directory, options)
					writeRange(t, store, 0, writesBefore)
					requireTwoRejections(t, disk, store, freeBytes)
					requireExactContent(t, store, writesBefore)
					time.Sleep(storage.RejectionBackoff)
					requireTwoRejections(t, disk, store, freeBytes)
					disk.SetCapacity(0)
					time.Sleep(storage.RejectionBackoff)
					writeRange(t, store, writesBefore, scriptLength)
					requireExactContent(t, store, scriptLength)
					if isClosed(store.Failed()) {
						t.Fatal("the store has failed")
					}
					store.Close()
					reopened, opened := mustOpen(t, disk, directory, options)
					if opened.TruncatedBytes > 0 {
						t.Fatalf("Open truncated %d bytes, expected that the rollback had removed the rejected write", opened.TruncatedBytes)
					}
					requireExactContent(t, reopened, scriptLength)
					reopened.Close()
				})
			}
		}
	}
}

// Guards against a rejected write that reappears after a power loss or a kill of the process. Either happens while the disk is
// full or soon after.
func TestRejectedWritesDoNotReappearAfterCrash(t *testing.T) {
	for _, freeBytes := range freeSpaceSizes {
		for writesBefore := range scriptLength {
			for operation := range 10 {
				seed := uint64(operation*1000 + writesBefore)
				virtualtime.Test(t, func(t *testing.T) {
					checkCrashAfterRejection(t, freeBytes, writesBefore, operation, seed)
				})
			}
		}
	}
}

// checkCrashAfterRejection runs the script with a rejected write after the first writesBefore writes. Power is lost at a later
// operation. If operation is 0, the process is killed instead while the disk is full, and the disk stays full for the next
// process.
func checkCrashAfterRejection(t *testing.T, freeBytes, writesBefore, operation int, seed uint64) {
	disk := storagetest.NewDisk()
	store, _ := mustOpen(t, disk, directory, compactOften)
	writeRange(t, store, 0, writesBefore)
	if operation > 0 {
		disk.LosePowerAt(operation, seed%2 == 0)
	}
	disk.SetFreeSpace(freeBytes)
	err := store.Write(rejectedChange)
	mayBeDurable := !errors.Is(err, storage.ErrWriteRejected) // because power was lost during the write
	acknowledged := writesBefore
	if operation > 0 {
		disk.SetCapacity(0)
		time.Sleep(storage.RejectionBackoff)
		acknowledged = runScript(store, writesBefore)
		store.Close()
		disk.LosePower()
		disk = disk.RestorePower(rand.New(rand.NewPCG(seed, 0)))
	} else {
		store.Close()
		disk = disk.KillProcess()
		disk.SetFreeSpace(0)
	}
	reopened, _ := mustOpen(t, disk, directory, compactOften)
	defer reopened.Close()
	if _, found := reopened.Table("last")["refused"]; found {
		if !mayBeDurable {
			t.Fatalf("%d free bytes, %d writes before, operation %d: the rejected write is visible", freeBytes, writesBefore, operation)
		}
		disk.SetCapacity(0)
		reopened.Write(storage.Change{Table: "last", Key: "refused"})
	}
	checkContent(t, reopened, acknowledged)
}

// Guards against a compaction that fills the disk and makes writes fail. A compaction without enough space removes its file and
// is retried only after CompactionBackoff, and writes continue meanwhile.
func TestCompactionIsRetriedAfterBackoffOnFullDisk(t *testing.T) {
	const (
		valueBytes = 500
		writes     = 40 // after the retried compaction
	)
	virtualtime.Test(t, func(t *testing.T) {
		disk := storagetest.NewDisk()
		store, _ := mustOpen(t, disk, directory, storage.Options{CompactAbove: 1})
		change := storage.Change{Table: "a", Key: "k", Value: make([]byte, valueBytes)}
		write := func() {
			t.Helper()
			if err := store.Write(change); err != nil {
				t.Fatal(err)
			}
			synctest.Wait() // the writer compacts after the write returned
		}
		write()
		disk.SetFreeSpace(2*valueBytes + valueBytes/2)
		write()
		write() // the file has three times the live data, but there is no space for a new one
		length := len(disk.ReadFile(logFile))
		if length < 3*valueBytes {
			t.Fatalf("the file has %d bytes, expected that it was not compacted", length)
		}
		if remaining := disk.ReadFile(logFile + ".new"); remaining != nil {
			t.Fatalf("the file of the failed compaction was not removed, it has %d bytes", len(remaining))
		}
		disk.SetCapacity(0)
		write()
		if now := len(disk.ReadFile(logFile)); now <= length {
			t.Fatal("the file was compacted before the backoff ended")
		}
		time.Sleep(storage.CompactionBackoff)
		write()
		if now := len(disk.ReadFile(logFile)); now > 2*valueBytes {
			t.Fatalf("the file was not compacted once there was space, it has %d bytes", now)
		}
		for range writes {
			write()
		}
		store.Close()
		reopened, _ := mustOpen(t, disk, directory, storage.Options{})
		if got := len(reopened.Table("a")["k"]); got != valueBytes {
			t.Fatalf("the store holds %d bytes", got)
		}
		reopened.Close()
	})
}

// Guards against a lost write when the disk becomes full during compaction. Each number of free bytes in turn makes the disk
// full at a different point of the script.
func TestFullDiskDuringCompactionLosesNoAcknowledgedWrite(t *testing.T) {
	for freeBytes := range 400 {
		virtualtime.Test(t, func(t *testing.T) {
			disk := storagetest.NewDisk()
			store, _ := mustOpen(t, disk, directory, compactOften)
			acknowledged := 0
			disk.SetFreeSpace(freeBytes)
			for acknowledged < scriptLength && store.Write(scriptedWrite(acknowledged)...) == nil {
				acknowledged++
			}
			requireExactContent(t, store, acknowledged)
			reopened, _ := mustOpen(t, disk.KillProcess(), directory, compactOften)
			defer reopened.Close()
			requireExactContent(t, reopened, acknowledged)
		})
	}
}

// Guards against an Open that needs free space: an existing store must be readable after a restart on a full disk.
func TestExistingStoreOpensOnFullDisk(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		disk := storagetest.NewDisk()
		store, _ := mustOpen(t, disk, directory, storage.Options{})
		writeRange(t, store, 0, scriptLength)
		store.Close()
		disk.SetFreeSpace(0)
		reopened, opened := mustOpen(t, disk, directory, storage.Options{})
		if opened != (storage.OpenResult{}) {
			t.Fatalf("Open returned %+v, expected the zero value", opened)
		}
		requireExactContent(t, reopened, scriptLength)
		requireRejected(t, reopened.Write(rejectedChange))
		reopened.Close()
	})
}
