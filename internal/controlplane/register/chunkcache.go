package register

import (
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// maxPushedBytes is the maximum total length of the chunks that are kept for values that have not been accepted yet. If it is
// exceeded, all of them are dropped; proposers that still need them push them again.
const maxPushedBytes = 2 * chunks.MaxContentBytes

// chunkCache holds an acceptor's chunks of large values: those of the value that was accepted last, and those that were pushed for
// values that are about to be proposed. Chunks are identified by their content, so their sender and proposal number do not matter.
// A vote depends on chunks only in that its value is assembled from them, which the value's checksum proves. The cache is not
// durable. Its methods are safe for concurrent use.
type chunkCache struct {
	mutex          sync.Mutex
	proposalNumber ProposalNumber // proposal number with which the value of chunking was accepted
	view           uint64
	chunking       *chunks.Chunking
	pushed         map[chunks.Sum][]byte
	pushedBytes    int
}

// chunkingOf returns the chunks of the value that was accepted with a proposal number in a view.
func (c *chunkCache) chunkingOf(proposalNumber ProposalNumber, view uint64, value []byte) *chunks.Chunking {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.chunking == nil || c.proposalNumber != proposalNumber || c.view != view {
		c.chunking, c.proposalNumber, c.view = chunks.NewChunking(value, c.chunking), proposalNumber, view
	}
	return c.chunking
}

// newestChunking returns the chunks of the value that was chunked last, or nil.
func (c *chunkCache) newestChunking() *chunks.Chunking {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.chunking
}

// chunk returns a cached chunk. It is a chunks.Source.
func (c *chunkCache) chunk(sum chunks.Sum) (chunk []byte, found bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if chunk, found = c.pushed[sum]; !found && c.chunking != nil {
		chunk, found = c.chunking.Chunk(sum)
	}
	return chunk, found
}

// addPacked adds pushed chunks of a value that is being sent. If a chunk is malformed, it adds none and returns chunks.ErrPacked.
func (c *chunkCache) addPacked(packed [][]byte) error {
	unpacked := make([][]byte, 0, len(packed))
	for _, compressed := range packed {
		chunk, err := chunks.Unpack(compressed)
		if err != nil {
			return err
		}
		unpacked = append(unpacked, chunk)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, chunk := range unpacked {
		c.add(chunk)
	}
	return nil
}

// add adds a pushed chunk. The caller must hold the mutex.
func (c *chunkCache) add(chunk []byte) {
	if c.pushed == nil || c.pushedBytes+len(chunk) > maxPushedBytes {
		c.pushed, c.pushedBytes = make(map[chunks.Sum][]byte), 0
	}
	sum := chunks.SumOf(chunk)
	if _, duplicate := c.pushed[sum]; !duplicate {
		c.pushed[sum] = chunk
		c.pushedBytes += len(chunk)
	}
}

// replace sets the chunks of a newly accepted value, which are nil for a small value, and drops all pushed chunks.
func (c *chunkCache) replace(accepted *chunks.Chunking, proposalNumber ProposalNumber, view uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.chunking, c.proposalNumber, c.view = accepted, proposalNumber, view
	c.pushed, c.pushedBytes = nil, 0
}
