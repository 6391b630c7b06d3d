package chunks

const (
	// minChunk and maxChunk bound the length of a chunk, in bytes; the last one of a content may be shorter. Chunks of some
	// kilobytes keep both costs of a change low for contents of 50 KB to 1 MB: the manifest, 16 bytes a chunk, and the chunks
	// around the change.
	minChunk = 512
	maxChunk = 8 << 10
	// boundaryMask is compared with the rolling hash: after each byte there is a boundary with a probability of 1 in 2,048.
	// Configurations have fewer different positions than bytes, so that their chunks have 4 KB in the mean.
	boundaryMask = (1<<11 - 1) << 40
)

// gear has the rolling hash's summand for each byte value.
var gear = makeGear()

// makeGear fills the table by a fixed linear congruential sequence, so that all builds cut alike.
func makeGear() (table [256]uint64) {
	value := uint64(0x9E3779B97F4A7C15)
	for i := range table {
		value = value*6364136223846793005 + 1442695040888963407
		table[i] = value ^ value>>29
	}
	return table
}

// Split splits a content into chunks, which share its memory.
func Split(content []byte) [][]byte {
	var split [][]byte
	for len(content) > 0 {
		length := firstBoundary(content)
		split = append(split, content[:length:length])
		content = content[length:]
	}
	return split
}

// firstBoundary returns the length of the first chunk.
func firstBoundary(content []byte) int {
	most := min(len(content), maxChunk)
	rolling := uint64(0)
	for i := minChunk; i < most; i++ {
		rolling = rolling<<1 + gear[content[i]]
		if rolling&boundaryMask == 0 {
			return i
		}
	}
	return most
}
