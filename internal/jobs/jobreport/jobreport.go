// Package jobreport defines the internal calls by which operators inspect and control the scheduler of a service's jobs,
// and the reports that these calls return.
//
// The types are encoded as MessagePack between nodes and as JSON for operators. Some encoded names predate the names of the
// Go fields and are kept for compatibility.
package jobreport

import (
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/transport"
)

// Internal calls. Only the leader of a group answers them. Any other node rejects them as rpcerror.NotExecuted. All calls
// are idempotent: repeating a drain request does not change the drain again.
var (
	SummaryCall = transport.NewIdempotent[SummaryRequest, SummaryReply]("/jobs/report/summary")
	WorkersCall = transport.NewIdempotent[WorkersRequest, WorkersReply]("/jobs/report/searchers")
	JobsCall    = transport.NewIdempotent[JobsRequest, JobsReply]("/jobs/report/jobs")
	JobCall     = transport.NewIdempotent[JobRequest, JobReply]("/jobs/report/job")
	ExplainCall = transport.NewIdempotent[ExplainRequest, ExplainReply]("/jobs/report/why")
	DrainCall   = transport.NewIdempotent[DrainRequest, DrainReply]("/jobs/report/drain")
)

// Summary counts the jobs and workers of one group.
type Summary struct {
	Queued           int `msgpack:"q" json:"queued"`             // jobs of which no task has been assigned yet
	Running          int `msgpack:"r" json:"running"`            // jobs of which at least one task has been assigned
	Ended            int `msgpack:"e" json:"ended"`              // ended jobs whose final state is still kept
	WaitingTasks     int `msgpack:"w" json:"waitingTasks"`       // tasks to be started
	Attempts         int `msgpack:"x" json:"runs"`               // attempts that may be under way
	Workers          int `msgpack:"s" json:"searchers"`          // known incarnations of workers
	ReachableWorkers int `msgpack:"h" json:"reachableSearchers"` // workers that answer calls
}

// WorkerState identifies whether a worker accepts starts, and if not, why.
type WorkerState string

// The states of a worker. The first state that applies is reported.
const (
	WorkerUnreachable      WorkerState = "unreachable"      // the worker did not answer the last call
	WorkerDraining         WorkerState = "draining"         // the platform is about to remove the worker
	WorkerOperatorDraining WorkerState = "operatorDraining" // an operator drains the worker
	WorkerNotFenced        WorkerState = "notFenced"        // the worker has not confirmed this leader's fencing token yet
	WorkerBackoff          WorkerState = "resting"          // the worker gets no starts for a short time, because it rejected a start or an attempt stalled there
	WorkerReady            WorkerState = "ready"
)

// Worker describes one incarnation of a worker from the point of view of the leader that schedules its service's jobs.
type Worker struct {
	ID                string        `msgpack:"i" json:"id"`
	Service           string        `msgpack:"s" json:"service"`
	Address           string        `msgpack:"a" json:"address"`
	Zone              string        `msgpack:"z" json:"zone"`
	Version           string        `msgpack:"v" json:"version"`
	Rack              string        `msgpack:"k" json:"rack"`
	Labels            []string      `msgpack:"l" json:"labels"`
	State             WorkerState   `msgpack:"t" json:"state"`
	Reachable         bool          `msgpack:"h" json:"reachable"`
	Draining          bool          `msgpack:"d" json:"draining"`
	OperatorDraining  bool          `msgpack:"o" json:"operatorDraining"`
	DrainVersion      uint64        `msgpack:"q" json:"drainVersion"`   // number of operators' changes to the worker's drain that were applied
	Window            int           `msgpack:"w" json:"window"`         // limit on the worker's unproven attempts at the same time
	LatencyMS         float64       `msgpack:"m" json:"latencyMs"`      // smoothed duration of the worker's attempts; 0 before the first
	FailureRate       float64       `msgpack:"f" json:"faultShare"`     // smoothed share of the worker's attempts that fail, 0 to 1
	Attempts          int           `msgpack:"r" json:"runs"`           // number of attempts that may be under way at the worker
	WaitingTasks      int           `msgpack:"b" json:"waitingTasks"`   // number of waiting tasks that are bound to the worker
	Orphans           int           `msgpack:"y" json:"unwantedRuns"`   // number of attempts that belong to no job; they are being stopped
	Used              job.Resources `msgpack:"u" json:"used"`           // resources requested by attempts
	Free              job.Resources `msgpack:"e" json:"free"`           // Capacity minus Used; negative if the worker runs more than its capacity
	Capacity          job.Resources `msgpack:"c" json:"capacity"`       // total capacity of the worker
	RemainingMS       int64         `msgpack:"n" json:"remainingMs"`    // minimum time until the platform removes a draining worker, milliseconds
	MissedInventories int           `msgpack:"g" json:"missingInLists"` // number of consecutive complete inventories of the platform that do not list the worker
}

// TaskCounts counts the tasks of a stage or a job by state.
type TaskCounts struct {
	Blocked int `msgpack:"b" json:"blocked"` // tasks of stages that depend on an incomplete stage
	Waiting int `msgpack:"w" json:"waiting"` // tasks to be started
	Running int `msgpack:"r" json:"running"` // tasks that are assigned to a worker
	Done    int `msgpack:"d" json:"done"`
}

// Add adds the counts of another set of tasks.
func (c *TaskCounts) Add(other TaskCounts) {
	c.Blocked += other.Blocked
	c.Waiting += other.Waiting
	c.Running += other.Running
	c.Done += other.Done
}

// Job is one entry of a list of jobs.
type Job struct {
	ID       job.ID     `msgpack:"i" json:"id"`
	Service  string     `msgpack:"s" json:"service"`
	Route    string     `msgpack:"r" json:"route,omitempty"` // absent for jobs that have ended
	Priority int        `msgpack:"p" json:"priority"`
	State    job.State  `msgpack:"t" json:"state"`
	Arrival  uint64     `msgpack:"a" json:"arrival,omitzero"` // arrival number: position in the order in which the service's jobs were submitted
	Tasks    TaskCounts `msgpack:"k" json:"tasks"`            // tasks of the repetitions that have begun and are not complete
	EndedMS  int64      `msgpack:"e" json:"endedMs,omitzero"` // milliseconds since 1970
}

// Attempt is one attempt of a task that may be under way.
type Attempt struct {
	Task      string `msgpack:"t" json:"task"`
	Number    uint64 `msgpack:"x" json:"execution"`
	Worker    string `msgpack:"s" json:"searcher"`
	AgeMS     int64  `msgpack:"a" json:"ageMs"` // time since the attempt was assigned or since this leader took over, whichever is shorter; milliseconds
	Confirmed bool   `msgpack:"c" json:"confirmed"`
	Stopping  bool   `msgpack:"o" json:"stopping"`
	Percent   int    `msgpack:"p" json:"percent"`
}

// Stage is one stage of one repetition.
type Stage struct {
	Repetition int           `msgpack:"r" json:"repetition"`
	Stage      int           `msgpack:"s" json:"stage"`
	Gang       bool          `msgpack:"g" json:"gang"`
	Request    job.Resources `msgpack:"q" json:"request"` // resources that one task requests
	Tasks      TaskCounts    `msgpack:"t" json:"tasks"`
}

// Failure is a task with failed attempts.
type Failure struct {
	Task     string   `msgpack:"t" json:"task"`
	Attempts []uint64 `msgpack:"a" json:"attempts"` // numbers of the failed attempts
}

// JobDetail is the detailed report of one job.
type JobDetail struct {
	Job
	Specification       string    `msgpack:"f" json:"specification,omitempty"`
	MaxAttempts         int       `msgpack:"m" json:"maxAttempts,omitzero"`
	Repetitions         int       `msgpack:"n" json:"repetitions"`         // number of times that the stages run
	CompleteRepetitions int       `msgpack:"c" json:"completeRepetitions"` // number of complete repetitions
	NextDueMS           int64     `msgpack:"d" json:"nextDueMs,omitzero"`  // when the next repetition is due, milliseconds since 1970; 0 if none is left
	Stages              []Stage   `msgpack:"l" json:"stages,omitempty"`
	Attempts            []Attempt `msgpack:"u" json:"runs,omitempty"`
	Failures            []Failure `msgpack:"b" json:"failures,omitempty"`
	Truncated           bool      `msgpack:"y" json:"truncated,omitzero"` // at least one list was cut off at its limit
}
