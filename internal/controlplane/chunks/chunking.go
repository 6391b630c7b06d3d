package chunks

import "sync"

// Chunking is a content with its parts, which are packed once they are asked for. Its methods may be called from any goroutine.
type Chunking struct {
	manifest Manifest
	order    []Sum
	chunks   map[Sum][]byte

	mutex  sync.Mutex
	packed map[Sum][]byte
}

// NewChunking cuts a content. Parts that an earlier cut, which may be nil, has packed are not packed again.
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

// Sums lists the parts' checksums in order. The caller must not modify the list.
func (c *Chunking) Sums() []Sum { return c.order }

// Chunk returns a part. It is a Holder.
func (c *Chunking) Chunk(sum Sum) (chunk []byte, found bool) {
	chunk, found = c.chunks[sum]
	return chunk, found
}

// Packed returns those of the parts that are held, packed, as long as they fit into a number of bytes.
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

// PackedAtLeastOne does as Packed, but returns one part at least if any is held, so that each call makes progress.
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

// packedChunk is called with the mutex held, for a part that is held.
func (c *Chunking) packedChunk(sum Sum) []byte {
	packed, found := c.packed[sum]
	if !found {
		packed = Pack(c.chunks[sum])
		c.packed[sum] = packed
	}
	return packed
}

// MissingFrom lists the checksums that a holder has no part for, each once.
func MissingFrom(sums []Sum, source Source) []Sum {
	var missing []Sum
	listed := make(map[Sum]struct{})
	for _, sum := range sums {
		_, found := source(sum)
		_, twice := listed[sum]
		if !found && !twice {
			missing = append(missing, sum)
			listed[sum] = struct{}{}
		}
	}
	return missing
}
