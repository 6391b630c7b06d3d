package storage_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/controlplane/storage/storagetest"
)

// scriptLength is the number of writes of the script. With compactOften, the file is compacted several times during them.
const scriptLength = 14

var compactOften = storage.Options{CompactAbove: 300}

// scriptedWrite returns the changes of one write of the script, a fixed sequence of writes. Each changes several keys of two
// tables.
func scriptedWrite(i int) []storage.Change {
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

// contentAfter returns the content of a store after the first writes of the script.
func contentAfter(writes int) storage.Tables {
	model := storage.NewMemory()
	for i := range writes {
		model.Write(scriptedWrite(i)...)
	}
	return model.Snapshot()
}

// runScript executes the writes of the script from an index on until one fails. It returns how many of the script's writes are
// acknowledged, including those before the index.
func runScript(store *storage.FileStore, from int) int {
	for i := from; i < scriptLength; i++ {
		if store.Write(scriptedWrite(i)...) != nil {
			return i
		}
	}
	return scriptLength
}

// checkContent fails the test unless the store holds exactly the acknowledged writes, or those and the next one, which may
// have been in progress. It returns how many writes the store holds.
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

// runUntilPowerLoss opens a store and runs the script until power is lost at an operation. It returns the number of acknowledged
// writes, and whether power was lost before the end of the script.
func runUntilPowerLoss(disk *storagetest.Disk, from, operation int, afterOperation bool) (acknowledged int, lost bool) {
	disk.LosePowerAt(operation, afterOperation)
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

// Guards against the loss of an acknowledged write. Power is lost at each operation in turn, and random parts of the unsynced
// data survive.
func TestAcknowledgedWritesSurvivePowerLoss(t *testing.T) {
	for operation, more := 1, true; more; operation++ {
		for seed := range uint64(12) {
			random := rand.New(rand.NewPCG(seed, uint64(operation)))
			disk := storagetest.NewDisk()
			acknowledged, lost := runUntilPowerLoss(disk, 0, operation, seed%2 == 0)
			more = lost
			store, opened := mustOpen(t, disk.RestorePower(random), directory, compactOften)
			if opened.Empty && acknowledged > 0 {
				t.Fatalf("operation %d, seed %d: the store is empty after %d writes", operation, seed, acknowledged)
			}
			checkContent(t, store, acknowledged)
			store.Close()
		}
	}
}

// Guards against the loss of an acknowledged write when power is lost a second time while the store recovers, or soon after.
func TestAcknowledgedWritesSurvivePowerLossDuringRecovery(t *testing.T) {
	for operation := 1; operation < 60; operation++ {
		for second := 1; second <= 8; second++ {
			seed := uint64(operation*100 + second)
			random := rand.New(rand.NewPCG(seed, 0))
			disk := storagetest.NewDisk()
			firstAcknowledged, _ := runUntilPowerLoss(disk, 0, operation, second%2 == 0)
			disk = disk.RestorePower(random)

			recovering := disk.KillProcess()
			store, _ := mustOpen(t, recovering, directory, compactOften)
			recoveredWrites := checkContent(t, store, firstAcknowledged)
			store.Close()

			secondAcknowledged, _ := runUntilPowerLoss(recovering, recoveredWrites, second, operation%2 == 0)
			store, _ = mustOpen(t, recovering.RestorePower(random), directory, compactOften)
			checkContent(t, store, secondAcknowledged)
			store.Close()
		}
	}
}

// Guards against reads that a later power loss reverts. A killed process may leave unsynced writes. A new process that
// returns them to readers must sync them first, and a power loss must then lose neither them nor its own writes.
func TestUnsyncedWritesOfAKilledProcessAreSyncedOnOpen(t *testing.T) {
	for operation, more := 1, true; more; operation++ {
		for seed := range uint64(8) {
			random := rand.New(rand.NewPCG(seed, uint64(operation)))
			disk := storagetest.NewDisk()
			recoveredWrites, lost := runUntilPowerLoss(disk, 0, operation, seed%2 == 0)
			more = lost
			disk = disk.KillProcess()
			store, _ := mustOpen(t, disk, directory, storage.Options{})
			recoveredWrites = checkContent(t, store, recoveredWrites)
			if seed%4 > 1 {
				if err := store.Write(scriptedWrite(recoveredWrites)...); err != nil {
					t.Fatal(err)
				}
				recoveredWrites++
			}
			store.Close()

			store, _ = mustOpen(t, disk.RestorePower(random), directory, compactOften)
			if content := store.Snapshot(); !reflect.DeepEqual(content, contentAfter(recoveredWrites)) {
				t.Fatalf("operation %d, seed %d: the store held %d writes before the power loss, and holds %v after it", operation, seed, recoveredWrites, content)
			}
			store.Close()
		}
	}
}
