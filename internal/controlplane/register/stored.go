package register

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strings"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// chunksSuffix ends the name of the table that holds the parts of a register's large value, by their checksums in hex. So
// a change of such a value writes the parts that differ, in the same atomic write as the vote.
const chunksSuffix = "/parts"

// isChunksTable tells whether a table of the prefix TablePrefix holds parts and no replica.
func isChunksTable(name string) bool { return strings.HasSuffix(name, chunksSuffix) }

func chunkKey(sum chunks.Sum) string { return hex.EncodeToString(sum[:]) }

// loadedState is the state that a table held when it was last read, so that its parts need not be put together again.
type loadedState struct {
	mutex  sync.Mutex
	table  string
	record []byte // encoding of the accepted state, without a large value
	value  []byte
}

// find returns the value of a record, if that is the one that was read last.
func (l *loadedState) find(table string, record []byte) (value []byte, found bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.value, l.table == table && bytes.Equal(l.record, record)
}

func (l *loadedState) keep(table string, record, value []byte) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.table, l.record, l.value = table, record, value
}

// load reads what is stored for a round in a view. A vote that is stored meanwhile may take away parts of the state before
// it; then the newer one is read.
func (a *Acceptor) load(viewVersion uint64) (replica, error) {
	name := a.table(viewVersion)
	for {
		table := a.config.Store.Table(name)
		held, err := decodeReplica(table)
		if err != nil || held.accepted.Manifest == nil {
			return held, err
		}
		held.accepted.State.Value, err = a.wholeValue(name, table[acceptedKey], *held.accepted.Manifest)
		if err == nil {
			return held, nil
		}
		if bytes.Equal(a.config.Store.Table(name)[acceptedKey], table[acceptedKey]) {
			return replica{}, err
		}
	}
}

// wholeValue puts a stored value together.
func (a *Acceptor) wholeValue(name string, record []byte, manifest chunks.Manifest) ([]byte, error) {
	if value, found := a.loaded.find(name, record); found {
		return value, nil
	}
	stored := a.config.Store.Table(name + chunksSuffix)
	gathered, err := chunks.NewCollection(manifest, func(sum chunks.Sum) ([]byte, bool) {
		chunk, found := stored[chunkKey(sum)]
		return chunk, found
	})
	if err != nil {
		return nil, fmt.Errorf("stored value: %w", err)
	}
	value, err := gathered.Content()
	if err != nil {
		return nil, fmt.Errorf("stored value: %w", err)
	}
	a.loaded.keep(name, record, value)
	return value, nil
}

// storing returns the changes that store an accepted state: a small value beside its proposal number, a large one by the parts that
// are not there yet. Parts of earlier values go.
func (a *Acceptor) storing(request acceptRequest, cut *chunks.Cut) ([]storage.Change, error) {
	accepted := acceptedState{ProposalNumber: request.ProposalNumber, State: request.State}
	name := a.table(request.ViewVersion)
	if cut != nil {
		manifest := cut.Manifest()
		accepted.State.Value, accepted.Manifest = nil, &manifest
	}
	change, err := a.encode(request.ViewVersion, acceptedKey, accepted)
	if err != nil {
		return nil, err
	}
	return append(changedChunks(name+chunksSuffix, a.config.Store.Table(name+chunksSuffix), cut), change), nil
}

// changedChunks returns what makes a table of parts that of a value; nil stands for a value that has none.
func changedChunks(table string, stored map[string][]byte, cut *chunks.Cut) []storage.Change {
	wanted := make(map[string]struct{})
	var changes []storage.Change
	if cut != nil {
		for _, sum := range cut.Sums() {
			key := chunkKey(sum)
			_, listed := wanted[key]
			wanted[key] = struct{}{}
			if _, found := stored[key]; !found && !listed {
				chunk, _ := cut.Chunk(sum)
				changes = append(changes, storage.Change{Table: table, Key: key, Value: chunk})
			}
		}
	}
	for key := range stored {
		if _, keep := wanted[key]; !keep {
			changes = append(changes, storage.Change{Table: table, Key: key})
		}
	}
	return changes
}

// keepLoaded notes the value of a vote that was just stored.
func (a *Acceptor) keepLoaded(viewVersion uint64, changes []storage.Change, value []byte) {
	record := changes[len(changes)-1].Value // storing puts the accepted state last
	a.loaded.keep(a.table(viewVersion), record, value)
}

func decodeReplica(table map[string][]byte) (replica, error) {
	var held replica
	if encoded, found := table[promisedKey]; found {
		if err := msgpack.Unmarshal(encoded, &held.promised); err != nil {
			return replica{}, fmt.Errorf("decode %s: %w", promisedKey, err)
		}
	}
	if encoded, found := table[acceptedKey]; found {
		if err := msgpack.Unmarshal(encoded, &held.accepted); err != nil {
			return replica{}, fmt.Errorf("decode %s: %w", acceptedKey, err)
		}
	}
	return held, nil
}
