package backends

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"strconv"
	"time"
	"unicode/utf8"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

const (
	// maxFrame is the maximum length of an answer frame in bytes. A complete answer to a client holds at most 64 KiB, so no value
	// is longer; the rest is for id, end, score and report. A longer frame is rejected by its length alone.
	maxFrame = 72 << 10
	// frameTimeout is how long the rest of a frame may take to arrive after its first byte. A backend writes a frame in one piece,
	// so the rest arrives within a round trip, or else the length is wrong and the frame never ends.
	frameTimeout = 250 * time.Millisecond
)

// The frame types, which are the first byte of a frame.
const (
	frameCall        = 'S'
	frameCancel      = 'C'
	frameHealthProbe = 'H'
	frameLoadProbe   = 'M'
	frameAnswer      = 'R'
	frameRefuse      = 'F'
)

// The answers to a health probe.
const (
	probeDone   = "done"
	probeFailed = "failed"
)

// answer is a decoded answer frame.
type answer struct {
	name    string
	outcome policy.Outcome
	load    policy.Load
	value   []byte
}

var (
	outcomesByName = map[string]policy.Outcome{"done": policy.Answered, "failed": policy.Errored, "full": policy.Rejected}
	errNoFrameType = errors.New("frame without a letter")
	errInvalidUTF8 = errors.New("value is not UTF-8, which no answer to a client can carry unchanged")
)

// readFrame reads one frame. The payload belongs to the caller. Memory is allocated as data arrives and not by the length that
// the frame states, which may be wrong.
func readFrame(r *bufio.Reader) (frameType byte, payload []byte, err error) {
	var header [5]byte
	if _, err = io.ReadFull(r, header[:4]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(header[:4])
	switch {
	case n == 0:
		return 0, nil, errNoFrameType
	case n > maxFrame:
		return 0, nil, malformed("frame of %d bytes, %d at most", n, maxFrame)
	}
	payload, err = io.ReadAll(io.LimitReader(r, int64(n)))
	switch {
	case err != nil:
		return 0, nil, err
	case len(payload) < int(n):
		return 0, nil, io.ErrUnexpectedEOF
	}
	return payload[0], payload[1:], nil
}

// buffered reports whether the next frame is completely in the buffer.
func buffered(r *bufio.Reader) bool {
	available := r.Buffered()
	if available < 4 {
		return false
	}
	header, _ := r.Peek(4)
	return uint64(available) >= 4+uint64(binary.BigEndian.Uint32(header))
}

// appendFrame appends a frame to b.
func appendFrame(b []byte, frameType byte, payload ...byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(1+len(payload)))
	return append(append(b, frameType), payload...)
}

// subqueryName returns the name of a call's subquery on the wire.
func subqueryName(c *aggregator.Call) string {
	return c.Query.ID + "." + strconv.Itoa(int(c.Shard))
}

// appendCall appends a call frame with the subqueries of the calls. The remaining time is rounded down to milliseconds, so that
// it is never longer than the client waits.
func appendCall(b []byte, calls []*call, now time.Time) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, frameCall)
	for _, c := range calls {
		b = append(append(b, c.name...), ' ')
		b = strconv.AppendInt(b, int64(c.Shard), 10)
		b = append(b, " d="...)
		b = strconv.AppendInt(b, max(0, c.StopAt.Sub(now).Milliseconds()), 10)
		b = append(b, ' ')
		b = strconv.AppendInt(b, int64(len(c.Query.Payload)), 10)
		b = append(append(b, '\n'), c.Query.Payload...)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-4))
	return b
}

// parseAnswer parses the payload of an answer frame. The value's bytes are kept unchanged. The name is set even if an error is
// returned: it is then whatever stands in place of the id, so that the call it may name can be ended at once.
func parseAnswer(payload []byte) (a answer, err error) {
	header, value, found := bytes.Cut(payload, []byte{'\n'})
	name, _, _ := bytes.Cut(header, []byte{' '})
	a.name = string(name)
	// Only id and end are validated: an answer is valid whatever its load report contains.
	fields := bytes.SplitN(header, []byte{' '}, 4)
	if !found || len(fields) != 4 {
		return a, malformed("answer %.80q: expected ID END SCORE REPORT and a line end", header)
	}
	known := false
	if a.outcome, known = outcomesByName[string(fields[1])]; !known {
		return a, malformed("answer %.80q: unknown end", header)
	}
	if !utf8.Valid(value) {
		return a, errInvalidUTF8
	}
	a.load, a.value = parseLoad(fields[3]), value
	return a, nil
}

// parseLoad parses a load report. It skips unknown names and invalid numbers, because they don't make the answer invalid.
func parseLoad(report []byte) (l policy.Load) {
	for pair := range bytes.SplitSeq(report, []byte{','}) {
		name, value, _ := bytes.Cut(pair, []byte{'='})
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		switch string(name) {
		case "inflight":
			l.Has, l.InFlight = l.Has|policy.HasInFlight, v
		case "queue":
			l.Has, l.Queued = l.Has|policy.HasQueued, v
		case "util":
			l.Has, l.Utilization = l.Has|policy.HasUtilization, v
		case "latency_ms":
			l.Has, l.ServiceTimeSeconds = l.Has|policy.HasServiceTime, v/1000
		case "qps":
			l.Has, l.ServedPerSecond = l.Has|policy.HasServed, v
		case "eps":
			l.Has, l.FailedPerSecond = l.Has|policy.HasFailed, v
		}
	}
	return l
}
