package chunks

import (
	"errors"
	"fmt"
)

// MaxContentBytes is the maximum length of the content, so that a malformed manifest cannot make a receiver allocate all its memory.
const MaxContentBytes = 16 << 20

// Errors for manifests and contents that were not received as sent.
var (
	// ErrManifest is returned for a malformed manifest.
	ErrManifest = errors.New("the manifest is malformed")
	// ErrContent is returned if the chunks do not form the content that the manifest describes.
	ErrContent = errors.New("the chunks do not form the content that the manifest describes")
)

// Manifest identifies content by its checksum and lists its chunks in order.
type Manifest struct {
	Sum    Sum    `msgpack:"s"` // checksum of the content
	Bytes  int    `msgpack:"n"` // length of the content
	Chunks []byte `msgpack:"p"` // concatenated checksums of the chunks
}

// NewManifest returns the manifest of content, given the chunks into which it was split.
func NewManifest(content []byte, split [][]byte) Manifest {
	sums := make([]Sum, 0, len(split))
	for _, chunk := range split {
		sums = append(sums, SumOf(chunk))
	}
	return Manifest{Sum: SumOf(content), Bytes: len(content), Chunks: JoinSums(sums)}
}

// Validate returns ErrManifest if no content can have this manifest.
func (m Manifest) Validate() error {
	count := len(m.Chunks) / SumBytes
	switch {
	case len(m.Chunks)%SumBytes != 0, m.Bytes < 0, m.Bytes > MaxContentBytes, count > m.Bytes:
		return fmt.Errorf("%w: %d bytes in %d bytes of checksums", ErrManifest, m.Bytes, len(m.Chunks))
	}
	return nil
}

// Sums returns the checksums of the chunks in order.
func (m Manifest) Sums() []Sum { return ParseSums(m.Chunks) }
