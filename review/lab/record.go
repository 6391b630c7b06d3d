package lab

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// Record collects what was sent, answered and run, with the time since its start.
type Record struct {
	start time.Time

	mutex sync.Mutex
	lines []recordLine
}

type recordLine struct {
	at   time.Time
	text string
}

// NewRecord returns an empty record that starts now.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Add adds a line for the present time.
func (r *Record) Add(format string, arguments ...any) { r.addAt(time.Now(), format, arguments...) }

func (r *Record) addAt(at time.Time, format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines = append(r.lines, recordLine{at, fmt.Sprintf(format, arguments...)})
}

// AddRuns adds a line for each start and each end of a run at the searchers.
func (r *Record) AddRuns(runs []Run) {
	for _, run := range runs {
		r.addAt(run.StartedAt, "%s runs %v, execution %d, fencingToken %d, checkpointed %q", run.Searcher, run.Task, run.Execution, run.FencingToken, run.Checkpointed)
		if !run.EndedAt.IsZero() {
			r.addAt(run.EndedAt, "%s ends %v, execution %d: %s", run.Searcher, run.Task, run.Execution, run.End)
		}
	}
}

// Write writes the lines in order of time to a file.
func (r *Record) Write(path string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	slices.SortStableFunc(r.lines, func(a, b recordLine) int { return a.at.Compare(b.at) })
	var text bytes.Buffer
	for _, line := range r.lines {
		fmt.Fprintf(&text, "%8.3f  %s\n", line.at.Sub(r.start).Seconds(), line.text)
	}
	return os.WriteFile(path, text.Bytes(), fileMode)
}
