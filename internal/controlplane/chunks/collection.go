package chunks

// Collection gathers the parts of one content. It belongs to one goroutine or is guarded by its owner.
type Collection struct {
	manifest Manifest
	order    []Sum
	held     map[Sum][]byte
	missing  map[Sum]struct{}
}

// Holder returns a part that is at hand.
type Holder func(Sum) (chunk []byte, found bool)

// NewCollection begins to gather a content. Parts that a holder has are not gathered again. The error is ErrManifest.
func NewCollection(manifest Manifest, holders ...Holder) (*Collection, error) {
	if err := manifest.Check(); err != nil {
		return nil, err
	}
	c := &Collection{
		manifest: manifest,
		order:    manifest.Sums(),
		held:     make(map[Sum][]byte),
		missing:  make(map[Sum]struct{}),
	}
	for _, sum := range c.order {
		c.find(sum, holders)
	}
	return c, nil
}

// find takes a part from the first holder that has it.
func (c *Collection) find(sum Sum, holders []Holder) {
	for _, holder := range holders {
		if chunk, found := holder(sum); found {
			c.held[sum] = chunk
			return
		}
	}
	c.missing[sum] = struct{}{}
}

// Chunk is the Holder of the parts that have arrived.
func (c *Collection) Chunk(sum Sum) (chunk []byte, found bool) {
	chunk, found = c.held[sum]
	return chunk, found
}

// Add takes a part and tells whether it was missing. Any other changes nothing.
func (c *Collection) Add(chunk []byte) bool {
	sum := SumOf(chunk)
	if _, wanted := c.missing[sum]; !wanted {
		return false
	}
	delete(c.missing, sum)
	c.held[sum] = chunk
	return true
}

// AddPacked takes packed parts; those that are not missing change nothing. The error is ErrPacked; parts before the wrong
// one are taken.
func (c *Collection) AddPacked(packed [][]byte) error {
	for _, one := range packed {
		chunk, err := Unpack(one)
		if err != nil {
			return err
		}
		c.Add(chunk)
	}
	return nil
}

// Missing lists at most a number of parts that are still to come, in the content's order.
func (c *Collection) Missing(most int) []Sum {
	missing := Without(c.order, c.Chunk)
	return missing[:min(most, len(missing))]
}

// Lacks is how many parts are missing.
func (c *Collection) Lacks() int { return len(c.missing) }

// Whole tells whether no part is missing.
func (c *Collection) Whole() bool { return len(c.missing) == 0 }

// Content puts the parts together and checks them against the manifest. The error is ErrContent.
func (c *Collection) Content() ([]byte, error) {
	if !c.Whole() {
		return nil, ErrContent
	}
	content := make([]byte, 0, c.manifest.Bytes)
	for _, sum := range c.order {
		if len(content)+len(c.held[sum]) > c.manifest.Bytes {
			return nil, ErrContent
		}
		content = append(content, c.held[sum]...)
	}
	if len(content) != c.manifest.Bytes || SumOf(content) != c.manifest.Sum {
		return nil, ErrContent
	}
	return content, nil
}
