package register

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strings"
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// chunksSuffix is the suffix of the name of the table that stores the chunks of a large value. The keys are the checksums of
// the chunks in hexadecimal. A change of a large value writes only the chunks that differ, atomically with the vote.
const chunksSuffix = "/parts"

// isChunksTable reports whether a table with the prefix TablePrefix stores chunks. Otherwise it stores an acceptorState.
func isChunksTable(name string) bool { return strings.HasSuffix(name, chunksSuffix) }

// chunkKey returns the key of a chunk in its table.
func chunkKey(sum chunks.Sum) string { return hex.EncodeToString(sum[:]) }

// loadedValue caches the large value that was loaded or stored last, so that it is not assembled again for each round.
type loadedValue struct {
	mutex  sync.Mutex
	table  string
	record []byte // encoded accepted state, without the value
	value  []byte
}

// find returns the cached value if it belongs to the record.
func (l *loadedValue) find(table string, record []byte) (value []byte, found bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.value, l.table == table && bytes.Equal(l.record, record)
}

// set caches the value of a record.
func (l *loadedValue) set(table string, record, value []byte) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.table, l.record, l.value = table, record, value
}

// load returns the stored state for a view. A concurrent vote may remove chunks of the state that is being read. In that case,
// load reads the newer state.
func (a *Acceptor) load(viewVersion uint64) (acceptorState, error) {
	name := a.tableName(viewVersion)
	for {
		table := a.config.Store.Table(name)
		stored, err := decodeAcceptorState(table)
		if err != nil || stored.accepted.Manifest == nil {
			return stored, err
		}
		stored.accepted.State.Value, err = a.assembleValue(name, table[acceptedKey], *stored.accepted.Manifest)
		if err == nil {
			return stored, nil
		}
		if bytes.Equal(a.config.Store.Table(name)[acceptedKey], table[acceptedKey]) {
			return acceptorState{}, err
		}
	}
}

// assembleValue assembles a large value from its stored chunks.
func (a *Acceptor) assembleValue(name string, record []byte, manifest chunks.Manifest) ([]byte, error) {
	if value, found := a.lastLoaded.find(name, record); found {
		return value, nil
	}
	stored := a.config.Store.Table(name + chunksSuffix)
	assembler, err := chunks.NewAssembler(manifest, func(sum chunks.Sum) ([]byte, bool) {
		chunk, found := stored[chunkKey(sum)]
		return chunk, found
	})
	if err != nil {
		return nil, fmt.Errorf("stored value: %w", err)
	}
	value, err := assembler.Content()
	if err != nil {
		return nil, fmt.Errorf("stored value: %w", err)
	}
	a.lastLoaded.set(name, record, value)
	return value, nil
}

// encodeAccepted returns the changes that store an accepted state. The last change stores the proposal number and either a
// small value or the manifest of a large one. The other changes store the missing chunks of a large value and remove the
// chunks of earlier values.
func (a *Acceptor) encodeAccepted(viewVersion uint64, accepted acceptedState, chunking *chunks.Chunking) ([]storage.Change, error) {
	chunksTable := a.tableName(viewVersion) + chunksSuffix
	if chunking != nil {
		manifest := chunking.Manifest()
		accepted.State.Value, accepted.Manifest = nil, &manifest
	}
	change, err := a.encodeChange(viewVersion, acceptedKey, accepted)
	if err != nil {
		return nil, err
	}
	return append(chunkChanges(chunksTable, a.config.Store.Table(chunksTable), chunking), change), nil
}

// chunkChanges returns the changes that turn the stored chunks of a table into exactly the chunks of a value. A nil chunking
// means that the value is small and has no chunks.
func chunkChanges(table string, stored map[string][]byte, chunking *chunks.Chunking) []storage.Change {
	needed := make(map[string]struct{})
	var changes []storage.Change
	if chunking != nil {
		for _, sum := range chunking.Sums() {
			key := chunkKey(sum)
			_, duplicate := needed[key]
			needed[key] = struct{}{}
			if _, found := stored[key]; !found && !duplicate {
				chunk, _ := chunking.Chunk(sum)
				changes = append(changes, storage.Change{Table: table, Key: key, Value: chunk})
			}
		}
	}
	for key := range stored {
		if _, stays := needed[key]; !stays {
			changes = append(changes, storage.Change{Table: table, Key: key})
		}
	}
	return changes
}
