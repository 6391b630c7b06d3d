package rebuild

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	// chunkBytes is about the most that one message carries of a copy; only a single entry may be larger. It takes 0.7 s on
	// a link of 3 Mbit/s.
	chunkBytes = 256 << 10
	// chunkTimeout bounds all calls for a part, until the copy is begun anew.
	chunkTimeout = 10 * time.Second
	// entryOverheadBytes is what an entry costs beside its names and value, roughly.
	entryOverheadBytes = 16
)

// errNoSnapshot is the refusal of a part of a copy that this process does not hold: it was given to the end, or was made by
// an earlier process.
var errNoSnapshot = errors.New("there is no such copy any more")

// copies holds what this member is giving to others that rebuild, one copy each.
type outgoingSnapshots struct {
	mutex      sync.Mutex
	byReceiver map[string]chunkedSnapshot
}

// chunkedSnapshot is a copy of all tables as of one moment.
type chunkedSnapshot struct {
	attempt uint64 // the asker's number
	number  uint64 // this process's, so that no part of another process's copy is taken for one
	chunks  [][]storage.Change
}

// first returns the first part of a copy for a member. The copy is made where this is a new attempt of the member's, and
// takes the place of that for the earlier one.
func (c *outgoingSnapshots) first(request dumpRequest, take func() storage.Tables) dumpReply {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	snapshot, found := c.byReceiver[request.Member]
	if !found || snapshot.attempt != request.Attempt || snapshot.chunks[0] == nil {
		snapshot = chunkedSnapshot{attempt: request.Attempt, number: rand.Uint64(), chunks: splitIntoChunks(take(), chunkBytes)}
		if c.byReceiver == nil {
			c.byReceiver = make(map[string]chunkedSnapshot)
		}
		c.byReceiver[request.Member] = snapshot
	}
	return snapshot.reply(0)
}

// chunk returns a later part. The last one stays until the next copy, as its answer may be lost.
func (c *outgoingSnapshots) chunk(request dumpRequest) (dumpReply, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	snapshot := c.byReceiver[request.Member]
	if snapshot.number != request.Snapshot || request.Chunk >= uint32(len(snapshot.chunks)) || snapshot.chunks[request.Chunk] == nil {
		return dumpReply{}, rpcerror.WrapNotExecuted(errNoSnapshot, notReadyRetryAfter)
	}
	for earlier := range snapshot.chunks[:request.Chunk] {
		snapshot.chunks[earlier] = nil // was received, as a later one is asked for
	}
	return snapshot.reply(request.Chunk), nil
}

func (c chunkedSnapshot) reply(chunk uint32) dumpReply {
	return dumpReply{Snapshot: c.number, Chunks: uint32(len(c.chunks)), Entries: c.chunks[chunk]}
}

// splitIntoChunks cuts tables into parts of about a number of bytes. There is always one part, which may be empty.
func splitIntoChunks(tables storage.Tables, most int) [][]storage.Change {
	chunks, sum := [][]storage.Change{nil}, 0
	for name, table := range tables {
		for key, value := range table {
			size := entryOverheadBytes + len(name) + len(key) + len(value)
			last := len(chunks) - 1
			if sum+size > most && len(chunks[last]) > 0 {
				chunks, last, sum = append(chunks, nil), last+1, 0
			}
			chunks[last] = append(chunks[last], storage.Change{Table: name, Key: key, Value: value})
			sum += size
		}
	}
	return chunks
}

// addEntries puts a part's entries into the copy of the one who asked.
func addEntries(tables storage.Tables, entries []storage.Change) {
	for _, entry := range entries {
		if tables[entry.Table] == nil {
			tables[entry.Table] = make(map[string][]byte)
		}
		tables[entry.Table][entry.Key] = entry.Value
	}
}
