package feed

import (
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// maxPreviousVersions is how many earlier configurations a catalog can tell from the newest. A reader that knows an older one
// still gets the manifest, and asks for the parts that it lacks.
const maxPreviousVersions = 16

// ConfigurationCatalog holds the newest configuration by parts, and the manifests of some before it. Its methods may be called from
// any goroutine.
type ConfigurationCatalog struct {
	mutex    sync.Mutex
	version  uint64
	newest   *chunks.Chunking  // nil before the first
	previous []previousVersion // oldest first
}

// edition is an earlier version of the configuration by its parts.
type previousVersion struct {
	number uint64
	sums   []chunks.Sum
}

// Publish makes a configuration the newest, unless one as new is there.
func (c *ConfigurationCatalog) Publish(version uint64, body []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if version <= c.version {
		return
	}
	if c.newest != nil {
		c.previous = append(c.previous, previousVersion{c.version, c.newest.Sums()})
		c.previous = c.previous[max(0, len(c.previous)-maxPreviousVersions):]
	}
	c.version, c.newest = version, chunks.NewChunking(body, c.newest)
}

// current returns the newest configuration.
func (c *ConfigurationCatalog) current() (version uint64, cut *chunks.Chunking) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version, c.newest
}

// Offer describes the newest configuration and its version to a reader that has an earlier one, together with parts that
// the reader lacks, of at most room bytes. There must be a configuration.
func (c *ConfigurationCatalog) Offer(known uint64, maxBytes int) (version uint64, offer *Offer) {
	version, cut := c.current()
	offer = &Offer{Manifest: cut.Manifest()}
	if holder, found := c.cachedChunks(known); found {
		offer.Chunks = cut.Packed(chunks.MissingFrom(cut.Sums(), holder), maxBytes)
	}
	return version, offer
}

// cachedChunks is what a reader of an earlier version has; version 0 is a reader of nothing.
func (c *ConfigurationCatalog) cachedChunks(known uint64) (chunks.Source, bool) {
	cached := make(map[chunks.Sum]struct{})
	holder := func(sum chunks.Sum) ([]byte, bool) {
		_, found := cached[sum]
		return nil, found
	}
	if known == 0 {
		return holder, true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, previous := range c.previous {
		if previous.number != known {
			continue
		}
		for _, sum := range previous.sums {
			cached[sum] = struct{}{}
		}
		return holder, true
	}
	return nil, false
}

// Chunks returns those parts of the newest configuration that are asked for, packed, and at most room bytes of them; but
// always the first one that is held.
func (c *ConfigurationCatalog) Chunks(sums []chunks.Sum, maxBytes int) [][]byte {
	_, cut := c.current()
	if cut == nil {
		return nil
	}
	return cut.PackedAtLeastOne(sums, maxBytes)
}

// Chunk returns a part of the newest configuration. It is a parts.Holder.
func (c *ConfigurationCatalog) Chunk(sum chunks.Sum) (chunk []byte, found bool) {
	_, cut := c.current()
	if cut == nil {
		return nil, false
	}
	return cut.Chunk(sum)
}
