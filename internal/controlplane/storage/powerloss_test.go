package storage_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/controlplane/storage/storagetest"
)

// scriptLength is the number of writes of a script; with compactOften the file is compacted several times meanwhile.
const scriptLength = 14

var compactOften = storage.Options{CompactAbove: 300}

// script is a fixed sequence of writes, each of several changes in two tables.
func script(i int) []storage.Change {
	changes := []storage.Change{
		{Table: "last", Key: "write", Value: fmt.Appendf(nil, "%d", i)},
		{Table: "keys", Key: fmt.Sprintf("key-%d", i%5), Value: make([]byte, 10+i)},
	}
	if i%4 == 3 {
		changes = append(changes, storage.Change{Table: "keys", Key: fmt.Sprintf("key-%d", (i+2)%5)})
	}
	if i%7 == 6 {
		changes = append(changes, storage.Change{Table: "keys"})
	}
	return changes
}

// contentAfter is what a store holds after the first writes of the script.
func contentAfter(writes int) storage.Tables {
	model := storage.NewMemory()
	for i := range writes {
		model.Write(script(i)...)
	}
	return model.Snapshot()
}

// runScript makes writes from the first one on until one fails, and returns how many were acknowledged.
func runScript(store *storage.FileStore, from int) int {
	for i := from; i < scriptLength; i++ {
		if store.Write(script(i)...) != nil {
			return i
		}
	}
	return scriptLength
}

// checkContent fails unless the store holds the acknowledged writes, or those and the one that was under way. It returns
// how many it holds.
func checkContent(t *testing.T, store *storage.FileStore, acknowledged int) int {
	t.Helper()
	content := store.Snapshot()
	for _, writes := range []int{acknowledged, acknowledged + 1} {
		if reflect.DeepEqual(content, contentAfter(writes)) {
			return writes
		}
	}
	t.Fatalf("%d writes were acknowledged, and the store holds %v", acknowledged, content)
	return 0
}

// runUntilPowerLoss runs the script until power is lost at an operation. It returns the number of acknowledged writes, and
// whether power was lost before the script was over.
func runUntilPowerLoss(disk *storagetest.Disk, from, operation int, late bool) (acknowledged int, lost bool) {
	disk.LosePowerAt(operation, late)
	acknowledged = from
	store, _, err := storage.Open(disk, directory, compactOften)
	if err == nil {
		acknowledged = runScript(store, from)
		store.Close()
	}
	lost = disk.Operations() >= operation
	disk.LosePower()
	return acknowledged, lost
}

// Power is lost at each operation in turn; the disk keeps random parts of what was not synced.
func TestAcknowledgedWritesSurvivePowerLoss(t *testing.T) {
	for operation, more := 1, true; more; operation++ {
		for seed := range uint64(12) {
			random := rand.New(rand.NewPCG(seed, uint64(operation)))
			disk := storagetest.NewDisk()
			acknowledged, cut := runUntilPowerLoss(disk, 0, operation, seed%2 == 0)
			more = cut
			store, opened := mustOpen(t, disk.Restore(random), directory, compactOften)
			if opened.Empty && acknowledged > 0 {
				t.Fatalf("operation %d, seed %d: the store is empty after %d writes", operation, seed, acknowledged)
			}
			checkContent(t, store, acknowledged)
			store.Close()
		}
	}
}

// A second loss of power strikes while the store recovers from the first, or soon after.
func TestAcknowledgedWritesSurviveASecondPowerLoss(t *testing.T) {
	for operation := 1; operation < 60; operation++ {
		for second := 1; second <= 8; second++ {
			seed := uint64(operation*100 + second)
			random := rand.New(rand.NewPCG(seed, 0))
			disk := storagetest.NewDisk()
			first, _ := runUntilPowerLoss(disk, 0, operation, second%2 == 0)
			disk = disk.Restore(random)

			between := disk.Kill()
			store, _ := mustOpen(t, between, directory, compactOften)
			held := checkContent(t, store, first)
			store.Close()

			again, _ := runUntilPowerLoss(between, held, second, operation%2 == 0)
			store, _ = mustOpen(t, between.Restore(random), directory, compactOften)
			checkContent(t, store, again)
			store.Close()
		}
	}
}

// A killed process may leave writes that were never synced. A new process that shows them must not lose them any more,
// nor what it writes itself.
func TestUnsyncedWritesOfAKilledProcessAreSyncedOnOpen(t *testing.T) {
	for operation, more := 1, true; more; operation++ {
		for seed := range uint64(8) {
			random := rand.New(rand.NewPCG(seed, uint64(operation)))
			disk := storagetest.NewDisk()
			held, cut := runUntilPowerLoss(disk, 0, operation, seed%2 == 0)
			more = cut
			disk = disk.Kill()
			store, _ := mustOpen(t, disk, directory, storage.Options{})
			held = checkContent(t, store, held)
			if seed%4 > 1 {
				if err := store.Write(script(held)...); err != nil {
					t.Fatal(err)
				}
				held++
			}
			store.Close()

			store, _ = mustOpen(t, disk.Restore(random), directory, compactOften)
			if content := store.Snapshot(); !reflect.DeepEqual(content, contentAfter(held)) {
				t.Fatalf("operation %d, seed %d: %d writes were read, then %v", operation, seed, held, content)
			}
			store.Close()
		}
	}
}
