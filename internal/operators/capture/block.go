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
	head      = "puffinlink capture 1\n"
	blockHead = 12
	// mostBlock bounds what a length can make us hold: an interval at all its caps takes 8 MB.
	mostBlock = 32 << 20
	mostPlain = 128 << 20
)

// CutError says that a capture ends in the middle, or that a block is spoilt; what comes before it is good.
type CutError struct {
	Blocks int // that were read
	At     int64
	Why    string
}

func (e *CutError) Error() string {
	return fmt.Sprintf("cut off or spoilt after %d intervals, at byte %d: %s", e.Blocks, e.At, e.Why)
}

// Head begins a capture.
func Head() []byte { return []byte(head) }

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
	if small.Len() > mostBlock {
		return b, invalid("an interval of %d bytes, %d at most", small.Len(), mostBlock)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(small.Len()))
	b = binary.BigEndian.AppendUint64(b, xxh3.Hash(small.Bytes()))
	return append(b, small.Bytes()...), nil
}

// Read calls each for every interval of a capture. A *CutError says that it ends in the middle; any other error, that it is
// no capture that this version reads.
func Read(in io.Reader, each func(*Interval) error) error {
	r := bufio.NewReaderSize(in, 1<<16)
	got := make([]byte, len(head))
	n, err := io.ReadFull(r, got)
	switch {
	case err != nil && !bytes.HasPrefix([]byte(head), got[:n]):
		return ErrNotCapture
	case err != nil:
		return &CutError{0, int64(n), "in its head"}
	case string(got) == head:
	case bytes.HasPrefix(got, []byte("puffinlink capture ")):
		return invalid("is a capture of another version (%q), expected %q: cut it with the version that wrote it",
			bytes.TrimSpace(got), head[:len(head)-1])
	default:
		return ErrNotCapture
	}
	at := int64(len(head))
	var buf []byte
	for blocks := 0; ; blocks++ {
		cut := func(why string) error { return &CutError{blocks, at, why} }
		var front [blockHead]byte
		n, err := io.ReadFull(r, front[:])
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			return nil
		case err != nil:
			return cut("in the head of an interval")
		}
		size := binary.BigEndian.Uint32(front[:])
		if size > mostBlock {
			return cut(fmt.Sprintf("an interval of %d bytes, %d at most", size, mostBlock))
		}
		var body bytes.Buffer // memory is taken as bytes come, never on the word of a length
		if got, err := io.CopyN(&body, r, int64(size)); err != nil {
			return cut(fmt.Sprintf("%d of an interval's %d bytes are here", got, size))
		}
		buf = body.Bytes()
		if xxh3.Hash(buf) != binary.BigEndian.Uint64(front[4:]) {
			return cut("an interval's checksum is wrong")
		}
		text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(buf)), mostPlain))
		if err != nil {
			return cut(err.Error())
		}
		var i Interval
		if err := json.Unmarshal(text, &i); err != nil {
			return cut(err.Error())
		}
		if err := i.check(); err != nil {
			return cut(err.Error())
		}
		if err := each(&i); err != nil {
			return err
		}
		at += blockHead + int64(size)
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
