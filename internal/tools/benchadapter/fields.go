package benchadapter

import (
	"bytes"
	"encoding/base64"
	"strconv"
	"unsafe"

	"puffinlink.example/puffinlink/policy"
)

// fields takes the values of one line in turn and keeps the first thing that was wrong.
type fields struct {
	rest []byte
	err  error
}

func (f *fields) fail(name, expected string, found []byte) {
	if f.err == nil {
		f.err = malformed("%s: expected %s, found %q", name, expected, found)
	}
}

func (f *fields) next(name string) []byte {
	if len(f.rest) == 0 {
		f.fail(name, "a value", nil)
		return nil
	}
	w, rest, _ := bytes.Cut(f.rest, []byte{' '})
	f.rest = rest
	return w
}

func (f *fields) done() error {
	if f.err == nil && len(f.rest) > 0 {
		f.fail("line end", "no further value", f.rest)
	}
	return f.err
}

// text lends a word to strconv without a copy; nothing keeps it.
func text(w []byte) string { return unsafe.String(unsafe.SliceData(w), len(w)) }

func (f *fields) integer(name string) int64 {
	w := f.next(name)
	v, err := strconv.ParseInt(text(w), 10, 64)
	if err != nil {
		f.fail(name, "an integer", w)
	}
	return v
}

func (f *fields) unsigned(name string) uint64 {
	w := f.next(name)
	v, err := strconv.ParseUint(text(w), 10, 64)
	if err != nil {
		f.fail(name, "an id", w)
	}
	return v
}

func (f *fields) backend() policy.BackendID {
	w := f.next("searcher")
	v, err := strconv.ParseUint(text(w), 10, 32)
	if err != nil {
		f.fail("searcher", "a number below 2^32", w)
	}
	return policy.BackendID(v)
}

func (f *fields) parse(name string, w []byte) float64 {
	v, err := strconv.ParseFloat(text(w), 64)
	if err != nil || v != v {
		f.fail(name, "a number", w)
	}
	return v
}

func (f *fields) number(name string) float64 { return f.parse(name, f.next(name)) }

// optional reads a value that may be absent; absent counts as 0.
func (f *fields) optional(name string) float64 {
	w := f.next(name)
	if len(w) == 1 && w[0] == '-' {
		return 0
	}
	return f.parse(name, w)
}

func (f *fields) hex(name string) (uint64, bool) {
	w := f.next(name)
	if len(w) == 1 && w[0] == '-' {
		return 0, false
	}
	v, err := strconv.ParseUint(text(w), 16, 64)
	if err != nil {
		f.fail(name, "16 hex digits", w)
	}
	return v, true
}

func (f *fields) bytes(name string) []byte {
	w := f.next(name)
	if len(w) == 1 && w[0] == '-' {
		return nil
	}
	v, err := base64.StdEncoding.DecodeString(string(w))
	if err != nil {
		f.fail(name, "base64", w)
	}
	return v
}

func (f *fields) outcome() policy.Outcome {
	w := f.next("status")
	o, known := outcomes[string(w)]
	if !known {
		f.fail("status", "an outcome", w)
	}
	return o
}

// load reads a report. Names that are not known are left out: sites may add some.
func (f *fields) load() (l policy.Load) {
	w := f.next("usage")
	if len(w) == 1 && w[0] == '-' {
		return l
	}
	for len(w) > 0 {
		var pair []byte
		pair, w, _ = bytes.Cut(w, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			f.fail("usage", "name:value pairs", pair)
			return l
		}
		v := f.parse("usage", value)
		switch string(name) {
		case "busy_reqs":
			l.Has, l.InFlight = l.Has|policy.HasInFlight, v
		case "pending":
			l.Has, l.Queued = l.Has|policy.HasQueued, v
		case "cpu_share":
			l.Has, l.Utilization = l.Has|policy.HasUtilization, v
		case "svc_ms":
			l.Has, l.ServiceTimeSeconds = l.Has|policy.HasServiceTime, v/1000
		case "served_ps":
			l.Has, l.ServedPerSecond = l.Has|policy.HasServed, v
		case "failed_ps":
			l.Has, l.FailedPerSecond = l.Has|policy.HasFailed, v
		}
	}
	return l
}
