package rebuild

import (
	"errors"
	"math/rand/v2"
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	// chunkBytes is the approximate maximum size of a chunk. A chunk is larger only if it consists of a single larger entry.
	// Its transfer takes 0.7 s on a link of 3 Mbit/s.
	chunkBytes = 256 << 10

	// entryOverheadBytes is the approximate size of an entry without its table name, key and value.
	entryOverheadBytes = 16
)

// errSnapshotNotHeld is returned to a receiver if this process does not hold the requested chunk. Either the chunk was already
// transferred, or an earlier process or attempt took the snapshot.
var errSnapshotNotHeld = errors.New("the requested chunk is no longer held")

// outgoingSnapshots holds the snapshots that this member is transferring to members that are being rebuilt, one per receiver.
type outgoingSnapshots struct {
	mutex      sync.Mutex
	byReceiver map[string]chunkedSnapshot
}

// chunkedSnapshot is a snapshot of all replicated tables at one instant, split into chunks.
type chunkedSnapshot struct {
	attempt uint64             // chosen by the receiver
	id      uint64             // random, so that chunks of another snapshot, such as that of an earlier process, are not mixed in
	chunks  [][]storage.Change // a chunk is nil after the receiver has received it
}

// firstChunk returns the first chunk of a snapshot for a receiver. It takes a snapshot if the receiver began a new attempt, or
// if the first chunk was already discarded. The new snapshot replaces the earlier one.
func (o *outgoingSnapshots) firstChunk(request chunkRequest, take func() storage.Tables) chunkReply {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	snapshot, found := o.byReceiver[request.Member]
	if !found || snapshot.attempt != request.Attempt || snapshot.chunks[0] == nil {
		snapshot = chunkedSnapshot{attempt: request.Attempt, id: rand.Uint64(), chunks: splitIntoChunks(take(), chunkBytes)}
		if o.byReceiver == nil {
			o.byReceiver = make(map[string]chunkedSnapshot)
		}
		o.byReceiver[request.Member] = snapshot
	}
	return snapshot.reply(0)
}

// laterChunk returns a chunk other than the first, and discards the chunks before it. The last chunk is kept until the next
// snapshot, because its reply may be lost.
func (o *outgoingSnapshots) laterChunk(request chunkRequest) (chunkReply, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	snapshot := o.byReceiver[request.Member]
	if snapshot.id != request.Snapshot || request.Chunk >= uint32(len(snapshot.chunks)) || snapshot.chunks[request.Chunk] == nil {
		return chunkReply{}, rpcerror.WrapNotExecuted(errSnapshotNotHeld, notReadyRetryAfter)
	}
	for earlier := range snapshot.chunks[:request.Chunk] {
		snapshot.chunks[earlier] = nil // the receiver has it, because it requests a later one
	}
	return snapshot.reply(request.Chunk), nil
}

func (s chunkedSnapshot) reply(chunk uint32) chunkReply {
	return chunkReply{Snapshot: s.id, Chunks: uint32(len(s.chunks)), Entries: s.chunks[chunk]}
}

// splitIntoChunks splits tables into chunks of about maxBytes. It returns at least one chunk, which may be empty.
func splitIntoChunks(tables storage.Tables, maxBytes int) [][]storage.Change {
	chunks, chunkSize := [][]storage.Change{nil}, 0
	for name, table := range tables {
		for key, value := range table {
			size := entryOverheadBytes + len(name) + len(key) + len(value)
			last := len(chunks) - 1
			if chunkSize+size > maxBytes && len(chunks[last]) > 0 {
				chunks, last, chunkSize = append(chunks, nil), last+1, 0
			}
			chunks[last] = append(chunks[last], storage.Change{Table: name, Key: key, Value: value})
			chunkSize += size
		}
	}
	return chunks
}

// addEntries adds the entries of a chunk to the tables.
func addEntries(tables storage.Tables, entries []storage.Change) {
	for _, entry := range entries {
		if tables[entry.Table] == nil {
			tables[entry.Table] = make(map[string][]byte)
		}
		tables[entry.Table][entry.Key] = entry.Value
	}
}
