package jobreport

import "puffinlink.example/puffinlink/internal/jobs/job"

// Limits of a list of jobs.
const (
	DefaultJobs = 100
	MaxJobs     = 1000
)

// SummaryRequest requests a group's Summary.
type SummaryRequest struct {
	Group string `msgpack:"g"`
}

// SummaryReply is the reply.
type SummaryReply struct {
	Summary Summary `msgpack:"s"`
}

// WorkersRequest requests the workers of a group's service.
type WorkersRequest struct {
	Group string `msgpack:"g"`
}

// WorkersReply lists them by ID.
type WorkersReply struct {
	Workers []Worker `msgpack:"s"`
}

// JobsRequest requests a group's jobs.
type JobsRequest struct {
	Group string    `msgpack:"g"`
	State job.State `msgpack:"s"` // empty for all
	Limit int       `msgpack:"l"` // 1 to MaxJobs
}

// JobsReply lists the newest of them.
type JobsReply struct {
	Jobs  []Job `msgpack:"j"`
	Total int   `msgpack:"t"` // that match, listed or not
}

// JobRequest requests one job.
type JobRequest struct {
	Group string `msgpack:"g"`
	ID    job.ID `msgpack:"i"`
}

// JobReply is all that is known of it.
type JobReply struct {
	Known bool      `msgpack:"k"`
	Job   JobDetail `msgpack:"j"`
}

// WhyRequest requests the reasons for which a job's tasks wait.
type WhyRequest struct {
	Group string `msgpack:"g"`
	ID    job.ID `msgpack:"i"`
}

// WhyReply is the reply.
type WhyReply struct {
	Known bool `msgpack:"k"`
	Why   Why  `msgpack:"w"`
}

// DrainRequest sets or ends an operator's drain of a worker.
type DrainRequest struct {
	Group    string `msgpack:"g"`
	Worker   string `msgpack:"s"`
	Draining bool   `msgpack:"d"`
	// BaseVersion is the drain version that the change builds on; nil for one without a version.
	BaseVersion *uint64 `msgpack:"v,omitempty"`
}

// DrainOutcome is what a request to change a worker's drain came to.
type DrainOutcome int

// The outcomes. A request without a version is always taken.
const (
	DrainTaken      DrainOutcome = iota // by this call or by an earlier one that requested the same; 0, as a leader of an earlier release answers
	DrainSuperseded                     // another change was taken on top of that version; this one never will be
	DrainUnclear                        // the version is not in force yet, or older than those that are kept
	DrainUnknown                        // the worker is not known
)

// DrainReply is sent once the change is durable.
type DrainReply struct {
	Known   bool         `msgpack:"k"` // the group knows the worker
	Outcome DrainOutcome `msgpack:"o"`
	Worker  Worker       `msgpack:"s"`
}
