package replication

import (
	"math/rand/v2"
	"reflect"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/controlplane/storage/storagetest"
)

// compactAbove is the file size in bytes above which a store compacts its file. It is so low that a store compacts after every
// few writes.
const compactAbove = 1 << 10

// simulatedStore is a real store of a simulated node, on a disk that can lose power.
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

func (s *simulatedStore) write(changes []storage.Change) {
	if err := s.store.Write(changes...); err != nil {
		panic(err)
	}
}

// losePower cuts the power during a write, or between two writes if changes is nil. It returns a store opened on the remaining
// data.
func (s *simulatedStore) losePower(changes []storage.Change, random *rand.Rand) *simulatedStore {
	if changes != nil {
		s.write(nil) // waits for the compaction after earlier writes, so that schedules are reproducible
		s.disk.LosePowerAt(s.disk.Operations()+1+random.IntN(2), random.IntN(2) == 0)
		s.store.Write(changes...)
	}
	s.disk.LosePower()
	s.store.Close()
	return newSimulatedStore(s.disk.RestorePower(random))
}

// makeDurable writes changes to the disk of a node.
func (n *simulatedNode) makeDurable(changes []storage.Change) {
	n.disk.apply(changes, n.simulation.defects.forgetTerms)
	if n.realStore != nil {
		n.realStore.write(changes)
	}
}

// losePower cuts the power of a node. Some of the writes in progress have reached the disk, and one of them may be written in
// part. After the restart the store must contain all acknowledged writes, and either all or nothing of the partial write.
func (n *simulatedNode) losePower() {
	random := n.simulation.random
	var torn []storage.Change
	for _, write := range n.pendingWrites {
		if write.applied {
			continue
		}
		if random.IntN(2) == 0 {
			torn = write.changes
			break
		}
		if random.IntN(2) == 0 {
			n.makeDurable(write.changes)
		}
	}
	n.realStore = n.realStore.losePower(torn, random)
	before := n.disk.clone()
	found := disk(n.realStore.store.Snapshot())
	if n.disk.apply(torn, false); !reflect.DeepEqual(found.clone(), before) && !reflect.DeepEqual(found.clone(), n.disk.clone()) {
		n.simulation.checker.failf("%s: after a power loss the store has neither the synced content nor that content with the interrupted write", n.address)
	}
	n.disk = found
}

// replaceTables returns the changes that replace the content of tables.
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
