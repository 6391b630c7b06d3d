// Package job defines the types that describe jobs: the specification that a client submits, the IDs of jobs and tasks,
// resources, the states of a job and the outcomes of attempts.
//
// A job consists of stages. Each stage has a number of identical tasks and may depend on earlier stages. All stages run
// once or in several repetitions, each with its own due time. One execution of a task on one worker is an attempt.
//
// Some names on the wire predate these terms and are kept for compatibility. For example, an attempt number is called
// "execution" there.
package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// ID identifies a job. The client chooses it. It consists of 16 hexadecimal digits.
type ID string

// Valid reports whether the ID consists of 16 hexadecimal digits.
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

// TaskID identifies one task of a job by its repetition, stage and index, all counted from 0.
type TaskID struct {
	Job        ID  `msgpack:"j"`
	Repetition int `msgpack:"r"`
	Stage      int `msgpack:"s"`
	Index      int `msgpack:"i"`
}

// String returns the task ID in its wire format, JOB.REPETITION.STAGE.INDEX.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Repetition) + "." + strconv.Itoa(t.Stage) + "." + strconv.Itoa(t.Index)
}

// ErrInvalidTaskID is returned for a text that is not a valid task ID.
var ErrInvalidTaskID = errors.New("invalid task ID")

// ParseTaskID parses a task ID in its wire format. Its error wraps ErrInvalidTaskID.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("%w %q: want JOB.REPETITION.STAGE.INDEX", ErrInvalidTaskID, text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskID{}, fmt.Errorf("%w %q: %q is not a non-negative integer", ErrInvalidTaskID, text, part)
		}
		numbers[i] = number
	}
	return TaskID{ID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}

// Resources are the amounts that a task requests or a worker offers.
type Resources struct {
	Processors   int64 `json:"processors" msgpack:"p"`      // thousandths of a core
	MemoryMB     int64 `json:"memoryRequestMb" msgpack:"m"` // megabytes
	Accelerators int64 `json:"accelerators" msgpack:"a"`
}

// Fits reports whether a request fits into these resources.
func (r Resources) Fits(request Resources) bool {
	return request.Processors <= r.Processors && request.MemoryMB <= r.MemoryMB && request.Accelerators <= r.Accelerators
}

// Add returns the sum of both resources.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.Processors + other.Processors, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Subtract returns the difference of both resources. Any field of the result may be negative.
func (r Resources) Subtract(other Resources) Resources {
	return Resources{r.Processors - other.Processors, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Times returns the resources multiplied by a factor.
func (r Resources) Times(factor int64) Resources {
	return Resources{r.Processors * factor, r.MemoryMB * factor, r.Accelerators * factor}
}

// FitCount returns how many such requests fit into these resources at once. It is math.MaxInt32 for an empty request.
func (r Resources) FitCount(request Resources) int64 {
	count := int64(math.MaxInt32)
	for _, pair := range [][2]int64{{r.Processors, request.Processors}, {r.MemoryMB, request.MemoryMB}, {r.Accelerators, request.Accelerators}} {
		if pair[1] > 0 {
			count = min(count, pair[0]/pair[1])
		}
	}
	return count
}

// Labels is a list of label names. A client may write a single label as a string instead of a list.
type Labels []string

// UnmarshalJSON decodes a string or a list of strings. The empty string decodes to no labels.
func (l *Labels) UnmarshalJSON(data []byte) error {
	var label string
	if json.Unmarshal(data, &label) == nil {
		*l = nil
		if label != "" {
			*l = Labels{label}
		}
		return nil
	}
	var labels []string
	if err := json.Unmarshal(data, &labels); err != nil {
		return fmt.Errorf("labels: want a text or a list of texts: %w", err)
	}
	*l = labels
	return nil
}

// Stage is a group of identical tasks of a job. Fields that are absent in JSON are zero.
type Stage struct {
	Count               int `json:"count" msgpack:"n"` // number of tasks
	Resources           `msgpack:"q"`
	EstimatedDurationMS int64  `json:"estimatedDurationMs" msgpack:"e,omitempty"` // client's estimate for one task, milliseconds
	DependsOn           []int  `json:"dependsOn" msgpack:"d,omitempty"`           // numbers of the earlier stages that must be complete before this one begins
	Checkpoints         bool   `json:"checkpoints" msgpack:"c,omitempty"`         // a further attempt resumes from the last checkpoint
	GangScheduled       bool   `json:"gangScheduled" msgpack:"g,omitempty"`       // all tasks start together and end together
	SameRack            bool   `json:"sameRack" msgpack:"s,omitempty"`            // all members of the gang must run on one rack
	Requirements        Labels `json:"requirements" msgpack:"l,omitempty"`        // labels that a worker must have
	Affinity            string `json:"affinity" msgpack:"f,omitempty"`            // the rack that holds the data
	AntiAffinity        int    `json:"antiAffinity" msgpack:"x,omitempty"`        // maximum number of the stage's tasks that one worker runs at once; 0 for no limit
	AtLeastOnce         bool   `json:"atLeastOnce" msgpack:"o,omitempty"`         // several attempts of a task may run at the same time
	LongRunning         bool   `json:"longRunning" msgpack:"r,omitempty"`         // the tasks never complete: a task whose attempt ends is started again
}

// Specification is a job as submitted by its client.
type Specification struct {
	Text        string  `json:"specification" msgpack:"t"`
	Stages      []Stage `json:"stages" msgpack:"s"`
	Repetitions int     `json:"repetitions" msgpack:"n,omitempty"`
	FirstRunMS  int64   `json:"firstRunMs" msgpack:"f,omitempty"` // milliseconds since 1970
	IntervalMS  int64   `json:"intervalMs" msgpack:"i,omitempty"`
}

// Limits of a specification. maxTasks is the limit for the sum of all stages.
const (
	maxTextBytes   = 64 << 10
	maxStages      = 1000
	maxTasks       = 100_000
	maxRepetitions = 100_000
)

// SpecificationError describes an invalid field of a specification. Its text is sent to the client.
type SpecificationError struct {
	Field   string // name of the field in the client's JSON, such as stages[2].count
	Problem string
}

// Error implements error.
func (e *SpecificationError) Error() string { return e.Field + ": " + e.Problem }

func newSpecificationError(field, format string, values ...any) error {
	return &SpecificationError{Field: field, Problem: fmt.Sprintf(format, values...)}
}

// ParseSpecification decodes and validates the JSON body of a job. Its error wraps that of the JSON decoder or is a
// SpecificationError.
func ParseSpecification(body []byte) (Specification, error) {
	var s Specification
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("job: %w", err)
	}
	return s, s.Validate()
}

// Validate returns a SpecificationError for the first invalid field, or nil if the specification is valid.
func (s *Specification) Validate() error {
	if len(s.Text) > maxTextBytes {
		return newSpecificationError("specification", "%d bytes, at most %d", len(s.Text), maxTextBytes)
	}
	if len(s.Stages) == 0 || len(s.Stages) > maxStages {
		return newSpecificationError("stages", "%d, want 1 to %d", len(s.Stages), maxStages)
	}
	if s.Repetitions < 0 || s.Repetitions > maxRepetitions || s.IntervalMS < 0 {
		return newSpecificationError("repetitions", "%d every %d ms", s.Repetitions, s.IntervalMS)
	}
	tasks := 0
	for number, stage := range s.Stages {
		if stage.Count < 1 {
			return newSpecificationError(fmt.Sprintf("stages[%d].count", number), "%d, want 1 or more", stage.Count)
		}
		if tasks += stage.Count; tasks > maxTasks {
			return newSpecificationError("stages", "over %d tasks", maxTasks)
		}
		if stage.Processors < 0 || stage.MemoryMB < 0 || stage.Accelerators < 0 || stage.AntiAffinity < 0 {
			return newSpecificationError(fmt.Sprintf("stages[%d]", number), "a request below 0")
		}
		for _, earlier := range stage.DependsOn {
			if earlier < 0 || earlier >= number {
				return newSpecificationError(fmt.Sprintf("stages[%d].dependsOn", number), "%d is not an earlier stage", earlier)
			}
		}
	}
	return nil
}

// RepetitionCount returns how many times the stages run. It is 1 for a job without repetitions.
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

// Final reports whether the state is final: a job in a final state has ended.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Outcome is how an attempt of a task ended, as workers report it.
type Outcome string

// The outcomes of an attempt.
const (
	OutcomeDone           Outcome = "done"    // the task is complete
	OutcomeFailed         Outcome = "failed"  // the attempt failed; it counts against the queue's maximum number of attempts
	OutcomeStopped        Outcome = "stopped" // the attempt was stopped by a stop command
	OutcomeLeaseExpired   Outcome = "lapsed"  // the worker received no lease renewal in time
	OutcomeGangBroken     Outcome = "broken"  // another member of the gang ended
	OutcomeGangIncomplete Outcome = "alone"   // the other members of the gang did not start in time
)
