package register

import (
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// maxPushedBytes bounds the bytes of chunks that are kept for values that have not been accepted yet. They are dropped
// together: whoever still needs them sends them again.
const maxPushedBytes = 2 * chunks.MaxContentBytes

// chunkCache has the chunks of large values at an acceptor: of the one that was accepted last, and those that were pushed for
// values to come. Chunks are named by their content, so that it does not matter who sent them and for which proposal number; a
// vote depends on them in no other way than that a value is assembled from them, which its checksum proves. Nothing here is
// durable. Its methods may be called from any goroutine.
type chunkCache struct {
	mutex          sync.Mutex
	proposalNumber ProposalNumber // under which the value of chunking was accepted
	view           uint64
	chunking       *chunks.Chunking
	pushed         map[chunks.Sum][]byte
	pushedBytes    int
}

// chunkingOf returns the chunks of a value that was accepted under a proposal number in a view.
func (v *chunkCache) chunkingOf(proposalNumber ProposalNumber, view uint64, value []byte) *chunks.Chunking {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.chunking == nil || v.proposalNumber != proposalNumber || v.view != view {
		v.chunking, v.proposalNumber, v.view = chunks.NewChunking(value, v.chunking), proposalNumber, view
	}
	return v.chunking
}

// newest returns the chunks of the value that was chunked last; nil if there is none.
func (v *chunkCache) newest() *chunks.Chunking {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.chunking
}

// chunk is the chunks.Source of all that is here.
func (v *chunkCache) chunk(sum chunks.Sum) (chunk []byte, found bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if chunk, found = v.pushed[sum]; !found && v.chunking != nil {
		chunk, found = v.chunking.Chunk(sum)
	}
	return chunk, found
}

// addPacked takes packed chunks of a value that is being sent. The error is chunks.ErrPacked, and none was taken then.
func (v *chunkCache) addPacked(packed [][]byte) error {
	unpacked := make([][]byte, 0, len(packed))
	for _, compressed := range packed {
		chunk, err := chunks.Unpack(compressed)
		if err != nil {
			return err
		}
		unpacked = append(unpacked, chunk)
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for _, chunk := range unpacked {
		v.add(chunk)
	}
	return nil
}

// add takes a chunk. The caller holds the mutex.
func (v *chunkCache) add(chunk []byte) {
	if v.pushed == nil || v.pushedBytes+len(chunk) > maxPushedBytes {
		v.pushed, v.pushedBytes = make(map[chunks.Sum][]byte), 0
	}
	sum := chunks.SumOf(chunk)
	if _, duplicate := v.pushed[sum]; !duplicate {
		v.pushed[sum] = chunk
		v.pushedBytes += len(chunk)
	}
}

// replace takes the chunks of a value that was accepted, nil for a small one, and drops what was pushed before.
func (v *chunkCache) replace(accepted *chunks.Chunking, proposalNumber ProposalNumber, view uint64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.chunking, v.proposalNumber, v.view = accepted, proposalNumber, view
	v.pushed, v.pushedBytes = nil, 0
}
