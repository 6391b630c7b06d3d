// Package job holds the types of jobs as clients hand them in and as the system refers to their tasks.
package job

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// ID is chosen by the client: 16 hexadecimal digits.
type ID string

// Valid tells whether the ID has the form that clients must use.
func (id ID) Valid() bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return false
		}
	}
	return true
}

// TaskID names one task of a job: a repetition, a stage and an index, all counted from 0.
type TaskID struct {
	Job        ID  `msgpack:"j"`
	Repetition int `msgpack:"r"`
	Stage      int `msgpack:"s"`
	Index      int `msgpack:"i"`
}

// String is the task's name on the wire: ID.K.STEP.INDEX.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Repetition) + "." + strconv.Itoa(t.Stage) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads a task's name from the wire.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %q: want ID.K.STEP.INDEX", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskID{}, fmt.Errorf("task name %q: %q is no count", text, part)
		}
		numbers[i] = number
	}
	return TaskID{ID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}

// Resources are what a task asks for and what a worker offers.
type Resources struct {
	Processors   int64 `json:"processors" msgpack:"p"`      // thousandths of a core
	MemoryMB     int64 `json:"memoryRequestMb" msgpack:"m"` // megabytes
	Accelerators int64 `json:"accelerators" msgpack:"a"`
}

// Fits tells whether a request fits into what is left here.
func (r Resources) Fits(request Resources) bool {
	return request.Processors <= r.Processors && request.MemoryMB <= r.MemoryMB && request.Accelerators <= r.Accelerators
}

// Add returns the sum.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.Processors + other.Processors, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Subtract returns the difference; parts of it may be negative.
func (r Resources) Subtract(other Resources) Resources {
	return Resources{r.Processors - other.Processors, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// RepetitionCount returns a multiple.
func (r Resources) Times(factor int64) Resources {
	return Resources{r.Processors * factor, r.MemoryMB * factor, r.Accelerators * factor}
}

// FitCount is how many such requests fit in at once.
func (r Resources) FitCount(request Resources) int64 {
	count := int64(math.MaxInt32)
	for _, pair := range [][2]int64{{r.Processors, request.Processors}, {r.MemoryMB, request.MemoryMB}, {r.Accelerators, request.Accelerators}} {
		if pair[1] > 0 {
			count = min(count, pair[0]/pair[1])
		}
	}
	return count
}

// Labels is a list that is written as a text where there is only one.
type Labels []string

// UnmarshalJSON reads a text or a list of texts.
func (l *Labels) UnmarshalJSON(data []byte) error {
	var one string
	if json.Unmarshal(data, &one) == nil {
		*l = nil
		if one != "" {
			*l = Labels{one}
		}
		return nil
	}
	var many []string
	if err := json.Unmarshal(data, &many); err != nil {
		return fmt.Errorf("labels: want a text or a list of texts: %w", err)
	}
	*l = many
	return nil
}

// Stage is one step of a job. Absent fields are zero.
type Stage struct {
	Count               int `json:"count" msgpack:"n"`
	Resources           `msgpack:"q"`
	EstimatedDurationMS int64  `json:"estimatedDurationMs" msgpack:"e,omitempty"`
	DependsOn           []int  `json:"dependsOn" msgpack:"d,omitempty"`
	Checkpoints         bool   `json:"checkpoints" msgpack:"c,omitempty"`
	GangScheduled       bool   `json:"gangScheduled" msgpack:"g,omitempty"`
	SameRack            bool   `json:"sameRack" msgpack:"s,omitempty"`
	Requirements        Labels `json:"requirements" msgpack:"l,omitempty"`
	Affinity            string `json:"affinity" msgpack:"f,omitempty"` // the rack that holds the data
	AntiAffinity        int    `json:"antiAffinity" msgpack:"x,omitempty"`
	AtLeastOnce         bool   `json:"atLeastOnce" msgpack:"o,omitempty"`
	LongRunning         bool   `json:"longRunning" msgpack:"r,omitempty"`
}

// Specification is a job as its client wrote it.
type Specification struct {
	Text        string  `json:"specification" msgpack:"t"`
	Stages      []Stage `json:"stages" msgpack:"s"`
	Repetitions int     `json:"repetitions" msgpack:"n,omitempty"`
	FirstRunMS  int64   `json:"firstRunMs" msgpack:"f,omitempty"` // milliseconds since 1970
	IntervalMS  int64   `json:"intervalMs" msgpack:"i,omitempty"`
}

// Limits that a specification must keep.
const (
	maxTextBytes   = 64 << 10
	maxStages      = 1000
	maxTasks       = 100_000
	maxRepetitions = 100_000
)

// ParseSpecification reads and checks a job's body.
func ParseSpecification(body []byte) (Specification, error) {
	var s Specification
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("job: %w", err)
	}
	return s, s.Validate()
}

// Validate tells what is wrong with a specification.
func (s *Specification) Validate() error {
	if len(s.Text) > maxTextBytes {
		return fmt.Errorf("specification: %d bytes, at most %d", len(s.Text), maxTextBytes)
	}
	if len(s.Stages) == 0 || len(s.Stages) > maxStages {
		return fmt.Errorf("stages: %d, want 1 to %d", len(s.Stages), maxStages)
	}
	if s.Repetitions < 0 || s.Repetitions > maxRepetitions || s.IntervalMS < 0 {
		return fmt.Errorf("repetitions: %d every %d ms", s.Repetitions, s.IntervalMS)
	}
	tasks := 0
	for number, stage := range s.Stages {
		if stage.Count < 1 {
			return fmt.Errorf("stages[%d].count: %d, want 1 or more", number, stage.Count)
		}
		if tasks += stage.Count; tasks > maxTasks {
			return fmt.Errorf("stages: over %d tasks", maxTasks)
		}
		if stage.Processors < 0 || stage.MemoryMB < 0 || stage.Accelerators < 0 || stage.AntiAffinity < 0 {
			return fmt.Errorf("stages[%d]: a request below 0", number)
		}
		for _, earlier := range stage.DependsOn {
			if earlier < 0 || earlier >= number {
				return fmt.Errorf("stages[%d].dependsOn: %d is not an earlier stage", number, earlier)
			}
		}
	}
	return nil
}

// RepetitionCount is how often the stages run.
func (s *Specification) RepetitionCount() int { return max(1, s.Repetitions) }

// State is a job's state as clients see it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final tells whether the state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Outcome a run of a task ended, as workers list it.
type Outcome string

// The endings of a run.
const (
	OutcomeDone           Outcome = "done"
	OutcomeFailed         Outcome = "failed"
	OutcomeStopped        Outcome = "stopped"
	OutcomeLeaseExpired   Outcome = "lapsed"
	OutcomeGangBroken     Outcome = "broken"
	OutcomeGangIncomplete Outcome = "alone"
)
