// Package chunks cuts a content into parts that are named by their checksums. Who holds an earlier version of the content
// fetches only the parts that it lacks, keeps each one that arrives, and goes on with any holder of the rest.
//
// Cuts depend on the content nearby only, so that a small change of a large content changes few parts. The package is
// pure: it does no input or output and knows no clock.
package chunks

import (
	"crypto/sha256"
	"errors"
	"fmt"
)

// SumBytes is the length of a checksum: a SHA-256 cut to 128 bits.
const SumBytes = 16

// Sum is the checksum of a part or of a whole content.
type Sum [SumBytes]byte

// SumOf returns the checksum of a content.
func SumOf(content []byte) Sum {
	whole := sha256.Sum256(content)
	return Sum(whole[:SumBytes])
}

const (
	// minChunk and maxChunk bound the length of a part, in bytes. Parts of some kilobytes keep both costs of a change low for
	// contents of 50 KB to 1 MB: the manifest, 16 bytes a part, and the parts around the change.
	minChunk = 512
	maxChunk = 8 << 10
	// cutMask is compared with the rolling checksum: a place is a cut with a chance of 1 in 2,048. Configurations have fewer
	// different places than bytes, so that their parts have 4 KB in the mean.
	cutMask = (1<<11 - 1) << 40
)

// MaxContent bounds the length of a content, in bytes, so that a manifest cannot claim all of a receiver's memory.
const MaxContent = 16 << 20

// gear holds the rolling checksum's summand for each byte value.
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

// Split cuts a content into parts, which share its memory.
func Split(content []byte) [][]byte {
	var split [][]byte
	for len(content) > 0 {
		length := cut(content)
		split = append(split, content[:length:length])
		content = content[length:]
	}
	return split
}

// cut returns the length of the first part.
func cut(content []byte) int {
	most := min(len(content), maxChunk)
	rolling := uint64(0)
	for i := minChunk; i < most; i++ {
		rolling = rolling<<1 + gear[content[i]]
		if rolling&cutMask == 0 {
			return i
		}
	}
	return most
}

// Manifest names a content and its parts in their order.
type Manifest struct {
	Sum    Sum    `msgpack:"s"`
	Bytes  int    `msgpack:"n"`
	Chunks []byte `msgpack:"p"` // checksums, one after the other
}

// NewManifest makes the manifest of a content that was split.
func NewManifest(content []byte, split [][]byte) Manifest {
	sums := make([]Sum, 0, len(split))
	for _, chunk := range split {
		sums = append(sums, SumOf(chunk))
	}
	return Manifest{Sum: SumOf(content), Bytes: len(content), Chunks: Join(sums)}
}

// Errors of contents that do not arrive as they were sent.
var (
	// ErrManifest is the refusal of a manifest that cannot be one.
	ErrManifest = errors.New("the manifest is malformed")
	// ErrContent is the refusal of parts that do not make up the content which their manifest names.
	ErrContent = errors.New("the parts do not make up the content that was named")
)

// Check refuses a manifest that cannot be one; the error is ErrManifest.
func (m Manifest) Check() error {
	count := len(m.Chunks) / SumBytes
	switch {
	case len(m.Chunks)%SumBytes != 0, m.Bytes < 0, m.Bytes > MaxContent, count > m.Bytes:
		return fmt.Errorf("%w: %d bytes in %d bytes of checksums", ErrManifest, m.Bytes, len(m.Chunks))
	}
	return nil
}

// Sums lists the parts' checksums in order.
func (m Manifest) Sums() []Sum { return SumsOf(m.Chunks) }

// SumsOf reads checksums that stand one after the other. An incomplete one at the end is left out.
func SumsOf(joined []byte) []Sum {
	sums := make([]Sum, 0, len(joined)/SumBytes)
	for rest := joined; len(rest) >= SumBytes; rest = rest[SumBytes:] {
		sums = append(sums, Sum(rest[:SumBytes]))
	}
	return sums
}

// Join is the inverse of SumsOf.
func Join(sums []Sum) []byte {
	joined := make([]byte, 0, SumBytes*len(sums))
	for _, sum := range sums {
		joined = append(joined, sum[:]...)
	}
	return joined
}
