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

// A capture is a head and then blocks, one an interval: length (4 bytes, most significant first), xxh3 of the rest (8),
// and the interval as JSON, deflated. A file that was cut off anywhere reads up to the cut.
const (
	fileHeader      = "puffinlink capture 1\n"
	blockHeaderSize = 12
	// maxBlockSize bounds what a length can make us hold: an interval at all its caps takes 8 MB.
	maxBlockSize = 32 << 20
	maxTextSize  = 128 << 20
)

// TruncatedError says that a capture ends in the middle, or that a block is spoilt; what comes before it is good.
type TruncatedError struct {
	Blocks int // that were read
	At     int64
	Why    string
}

// Error returns what is wrong, for a person.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("cut off or spoilt after %d intervals, at byte %d: %s", e.Blocks, e.At, e.Why)
}

// FileHeader begins a capture.
func FileHeader() []byte { return []byte(fileHeader) }

// AppendBlock writes an interval.
func AppendBlock(b []byte, i *Interval) ([]byte, error) {
	text, err := json.Marshal(i)
	if err != nil {
		return b, err
	}
	var small bytes.Buffer
	w, err := flate.NewWriter(&small, flate.BestSpeed)
	if err != nil {
		return b, err
	}
	if _, err := w.Write(text); err != nil {
		return b, err
	}
	if err := w.Close(); err != nil {
		return b, err
	}
	if small.Len() > maxBlockSize {
		return b, invalid("an interval of %d bytes, %d at most", small.Len(), maxBlockSize)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(small.Len()))
	b = binary.BigEndian.AppendUint64(b, xxh3.Hash(small.Bytes()))
	return append(b, small.Bytes()...), nil
}

// Read calls each for every interval of a capture. A *TruncatedError says that it ends in the middle; any other error, that it is
// no capture that this version reads.
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
	var buf []byte
	for blocks := 0; ; blocks++ {
		truncated := func(why string) error { return &TruncatedError{blocks, offset, why} }
		var front [blockHeaderSize]byte
		n, err := io.ReadFull(buffered, front[:])
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			return nil
		case err != nil:
			return truncated("in the head of an interval")
		}
		size := binary.BigEndian.Uint32(front[:])
		if size > maxBlockSize {
			return truncated(fmt.Sprintf("an interval of %d bytes, %d at most", size, maxBlockSize))
		}
		var body bytes.Buffer // memory is taken as bytes come, never on the word of a length
		if received, err := io.CopyN(&body, buffered, int64(size)); err != nil {
			return truncated(fmt.Sprintf("%d of an interval's %d bytes are here", received, size))
		}
		buf = body.Bytes()
		if xxh3.Hash(buf) != binary.BigEndian.Uint64(front[4:]) {
			return truncated("an interval's checksum is wrong")
		}
		text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(buf)), maxTextSize))
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

// check refuses what no recorder would have written.
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
