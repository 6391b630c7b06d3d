package operations

import (
	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

// Paths of the API. IDs of workers and jobs are appended to the last two.
const (
	StatusPath  = "/-/status"
	WorkersPath = "/-/searchers"
	JobsPath    = "/-/jobs"
)

// Names appended to the path of one worker or one job.
const (
	DrainSuffix = "/drain"
	WhySuffix   = "/why"
)

// Query parameters.
const (
	ServiceParameter = "service"
	StateParameter   = "state"
	LimitParameter   = "limit"
)

// Identity names the responding node.
type Identity struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // internal, host:port
}

// View is the set of replicas.
type View struct {
	Version uint64   `json:"version"` // 0 while none is known
	Members []string `json:"members"`
}

// Member is another replica as the responding node sees it.
type Member struct {
	Address    string `json:"address"`
	Alive      bool   `json:"alive"`
	Ready      bool   `json:"ready"`      // it may vote; false while its disk is being rebuilt
	Heard      bool   `json:"heard"`      // it has been heard from since the responding node started
	HeardAgoMS int64  `json:"heardAgoMs"` // meaningless unless heard
}

// Group is the jobs of one service and who schedules them.
type Group struct {
	Service string             `json:"service"`
	Leader  string             `json:"leader"` // internal address; empty while none is known
	Epoch   uint64             `json:"epoch"`  // of the leader; it is the fencing token at workers
	Summary *jobreport.Summary `json:"summary,omitempty"`
	Error   string             `json:"error,omitempty"` // why the leader gave no summary
}

// Status is the response of StatusPath.
type Status struct {
	Node                 Identity `json:"mixer"`
	UptimeMS             int64    `json:"uptimeMs"`
	Rebuilt              bool     `json:"rebuilt"`   // its disk is complete, so that it votes
	InContact            bool     `json:"inContact"` // a majority of the view has replied to it lately
	ConfigurationVersion uint64   `json:"configurationVersion"`
	View                 View     `json:"view"`
	Members              []Member `json:"members"` // the others
	Groups               []Group  `json:"groups"`
	Agents               []string `json:"agents"` // internal addresses of the agents on front machines
}

// Unanswered is a service whose leader did not reply.
type Unanswered struct {
	Service string `json:"service"`
	Error   string `json:"error"`
}

// Workers is the response of WorkersPath.
type Workers struct {
	Workers    []jobreport.Worker `json:"searchers"`
	Unanswered []Unanswered       `json:"unanswered,omitempty"`
}

// Jobs is the response of JobsPath.
type Jobs struct {
	Jobs       []jobreport.Job `json:"jobs"`
	Total      int             `json:"total"` // that match, listed or not
	Unanswered []Unanswered    `json:"unanswered,omitempty"`
}

// Cancelled is the response to the cancellation of a job.
type Cancelled struct {
	ID      string `json:"id"`
	Service string `json:"service"`
}

// Failure is the body of a response that reports an error, as for the configuration.
type Failure = control.ErrorResponse
