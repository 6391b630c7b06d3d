package benchadapter

import (
	"bytes"
	"encoding/base64"
	"strconv"
	"unsafe"

	"puffinlink.example/puffinlink/policy"
)

// fields reads the space-separated values of one line in order. It records only the first error; after an error, methods
// still return a value, which must not be used.
type fields struct {
	rest []byte
	err  error
}

// fail records an error unless one is recorded already.
func (f *fields) fail(name, expected string, found []byte) {
	if f.err == nil {
		f.err = malformed("%s: expected %s, found %q", name, expected, found)
	}
}

// next returns the next value; name is the name of the value in errors.
func (f *fields) next(name string) []byte {
	if len(f.rest) == 0 {
		f.fail(name, "a value", nil)
		return nil
	}
	value, rest, _ := bytes.Cut(f.rest, []byte{' '})
	f.rest = rest
	return value
}

// expectEnd returns the recorded error, or an error if the line has further values.
func (f *fields) expectEnd() error {
	if f.err == nil && len(f.rest) > 0 {
		f.fail("line end", "no further value", f.rest)
	}
	return f.err
}

// unsafeString returns a value as a string without copying it. The string is valid only until the line buffer is reused, so
// callers must not keep it.
func unsafeString(value []byte) string { return unsafe.String(unsafe.SliceData(value), len(value)) }

func (f *fields) integer(name string) int64 {
	value := f.next(name)
	parsed, err := strconv.ParseInt(unsafeString(value), 10, 64)
	if err != nil {
		f.fail(name, "an integer", value)
	}
	return parsed
}

func (f *fields) unsigned(name string) uint64 {
	value := f.next(name)
	parsed, err := strconv.ParseUint(unsafeString(value), 10, 64)
	if err != nil {
		f.fail(name, "an id", value)
	}
	return parsed
}

func (f *fields) backend() policy.BackendID {
	value := f.next("searcher")
	parsed, err := strconv.ParseUint(unsafeString(value), 10, 32)
	if err != nil {
		f.fail("searcher", "a number below 2^32", value)
	}
	return policy.BackendID(parsed)
}

func (f *fields) parse(name string, value []byte) float64 {
	parsed, err := strconv.ParseFloat(unsafeString(value), 64)
	if err != nil || parsed != parsed {
		f.fail(name, "a number", value)
	}
	return parsed
}

func (f *fields) number(name string) float64 { return f.parse(name, f.next(name)) }

// optional reads a number that may be absent, which is written as "-". An absent number is returned as 0.
func (f *fields) optional(name string) float64 {
	value := f.next(name)
	if len(value) == 1 && value[0] == '-' {
		return 0
	}
	return f.parse(name, value)
}

// hex reads a key in hexadecimal digits. It returns false if the key is absent, which is written as "-".
func (f *fields) hex(name string) (uint64, bool) {
	value := f.next(name)
	if len(value) == 1 && value[0] == '-' {
		return 0, false
	}
	parsed, err := strconv.ParseUint(unsafeString(value), 16, 64)
	if err != nil {
		f.fail(name, "16 hex digits", value)
	}
	return parsed, true
}

// bytes reads a value in base64. It returns nil if the value is absent, which is written as "-".
func (f *fields) bytes(name string) []byte {
	value := f.next(name)
	if len(value) == 1 && value[0] == '-' {
		return nil
	}
	parsed, err := base64.StdEncoding.DecodeString(string(value))
	if err != nil {
		f.fail(name, "base64", value)
	}
	return parsed
}

func (f *fields) outcome() policy.Outcome {
	value := f.next("status")
	o, known := outcomes[string(value)]
	if !known {
		f.fail("status", "an outcome", value)
	}
	return o
}

// load reads a backend's load report. It ignores unknown names, because deployments may report additional ones.
func (f *fields) load() (report policy.Load) {
	remaining := f.next("usage")
	if len(remaining) == 1 && remaining[0] == '-' {
		return report
	}
	for len(remaining) > 0 {
		var pair []byte
		pair, remaining, _ = bytes.Cut(remaining, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			f.fail("usage", "name:value pairs", pair)
			return report
		}
		number := f.parse("usage", value)
		switch string(name) {
		case "busy_reqs":
			report.Has, report.InFlight = report.Has|policy.HasInFlight, number
		case "pending":
			report.Has, report.Queued = report.Has|policy.HasQueued, number
		case "cpu_share":
			report.Has, report.Utilization = report.Has|policy.HasUtilization, number
		case "svc_ms":
			report.Has, report.ServiceTimeSeconds = report.Has|policy.HasServiceTime, number/1000
		case "served_ps":
			report.Has, report.ServedPerSecond = report.Has|policy.HasServed, number
		case "failed_ps":
			report.Has, report.FailedPerSecond = report.Has|policy.HasFailed, number
		}
	}
	return report
}
