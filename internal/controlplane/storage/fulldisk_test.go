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

// refusedWrite is a write that no reader may ever see.
var refusedWrite = storage.Change{Table: "last", Key: "refused", Value: make([]byte, 40)}

// rooms are what a disk has left when it gets full: nothing, or a part of a record.
var rooms = []int{0, 1, 12, 13, 14, 40, 67}

func checkRefused(t *testing.T, err error) {
	t.Helper()
	if !errors.Is(err, storage.ErrWriteRejected) || rpcerror.ExecutionOf(err) != rpcerror.NotExecuted || !storage.IsFull(err) {
		t.Fatalf("the write of a full disk failed with %v", err)
	}
}

// writeAll makes the writes of a script in between.
func writeAll(t *testing.T, store *storage.FileStore, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		if err := store.Write(script(i)...); err != nil {
			t.Fatalf("write %d: %v", i, err)
		}
	}
	synctest.Wait() // the writer may rewrite the file after it has answered
}

// exactly fails unless the store holds so many writes of the script and nothing else.
func exactly(t *testing.T, store *storage.FileStore, writes int) {
	t.Helper()
	if content := store.Snapshot(); !reflect.DeepEqual(content, contentAfter(writes)) {
		t.Fatalf("after %d writes the store holds %v", writes, content)
	}
}

// refuseTwice makes two writes on a disk with so much room: the disk refuses one, and the other comes during the pause.
func refuseTwice(t *testing.T, disk *storagetest.Disk, store *storage.FileStore, room int) {
	t.Helper()
	disk.SetFreeSpace(room)
	checkRefused(t, store.Write(refusedWrite))
	before := disk.Operations()
	checkRefused(t, store.Write(refusedWrite))
	if disk.Operations() != before {
		t.Fatal("a write was tried during the pause")
	}
}

// The disk is full at each write in turn, for a while, and then there is room again. The file is rewritten meanwhile.
func TestAStoreOutlastsAFullDisk(t *testing.T) {
	for _, options := range []storage.Options{{}, smallFile} {
		for _, room := range rooms {
			for at := range scriptLength {
				virtualtime.Test(t, func(t *testing.T) {
					disk := storagetest.NewDisk()
					store, _ := mustOpen(t, disk, directory, options)
					writeAll(t, store, 0, at)
					refuseTwice(t, disk, store, room)
					exactly(t, store, at)
					time.Sleep(storage.RejectionBackoff)
					refuseTwice(t, disk, store, room)
					disk.SetCapacity(0)
					time.Sleep(storage.RejectionBackoff)
					writeAll(t, store, at, scriptLength)
					exactly(t, store, scriptLength)
					if isClosed(store.Failed()) {
						t.Fatal("the store has failed")
					}
					store.Close()
					again, opened := mustOpen(t, disk, directory, options)
					if opened.TruncatedBytes > 0 {
						t.Fatalf("%d bytes were left of a refused write", opened.TruncatedBytes)
					}
					exactly(t, again, scriptLength)
					again.Close()
				})
			}
		}
	}
}

// Power fails, or the process is killed, while the disk is full or soon after. What was refused does not come back.
func TestRefusedWritesDoNotComeBack(t *testing.T) {
	for _, room := range rooms {
		for at := range scriptLength {
			for operation := range 10 {
				seed := uint64(operation*1000 + at)
				virtualtime.Test(t, func(t *testing.T) {
					endAfterRefusal(t, room, at, operation, seed)
				})
			}
		}
	}
}

// endAfterRefusal runs a script with a refused write at one place, until power fails at a later operation; if that is 0
// the process is killed while the disk is full, which it stays for the next process.
func endAfterRefusal(t *testing.T, room, at, operation int, seed uint64) {
	disk := storagetest.NewDisk()
	store, _ := mustOpen(t, disk, directory, smallFile)
	writeAll(t, store, 0, at)
	if operation > 0 {
		disk.LosePowerAt(operation, seed%2 == 0)
	}
	disk.SetFreeSpace(room)
	err := store.Write(refusedWrite)
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
	again, _ := mustOpen(t, disk, directory, smallFile)
	defer again.Close()
	if _, found := again.Table("last")["refused"]; found {
		if !unclear {
			t.Fatalf("room %d, write %d, operation %d: the refused write is there", room, at, operation)
		}
		disk.SetCapacity(0)
		again.Write(storage.Change{Table: "last", Key: "refused"})
	}
	checkContent(t, again, acknowledged)
}

// A rewriting for which there is no room is put off, and leaves the room to the writes.
func TestRewritingWaitsForRoom(t *testing.T) {
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
			synctest.Wait() // the writer rewrites after it has answered
		}
		write()
		disk.SetFreeSpace(2*value + value/2)
		write()
		write() // three times the live data: there is no room for the next file
		length := len(disk.ReadFile(logFile))
		if length < 3*value {
			t.Fatalf("the file was rewritten, it has %d bytes", length)
		}
		if left := disk.ReadFile(logFile + ".new"); left != nil {
			t.Fatalf("%d bytes of the next file are left", len(left))
		}
		disk.SetCapacity(0)
		write()
		if now := len(disk.ReadFile(logFile)); now <= length {
			t.Fatal("rewriting was tried again at once")
		}
		time.Sleep(storage.CompactionBackoff)
		write()
		if now := len(disk.ReadFile(logFile)); now > 2*value {
			t.Fatalf("the file was not rewritten once there was room, it has %d bytes", now)
		}
		for range writes {
			write()
		}
		store.Close()
		again, _ := mustOpen(t, disk, directory, storage.Options{})
		if got := len(again.Table("a")["k"]); got != value {
			t.Fatalf("the store holds %d bytes", got)
		}
		again.Close()
	})
}

// The disk is full from each operation of a rewriting on. Nothing is lost, and later the file is rewritten.
func TestAFullDiskMidwayThroughARewriting(t *testing.T) {
	for room := range 400 {
		virtualtime.Test(t, func(t *testing.T) {
			disk := storagetest.NewDisk()
			store, _ := mustOpen(t, disk, directory, smallFile)
			acknowledged := 0
			disk.SetFreeSpace(room)
			for acknowledged < scriptLength && store.Write(script(acknowledged)...) == nil {
				acknowledged++
			}
			exactly(t, store, acknowledged)
			after, _ := mustOpen(t, disk.Kill(), directory, smallFile)
			defer after.Close()
			exactly(t, after, acknowledged)
		})
	}
}

// A store that is there is opened on a full disk, and is read while a sync hangs.
func TestAFullDiskIsOpened(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		disk := storagetest.NewDisk()
		store, _ := mustOpen(t, disk, directory, storage.Options{})
		writeAll(t, store, 0, scriptLength)
		store.Close()
		disk.SetFreeSpace(0)
		again, opened := mustOpen(t, disk, directory, storage.Options{})
		if opened != (storage.OpenResult{}) {
			t.Fatalf("opened: %+v", opened)
		}
		exactly(t, again, scriptLength)
		checkRefused(t, again.Write(refusedWrite))
		again.Close()
	})
}
