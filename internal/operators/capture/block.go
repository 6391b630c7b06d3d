package capture

import (
	"bufio"
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/zeebo/xxh3"
)

// A capture file is a file header and a series of blocks. Each block holds one interval: the length of the body (4 bytes,
// big-endian), the xxh3 hash of the body (8 bytes), and the body, which is the interval as deflated JSON. A file that was
// truncated anywhere can be read up to that point.
const (
	fileHeader      = "puffinlink capture 1\n"
	blockHeaderSize = 12
	// maxBlockSize limits the memory that a corrupted length can make Read use. An interval at all its limits takes 8 MB.
	maxBlockSize = 32 << 20
	maxTextSize  = 128 << 20
)

// TruncatedError reports that a capture is truncated or that a block is corrupted. The blocks before it are valid.
type TruncatedError struct {
	Blocks int // number of valid blocks that were read
	Offset int64
	Reason string
}

// Error implements the error interface.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("cut off or spoilt after %d intervals, at byte %d: %s", e.Blocks, e.Offset, e.Reason)
}

// FileHeader returns the bytes at the beginning of a capture file.
func FileHeader() []byte { return []byte(fileHeader) }

// AppendBlock appends the block of an interval.
func AppendBlock(block []byte, i *Interval) ([]byte, error) {
	text, err := json.Marshal(i)
	if err != nil {
		return block, err
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return block, err
	}
	if _, err := w.Write(text); err != nil {
		return block, err
	}
	if err := w.Close(); err != nil {
		return block, err
	}
	if compressed.Len() > maxBlockSize {
		return block, invalid("an interval of %d bytes, %d at most", compressed.Len(), maxBlockSize)
	}
	block = binary.BigEndian.AppendUint32(block, uint32(compressed.Len()))
	block = binary.BigEndian.AppendUint64(block, xxh3.Hash(compressed.Bytes()))
	return append(block, compressed.Bytes()...), nil
}

// Read calls each for every interval of a capture. It returns a *TruncatedError if the capture is truncated or corrupted,
// ErrNotCapture or a ValidationError if it is no capture or one of another version, and any error that each returns.
func Read(in io.Reader, each func(*Interval) error) error {
	buffered := bufio.NewReaderSize(in, 1<<16)
	received := make([]byte, len(fileHeader))
	n, err := io.ReadFull(buffered, received)
	switch {
	case err != nil && !bytes.HasPrefix([]byte(fileHeader), received[:n]):
		return ErrNotCapture
	case err != nil:
		return &TruncatedError{0, int64(n), "in its head"}
	case string(received) == fileHeader:
	case bytes.HasPrefix(received, []byte("puffinlink capture ")):
		return invalid("is a capture of another version (%q), expected %q: cut it with the version that wrote it",
			bytes.TrimSpace(received), fileHeader[:len(fileHeader)-1])
	default:
		return ErrNotCapture
	}
	offset := int64(len(fileHeader))
	var compressed []byte
	for blocks := 0; ; blocks++ {
		truncated := func(reason string) error { return &TruncatedError{blocks, offset, reason} }
		var header [blockHeaderSize]byte
		n, err := io.ReadFull(buffered, header[:])
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			return nil
		case err != nil:
			return truncated("in the head of an interval")
		}
		size := binary.BigEndian.Uint32(header[:])
		if size > maxBlockSize {
			return truncated(fmt.Sprintf("an interval of %d bytes, %d at most", size, maxBlockSize))
		}
		var body bytes.Buffer // grows as bytes are read, because the length may be corrupted
		if received, err := io.CopyN(&body, buffered, int64(size)); err != nil {
			return truncated(fmt.Sprintf("%d of an interval's %d bytes are here", received, size))
		}
		compressed = body.Bytes()
		if xxh3.Hash(compressed) != binary.BigEndian.Uint64(header[4:]) {
			return truncated("an interval's checksum is wrong")
		}
		text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxTextSize))
		if err != nil {
			return truncated(err.Error())
		}
		var i Interval
		if err := json.Unmarshal(text, &i); err != nil {
			return truncated(err.Error())
		}
		if err := i.check(); err != nil {
			return truncated(err.Error())
		}
		if err := each(&i); err != nil {
			return err
		}
		offset += blockHeaderSize + int64(size)
	}
}

// check rejects values that a recorder cannot have written.
func (i *Interval) check() error {
	if !(i.Span > 0) || !(i.At >= 0) {
		return invalid("an interval of %g s at %g", i.Span, i.At)
	}
	for _, l := range i.Loads {
		if l.Queries < 0 || l.Parts < 0 || l.Index == "" {
			return invalid("a load of %d lookups of index %q", l.Queries, l.Index)
		}
	}
	for _, s := range i.Shards {
		if s.Shard < 0 || s.Parts < 0 {
			return invalid("shard %d asked for %d times", s.Shard, s.Parts)
		}
	}
	return nil
}
