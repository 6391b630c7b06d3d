package chunks

import "sync"

// Cut is a content with its parts, which are packed once they are asked for. Its methods may be called from any goroutine.
type Cut struct {
	manifest Manifest
	order    []Sum
	content  map[Sum][]byte

	mutex  sync.Mutex
	packed map[Sum][]byte
}

// NewCut cuts a content. Parts that an earlier cut, which may be nil, has packed are not packed again.
func NewCut(content []byte, earlier *Cut) *Cut {
	split := Split(content)
	manifest := NewManifest(content, split)
	c := &Cut{
		manifest: manifest,
		order:    manifest.Sums(),
		content:  make(map[Sum][]byte, len(split)),
		packed:   make(map[Sum][]byte, len(split)),
	}
	for i, chunk := range split {
		c.content[c.order[i]] = chunk
	}
	c.takePacked(earlier)
	return c
}

func (c *Cut) takePacked(earlier *Cut) {
	if earlier == nil {
		return
	}
	earlier.mutex.Lock()
	defer earlier.mutex.Unlock()
	for sum, packed := range earlier.packed {
		if _, found := c.content[sum]; found {
			c.packed[sum] = packed
		}
	}
}

// Manifest names the content.
func (c *Cut) Manifest() Manifest { return c.manifest }

// Sums lists the parts' checksums in order. The caller must not modify the list.
func (c *Cut) Sums() []Sum { return c.order }

// Chunk returns a part. It is a Holder.
func (c *Cut) Chunk(sum Sum) (chunk []byte, found bool) {
	chunk, found = c.content[sum]
	return chunk, found
}

// Packed returns those of the parts that are held, packed, as long as they fit into a number of bytes.
func (c *Cut) Packed(sums []Sum, room int) [][]byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var packed [][]byte
	for _, sum := range sums {
		if _, found := c.content[sum]; !found {
			continue
		}
		chunk := c.packedChunk(sum)
		if room -= len(chunk); room < 0 {
			break
		}
		packed = append(packed, chunk)
	}
	return packed
}

// PackedSome does as Packed, but returns one part at least if any is held, so that each call makes progress.
func (c *Cut) PackedSome(sums []Sum, room int) [][]byte {
	if packed := c.Packed(sums, room); len(packed) > 0 {
		return packed
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, sum := range sums {
		if _, found := c.content[sum]; found {
			return [][]byte{c.packedChunk(sum)}
		}
	}
	return nil
}

// packedChunk is called with the mutex held, for a part that is held.
func (c *Cut) packedChunk(sum Sum) []byte {
	packed, found := c.packed[sum]
	if !found {
		packed = Pack(c.content[sum])
		c.packed[sum] = packed
	}
	return packed
}

// Without lists the checksums that a holder has no part for, each once.
func Without(sums []Sum, held Holder) []Sum {
	var lacked []Sum
	listed := make(map[Sum]struct{})
	for _, sum := range sums {
		_, found := held(sum)
		_, twice := listed[sum]
		if !found && !twice {
			lacked = append(lacked, sum)
			listed[sum] = struct{}{}
		}
	}
	return lacked
}
