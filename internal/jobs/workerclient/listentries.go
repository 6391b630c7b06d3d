package workerclient

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

var errEntryShape = errors.New("list entry is not an array of the expected types")

// runningEntry is an entry of the running list, written as [task, attempt number, checkpoint, percent].
type runningEntry struct {
	task    RunningTask
	nameErr error // the name of the task could not be read
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *runningEntry) UnmarshalJSON(data []byte) error {
	r := newEntryReader(data)
	name := r.text()
	e.task.AttemptNumber = r.count()
	e.task.Checkpoint = r.text()
	e.task.Percent = r.percent()
	e.task.Task, e.nameErr = job.ParseTaskID(name)
	return r.err
}

// finishedEntry is an entry of the finished list, written as [completion number, task, attempt number, outcome, checkpoint].
type finishedEntry struct {
	task    FinishedTask
	nameErr error // the name of the task could not be read
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *finishedEntry) UnmarshalJSON(data []byte) error {
	r := newEntryReader(data)
	e.task.CompletionNumber = r.count()
	name := r.text()
	e.task.AttemptNumber = r.count()
	e.task.Outcome = job.Outcome(r.text())
	e.task.Checkpoint = r.text()
	e.task.Task, e.nameErr = job.ParseTaskID(name)
	return r.err
}

// entryReader reads a list of texts and numbers that is known to be valid JSON, one element after another. Elements that
// are null, or missing at the end, are read as zero.
type entryReader struct {
	remaining []byte
	err       error // the first one
}

func newEntryReader(data []byte) entryReader {
	inner, opened := bytes.CutPrefix(bytes.TrimSpace(data), []byte{'['})
	inner, ended := bytes.CutSuffix(inner, []byte{']'})
	if !opened || !ended {
		return entryReader{err: errEntryShape}
	}
	return entryReader{remaining: inner}
}

// next cuts off one element; it is empty for null.
func (r *entryReader) next() []byte {
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

func (r *entryReader) text() string {
	element := r.next()
	if len(element) == 0 {
		return ""
	}
	if element[0] != '"' {
		r.fail(errEntryShape)
		return ""
	}
	if bytes.IndexByte(element, '\\') < 0 {
		return string(element[1 : len(element)-1])
	}
	var text string
	r.fail(json.Unmarshal(element, &text))
	return text
}

func (r *entryReader) count() uint64 {
	element := r.next()
	if len(element) == 0 {
		return 0
	}
	number, err := strconv.ParseUint(string(element), 10, 64)
	r.fail(err)
	return number
}

func (r *entryReader) percent() int {
	element := r.next()
	if len(element) == 0 {
		return 0
	}
	number, err := strconv.ParseFloat(string(element), 64)
	r.fail(err)
	return int(number)
}

func (r *entryReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}
