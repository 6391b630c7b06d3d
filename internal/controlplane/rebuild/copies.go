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
	// chunkLimit bounds all calls for a part, until the copy is begun anew.
	chunkLimit = 10 * time.Second
	// entryBytes is what an entry costs beside its names and value, roughly.
	entryBytes = 16
)

// errCopyGone is the refusal of a part of a copy that this process does not hold: it was given to the end, or was made by
// an earlier process.
var errCopyGone = errors.New("there is no such copy any more")

// copies holds what this member is giving to others that rebuild, one copy each.
type copies struct {
	mutex    sync.Mutex
	byMember map[string]copyInChunks
}

// copyInChunks is a copy of all tables as of one moment.
type copyInChunks struct {
	attempt uint64 // the asker's number
	number  uint64 // this process's, so that no part of another process's copy is taken for one
	chunks  [][]storage.Change
}

// first returns the first part of a copy for a member. The copy is made where this is a new attempt of the member's, and
// takes the place of that for the earlier one.
func (c *copies) first(request dumpRequest, snapshot func() storage.Tables) dumpReply {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held, found := c.byMember[request.Member]
	if !found || held.attempt != request.Attempt || held.chunks[0] == nil {
		held = copyInChunks{attempt: request.Attempt, number: rand.Uint64(), chunks: split(snapshot(), chunkBytes)}
		if c.byMember == nil {
			c.byMember = make(map[string]copyInChunks)
		}
		c.byMember[request.Member] = held
	}
	return held.reply(0)
}

// chunk returns a later part. The last one stays until the next copy, as its answer may be lost.
func (c *copies) chunk(request dumpRequest) (dumpReply, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held := c.byMember[request.Member]
	if held.number != request.Copy || request.Chunk >= uint32(len(held.chunks)) || held.chunks[request.Chunk] == nil {
		return dumpReply{}, rpcerror.Unexecuted(errCopyGone, notReadyRetry)
	}
	for earlier := range held.chunks[:request.Chunk] {
		held.chunks[earlier] = nil // was received, as a later one is asked for
	}
	return held.reply(request.Chunk), nil
}

func (c copyInChunks) reply(chunk uint32) dumpReply {
	return dumpReply{Copy: c.number, Chunks: uint32(len(c.chunks)), Entries: c.chunks[chunk]}
}

// split cuts tables into parts of about a number of bytes. There is always one part, which may be empty.
func split(tables storage.Tables, most int) [][]storage.Change {
	chunks, sum := [][]storage.Change{nil}, 0
	for name, table := range tables {
		for key, value := range table {
			size := entryBytes + len(name) + len(key) + len(value)
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
