package feed

import (
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/chunks"
)

// maxPreviousVersions is the number of previous configurations whose chunk checksums a catalog keeps. A reader of an older
// version gets only the manifest and requests the chunks that it lacks.
const maxPreviousVersions = 16

// ConfigurationCatalog holds the chunks of the newest configuration and the chunk checksums of some previous ones. Its methods
// are safe for concurrent use. The zero value is an empty catalog.
type ConfigurationCatalog struct {
	mutex    sync.Mutex
	version  uint64
	newest   *chunks.Chunking  // nil before the first configuration
	previous []previousVersion // oldest first
}

// previousVersion holds the chunk checksums of a previous configuration.
type previousVersion struct {
	number uint64
	sums   []chunks.Sum
}

// Publish makes body the newest configuration. It does nothing unless version is higher than the current version.
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

// current returns the version and the chunks of the newest configuration.
func (c *ConfigurationCatalog) current() (version uint64, chunking *chunks.Chunking) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version, c.newest
}

// Offer returns the version of the newest configuration and an Offer of it for a reader that has the version known. The Offer
// contains at most maxBytes bytes of the chunks that the reader lacks. The catalog must not be empty.
func (c *ConfigurationCatalog) Offer(known uint64, maxBytes int) (version uint64, offer *Offer) {
	version, chunking := c.current()
	offer = &Offer{Manifest: chunking.Manifest()}
	if source, found := c.readerChunks(known); found {
		offer.Chunks = chunking.Packed(chunks.MissingFrom(chunking.Sums(), source), maxBytes)
	}
	return version, offer
}

// readerChunks returns a source with the chunks that a reader of the version known has. It returns false if the catalog doesn't
// hold that version. A reader of version 0 has no chunks. The source only reports whether a chunk exists and returns no content.
func (c *ConfigurationCatalog) readerChunks(known uint64) (chunks.Source, bool) {
	held := make(map[chunks.Sum]struct{})
	source := func(sum chunks.Sum) ([]byte, bool) {
		_, found := held[sum]
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
			held[sum] = struct{}{}
		}
		return source, true
	}
	return nil, false
}

// Chunks returns the requested chunks of the newest configuration in packed form, at most maxBytes bytes of them. It always
// returns the first requested chunk that exists, even if that chunk exceeds maxBytes.
func (c *ConfigurationCatalog) Chunks(sums []chunks.Sum, maxBytes int) [][]byte {
	_, chunking := c.current()
	if chunking == nil {
		return nil
	}
	return chunking.PackedAtLeastOne(sums, maxBytes)
}

// Chunk returns one chunk of the newest configuration. The method can be used as a chunks.Source.
func (c *ConfigurationCatalog) Chunk(sum chunks.Sum) (chunk []byte, found bool) {
	_, chunking := c.current()
	if chunking == nil {
		return nil, false
	}
	return chunking.Chunk(sum)
}
