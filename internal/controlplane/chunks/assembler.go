package chunks

// Assembler assembles a large value, the content, from its chunks. It is not safe for concurrent use.
type Assembler struct {
	manifest Manifest
	order    []Sum // checksums in the order of the content; a checksum may occur more than once
	present  map[Sum][]byte
	missing  map[Sum]struct{}
}

// Source returns a locally available chunk, such as a chunk of an earlier version of the content.
type Source func(Sum) (chunk []byte, found bool)

// NewAssembler returns an Assembler for the content of a manifest. It takes the chunks that a source has; all others are missing.
// It returns ErrManifest if the manifest is malformed.
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
		a.addFromSources(sum, sources)
	}
	return a, nil
}

// addFromSources adds a chunk from the first source that has it, or records it as missing.
func (a *Assembler) addFromSources(sum Sum, sources []Source) {
	for _, source := range sources {
		if chunk, found := source(sum); found {
			a.present[sum] = chunk
			return
		}
	}
	a.missing[sum] = struct{}{}
}

// Chunk returns a chunk that is already present. It is a Source.
func (a *Assembler) Chunk(sum Sum) (chunk []byte, found bool) {
	chunk, found = a.present[sum]
	return chunk, found
}

// Add adds a chunk and reports whether it was missing. It ignores all other chunks.
func (a *Assembler) Add(chunk []byte) bool {
	sum := SumOf(chunk)
	if _, missing := a.missing[sum]; !missing {
		return false
	}
	delete(a.missing, sum)
	a.present[sum] = chunk
	return true
}

// AddPacked unpacks and adds chunks, and ignores those that are not missing. It stops at the first malformed chunk and returns
// ErrPacked; the chunks before it have been added.
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

// Missing returns the checksums of the first missing chunks, in the order of the content and at most limit.
func (a *Assembler) Missing(limit int) []Sum {
	missing := MissingFrom(a.order, a.Chunk)
	return missing[:min(limit, len(missing))]
}

// MissingCount returns the number of missing chunks.
func (a *Assembler) MissingCount() int { return len(a.missing) }

// Complete reports whether no chunk is missing.
func (a *Assembler) Complete() bool { return len(a.missing) == 0 }

// Content returns the content, verified against the manifest. It returns ErrContent if the content does not match the manifest or
// if chunks are missing.
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

// MissingFrom returns the checksums, without duplicates, of the chunks that a source does not have.
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
