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

// chunksSuffix ends the name of the table that holds the chunks of a register's large value, by their checksums in hex. So
// a change of such a value writes the chunks that differ, in the same atomic write as the vote.
const chunksSuffix = "/parts"

// isChunksTable tells whether a table of the prefix TablePrefix holds chunks, and no acceptorState.
func isChunksTable(name string) bool { return strings.HasSuffix(name, chunksSuffix) }

func chunkKey(sum chunks.Sum) string { return hex.EncodeToString(sum[:]) }

// loadedValue is the large value that was loaded or stored last, so that it need not be assembled for each round.
type loadedValue struct {
	mutex  sync.Mutex
	table  string
	record []byte // encoding of the accepted state, without the value
	value  []byte
}

// find returns the value of a record, if that is the one that was loaded last.
func (l *loadedValue) find(table string, record []byte) (value []byte, found bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.value, l.table == table && bytes.Equal(l.record, record)
}

func (l *loadedValue) set(table string, record, value []byte) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.table, l.record, l.value = table, record, value
}

// load reads what is stored for a round in a view. A vote that is stored meanwhile may remove chunks of the state before it;
// then the newer one is read.
func (a *Acceptor) load(viewVersion uint64) (acceptorState, error) {
	name := a.table(viewVersion)
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

// encodeAccepted returns the changes that store an accepted state, which is the last of them: a small value beside its
// proposal number, a large one by the chunks that are not stored yet. Chunks of earlier values are removed.
func (a *Acceptor) encodeAccepted(viewVersion uint64, accepted acceptedState, chunking *chunks.Chunking) ([]storage.Change, error) {
	chunksTable := a.table(viewVersion) + chunksSuffix
	if chunking != nil {
		manifest := chunking.Manifest()
		accepted.State.Value, accepted.Manifest = nil, &manifest
	}
	change, err := a.encode(viewVersion, acceptedKey, accepted)
	if err != nil {
		return nil, err
	}
	return append(chunkChanges(chunksTable, a.config.Store.Table(chunksTable), chunking), change), nil
}

// chunkChanges returns the changes after which a table of chunks, of which the stored ones are given, has those of a value
// and no others; nil stands for a value that has none.
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
