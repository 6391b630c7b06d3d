package jobreport

import "puffinlink.example/puffinlink/internal/jobs/job"

// Limits of a list of jobs.
const (
	DefaultJobs = 100
	MostJobs    = 1000
)

// SummaryRequest asks for a group's Summary.
type SummaryRequest struct {
	Group string `msgpack:"g"`
}

// SummaryReply is the answer.
type SummaryReply struct {
	Summary Summary `msgpack:"s"`
}

// WorkersRequest asks for the workers of a group's service.
type WorkersRequest struct {
	Group string `msgpack:"g"`
}

// WorkersReply lists them by ID.
type WorkersReply struct {
	Workers []Worker `msgpack:"s"`
}

// JobsRequest asks for a group's jobs.
type JobsRequest struct {
	Group string    `msgpack:"g"`
	State job.State `msgpack:"s"` // empty for all
	Limit int       `msgpack:"l"` // 1 to MostJobs
}

// JobsReply lists the newest of them.
type JobsReply struct {
	Jobs  []Job `msgpack:"j"`
	Total int   `msgpack:"t"` // that match, listed or not
}

// JobRequest asks for one job.
type JobRequest struct {
	Group string `msgpack:"g"`
	ID    job.ID `msgpack:"i"`
}

// JobReply is all that is known of it.
type JobReply struct {
	Known bool      `msgpack:"k"`
	Job   JobDetail `msgpack:"j"`
}

// WhyRequest asks why a job's tasks wait.
type WhyRequest struct {
	Group string `msgpack:"g"`
	ID    job.ID `msgpack:"i"`
}

// WhyReply is the answer.
type WhyReply struct {
	Known bool `msgpack:"k"`
	Why   Why  `msgpack:"w"`
}

// DrainRequest sets or ends an operator's drain of a worker.
type DrainRequest struct {
	Group    string `msgpack:"g"`
	Worker   string `msgpack:"s"`
	Draining bool   `msgpack:"d"`
	// OnTopOf is the drain version that the order builds on; nil for one that goes by no version.
	OnTopOf *uint64 `msgpack:"v,omitempty"`
}

// DrainOutcome is what an order on a worker's drain came to.
type DrainOutcome int

// The outcomes. One that goes by no version is always taken.
const (
	DrainTaken      DrainOutcome = iota // by this call or by an earlier one of the same order; 0, as a leader of an earlier release answers
	DrainSuperseded                     // another was taken on top of that version; this one never will be
	DrainUnclear                        // the version is not in force yet, or older than what is remembered
	DrainUnknown                        // the worker is not known
)

// DrainReply is sent once the change is durable.
type DrainReply struct {
	Known   bool         `msgpack:"k"` // the group knows the worker
	Outcome DrainOutcome `msgpack:"o"`
	Worker  Worker       `msgpack:"s"`
}
