package chunks

const (
	// minChunkBytes is the minimum length of a chunk. Only the last chunk may be shorter.
	minChunkBytes = 512
	// maxChunkBytes is the maximum length of a chunk. A change costs the bytes of the manifest (16 per chunk) and those of the
	// chunks around the change. Chunks of a few kilobytes keep both costs low for contents of 50 KB to 1 MB.
	maxChunkBytes = 8 << 10
	// boundaryMask selects the bits of the rolling hash that are zero at a boundary. Each position is a boundary with a
	// probability of 1 in 2,048. Configurations are repetitive, so their chunks have a mean length of 4 KB.
	boundaryMask = (1<<11 - 1) << 40
)

// gearTable is the table of the Gear hash: the number that is added for each byte value.
var gearTable = newGearTable()

// newGearTable fills the table from a linear congruential generator with a fixed seed, so that all builds place the same
// boundaries.
func newGearTable() (table [256]uint64) {
	state := uint64(0x9E3779B97F4A7C15)
	for i := range table {
		state = state*6364136223846793005 + 1442695040888963407
		table[i] = state ^ state>>29
	}
	return table
}

// Split splits content into chunks. The chunks share its memory.
func Split(content []byte) [][]byte {
	var split [][]byte
	for len(content) > 0 {
		length := firstBoundary(content)
		split = append(split, content[:length:length])
		content = content[length:]
	}
	return split
}

// firstBoundary returns the length of the content's first chunk.
func firstBoundary(content []byte) int {
	limit := min(len(content), maxChunkBytes)
	hash := uint64(0)
	for i := minChunkBytes; i < limit; i++ {
		hash = hash<<1 + gearTable[content[i]]
		if hash&boundaryMask == 0 {
			return i
		}
	}
	return limit
}
