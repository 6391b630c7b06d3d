package replication

import "time"

// transfer is a batch or a snapshot on its way to one follower, in one chunk or several.
type transfer struct {
	request   appendRequest // without entries
	chunks    [][]Entry
	nextChunk uint32 // the chunk to send
}

func (l *leadership) newTransfer(snapshot bool, previous, position Position, chunks [][]Entry) *transfer {
	request := l.appendRequestHeader()
	request.Snapshot, request.Previous, request.Position = snapshot, previous, position
	return &transfer{request: request, chunks: chunks}
}

// chunkRequest is the message that carries the next chunk.
func (t *transfer) chunkRequest(view uint64) appendRequest {
	request := t.request
	request.View = view
	request.Chunk, request.Chunks = t.nextChunk, uint32(len(t.chunks))
	request.Entries = t.chunks[t.nextChunk]
	return request
}

// timeout is how long the call of a chunk may take. A batch that is not answered within the reply timeout counts for nothing.
func (t *transfer) timeout(timing Timing) time.Duration {
	if t.request.Snapshot || len(t.chunks) > 1 {
		return timing.ChunkTimeout
	}
	return timing.ReplyTimeout
}

// advances tells whether a transfer still moves a follower forward that is at a position.
func (t *transfer) advances(position Position) bool {
	return position.Before(t.request.Position) && (t.request.Snapshot || t.request.Previous == position)
}
