package replication

import (
	"math/rand/v2"
	"reflect"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/controlplane/storage/storagetest"
)

// rewriteAbove makes the stores of a simulation rewrite their file every few writes.
const rewriteAbove = 1 << 10

// files is a simulated node's real store on a disk that can lose power.
type files struct {
	disk  *storagetest.Disk
	store *storage.FileStore
}

func newFiles(disk *storagetest.Disk) *files {
	store, _, err := storage.Open(disk, "data", storage.Options{CompactAbove: rewriteAbove})
	if err != nil {
		panic(err)
	}
	return &files{disk, store}
}

func (f *files) write(changes []storage.Change) {
	if err := f.store.Write(changes...); err != nil {
		panic(err)
	}
}

// losePower cuts the power during a write, or between two writes where changes is nil, and opens what is left.
func (f *files) losePower(changes []storage.Change, random *rand.Rand) *files {
	if changes != nil {
		f.write(nil) // returns after the rewriting that earlier writes have led to, so that a schedule replays
		f.disk.LosePowerAt(f.disk.Operations()+1+random.IntN(2), random.IntN(2) == 0)
		f.store.Write(changes...)
	}
	f.disk.LosePower()
	f.store.Close()
	return newFiles(f.disk.Restore(random))
}

// put makes changes durable on a node.
func (n *simulatedNode) put(changes []storage.Change) {
	n.disk.apply(changes, n.simulation.defects.forgetPromises)
	if n.files != nil {
		n.files.write(changes)
	}
}

// losePower ends the node's process with the power. Of the writes under way some have reached the disk, and one may have
// in part; then it must be there as a whole or not at all, as must all that was acknowledged.
func (n *simulatedNode) losePower() {
	random := n.simulation.random
	var torn []storage.Change
	for _, one := range n.pending {
		if one.applied {
			continue
		}
		if random.IntN(2) == 0 {
			torn = one.changes
			break
		}
		if random.IntN(2) == 0 {
			n.put(one.changes)
		}
	}
	n.files = n.files.losePower(torn, random)
	before := n.disk.clone()
	found := disk(n.files.store.Snapshot())
	if n.disk.apply(torn, false); !reflect.DeepEqual(found.clone(), before) && !reflect.DeepEqual(found.clone(), n.disk.clone()) {
		n.simulation.history.failf("%s: after a loss of power the store holds neither what was synced nor the write under way", n.address)
	}
	n.disk = found
}

// replaceTables are the changes that replace tables by others.
func replaceTables(tables map[string]map[string][]byte) []storage.Change {
	var changes []storage.Change
	for name, table := range tables {
		changes = append(changes, storage.Change{Table: name})
		for key, value := range table {
			changes = append(changes, storage.Change{Table: name, Key: key, Value: value})
		}
	}
	return changes
}
