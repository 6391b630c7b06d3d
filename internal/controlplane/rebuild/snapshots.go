package rebuild

import (
	"errors"
	"math/rand/v2"
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	// chunkBytes is about the most that one message carries of a snapshot; only a single entry may be larger. It takes 0.7 s
	// on a link of 3 Mbit/s.
	chunkBytes = 256 << 10

	// entryOverheadBytes is about the size of an entry beside its names and value.
	entryOverheadBytes = 16
)

// errNoSnapshot is the refusal of a chunk of a snapshot that this process does not hold: it was transferred, or was taken by
// an earlier process.
var errNoSnapshot = errors.New("there is no such copy any more")

// outgoingSnapshots are the snapshots that this member transfers to others that are being rebuilt, one each.
type outgoingSnapshots struct {
	mutex      sync.Mutex
	byReceiver map[string]chunkedSnapshot
}

// chunkedSnapshot has all replicated tables as of one instant.
type chunkedSnapshot struct {
	attempt uint64             // the receiver's number
	number  uint64             // this process's, so that no chunk of another process's snapshot is taken for one
	chunks  [][]storage.Change // nil once received
}

// first returns the first chunk of a snapshot for a member. The snapshot is taken where this is a new attempt of the
// member's, and replaces that of the earlier attempt.
func (o *outgoingSnapshots) first(request dumpRequest, take func() storage.Tables) dumpReply {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	snapshot, found := o.byReceiver[request.Member]
	if !found || snapshot.attempt != request.Attempt || snapshot.chunks[0] == nil {
		snapshot = chunkedSnapshot{attempt: request.Attempt, number: rand.Uint64(), chunks: splitIntoChunks(take(), chunkBytes)}
		if o.byReceiver == nil {
			o.byReceiver = make(map[string]chunkedSnapshot)
		}
		o.byReceiver[request.Member] = snapshot
	}
	return snapshot.reply(0)
}

// chunk returns a later chunk. The last one stays until the next snapshot, as its reply may be lost.
func (o *outgoingSnapshots) chunk(request dumpRequest) (dumpReply, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	snapshot := o.byReceiver[request.Member]
	if snapshot.number != request.Snapshot || request.Chunk >= uint32(len(snapshot.chunks)) || snapshot.chunks[request.Chunk] == nil {
		return dumpReply{}, rpcerror.WrapNotExecuted(errNoSnapshot, notReadyRetryAfter)
	}
	for earlier := range snapshot.chunks[:request.Chunk] {
		snapshot.chunks[earlier] = nil // was received, as a later one is requested
	}
	return snapshot.reply(request.Chunk), nil
}

func (s chunkedSnapshot) reply(chunk uint32) dumpReply {
	return dumpReply{Snapshot: s.number, Chunks: uint32(len(s.chunks)), Entries: s.chunks[chunk]}
}

// splitIntoChunks splits tables into chunks of about maxBytes. There is always one chunk, which may be empty.
func splitIntoChunks(tables storage.Tables, maxBytes int) [][]storage.Change {
	chunks, sum := [][]storage.Change{nil}, 0
	for name, table := range tables {
		for key, value := range table {
			size := entryOverheadBytes + len(name) + len(key) + len(value)
			last := len(chunks) - 1
			if sum+size > maxBytes && len(chunks[last]) > 0 {
				chunks, last, sum = append(chunks, nil), last+1, 0
			}
			chunks[last] = append(chunks[last], storage.Change{Table: name, Key: key, Value: value})
			sum += size
		}
	}
	return chunks
}

// addEntries adds a chunk's entries to the receiver's tables.
func addEntries(tables storage.Tables, entries []storage.Change) {
	for _, entry := range entries {
		if tables[entry.Table] == nil {
			tables[entry.Table] = make(map[string][]byte)
		}
		tables[entry.Table][entry.Key] = entry.Value
	}
}
