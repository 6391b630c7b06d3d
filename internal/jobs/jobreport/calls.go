package jobreport

import "puffinlink.example/puffinlink/internal/jobs/job"

// Limits of a list of jobs.
const (
	DefaultJobLimit = 100  // number of jobs if the operator gives no limit
	MaxJobLimit     = 1000 // largest permitted limit
)

// SummaryRequest requests the Summary of a group.
type SummaryRequest struct {
	Group string `msgpack:"g"`
}

// SummaryReply is the reply to a SummaryRequest.
type SummaryReply struct {
	Summary Summary `msgpack:"s"`
}

// WorkersRequest requests the workers of a group's service.
type WorkersRequest struct {
	Group string `msgpack:"g"`
}

// WorkersReply is the reply to a WorkersRequest. The workers are sorted by ID.
type WorkersReply struct {
	Workers []Worker `msgpack:"s"`
}

// JobsRequest requests the newest jobs of a group.
type JobsRequest struct {
	Group string    `msgpack:"g"`
	State job.State `msgpack:"s"` // only jobs in this state; empty for all states
	Limit int       `msgpack:"l"` // 1 to MaxJobLimit
}

// JobsReply is the reply to a JobsRequest.
type JobsReply struct {
	Jobs  []Job `msgpack:"j"`
	Total int   `msgpack:"t"` // number of matching jobs, listed or not
}

// JobRequest requests one job.
type JobRequest struct {
	Group string `msgpack:"g"`
	ID    job.ID `msgpack:"i"`
}

// JobReply is the reply to a JobRequest.
type JobReply struct {
	Known bool      `msgpack:"k"`
	Job   JobDetail `msgpack:"j"`
}

// ExplainRequest requests an explanation of why a job's tasks wait.
type ExplainRequest struct {
	Group string `msgpack:"g"`
	ID    job.ID `msgpack:"i"`
}

// ExplainReply is the reply to an ExplainRequest.
type ExplainReply struct {
	Known       bool        `msgpack:"k"`
	Explanation Explanation `msgpack:"w"`
}

// DrainRequest requests to drain or undrain a worker on behalf of an operator.
type DrainRequest struct {
	Group    string `msgpack:"g"`
	Worker   string `msgpack:"s"`
	Draining bool   `msgpack:"d"`
	// BaseVersion is the drain version that the change is based on. If it is nil, the change applies to any version.
	BaseVersion *uint64 `msgpack:"v,omitempty"`
}

// DrainOutcome is the result of a request to drain or undrain a worker.
type DrainOutcome int

// The outcomes of a DrainRequest. A request without a version is always applied. DrainApplied must be 0, because that is
// what a leader of an earlier release answers: its reply has no outcome.
const (
	DrainApplied       DrainOutcome = iota // the change was applied, by this call or by an earlier one that requested the same
	DrainSuperseded                        // a different change was applied to the base version; this one will never be applied
	DrainIndeterminate                     // the outcome cannot be determined: the base version is newer than the current one or older than the recorded history
	DrainWorkerUnknown                     // the worker is not known
)

// DrainReply is the reply to a DrainRequest. It is sent once the change is durable.
type DrainReply struct {
	Known   bool         `msgpack:"k"` // the group knows the worker
	Outcome DrainOutcome `msgpack:"o"`
	Worker  Worker       `msgpack:"s"`
}
