package feed

import (
	"sync"

	"puffinlink.example/puffinlink/internal/controlplane/parts"
)

// keptEditions is how many earlier configurations a catalog can tell from the newest. A reader that knows an older one
// still gets the manifest, and asks for the parts that it lacks.
const keptEditions = 16

// Catalog holds the newest configuration by parts, and the manifests of some before it. Its methods may be called from
// any goroutine.
type Catalog struct {
	mutex    sync.Mutex
	newest   edition
	content  map[parts.Sum][]byte // parts of the newest
	packed   map[parts.Sum][]byte // the same, packed, where they have been asked for
	earlier  []edition            // oldest first
	manifest parts.Manifest
}

// edition is one version of the configuration by its parts.
type edition struct {
	version uint64
	sums    []parts.Sum
}

// Publish makes a configuration the newest, unless one as new is there.
func (c *Catalog) Publish(version uint64, body []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if version <= c.newest.version {
		return
	}
	split := parts.Split(body)
	if c.newest.version > 0 {
		c.earlier = append(c.earlier, c.newest)
		c.earlier = c.earlier[max(0, len(c.earlier)-keptEditions):]
	}
	c.manifest = parts.NewManifest(body, split)
	c.newest = edition{version: version, sums: c.manifest.Sums()}
	c.replace(split)
}

// replace keeps the parts of the newest edition only.
func (c *Catalog) replace(split [][]byte) {
	content := make(map[parts.Sum][]byte, len(split))
	packed := make(map[parts.Sum][]byte, len(split))
	for i, part := range split {
		sum := c.newest.sums[i]
		content[sum] = part
		if known, found := c.packed[sum]; found {
			packed[sum] = known
		}
	}
	c.content, c.packed = content, packed
}

// Offer describes the newest configuration and its version to a reader that has an earlier one, together with parts that
// the reader lacks, of at most room bytes.
func (c *Catalog) Offer(known uint64, room int) (version uint64, offer *Offer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	offer = &Offer{Manifest: c.manifest}
	if base, found := c.edition(known); found || known == 0 {
		offer.Parts = c.pack(lacking(c.newest.sums, base.sums), room)
	}
	return c.newest.version, offer
}

func (c *Catalog) edition(version uint64) (edition, bool) {
	for _, known := range c.earlier {
		if known.version == version {
			return known, true
		}
	}
	return edition{}, false
}

// lacking lists the parts that are not among those known.
func lacking(sums, known []parts.Sum) []parts.Sum {
	has := make(map[parts.Sum]struct{}, len(known))
	for _, sum := range known {
		has[sum] = struct{}{}
	}
	var lacked []parts.Sum
	for _, sum := range sums {
		if _, found := has[sum]; !found {
			lacked = append(lacked, sum)
		}
	}
	return lacked
}

// Parts returns those parts of the newest configuration that are asked for, packed, and at most room bytes of them; but
// always the first one that is held.
func (c *Catalog) Parts(sums []parts.Sum, room int) [][]byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held := make([]parts.Sum, 0, len(sums))
	for _, sum := range sums {
		if _, found := c.content[sum]; found {
			held = append(held, sum)
		}
	}
	found := c.pack(held, room)
	if len(found) == 0 && len(held) > 0 {
		return [][]byte{c.packedPart(held[0])}
	}
	return found
}

// Part returns a part of the newest configuration. It is a parts.Holder.
func (c *Catalog) Part(sum parts.Sum) (part []byte, found bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	part, found = c.content[sum]
	return part, found
}

// pack returns parts that are held, packed, as long as they fit into room.
func (c *Catalog) pack(sums []parts.Sum, room int) [][]byte {
	var packed [][]byte
	for _, sum := range sums {
		part := c.packedPart(sum)
		if room -= len(part); room < 0 {
			break
		}
		packed = append(packed, part)
	}
	return packed
}

func (c *Catalog) packedPart(sum parts.Sum) []byte {
	packed, found := c.packed[sum]
	if !found {
		packed = parts.Pack(c.content[sum])
		c.packed[sum] = packed
	}
	return packed
}
