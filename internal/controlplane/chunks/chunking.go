package chunks

import "sync"

// Chunking is content that is split into chunks. Each chunk is packed when it is first needed. Its methods are safe for
// concurrent use.
type Chunking struct {
	manifest Manifest
	order    []Sum
	chunks   map[Sum][]byte

	mutex  sync.Mutex
	packed map[Sum][]byte
}

// NewChunking splits content into chunks. It reuses the packed chunks of an earlier chunking, which may be nil.
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

// reusePacked copies the packed forms of common chunks from an earlier chunking.
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

// Manifest returns the manifest of the content.
func (c *Chunking) Manifest() Manifest { return c.manifest }

// Sums returns the checksums of the chunks in order. The caller must not modify the slice.
func (c *Chunking) Sums() []Sum { return c.order }

// Chunk returns the chunk with a checksum. It is a Source.
func (c *Chunking) Chunk(sum Sum) (chunk []byte, found bool) {
	chunk, found = c.chunks[sum]
	return chunk, found
}

// Packed returns the listed chunks in packed form. It skips chunks that are not part of the content, and stops before the chunk
// with which the total would exceed maxBytes.
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

// PackedAtLeastOne is like Packed, but returns at least one chunk if the content has any of the listed ones, even if that chunk
// exceeds maxBytes. This way each transfer makes progress.
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

// packedChunk returns the packed form of a chunk of the content. The caller must hold the mutex.
func (c *Chunking) packedChunk(sum Sum) []byte {
	packed, found := c.packed[sum]
	if !found {
		packed = Pack(c.chunks[sum])
		c.packed[sum] = packed
	}
	return packed
}
