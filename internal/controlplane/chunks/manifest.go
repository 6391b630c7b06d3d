package chunks

import (
	"errors"
	"fmt"
)

// MaxContent bounds the length of a content, in bytes, so that a manifest cannot claim all of a receiver's memory.
const MaxContent = 16 << 20

// Errors of contents that do not arrive as they were sent.
var (
	// ErrManifest is the refusal of a malformed manifest.
	ErrManifest = errors.New("the manifest is malformed")
	// ErrContent is the refusal of chunks that do not make up the content which their manifest names.
	ErrContent = errors.New("the parts do not make up the content that was named")
)

// Manifest names a content and its chunks in their order.
type Manifest struct {
	Sum    Sum    `msgpack:"s"` // of the content
	Bytes  int    `msgpack:"n"` // length of the content
	Chunks []byte `msgpack:"p"` // checksums of the chunks, concatenated
}

// NewManifest makes the manifest of a content that was split.
func NewManifest(content []byte, split [][]byte) Manifest {
	sums := make([]Sum, 0, len(split))
	for _, chunk := range split {
		sums = append(sums, SumOf(chunk))
	}
	return Manifest{Sum: SumOf(content), Bytes: len(content), Chunks: JoinSums(sums)}
}

// Validate refuses a manifest that no content can have; the error is ErrManifest.
func (m Manifest) Validate() error {
	count := len(m.Chunks) / SumBytes
	switch {
	case len(m.Chunks)%SumBytes != 0, m.Bytes < 0, m.Bytes > MaxContent, count > m.Bytes:
		return fmt.Errorf("%w: %d bytes in %d bytes of checksums", ErrManifest, m.Bytes, len(m.Chunks))
	}
	return nil
}

// Sums lists the chunks' checksums in order.
func (m Manifest) Sums() []Sum { return ParseSums(m.Chunks) }
