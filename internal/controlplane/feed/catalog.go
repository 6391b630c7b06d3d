package feed

import (
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// keptEditions is how many earlier configurations a catalog can tell from the newest. A reader that knows an older one
// still gets the manifest, and asks for the parts that it lacks.
const keptEditions = 16

// Catalog holds the newest configuration by parts, and the manifests of some before it. Its methods may be called from
// any goroutine.
type Catalog struct {
	mutex   sync.Mutex
	version uint64
	newest  *chunks.Cut // nil before the first
	earlier []edition   // oldest first
}

// edition is an earlier version of the configuration by its parts.
type edition struct {
	version uint64
	sums    []chunks.Sum
}

// Publish makes a configuration the newest, unless one as new is there.
func (c *Catalog) Publish(version uint64, body []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if version <= c.version {
		return
	}
	if c.newest != nil {
		c.earlier = append(c.earlier, edition{c.version, c.newest.Sums()})
		c.earlier = c.earlier[max(0, len(c.earlier)-keptEditions):]
	}
	c.version, c.newest = version, chunks.NewCut(body, c.newest)
}

// current returns the newest configuration.
func (c *Catalog) current() (version uint64, cut *chunks.Cut) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version, c.newest
}

// Offer describes the newest configuration and its version to a reader that has an earlier one, together with parts that
// the reader lacks, of at most room bytes. There must be a configuration.
func (c *Catalog) Offer(known uint64, room int) (version uint64, offer *Offer) {
	version, cut := c.current()
	offer = &Offer{Manifest: cut.Manifest()}
	if held, found := c.holder(known); found {
		offer.Chunks = cut.Packed(chunks.Without(cut.Sums(), held), room)
	}
	return version, offer
}

// holder is what a reader of an earlier version has; version 0 is a reader of nothing.
func (c *Catalog) holder(known uint64) (chunks.Holder, bool) {
	has := make(map[chunks.Sum]struct{})
	held := func(sum chunks.Sum) ([]byte, bool) {
		_, found := has[sum]
		return nil, found
	}
	if known == 0 {
		return held, true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, edition := range c.earlier {
		if edition.version != known {
			continue
		}
		for _, sum := range edition.sums {
			has[sum] = struct{}{}
		}
		return held, true
	}
	return nil, false
}

// Chunks returns those parts of the newest configuration that are asked for, packed, and at most room bytes of them; but
// always the first one that is held.
func (c *Catalog) Chunks(sums []chunks.Sum, room int) [][]byte {
	_, cut := c.current()
	if cut == nil {
		return nil
	}
	return cut.PackedSome(sums, room)
}

// Chunk returns a part of the newest configuration. It is a parts.Holder.
func (c *Catalog) Chunk(sum chunks.Sum) (chunk []byte, found bool) {
	_, cut := c.current()
	if cut == nil {
		return nil, false
	}
	return cut.Chunk(sum)
}
