package workerclient

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

var errEntryShape = errors.New("list entry of another shape")

// runningEntry is written as [task, run, saved, percent].
type runningEntry struct {
	task    RunningTask
	nameErr error // the task's name
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

// finishedEntry is written as [N, task, run, how, saved].
type finishedEntry struct {
	task    FinishedTask
	nameErr error // the task's name
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
	rest []byte
	err  error // the first one
}

func newEntryReader(data []byte) entryReader {
	inner, opened := bytes.CutPrefix(bytes.TrimSpace(data), []byte{'['})
	inner, ended := bytes.CutSuffix(inner, []byte{']'})
	if !opened || !ended {
		return entryReader{err: errEntryShape}
	}
	return entryReader{rest: inner}
}

// nextCommand cuts off one element; it is empty for null.
func (r *entryReader) next() []byte {
	quoted := false
	end := 0
	for ; end < len(r.rest); end++ {
		c := r.rest[end]
		if c == '\\' {
			end++
		} else if c == '"' {
			quoted = !quoted
		} else if c == ',' && !quoted {
			break
		}
	}
	element := bytes.TrimSpace(r.rest[:end])
	r.rest = r.rest[min(end+1, len(r.rest)):]
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
