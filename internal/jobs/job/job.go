// Package job holds the types of jobs: the specification that a client submits, the names of tasks, the states of a job
// and the outcomes of attempts.
//
// A job has stages, each with a number of equal tasks; a stage may depend on earlier ones. The stages run once, or in
// several repetitions, each due at its own time. One execution of a task on one worker is an attempt. The names on the
// wire are older than these terms and stay: an attempt's number is called execution there.
package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// ID names a job. It is chosen by the client: 16 hexadecimal digits.
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

// ErrInvalidTaskID is returned for a text that is no task's name.
var ErrInvalidTaskID = errors.New("task name")

// ParseTaskID reads a task's name from the wire. The error is ErrInvalidTaskID.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("%w %q: want ID.K.STEP.INDEX", ErrInvalidTaskID, text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return TaskID{}, fmt.Errorf("%w %q: %q is no count", ErrInvalidTaskID, text, part)
		}
		numbers[i] = number
	}
	return TaskID{ID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}

// Resources are what a task requests and what a worker offers.
type Resources struct {
	Processors   int64 `json:"processors" msgpack:"p"`      // thousandths of a core
	MemoryMB     int64 `json:"memoryRequestMb" msgpack:"m"` // megabytes
	Accelerators int64 `json:"accelerators" msgpack:"a"`
}

// Fits tells whether a request fits into these resources.
func (r Resources) Fits(request Resources) bool {
	return request.Processors <= r.Processors && request.MemoryMB <= r.MemoryMB && request.Accelerators <= r.Accelerators
}

// Add returns the sum.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.Processors + other.Processors, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Subtract returns the difference; any of its fields may be negative.
func (r Resources) Subtract(other Resources) Resources {
	return Resources{r.Processors - other.Processors, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Times returns a multiple.
func (r Resources) Times(factor int64) Resources {
	return Resources{r.Processors * factor, r.MemoryMB * factor, r.Accelerators * factor}
}

// FitCount is how many such requests fit in at once; a request for nothing fits math.MaxInt32 times.
func (r Resources) FitCount(request Resources) int64 {
	count := int64(math.MaxInt32)
	for _, pair := range [][2]int64{{r.Processors, request.Processors}, {r.MemoryMB, request.MemoryMB}, {r.Accelerators, request.Accelerators}} {
		if pair[1] > 0 {
			count = min(count, pair[0]/pair[1])
		}
	}
	return count
}

// Labels is a list of texts; a client may write one alone as a text.
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

// Stage is a number of equal tasks of a job. Absent fields are zero.
type Stage struct {
	Count               int `json:"count" msgpack:"n"` // of tasks
	Resources           `msgpack:"q"`
	EstimatedDurationMS int64  `json:"estimatedDurationMs" msgpack:"e,omitempty"` // of one task, by the client; milliseconds
	DependsOn           []int  `json:"dependsOn" msgpack:"d,omitempty"`           // numbers of earlier stages, which must be complete first
	Checkpoints         bool   `json:"checkpoints" msgpack:"c,omitempty"`         // a further attempt goes on from the last checkpoint
	GangScheduled       bool   `json:"gangScheduled" msgpack:"g,omitempty"`       // all tasks start together and end together
	SameRack            bool   `json:"sameRack" msgpack:"s,omitempty"`            // a gang wants all of its members on one rack
	Requirements        Labels `json:"requirements" msgpack:"l,omitempty"`        // labels that a worker must have
	Affinity            string `json:"affinity" msgpack:"f,omitempty"`            // the rack that holds the data
	AntiAffinity        int    `json:"antiAffinity" msgpack:"x,omitempty"`        // how many tasks of the stage one worker may run at once; 0 for any number
	AtLeastOnce         bool   `json:"atLeastOnce" msgpack:"o,omitempty"`         // several attempts of a task may run side by side
	LongRunning         bool   `json:"longRunning" msgpack:"r,omitempty"`         // its tasks never complete: each is started again
}

// Specification is a job as its client wrote it.
type Specification struct {
	Text        string  `json:"specification" msgpack:"t"`
	Stages      []Stage `json:"stages" msgpack:"s"`
	Repetitions int     `json:"repetitions" msgpack:"n,omitempty"`
	FirstRunMS  int64   `json:"firstRunMs" msgpack:"f,omitempty"` // milliseconds since 1970
	IntervalMS  int64   `json:"intervalMs" msgpack:"i,omitempty"`
}

// Limits of a specification.
const (
	maxTextBytes   = 64 << 10
	maxStages      = 1000
	maxTasks       = 100_000
	maxRepetitions = 100_000
)

// SpecificationError says what is wrong with a specification. Its text goes to the client.
type SpecificationError struct {
	Field   string // as the client names it: stages[2].count
	Problem string
}

// Error implements error.
func (e *SpecificationError) Error() string { return e.Field + ": " + e.Problem }

func invalid(field, problem string, values ...any) error {
	return &SpecificationError{Field: field, Problem: fmt.Sprintf(problem, values...)}
}

// ParseSpecification reads and validates a job's body. The error is that of the JSON decoder or a SpecificationError.
func ParseSpecification(body []byte) (Specification, error) {
	var s Specification
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("job: %w", err)
	}
	return s, s.Validate()
}

// Validate tells what is wrong with a specification: a SpecificationError, or nil.
func (s *Specification) Validate() error {
	if len(s.Text) > maxTextBytes {
		return invalid("specification", "%d bytes, at most %d", len(s.Text), maxTextBytes)
	}
	if len(s.Stages) == 0 || len(s.Stages) > maxStages {
		return invalid("stages", "%d, want 1 to %d", len(s.Stages), maxStages)
	}
	if s.Repetitions < 0 || s.Repetitions > maxRepetitions || s.IntervalMS < 0 {
		return invalid("repetitions", "%d every %d ms", s.Repetitions, s.IntervalMS)
	}
	tasks := 0
	for number, stage := range s.Stages {
		if stage.Count < 1 {
			return invalid(fmt.Sprintf("stages[%d].count", number), "%d, want 1 or more", stage.Count)
		}
		if tasks += stage.Count; tasks > maxTasks {
			return invalid("stages", "over %d tasks", maxTasks)
		}
		if stage.Processors < 0 || stage.MemoryMB < 0 || stage.Accelerators < 0 || stage.AntiAffinity < 0 {
			return invalid(fmt.Sprintf("stages[%d]", number), "a request below 0")
		}
		for _, earlier := range stage.DependsOn {
			if earlier < 0 || earlier >= number {
				return invalid(fmt.Sprintf("stages[%d].dependsOn", number), "%d is not an earlier stage", earlier)
			}
		}
	}
	return nil
}

// RepetitionCount is how many times the stages run: 1 for a job without repetitions.
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

// Outcome is how an attempt of a task ended, as workers report it.
type Outcome string

// The outcomes of an attempt.
const (
	OutcomeDone           Outcome = "done"    // the task is done
	OutcomeFailed         Outcome = "failed"  // counts as one of the attempts that the queue allows
	OutcomeStopped        Outcome = "stopped" // by a stop command
	OutcomeLeaseExpired   Outcome = "lapsed"  // the worker was not reached in time to renew the lease
	OutcomeGangBroken     Outcome = "broken"  // another member of its gang ended
	OutcomeGangIncomplete Outcome = "alone"   // the other members of its gang did not start in time
)
