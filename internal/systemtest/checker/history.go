// Package checker checks histories of a running system against its rules. A history holds only what could be seen from
// outside: the calls of clients and operators, the platform's answers, and what workers received and did. The package
// shares no code with the system. Only tests import it.
package checker

import "time"

// Bounds are the times that the rules name.
type Bounds struct {
	Contact            time.Duration // without a fault for that long, a machine is in contact
	ConfigurationApply time.Duration
	RollbackSlack      time.Duration
	Drain              time.Duration
	Cancel             time.Duration
	Stop               time.Duration
	Visible            time.Duration
	Early              time.Duration
	LossSlack          time.Duration // from a request's last byte until a graceful shutdown must have answered it
	Grace              time.Duration // from the begin of a graceful shutdown until the process is killed
	AcknowledgeLag     time.Duration // from an end's acknowledgement or a job's completion until nothing starts any more
}

// History is everything that was seen.
type History struct {
	Bounds           Bounds
	Core             []string // machines that hold the control state
	Faults           []Fault
	Workers          []Worker
	Attempts         []Attempt
	Checkpoints      []Checkpoint
	LeaseExpiries    []LeaseExpiry
	Inventories      []Inventory
	Requests         []Request
	OperatorRequests []OperatorRequest
	AbortedRequests  []AbortedRequest
	EndedAt          time.Time // when the load ended; requests after it must show jobs that can end as ended
	SeenUntil        time.Time // when the history ends
}

// FaultKind is what a fault concerns.
type FaultKind uint8

const (
	// MachineFault is a kill, start, pause or partition of a machine of the system.
	MachineFault FaultKind = iota
	// WorkerFault is a crash, silence, late command, drain or loss of a worker.
	WorkerFault
)

// Fault is one fault that was made.
type Fault struct {
	Kind    FaultKind
	Machine string // or the worker's identifier
	From    time.Time
	To      time.Time // the zero time while it lasts
	Planned bool      // a graceful shutdown, and the start after it
}

// Resources are what a task asks for and what a worker has.
type Resources struct {
	Processors   int64 `json:"processors"`
	MemoryMB     int64 `json:"memoryRequestMb"`
	Accelerators int64 `json:"accelerators"`
}

// Worker is one incarnation of a worker, from its start to its crash.
type Worker struct {
	ID       string
	Service  string
	Labels   []string
	Capacity Resources
	Guards   bool
}

// Attempt is one attempt of a task that a worker has begun on a command.
type Attempt struct {
	Worker         string // the identifier of its incarnation
	Task           string // as on the wire
	Number         uint64
	Specification  string
	Checkpoint     string
	Late           bool   // carried out after its command had been left unanswered
	Sender         string // the machine that sent the command; empty where that is not known
	StartedAt      time.Time
	EndedAt        time.Time // the zero time while it runs
	Outcome        string    // empty while it runs, and when its worker crashed
	AcknowledgedAt time.Time // when a lease renewal's lastSeen reached its end; the zero time before
}

// Checkpoint is one that a worker has listed for a task.
type Checkpoint struct {
	Task string
	Text string
}

// LeaseExpiry is an instant at which a worker's lease ran out.
type LeaseExpiry struct {
	Worker string
	At     time.Time
}

// Inventory is an answer of the platform that shows a worker as draining.
type Inventory struct {
	Machine  string // that requested it
	Draining []string
	At       time.Time
}

// Request is one call of a client.
type Request struct {
	Machine     string // that it was sent to
	Incarnation int    // of that machine's processes
	Method      string
	Host        string
	Path        string
	Body        []byte
	SentAt      time.Time
	AnsweredAt  time.Time
	Status      int // 0 where there was no complete reply
	Answer      []byte
}

// AbortedRequest is a client's request that a machine had read completely, and whose connection it closed without a complete reply.
type AbortedRequest struct {
	Machine string
	Path    string
	SentAt  time.Time
	At      time.Time
}

// OperatorRequest is one call of an operator to one machine.
type OperatorRequest struct {
	Machine    string
	Method     string
	BuiltOn    int64
	Body       []byte
	SentAt     time.Time
	AnsweredAt time.Time
	Status     int // 0 where there was no complete reply
	Answer     []byte
}

// Violation is a broken rule.
type Violation struct {
	Rule    string
	Subject string // the task, job, worker or version
	Detail  string
	At      time.Time
}

// String is the violation on one line.
func (v Violation) String() string {
	return v.Rule + " " + v.Subject + " at " + v.At.Format("15:04:05.000") + ": " + v.Detail
}

// The rules.
const (
	OverCapacity      = "LIMIT"
	DuplicateAttempt  = "TWICE"
	StageOrder        = "ORDER"
	Placement         = "ROUTE"
	AttemptBudget     = "BUDGET"
	Gang              = "GANG"
	Unrequested       = "UNASKED"
	RejectedJob       = "REFUSED"
	DrainingWorker    = "DRAIN"
	InconsistentState = "MIXED"
	Lost              = "LOST"
	Config            = "CONFIG"
)
