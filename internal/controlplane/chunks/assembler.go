package chunks

// Assembler gathers the parts of one content. It belongs to one goroutine or is guarded by its owner.
type Assembler struct {
	manifest Manifest
	order    []Sum
	present  map[Sum][]byte
	missing  map[Sum]struct{}
}

// Source returns a part that is at hand.
type Source func(Sum) (chunk []byte, found bool)

// NewAssembler begins to gather a content. Parts that a holder has are not gathered again. The error is ErrManifest.
func NewAssembler(manifest Manifest, sources ...Source) (*Assembler, error) {
	if err := manifest.Validate(); err != nil {
		return nil, err
	}
	c := &Assembler{
		manifest: manifest,
		order:    manifest.Sums(),
		present:  make(map[Sum][]byte),
		missing:  make(map[Sum]struct{}),
	}
	for _, sum := range c.order {
		c.take(sum, sources)
	}
	return c, nil
}

// take takes a part from the first holder that has it.
func (c *Assembler) take(sum Sum, sources []Source) {
	for _, source := range sources {
		if chunk, found := source(sum); found {
			c.present[sum] = chunk
			return
		}
	}
	c.missing[sum] = struct{}{}
}

// Chunk is the Holder of the parts that have arrived.
func (c *Assembler) Chunk(sum Sum) (chunk []byte, found bool) {
	chunk, found = c.present[sum]
	return chunk, found
}

// Add takes a part and tells whether it was missing. Any other changes nothing.
func (c *Assembler) Add(chunk []byte) bool {
	sum := SumOf(chunk)
	if _, missing := c.missing[sum]; !missing {
		return false
	}
	delete(c.missing, sum)
	c.present[sum] = chunk
	return true
}

// AddPacked takes packed parts; those that are not missing change nothing. The error is ErrPacked; parts before the wrong
// one are taken.
func (c *Assembler) AddPacked(packed [][]byte) error {
	for _, compressed := range packed {
		chunk, err := Unpack(compressed)
		if err != nil {
			return err
		}
		c.Add(chunk)
	}
	return nil
}

// Missing lists at most a number of parts that are still to come, in the content's order.
func (c *Assembler) Missing(limit int) []Sum {
	missing := MissingFrom(c.order, c.Chunk)
	return missing[:min(limit, len(missing))]
}

// MissingCount is how many parts are missing.
func (c *Assembler) MissingCount() int { return len(c.missing) }

// Complete tells whether no part is missing.
func (c *Assembler) Complete() bool { return len(c.missing) == 0 }

// Content puts the parts together and checks them against the manifest. The error is ErrContent.
func (c *Assembler) Content() ([]byte, error) {
	if !c.Complete() {
		return nil, ErrContent
	}
	content := make([]byte, 0, c.manifest.Bytes)
	for _, sum := range c.order {
		if len(content)+len(c.present[sum]) > c.manifest.Bytes {
			return nil, ErrContent
		}
		content = append(content, c.present[sum]...)
	}
	if len(content) != c.manifest.Bytes || SumOf(content) != c.manifest.Sum {
		return nil, ErrContent
	}
	return content, nil
}
