package replication

import "time"

// transfer is a batch or snapshot that is being sent to one follower in one or more chunks.
type transfer struct {
	request   appendRequest // without entries
	chunks    [][]Entry
	nextChunk uint32 // number of the chunk to send next
}

func (l *leadership) newTransfer(snapshot bool, previous, position Position, chunks [][]Entry) *transfer {
	request := l.appendRequestHeader()
	request.Snapshot, request.Previous, request.Position = snapshot, previous, position
	return &transfer{request: request, chunks: chunks}
}

// chunkRequest returns the append request with the next chunk.
func (t *transfer) chunkRequest(view uint64) appendRequest {
	request := t.request
	request.View = view
	request.Chunk, request.Chunks = t.nextChunk, uint32(len(t.chunks))
	request.Entries = t.chunks[t.nextChunk]
	return request
}

// timeout returns the time limit of the call that sends a chunk. A batch in one chunk gets only the reply timeout, because a later
// reply does not count towards a majority.
func (t *transfer) timeout(timing Timing) time.Duration {
	if t.request.Snapshot || len(t.chunks) > 1 {
		return timing.ChunkTimeout
	}
	return timing.ReplyTimeout
}

// advances reports whether the transfer can still be applied by a follower at a position, and moves it to a newer one.
func (t *transfer) advances(position Position) bool {
	return position.Before(t.request.Position) && (t.request.Snapshot || t.request.Previous == position)
}
