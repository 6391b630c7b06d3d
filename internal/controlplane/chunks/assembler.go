package chunks

// Assembler assembles one content from its chunks. It is not safe for concurrent use.
type Assembler struct {
	manifest Manifest
	order    []Sum // of the chunks in the content; a chunk may be there twice
	present  map[Sum][]byte
	missing  map[Sum]struct{}
}

// Source returns a chunk that is at hand, such as one of an earlier version of the content.
type Source func(Sum) (chunk []byte, found bool)

// NewAssembler begins to assemble a content. Chunks that a source has are not missing. The error is ErrManifest.
func NewAssembler(manifest Manifest, sources ...Source) (*Assembler, error) {
	if err := manifest.Validate(); err != nil {
		return nil, err
	}
	a := &Assembler{
		manifest: manifest,
		order:    manifest.Sums(),
		present:  make(map[Sum][]byte),
		missing:  make(map[Sum]struct{}),
	}
	for _, sum := range a.order {
		a.take(sum, sources)
	}
	return a, nil
}

// take takes a chunk from the first source that has it.
func (a *Assembler) take(sum Sum, sources []Source) {
	for _, source := range sources {
		if chunk, found := source(sum); found {
			a.present[sum] = chunk
			return
		}
	}
	a.missing[sum] = struct{}{}
}

// Chunk is the Source of the chunks that have arrived.
func (a *Assembler) Chunk(sum Sum) (chunk []byte, found bool) {
	chunk, found = a.present[sum]
	return chunk, found
}

// Add takes a chunk and reports whether it was missing. Any other chunk changes nothing.
func (a *Assembler) Add(chunk []byte) bool {
	sum := SumOf(chunk)
	if _, missing := a.missing[sum]; !missing {
		return false
	}
	delete(a.missing, sum)
	a.present[sum] = chunk
	return true
}

// AddPacked takes packed chunks; those that are not missing change nothing. The error is ErrPacked; chunks before the malformed
// one are taken.
func (a *Assembler) AddPacked(packed [][]byte) error {
	for _, compressed := range packed {
		chunk, err := Unpack(compressed)
		if err != nil {
			return err
		}
		a.Add(chunk)
	}
	return nil
}

// Missing lists the first missing chunks in the content's order, at most limit.
func (a *Assembler) Missing(limit int) []Sum {
	missing := MissingFrom(a.order, a.Chunk)
	return missing[:min(limit, len(missing))]
}

// MissingCount is how many chunks are missing.
func (a *Assembler) MissingCount() int { return len(a.missing) }

// Complete reports whether no chunk is missing.
func (a *Assembler) Complete() bool { return len(a.missing) == 0 }

// Content returns the content, checked against the manifest. The error is ErrContent, also while chunks are missing.
func (a *Assembler) Content() ([]byte, error) {
	if !a.Complete() {
		return nil, ErrContent
	}
	content := make([]byte, 0, a.manifest.Bytes)
	for _, sum := range a.order {
		if len(content)+len(a.present[sum]) > a.manifest.Bytes {
			return nil, ErrContent
		}
		content = append(content, a.present[sum]...)
	}
	if len(content) != a.manifest.Bytes || SumOf(content) != a.manifest.Sum {
		return nil, ErrContent
	}
	return content, nil
}

// MissingFrom lists the checksums of which a source has no chunk, each once.
func MissingFrom(sums []Sum, source Source) []Sum {
	var missing []Sum
	listed := make(map[Sum]struct{})
	for _, sum := range sums {
		_, found := source(sum)
		_, duplicate := listed[sum]
		if !found && !duplicate {
			missing = append(missing, sum)
			listed[sum] = struct{}{}
		}
	}
	return missing
}
