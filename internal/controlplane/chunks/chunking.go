package chunks

import "sync"

// Chunking is a content split into chunks, each of which is packed when it is first needed. Its methods may be called from any
// goroutine.
type Chunking struct {
	manifest Manifest
	order    []Sum
	chunks   map[Sum][]byte

	mutex  sync.Mutex
	packed map[Sum][]byte
}

// NewChunking splits a content. Chunks that an earlier chunking, which may be nil, has packed are not packed again.
func NewChunking(content []byte, earlier *Chunking) *Chunking {
	split := Split(content)
	manifest := NewManifest(content, split)
	c := &Chunking{
		manifest: manifest,
		order:    manifest.Sums(),
		chunks:   make(map[Sum][]byte, len(split)),
		packed:   make(map[Sum][]byte, len(split)),
	}
	for i, chunk := range split {
		c.chunks[c.order[i]] = chunk
	}
	c.reusePacked(earlier)
	return c
}

// reusePacked takes what an earlier chunking has packed of the same chunks.
func (c *Chunking) reusePacked(earlier *Chunking) {
	if earlier == nil {
		return
	}
	earlier.mutex.Lock()
	defer earlier.mutex.Unlock()
	for sum, packed := range earlier.packed {
		if _, found := c.chunks[sum]; found {
			c.packed[sum] = packed
		}
	}
}

// Manifest names the content.
func (c *Chunking) Manifest() Manifest { return c.manifest }

// Sums lists the chunks' checksums in order. The caller must not modify the list.
func (c *Chunking) Sums() []Sum { return c.order }

// Chunk returns a chunk. It is a Source.
func (c *Chunking) Chunk(sum Sum) (chunk []byte, found bool) {
	chunk, found = c.chunks[sum]
	return chunk, found
}

// Packed returns those of the listed chunks that the content has, packed, up to the first that exceeds maxBytes in total.
func (c *Chunking) Packed(sums []Sum, maxBytes int) [][]byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var packed [][]byte
	for _, sum := range sums {
		if _, found := c.chunks[sum]; !found {
			continue
		}
		chunk := c.packedChunk(sum)
		if maxBytes -= len(chunk); maxBytes < 0 {
			break
		}
		packed = append(packed, chunk)
	}
	return packed
}

// PackedAtLeastOne does as Packed, but returns at least one chunk if the content has any of them, so that each transfer makes
// progress.
func (c *Chunking) PackedAtLeastOne(sums []Sum, maxBytes int) [][]byte {
	if packed := c.Packed(sums, maxBytes); len(packed) > 0 {
		return packed
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, sum := range sums {
		if _, found := c.chunks[sum]; found {
			return [][]byte{c.packedChunk(sum)}
		}
	}
	return nil
}

// packedChunk packs a chunk of the content. The caller holds the mutex.
func (c *Chunking) packedChunk(sum Sum) []byte {
	packed, found := c.packed[sum]
	if !found {
		packed = Pack(c.chunks[sum])
		c.packed[sum] = packed
	}
	return packed
}
