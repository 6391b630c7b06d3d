// Package jobreport holds the internal calls by which operators read and steer the scheduler of a service's jobs, and the
// reports that answer them. The types are encoded as MessagePack between nodes and as JSON for operators; the names there
// are older than those of the fields, and stay.
package jobreport

import (
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/transport"
)

// Internal calls. Only the leader of a group answers them; any other node rejects them as rpcerror.NotExecuted. All are
// idempotent: a drain that is set or ended again stays as it is.
var (
	SummaryCall = transport.NewIdempotent[SummaryRequest, SummaryReply]("/jobs/report/summary")
	WorkersCall = transport.NewIdempotent[WorkersRequest, WorkersReply]("/jobs/report/searchers")
	JobsCall    = transport.NewIdempotent[JobsRequest, JobsReply]("/jobs/report/jobs")
	JobCall     = transport.NewIdempotent[JobRequest, JobReply]("/jobs/report/job")
	WhyCall     = transport.NewIdempotent[WhyRequest, WhyReply]("/jobs/report/why")
	DrainCall   = transport.NewIdempotent[DrainRequest, DrainReply]("/jobs/report/drain")
)

// Summary counts the jobs and workers of one group.
type Summary struct {
	Queued           int `msgpack:"q" json:"queued"`             // jobs without a task assigned so far
	Running          int `msgpack:"r" json:"running"`            // jobs with one
	Ended            int `msgpack:"e" json:"ended"`              // jobs whose final state is still kept
	WaitingTasks     int `msgpack:"w" json:"waitingTasks"`       // tasks that wait for a start
	Attempts         int `msgpack:"x" json:"runs"`               // attempts that may be under way
	Workers          int `msgpack:"s" json:"searchers"`          // known incarnations of workers
	ReachableWorkers int `msgpack:"h" json:"reachableSearchers"` // of those, the ones that answer
}

// WorkerState says whether a worker takes starts.
type WorkerState string

// The states of a worker; the first that applies is reported.
const (
	WorkerUnreachable      WorkerState = "unreachable"      // the last call was not answered
	WorkerDraining         WorkerState = "draining"         // the platform is about to take it away
	WorkerOperatorDraining WorkerState = "operatorDraining" // an operator drains it
	WorkerNotFenced        WorkerState = "notFenced"        // it has not confirmed this leader's fencing token yet
	WorkerBackoff          WorkerState = "resting"          // no starts for a moment after it rejected one or an attempt stalled
	WorkerReady            WorkerState = "ready"
)

// Worker is one incarnation of a worker as the leader of its service's jobs sees it.
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
	DrainVersion      uint64        `msgpack:"q" json:"drainVersion"`   // number of operators' changes to its drain that were taken
	Window            int           `msgpack:"w" json:"window"`         // attempts that it may have at the same time
	LatencyMS         float64       `msgpack:"m" json:"latencyMs"`      // smoothed duration of its attempts; 0 before the first
	FailureRate       float64       `msgpack:"f" json:"faultShare"`     // smoothed share of its attempts that fail, 0 to 1
	Attempts          int           `msgpack:"r" json:"runs"`           // that may be under way there
	WaitingTasks      int           `msgpack:"b" json:"waitingTasks"`   // that are bound to this worker
	Orphans           int           `msgpack:"y" json:"unwantedRuns"`   // attempts that no job wants, being stopped
	Used              job.Resources `msgpack:"u" json:"used"`           // by attempts
	Free              job.Resources `msgpack:"e" json:"free"`           // may be below 0 at a worker that takes more than it has
	Capacity          job.Resources `msgpack:"c" json:"capacity"`       // of the whole worker
	RemainingMS       int64         `msgpack:"n" json:"remainingMs"`    // least time left to one that the platform drains
	MissedInventories int           `msgpack:"g" json:"missingInLists"` // complete lists of the platform in a row without it
}

// TaskCounts counts the tasks of a stage or a job by state.
type TaskCounts struct {
	Blocked int `msgpack:"b" json:"blocked"` // an earlier stage is not complete
	Waiting int `msgpack:"w" json:"waiting"` // to be started
	Running int `msgpack:"r" json:"running"` // assigned to a worker
	Done    int `msgpack:"d" json:"done"`
}

// Add adds the counts of another set of tasks.
func (c *TaskCounts) Add(other TaskCounts) {
	c.Blocked += other.Blocked
	c.Waiting += other.Waiting
	c.Running += other.Running
	c.Done += other.Done
}

// Job is one job in a list.
type Job struct {
	ID       job.ID     `msgpack:"i" json:"id"`
	Service  string     `msgpack:"s" json:"service"`
	Route    string     `msgpack:"r" json:"route,omitempty"` // absent for jobs that have ended
	Priority int        `msgpack:"p" json:"priority"`
	State    job.State  `msgpack:"t" json:"state"`
	Arrival  uint64     `msgpack:"a" json:"arrival,omitzero"` // position in the order of arrival of the service's jobs
	Tasks    TaskCounts `msgpack:"k" json:"tasks"`            // of the repetitions that have begun and are not complete
	EndedMS  int64      `msgpack:"e" json:"endedMs,omitzero"` // milliseconds since 1970
}

// Attempt is one attempt of a task that may be under way.
type Attempt struct {
	Task      string `msgpack:"t" json:"task"`
	Number    uint64 `msgpack:"x" json:"execution"`
	Worker    string `msgpack:"s" json:"searcher"`
	AgeMS     int64  `msgpack:"a" json:"ageMs"` // since it was assigned, or since this leader took over
	Confirmed bool   `msgpack:"c" json:"confirmed"`
	Stopping  bool   `msgpack:"o" json:"stopping"`
	Percent   int    `msgpack:"p" json:"percent"`
}

// Stage is one stage of one repetition.
type Stage struct {
	Repetition int           `msgpack:"r" json:"repetition"`
	Stage      int           `msgpack:"s" json:"stage"`
	Gang       bool          `msgpack:"g" json:"gang"`
	Request    job.Resources `msgpack:"q" json:"request"` // of one task
	Tasks      TaskCounts    `msgpack:"t" json:"tasks"`
}

// Failure is a task with failed attempts.
type Failure struct {
	Task     string   `msgpack:"t" json:"task"`
	Attempts []uint64 `msgpack:"a" json:"attempts"` // their numbers
}

// JobDetail is all that is known of one job.
type JobDetail struct {
	Job
	Specification       string    `msgpack:"f" json:"specification,omitempty"`
	MaxAttempts         int       `msgpack:"m" json:"maxAttempts,omitzero"`
	Repetitions         int       `msgpack:"n" json:"repetitions"`         // how many times its stages run
	CompleteRepetitions int       `msgpack:"c" json:"completeRepetitions"` // of those, the complete ones
	NextDueMS           int64     `msgpack:"d" json:"nextDueMs,omitzero"`  // when the next repetition begins, milliseconds since 1970
	Stages              []Stage   `msgpack:"l" json:"stages,omitempty"`
	Attempts            []Attempt `msgpack:"u" json:"runs,omitempty"`
	Failures            []Failure `msgpack:"b" json:"failures,omitempty"`
	Truncated           bool      `msgpack:"y" json:"truncated,omitzero"` // the lists end at their limits
}
