package feed

import (
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// maxPreviousVersions is for how many previous configurations a catalog knows which chunks have changed since. A reader of an
// older one gets the manifest alone and requests the chunks that it lacks.
const maxPreviousVersions = 16

// ConfigurationCatalog has the newest configuration by chunks, and the checksums of the chunks of some previous ones. Its methods
// may be called from any goroutine. The zero value is empty.
type ConfigurationCatalog struct {
	mutex    sync.Mutex
	version  uint64
	newest   *chunks.Chunking  // nil before the first
	previous []previousVersion // oldest first
}

// previousVersion is a previous version of the configuration by its chunks.
type previousVersion struct {
	number uint64
	sums   []chunks.Sum
}

// Publish makes a configuration the newest one, unless its version is not newer.
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
func (c *ConfigurationCatalog) current() (version uint64, chunking *chunks.Chunking) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version, c.newest
}

// Offer describes the newest configuration and its version to a reader that has an earlier one, and has chunks that the reader
// lacks, of at most maxBytes bytes. There must be a configuration.
func (c *ConfigurationCatalog) Offer(known uint64, maxBytes int) (version uint64, offer *Offer) {
	version, chunking := c.current()
	offer = &Offer{Manifest: chunking.Manifest()}
	if source, found := c.cachedChunks(known); found {
		offer.Chunks = chunking.Packed(chunks.MissingFrom(chunking.Sums(), source), maxBytes)
	}
	return version, offer
}

// cachedChunks is the chunks that a reader of a previous version has, if that is known; a reader of version 0 has none. The
// source tells only whether a chunk is there, and returns no content.
func (c *ConfigurationCatalog) cachedChunks(known uint64) (chunks.Source, bool) {
	cached := make(map[chunks.Sum]struct{})
	source := func(sum chunks.Sum) ([]byte, bool) {
		_, found := cached[sum]
		return nil, found
	}
	if known == 0 {
		return source, true
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
		return source, true
	}
	return nil, false
}

// Chunks returns the requested chunks of the newest configuration, packed, and at most maxBytes bytes of them, but always the
// first one that is there.
func (c *ConfigurationCatalog) Chunks(sums []chunks.Sum, maxBytes int) [][]byte {
	_, chunking := c.current()
	if chunking == nil {
		return nil
	}
	return chunking.PackedAtLeastOne(sums, maxBytes)
}

// Chunk returns a chunk of the newest configuration. It is a chunks.Source.
func (c *ConfigurationCatalog) Chunk(sum chunks.Sum) (chunk []byte, found bool) {
	_, chunking := c.current()
	if chunking == nil {
		return nil, false
	}
	return chunking.Chunk(sum)
}
