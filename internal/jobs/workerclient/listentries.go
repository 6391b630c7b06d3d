package workerclient

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

var errMalformedEntry = errors.New("list entry is not an array of the expected types")

// runningEntry is an entry of the running list, written as [task, attempt number, checkpoint, percent].
type runningEntry struct {
	task      RunningTask
	taskIDErr error // the task ID could not be parsed
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *runningEntry) UnmarshalJSON(data []byte) error {
	r := newEntryReader(data)
	name := r.readString()
	e.task.AttemptNumber = r.readUint()
	e.task.Checkpoint = r.readString()
	e.task.Percent = r.readPercent()
	e.task.Task, e.taskIDErr = job.ParseTaskID(name)
	return r.err
}

// finishedEntry is an entry of the finished list, written as [completion number, task, attempt number, outcome, checkpoint].
type finishedEntry struct {
	task      FinishedTask
	taskIDErr error // the task ID could not be parsed
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *finishedEntry) UnmarshalJSON(data []byte) error {
	r := newEntryReader(data)
	e.task.CompletionNumber = r.readUint()
	name := r.readString()
	e.task.AttemptNumber = r.readUint()
	e.task.Outcome = job.Outcome(r.readString())
	e.task.Checkpoint = r.readString()
	e.task.Task, e.taskIDErr = job.ParseTaskID(name)
	return r.err
}

// entryReader reads the elements of a JSON array of strings and numbers. The array must be valid JSON. Elements that are null, or
// missing at the end, are read as zero values.
type entryReader struct {
	remaining []byte
	err       error // first error
}

func newEntryReader(data []byte) entryReader {
	inner, opened := bytes.CutPrefix(bytes.TrimSpace(data), []byte{'['})
	inner, ended := bytes.CutSuffix(inner, []byte{']'})
	if !opened || !ended {
		return entryReader{err: errMalformedEntry}
	}
	return entryReader{remaining: inner}
}

// nextElement removes the next element and returns it. It returns nil for null.
func (r *entryReader) nextElement() []byte {
	quoted := false
	end := 0
scan:
	for ; end < len(r.remaining); end++ {
		switch c := r.remaining[end]; {
		case c == '\\':
			end++
		case c == '"':
			quoted = !quoted
		case c == ',' && !quoted:
			break scan
		}
	}
	element := bytes.TrimSpace(r.remaining[:end])
	r.remaining = r.remaining[min(end+1, len(r.remaining)):]
	if string(element) == "null" {
		return nil
	}
	return element
}

func (r *entryReader) readString() string {
	element := r.nextElement()
	if len(element) == 0 {
		return ""
	}
	if element[0] != '"' {
		r.setError(errMalformedEntry)
		return ""
	}
	if bytes.IndexByte(element, '\\') < 0 {
		return string(element[1 : len(element)-1])
	}
	var text string
	r.setError(json.Unmarshal(element, &text))
	return text
}

func (r *entryReader) readUint() uint64 {
	element := r.nextElement()
	if len(element) == 0 {
		return 0
	}
	number, err := strconv.ParseUint(string(element), 10, 64)
	r.setError(err)
	return number
}

func (r *entryReader) readPercent() int {
	element := r.nextElement()
	if len(element) == 0 {
		return 0
	}
	number, err := strconv.ParseFloat(string(element), 64)
	r.setError(err)
	return int(number)
}

func (r *entryReader) setError(err error) {
	if r.err == nil {
		r.err = err
	}
}
