package operations

import (
	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

// Paths of the API. The path of one worker or job is WorkersPath or JobsPath, followed by a slash and its ID.
const (
	StatusPath  = "/-/status"
	WorkersPath = "/-/searchers"
	JobsPath    = "/-/jobs"
)

// Suffixes of the path of one worker or one job.
const (
	DrainSuffix   = "/drain"
	ExplainSuffix = "/why"
)

// Query parameters.
const (
	ServiceParameter = "service"
	StateParameter   = "state"
	LimitParameter   = "limit"
)

// Identity identifies the responding node.
type Identity struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // internal address, host:port
}

// View is the set of replicas, as far as the responding node knows it.
type View struct {
	Version uint64   `json:"version"` // 0 if no view is known
	Members []string `json:"members"`
}

// Member is the state of another replica, as the responding node knows it.
type Member struct {
	Address        string `json:"address"`
	Alive          bool   `json:"alive"`
	Ready          bool   `json:"ready"`      // whether it may vote; false while its disk is being rebuilt
	Contacted      bool   `json:"heard"`      // whether it has contacted the responding node since that node started
	SinceContactMS int64  `json:"heardAgoMs"` // time since the last contact; only meaningful if Contacted
}

// Group describes the jobs of one service and the leader that schedules them.
type Group struct {
	Service string             `json:"service"`
	Leader  string             `json:"leader"` // internal address; empty if no leader is known
	Term    uint64             `json:"epoch"`  // term of the leader, which is also its fencing token at workers
	Summary *jobreport.Summary `json:"summary,omitempty"`
	Error   string             `json:"error,omitempty"` // why there is no summary of the leader
}

// Status is the body of a response of StatusPath.
type Status struct {
	Node                 Identity `json:"mixer"`
	UptimeMS             int64    `json:"uptimeMs"`
	Rebuilt              bool     `json:"rebuilt"`   // whether its disk is complete, so that it may vote
	InContact            bool     `json:"inContact"` // whether a majority has recently replied to it and confirmed the configuration
	ConfigurationVersion uint64   `json:"configurationVersion"`
	View                 View     `json:"view"`
	Members              []Member `json:"members"` // the other replicas
	Groups               []Group  `json:"groups"`
	Agents               []string `json:"agents"` // internal addresses of the active agents on front machines
}

// UnansweredService is a service whose leader did not reply.
type UnansweredService struct {
	Service string `json:"service"`
	Error   string `json:"error"`
}

// WorkerList is the body of a response of WorkersPath.
type WorkerList struct {
	Workers    []jobreport.Worker  `json:"searchers"`
	Unanswered []UnansweredService `json:"unanswered,omitempty"`
}

// JobList is the body of a response of JobsPath.
type JobList struct {
	Jobs       []jobreport.Job     `json:"jobs"`
	Total      int                 `json:"total"` // number of matching jobs, including those that are not listed
	Unanswered []UnansweredService `json:"unanswered,omitempty"`
}

// CancelledJob is the body of a response to the cancellation of a job.
type CancelledJob struct {
	ID      string `json:"id"`
	Service string `json:"service"`
}

// Failure is the body of a response that reports an error. It is the same as for requests for the configuration.
type Failure = control.ErrorResponse
