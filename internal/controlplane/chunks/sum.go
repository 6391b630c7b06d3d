package chunks

import "crypto/sha256"

// SumBytes is the length of a checksum, which is a SHA-256 hash truncated to 128 bits.
const SumBytes = 16

// Sum is the checksum of a chunk or of the complete content.
type Sum [SumBytes]byte

// SumOf returns the checksum of a chunk or of the complete content.
func SumOf(content []byte) Sum {
	digest := sha256.Sum256(content)
	return Sum(digest[:SumBytes])
}

// ParseSums splits concatenated checksums. It ignores an incomplete checksum at the end.
func ParseSums(joined []byte) []Sum {
	sums := make([]Sum, 0, len(joined)/SumBytes)
	for remaining := joined; len(remaining) >= SumBytes; remaining = remaining[SumBytes:] {
		sums = append(sums, Sum(remaining[:SumBytes]))
	}
	return sums
}

// JoinSums concatenates checksums. ParseSums is its inverse.
func JoinSums(sums []Sum) []byte {
	joined := make([]byte, 0, SumBytes*len(sums))
	for _, sum := range sums {
		joined = append(joined, sum[:]...)
	}
	return joined
}
