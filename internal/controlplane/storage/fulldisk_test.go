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

// rejectedChange is a write that no reader may ever see.
var rejectedChange = storage.Change{Table: "last", Key: "refused", Value: make([]byte, 40)}

// freeSpaces are the bytes that a disk has left when it gets full: none, or a part of a record.
var freeSpaces = []int{0, 1, 12, 13, 14, 40, 67}

func shouldBeRejected(t *testing.T, err error) {
	t.Helper()
	if !errors.Is(err, storage.ErrWriteRejected) || rpcerror.ExecutionOf(err) != rpcerror.NotExecuted || !storage.IsFull(err) {
		t.Fatalf("the write of a full disk failed with %v", err)
	}
}

// writeScript makes the writes of a script in between.
func writeScript(t *testing.T, store *storage.FileStore, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		if err := store.Write(script(i)...); err != nil {
			t.Fatalf("write %d: %v", i, err)
		}
	}
	synctest.Wait() // the writer may compact the file after it has answered
}

// shouldHoldExactly fails unless the store holds so many writes of the script and nothing else.
func shouldHoldExactly(t *testing.T, store *storage.FileStore, writes int) {
	t.Helper()
	if content := store.Snapshot(); !reflect.DeepEqual(content, contentAfter(writes)) {
		t.Fatalf("after %d writes the store holds %v", writes, content)
	}
}

// shouldRejectTwice makes two writes on a disk with so much free space: the disk rejects one, and the other comes during the
// backoff.
func shouldRejectTwice(t *testing.T, disk *storagetest.Disk, store *storage.FileStore, free int) {
	t.Helper()
	disk.SetFreeSpace(free)
	shouldBeRejected(t, store.Write(rejectedChange))
	before := disk.Operations()
	shouldBeRejected(t, store.Write(rejectedChange))
	if disk.Operations() != before {
		t.Fatal("a write was tried during the backoff")
	}
}

// The disk is full at each write in turn, for a while, and then there is space again. The file is compacted meanwhile.
func TestStoreRecoversFromAFullDisk(t *testing.T) {
	for _, options := range []storage.Options{{}, compactOften} {
		for _, free := range freeSpaces {
			for at := range scriptLength {
				virtualtime.Test(t, func(t *testing.T) {
					disk := storagetest.NewDisk()
					store, _ := mustOpen(t, disk, directory, options)
					writeScript(t, store, 0, at)
					shouldRejectTwice(t, disk, store, free)
					shouldHoldExactly(t, store, at)
					time.Sleep(storage.RejectionBackoff)
					shouldRejectTwice(t, disk, store, free)
					disk.SetCapacity(0)
					time.Sleep(storage.RejectionBackoff)
					writeScript(t, store, at, scriptLength)
					shouldHoldExactly(t, store, scriptLength)
					if isClosed(store.Failed()) {
						t.Fatal("the store has failed")
					}
					store.Close()
					reopened, opened := mustOpen(t, disk, directory, options)
					if opened.TruncatedBytes > 0 {
						t.Fatalf("%d bytes were left of a rejected write", opened.TruncatedBytes)
					}
					shouldHoldExactly(t, reopened, scriptLength)
					reopened.Close()
				})
			}
		}
	}
}

// Power fails, or the process is killed, while the disk is full or soon after. Rejected writes do not reappear.
func TestRejectedWritesDoNotReappear(t *testing.T) {
	for _, free := range freeSpaces {
		for at := range scriptLength {
			for operation := range 10 {
				seed := uint64(operation*1000 + at)
				virtualtime.Test(t, func(t *testing.T) {
					endAfterRejection(t, free, at, operation, seed)
				})
			}
		}
	}
}

// endAfterRejection runs a script with a rejected write at one place, until power fails at a later operation; if that is 0
// the process is killed while the disk is full, which it stays for the next process.
func endAfterRejection(t *testing.T, free, at, operation int, seed uint64) {
	disk := storagetest.NewDisk()
	store, _ := mustOpen(t, disk, directory, compactOften)
	writeScript(t, store, 0, at)
	if operation > 0 {
		disk.LosePowerAt(operation, seed%2 == 0)
	}
	disk.SetFreeSpace(free)
	err := store.Write(rejectedChange)
	unclear := !errors.Is(err, storage.ErrWriteRejected) // as power failed within the write
	acknowledged := at
	if operation > 0 {
		disk.SetCapacity(0)
		time.Sleep(storage.RejectionBackoff)
		acknowledged = runScript(store, at)
		store.Close()
		disk.LosePower()
		disk = disk.Restore(rand.New(rand.NewPCG(seed, 0)))
	} else {
		store.Close()
		disk = disk.Kill()
		disk.SetFreeSpace(0)
	}
	reopened, _ := mustOpen(t, disk, directory, compactOften)
	defer reopened.Close()
	if _, found := reopened.Table("last")["refused"]; found {
		if !unclear {
			t.Fatalf("free %d, write %d, operation %d: the rejected write is there", free, at, operation)
		}
		disk.SetCapacity(0)
		reopened.Write(storage.Change{Table: "last", Key: "refused"})
	}
	checkContent(t, reopened, acknowledged)
}

// A compaction for which there is no space is put off, and leaves the space to the writes.
func TestCompactionBacksOffOnAFullDisk(t *testing.T) {
	const value, writes = 500, 40
	virtualtime.Test(t, func(t *testing.T) {
		disk := storagetest.NewDisk()
		store, _ := mustOpen(t, disk, directory, storage.Options{CompactAbove: 1})
		change := storage.Change{Table: "a", Key: "k", Value: make([]byte, value)}
		write := func() {
			t.Helper()
			if err := store.Write(change); err != nil {
				t.Fatal(err)
			}
			synctest.Wait() // the writer compacts after it has answered
		}
		write()
		disk.SetFreeSpace(2*value + value/2)
		write()
		write() // three times the live data: there is no space for the new file
		length := len(disk.ReadFile(logFile))
		if length < 3*value {
			t.Fatalf("the file was compacted, it has %d bytes", length)
		}
		if left := disk.ReadFile(logFile + ".new"); left != nil {
			t.Fatalf("%d bytes of the new file are left", len(left))
		}
		disk.SetCapacity(0)
		write()
		if now := len(disk.ReadFile(logFile)); now <= length {
			t.Fatal("compaction was tried again at once")
		}
		time.Sleep(storage.CompactionBackoff)
		write()
		if now := len(disk.ReadFile(logFile)); now > 2*value {
			t.Fatalf("the file was not compacted once there was space, it has %d bytes", now)
		}
		for range writes {
			write()
		}
		store.Close()
		reopened, _ := mustOpen(t, disk, directory, storage.Options{})
		if got := len(reopened.Table("a")["k"]); got != value {
			t.Fatalf("the store holds %d bytes", got)
		}
		reopened.Close()
	})
}

// The disk is full from each operation of a compaction on. No acknowledged write is lost.
func TestFullDiskDuringCompaction(t *testing.T) {
	for free := range 400 {
		virtualtime.Test(t, func(t *testing.T) {
			disk := storagetest.NewDisk()
			store, _ := mustOpen(t, disk, directory, compactOften)
			acknowledged := 0
			disk.SetFreeSpace(free)
			for acknowledged < scriptLength && store.Write(script(acknowledged)...) == nil {
				acknowledged++
			}
			shouldHoldExactly(t, store, acknowledged)
			after, _ := mustOpen(t, disk.Kill(), directory, compactOften)
			defer after.Close()
			shouldHoldExactly(t, after, acknowledged)
		})
	}
}

// A store that exists is opened and read on a full disk.
func TestOpenOnAFullDisk(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		disk := storagetest.NewDisk()
		store, _ := mustOpen(t, disk, directory, storage.Options{})
		writeScript(t, store, 0, scriptLength)
		store.Close()
		disk.SetFreeSpace(0)
		reopened, opened := mustOpen(t, disk, directory, storage.Options{})
		if opened != (storage.OpenResult{}) {
			t.Fatalf("opened: %+v", opened)
		}
		shouldHoldExactly(t, reopened, scriptLength)
		shouldBeRejected(t, reopened.Write(rejectedChange))
		reopened.Close()
	})
}
