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
	// maxFrame is the longest frame that can be an answer: a client's whole answer holds at most 64 KiB, so no
	// value is longer; id, end, score and report come on top. A longer one is rejected by its length alone.
	maxFrame = 72 << 10
	// frameTimeout is how long a frame that has begun may take: it is written in one piece, so the rest is here
	// within a round trip, or its length is wrong and it never ends.
	frameTimeout = 250 * time.Millisecond
)

// The types of frames, by their first byte.
const (
	frameCall   = 'S'
	frameCancel = 'C'
	frameAlive  = 'H'
	frameLoad   = 'M'
	frameAnswer = 'R'
	frameRefuse = 'F'
)

// The answers to a probe.
const (
	probeDone   = "done"
	probeFailed = "failed"
)

// answer is a decoded frame R.
type answer struct {
	name    string
	outcome policy.Outcome
	load    policy.Load
	value   []byte
}

var (
	outcomesByWord = map[string]policy.Outcome{"done": policy.Answered, "failed": policy.Errored, "full": policy.Rejected}
	errNoFrameType = errors.New("frame without a letter")
	errNotText     = errors.New("value is not UTF-8, which no answer to a client can carry unchanged")
)

// readFrame reads one frame; what it returns is the caller's. Memory is taken as bytes come, never on the word
// of a length.
func readFrame(r *bufio.Reader) (frameType byte, payload []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(r, head[:4]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[:4])
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

// buffered tells whether the next frame is completely in the buffer.
func buffered(r *bufio.Reader) bool {
	have := r.Buffered()
	if have < 4 {
		return false
	}
	head, _ := r.Peek(4)
	return uint64(have) >= 4+uint64(binary.BigEndian.Uint32(head))
}

func appendFrame(b []byte, frameType byte, payload ...byte) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(1+len(payload)))
	return append(append(b, frameType), payload...)
}

// subqueryName is a call's name on the wire.
func subqueryName(c *aggregator.Call) string {
	return c.Query.ID + "." + strconv.Itoa(int(c.Shard))
}

// appendCall appends a frame with the subqueries of one call; the remaining time is rounded down, so that it is never more than
// the client waits.
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

// parseAnswer reads the rest of an R frame; the value keeps its bytes. With an error, name is still the word in
// the id's place, so that the call it may mean can be told at once.
func parseAnswer(payload []byte) (a answer, err error) {
	header, value, found := bytes.Cut(payload, []byte{'\n'})
	name, _, _ := bytes.Cut(header, []byte{' '})
	a.name = string(name)
	// Only id and end are read strictly: the report may hold anything, and the answer beside it stands.
	fields := bytes.SplitN(header, []byte{' '}, 4)
	if !found || len(fields) != 4 {
		return a, malformed("answer %.80q: expected ID END SCORE REPORT and a line end", header)
	}
	known := false
	if a.outcome, known = outcomesByWord[string(fields[1])]; !known {
		return a, malformed("answer %.80q: unknown end", header)
	}
	if !utf8.Valid(value) {
		return a, errNotText
	}
	a.load, a.value = parseLoad(fields[3]), value
	return a, nil
}

// parseLoad reads a load report. A name that is not known and a figure that can't be read are left out: the
// answer beside them stands.
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
			l.Has, l.Util = l.Has|policy.HasUtil, v
		case "latency_ms":
			l.Has, l.ServiceS = l.Has|policy.HasService, v/1000
		case "qps":
			l.Has, l.ServedPS = l.Has|policy.HasServed, v
		case "eps":
			l.Has, l.FailPS = l.Has|policy.HasFail, v
		}
	}
	return l
}
