package replication

import (
	"math/rand/v2"
	"reflect"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/controlplane/storage/storagetest"
)

// compactAbove makes the stores of a simulation rewrite their file every few writes.
const compactAbove = 1 << 10

// simulatedStore is a simulated node's real store on a disk that can lose power.
type simulatedStore struct {
	disk  *storagetest.Disk
	store *storage.FileStore
}

func newSimulatedStore(disk *storagetest.Disk) *simulatedStore {
	store, _, err := storage.Open(disk, "data", storage.Options{CompactAbove: compactAbove})
	if err != nil {
		panic(err)
	}
	return &simulatedStore{disk, store}
}

func (f *simulatedStore) write(changes []storage.Change) {
	if err := f.store.Write(changes...); err != nil {
		panic(err)
	}
}

// losePower cuts the power during a write, or between two writes where changes is nil, and opens what is left.
func (f *simulatedStore) losePower(changes []storage.Change, random *rand.Rand) *simulatedStore {
	if changes != nil {
		f.write(nil) // returns after the rewriting that earlier writes have led to, so that a schedule replays
		f.disk.LosePowerAt(f.disk.Operations()+1+random.IntN(2), random.IntN(2) == 0)
		f.store.Write(changes...)
	}
	f.disk.LosePower()
	f.store.Close()
	return newSimulatedStore(f.disk.RestorePower(random))
}

// makeDurable makes changes durable on a node.
func (n *simulatedNode) makeDurable(changes []storage.Change) {
	n.disk.apply(changes, n.simulation.defects.forgetTerms)
	if n.realStore != nil {
		n.realStore.write(changes)
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
			n.makeDurable(one.changes)
		}
	}
	n.realStore = n.realStore.losePower(torn, random)
	before := n.disk.clone()
	found := disk(n.realStore.store.Snapshot())
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
