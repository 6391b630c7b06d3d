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

func (l *loadedState) set(table string, record, value []byte) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.table, l.record, l.value = table, record, value
}

// load reads what is stored for a round in a view. A vote that is stored meanwhile may take away parts of the state before
// it; then the newer one is read.
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

// assembleValue puts a stored value together.
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

// encodeAccepted returns the changes that store an accepted state: a small value beside its proposal number, a large one by the parts that
// are not there yet. Parts of earlier values go.
func (a *Acceptor) encodeAccepted(request acceptRequest, chunking *chunks.Chunking) ([]storage.Change, error) {
	accepted := acceptedState{ProposalNumber: request.ProposalNumber, State: request.State}
	name := a.table(request.ViewVersion)
	if chunking != nil {
		manifest := chunking.Manifest()
		accepted.State.Value, accepted.Manifest = nil, &manifest
	}
	change, err := a.encode(request.ViewVersion, acceptedKey, accepted)
	if err != nil {
		return nil, err
	}
	return append(chunkChanges(name+chunksSuffix, a.config.Store.Table(name+chunksSuffix), chunking), change), nil
}

// chunkChanges returns what makes a table of parts that of a value; nil stands for a value that has none.
func chunkChanges(table string, stored map[string][]byte, chunking *chunks.Chunking) []storage.Change {
	wanted := make(map[string]struct{})
	var changes []storage.Change
	if chunking != nil {
		for _, sum := range chunking.Sums() {
			key := chunkKey(sum)
			_, duplicate := wanted[key]
			wanted[key] = struct{}{}
			if _, found := stored[key]; !found && !duplicate {
				chunk, _ := chunking.Chunk(sum)
				changes = append(changes, storage.Change{Table: table, Key: key, Value: chunk})
			}
		}
	}
	for key := range stored {
		if _, stays := wanted[key]; !stays {
			changes = append(changes, storage.Change{Table: table, Key: key})
		}
	}
	return changes
}

// cacheLoaded notes the value of a vote that was just stored.
func (a *Acceptor) cacheLoaded(viewVersion uint64, changes []storage.Change, value []byte) {
	record := changes[len(changes)-1].Value // storing puts the accepted state last
	a.lastLoaded.set(a.table(viewVersion), record, value)
}

func decodeAcceptorState(table map[string][]byte) (acceptorState, error) {
	var decoded acceptorState
	if encoded, found := table[promisedKey]; found {
		if err := msgpack.Unmarshal(encoded, &decoded.promised); err != nil {
			return acceptorState{}, fmt.Errorf("decode %s: %w", promisedKey, err)
		}
	}
	if encoded, found := table[acceptedKey]; found {
		if err := msgpack.Unmarshal(encoded, &decoded.accepted); err != nil {
			return acceptorState{}, fmt.Errorf("decode %s: %w", acceptedKey, err)
		}
	}
	return decoded, nil
}
